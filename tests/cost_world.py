"""Model of entry nodes, targets of unequal speed and requests of unequal cost, without a network.

Choice of the target, admission, cost model and throttle are those of the product. What is modelled: targets
that run a number of requests at a time, each at the target's speed, and slow down for 0.4 s of each 2 s;
messages that take 2 ms; and callers that come back after a refusal when they are told to.
"""

import heapq
import itertools
import random

from hibiscusdrum.internal.load.service_floor import ServiceFloor
from hibiscusdrum.internal.router.admission import AdmissionQueue, QueueEntry
from hibiscusdrum.internal.router.returns import ReturnSchedule
from hibiscusdrum.internal.router.selection import Candidate, LoadReport, NodeSelector
from hibiscusdrum.internal.router.throttle import Throttle

SERVICE = "work"
MESSAGE_SECONDS = 0.002
SLOW_PERIOD_SECONDS = 2.0
SLOW_SECONDS = 0.4
SLOW_FACTOR = 3.0
EXPIRY_SECONDS = 0.02
DEFAULT_RETRY_AFTER_SECONDS = 0.5
MAX_RETURNS = 2
SLOTS = 4
# Costs within a class: one request in 20 takes 3 to 7 times as much as the others.
TAIL_SHARE = 0.05
SPEEDS = (0.5, 0.7, 0.85, 1.0, 1.0, 1.1, 1.2, 1.3, 1.4, 1.6)


class RequestClass:
    """A class of requests: share of all, mean cost in seconds, priority, goal and deadline."""

    def __init__(self, name, share, cost, priority):
        self.name, self.share, self.cost, self.priority = name, share, cost, priority
        self.goal = 0.3 + 3.0 * cost
        self.deadline = 3.0 * self.goal


CLASSES = (
    RequestClass("read", 0.45, 0.04, 0),
    RequestClass("list", 0.25, 0.12, 1),
    RequestClass("search", 0.2, 0.32, 0),
    RequestClass("export", 0.1, 0.64, 1),
)


def draw_cost(rng, mean):
    """Draw a cost with some spread, of which one in 20 is 3 to 7 times as large."""
    cost = rng.lognormvariate(-0.125, 0.5) * (rng.uniform(3.0, 7.0) if rng.random() < TAIL_SHARE else 1.0)
    return mean * cost / (1.0 + TAIL_SHARE * 4.0)


class Target:
    """A target with the admission queue of the node beside it."""

    def __init__(self, world, name, speed):
        self.world, self.name, self.speed = world, name, speed
        self.phase = world.rng.uniform(0.0, SLOW_PERIOD_SECONDS)
        self.queue = AdmissionQueue(SLOTS, cost_aware=world.cost_aware)
        self.expiry_pending = False

    def slow(self, now):
        """Return whether the target is in a slow phase."""
        return (now + self.phase) % SLOW_PERIOD_SECONDS < SLOW_SECONDS

    def end_time(self, cost, now):
        """Return when a request that starts now ends."""
        work = cost / self.speed
        while True:
            position = (now + self.phase) % SLOW_PERIOD_SECONDS
            slow = position < SLOW_SECONDS
            phase_ends = now + (SLOW_SECONDS if slow else SLOW_PERIOD_SECONDS) - position
            takes = work * (SLOW_FACTOR if slow else 1.0)
            if now + takes <= phase_ends:
                return now + takes
            work -= (phase_ends - now) / (SLOW_FACTOR if slow else 1.0)
            now = phase_ends + 1e-9

    def report(self):
        """Return the report that the node beside the target sends with an answer."""
        queue, now = self.queue, self.world.now
        outlook = (queue.outstanding_seconds(now), 0.0, queue.work.slowdown(now))
        return LoadReport(
            queue.running, queue.queued, queue.slots, queue.mean_service_seconds, True, 0.0, *outlook
        )

    def receive(self, attempt, only_if_free):
        """Queue a request, or decline it."""
        now = self.world.now
        if only_if_free and not self.queue.has_free_slot(now):
            self.reply(attempt.on_busy, self.report())
            return
        call = attempt.call
        goal_at = call.began + call.kind.goal
        entry = QueueEntry(attempt, call.kind.priority, goal_at, call.deadline, call.kind.name, now)
        entry.returning = attempt.returning
        if not self.queue.is_servable(entry, now):
            self.decline(entry)
            return
        self.queue.push(entry, now)
        self.start_queued()
        if not self.expiry_pending and self.queue.queued:
            self.expiry_pending = True
            self.world.after(EXPIRY_SECONDS, self.expire)

    def decline(self, entry):
        """Decline a request because of the load."""
        self.reply(entry.item.on_declined, self.report(), self.queue.retry_after(entry, self.world.now))

    def expire(self):
        """Decline the queued requests that cannot be served in time."""
        for entry in self.queue.remove_unservable(self.world.now):
            self.decline(entry)
        self.start_queued()
        self.expiry_pending = self.queue.queued > 0
        if self.expiry_pending:
            self.world.after(EXPIRY_SECONDS, self.expire)

    def start_queued(self):
        """Start queued requests while there are free slots."""
        now = self.world.now
        while (entry := self.queue.pop(now)) is not None:
            ends_at = min(self.end_time(entry.item.call.cost, now), entry.deadline)
            self.world.after(ends_at - now, lambda entry=entry, now=now: self.end(entry, now))

    def end(self, entry, started_at):
        """End a request, and answer it unless its deadline was reached."""
        now = self.world.now
        in_time = now < entry.deadline
        if in_time and self.world.states_slowdown:
            self.queue.work.state_slowdown(SLOW_FACTOR if self.slow(now) else 1.0, now)
        self.queue.finish(entry.cost_class, now - started_at if in_time else None, entry, now)
        if in_time:
            seconds = self.queue.work.costs.expected(entry.cost_class)
            self.reply(entry.item.on_answered, self.report(), seconds)
        else:
            entry.item.on_deadline()
        self.start_queued()

    def reply(self, callback, *arguments):
        """Call back after the time that a message takes."""
        self.world.after(MESSAGE_SECONDS, lambda: callback(*arguments))


class Call:
    """A request of a caller with all its attempts."""

    def __init__(self, world, node, kind):
        self.node, self.kind = node, kind
        self.cost = draw_cost(world.rng, kind.cost)
        self.began = world.now
        self.deadline = world.now + kind.deadline
        self.refusals = 0
        self.took = None


class Attempt:
    """One attempt of a call at its entry node."""

    def __init__(self, world, call):
        self.world, self.call, self.node = world, call, call.node
        self.busy, self.asked, self.probed = [], "", False
        self.returning = world.cost_aware and call.refusals > 0
        self.throttle = self.node.throttles[call.kind.name]
        self.late = call.began + call.kind.goal - world.now < 0.5 * call.kind.goal
        share = self.throttle.refused_share(world.now, self.late)
        self.overloaded = share > 0.0
        starved = world.cost_aware and self.node.floor.is_starved(call.kind.name, world.now)
        if self.overloaded and not (starved or self.returning) and world.rng.random() < share:
            self.record(False)
            self.refuse(DEFAULT_RETRY_AFTER_SECONDS)
        else:
            self.dispatch()

    def dispatch(self):
        """Send the request to the target that is expected to answer first."""
        world, now, selector = self.world, self.world.now, self.node.selector
        probe = not self.overloaded and self.throttle.probing_pays(now)
        cost_class = (SERVICE, self.call.kind.name)
        chosen, self.probed = selector.select(
            world.candidates, 0, now, self.busy, (), probe, cost_class=cost_class
        )
        self.asked = chosen.node
        selector.on_sent(chosen.node, cost_class)
        world.after(MESSAGE_SECONDS, lambda: world.targets[chosen.node].receive(self, self.probed))

    def on_busy(self, report):
        """Ask the next target."""
        self.note(report)
        self.throttle.record_probe(False, self.world.now)
        self.busy.append(self.asked)
        self.dispatch()

    def on_declined(self, report, retry_after):
        """Refuse the request."""
        self.note(report)
        self.record(False)
        self.refuse(retry_after)

    def on_answered(self, report, class_seconds):
        """Count the answer."""
        self.note(report)
        self.node.selector.on_class_cost(self.asked, (SERVICE, self.call.kind.name), class_seconds)
        if self.probed:
            self.throttle.record_probe(True, self.world.now)
        free = report.running + report.queued < report.slots
        self.record(True, free)
        self.call.took = self.world.now - self.call.began

    def on_deadline(self):
        """Count a request that ran into its deadline."""
        self.node.selector.on_ended(self.asked)

    def record(self, accepted, free_slot=False):
        """Record whether the request was accepted."""
        self.throttle.record(accepted, self.world.now, free_slot=free_slot, late=self.late)
        self.node.floor.record(self.call.kind.name, accepted, self.world.now)

    def note(self, report):
        """Take a report with the outcome of the request."""
        self.node.selector.on_ended(self.asked)
        self.node.selector.on_report(self.asked, report, self.world.now)

    def refuse(self, retry_after):
        """Let the caller come back when it is told to, if it has the time."""
        call, now = self.call, self.world.now
        call.refusals += 1
        if self.world.cost_aware:
            rate = self.node.floor.served_per_second(call.kind.name, now)
            schedule = self.node.schedules[call.kind.name]
            retry_after = schedule.reserve(retry_after, rate, call.deadline - now, now)
        if call.refusals <= MAX_RETURNS and now + retry_after < call.deadline:
            self.world.after(retry_after, lambda: Attempt(self.world, call))


class EntryNode:
    """A node at which requests arrive."""

    def __init__(self, world, index):
        rng = random.Random(world.rng.random())
        self.selector = NodeSelector("east", f"d{index % 2}", rng, cost_aware=world.cost_aware)
        self.throttles = {kind.name: Throttle() for kind in CLASSES}
        self.floor = ServiceFloor()
        self.schedules = {kind.name: ReturnSchedule() for kind in CLASSES}


class CostWorld:
    """Entry nodes, targets and the requests of one run.

    Parameters
    ----------
    cost_aware : bool
        Setting of all nodes.
    states_slowdown : bool
        Whether targets state in their answers how slow they are.
    """

    def __init__(self, cost_aware, seed, entries=12, states_slowdown=True):
        self.rng = random.Random(seed)
        self.cost_aware, self.states_slowdown = cost_aware, states_slowdown
        self.now = 100.0
        self.events, self.counter = [], itertools.count()
        self.targets = {f"t{index}": Target(self, f"t{index}", speed) for index, speed in enumerate(SPEEDS)}
        self.candidates = [
            Candidate(name, "east", f"d{index % 2}") for index, name in enumerate(self.targets)
        ]
        self.nodes = [EntryNode(self, index) for index in range(entries)]
        self.calls = []

    @property
    def capacity(self):
        """Requests a second that all targets can run, with their slow phases."""
        slow_share = SLOW_SECONDS / SLOW_PERIOD_SECONDS
        speed = sum(SPEEDS) * (1.0 - slow_share + slow_share / SLOW_FACTOR)
        return speed * SLOTS / sum(kind.share * kind.cost for kind in CLASSES)

    def after(self, delay, callback):
        """Call back later."""
        heapq.heappush(self.events, (self.now + delay, next(self.counter), callback))

    def load(self, share, seconds):
        """Let requests arrive for some seconds at a share of the capacity."""
        rate, end = share * self.capacity, self.now + seconds
        weights = [kind.share for kind in CLASSES]

        def arrive():
            if self.now >= end:
                return
            kind = self.rng.choices(CLASSES, weights)[0]
            call = Call(self, self.rng.choice(self.nodes), kind)
            self.calls.append(call)
            Attempt(self, call)
            self.after(self.rng.expovariate(rate), arrive)

        self.after(0.0, arrive)
        self.run_until(end)

    def run_until(self, end):
        """Let events happen until a time."""
        while self.events and self.events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self.events)
            callback()
        self.now = end


class Outcome:
    """Figures of the calls of one part of a run."""

    def __init__(self, calls):
        self.calls = calls
        times = sorted(call.took for call in calls if call.took is not None)
        self.mean = sum(times) / len(times)
        self.p99 = times[int(0.99 * len(times))]
        self.missed = share(calls, lambda call: call.took is None or call.took > call.kind.goal)
        self.refused = share(calls, lambda call: call.refusals > 0)
        self.refused_again = share([call for call in calls if call.refusals], lambda call: call.refusals > 1)
        self.served = {
            kind.name: share(
                [call for call in calls if call.kind is kind], lambda call: call.took is not None
            )
            for kind in CLASSES
        }

    def __repr__(self):
        served = " ".join(f"{name} {value:.2f}" for name, value in self.served.items())
        return (
            f"mean {self.mean * 1000:.0f} ms, p99 {self.p99 * 1000:.0f} ms, missed {self.missed:.4f}, "
            f"refused {self.refused:.4f}, again {self.refused_again:.2f}, served {served}"
        )


def share(calls, condition):
    """Return the share of calls that meet a condition."""
    return sum(map(condition, calls)) / len(calls) if calls else 0.0
