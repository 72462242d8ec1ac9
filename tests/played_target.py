"""One target behind an admission queue, on which loads are played in simulated time."""

import heapq
import itertools
import random

from hibiscusdrum.internal.router.admission import AdmissionQueue, QueueEntry

STEP_SECONDS = 0.02


class Played:
    """One request of a played load; times in seconds, ``ended`` is None while it has no outcome.

    Attributes
    ----------
    seconds : float or None
        Mean time that the target takes for it; None for that of the target.
    """

    def __init__(self, kind, arrived, goal, deadline, priority, nested=False, seconds=None):
        self.kind = kind
        self.arrived = arrived
        self.goal = goal
        self.deadline = deadline
        self.priority = priority
        self.nested = nested
        self.seconds = seconds
        self.ended = None
        self.outcome = ""

    @property
    def on_time(self):
        """Whether the answer came within the goal."""
        return self.outcome == "answered" and self.ended <= self.arrived + self.goal


class Target:
    """Plays requests on an admission queue whose target takes a random time for each."""

    def __init__(self, slots, seconds):
        self.admission = AdmissionQueue(slots)
        self.seconds = seconds
        self.rng = random.Random(7)
        self.running = []
        self.counter = itertools.count()
        self.played = []
        self.starts = []
        self.busy_seconds = 0.0

    @property
    def capacity(self):
        """Requests a second that the target can serve."""
        return self.admission.slots / self.seconds

    def arrive(self, request, now):
        """Admit a request or refuse it."""
        self.played.append(request)
        entry = QueueEntry(
            request,
            request.priority,
            now + request.goal,
            now + request.deadline,
            request.kind,
            now,
            request.nested,
        )
        if not self.admission.is_servable(entry, now):
            self.end(request, "refused", now)
            return
        self.admission.push(entry, now)
        self.pump(now)

    def pump(self, now):
        """Start what the target has room for."""
        while (entry := self.admission.pop(now)) is not None:
            seconds = (entry.item.seconds or self.seconds) * self.rng.uniform(0.5, 1.5)
            self.starts.append(now)
            self.busy_seconds += seconds
            heapq.heappush(self.running, (now + seconds, next(self.counter), entry, now))

    def advance(self, now):
        """End what is due, and refuse what the queue gives up."""
        while self.running and self.running[0][0] <= now:
            ended, _, entry, started = heapq.heappop(self.running)
            self.admission.finish(entry.cost_class, ended - started)
            late = ended > entry.deadline
            self.end(entry.item, "too late" if late else "answered", ended)
            self.pump(ended)
        for entry in self.admission.remove_unservable(now):
            self.end(entry.item, "refused", now)
        self.pump(now)

    def end(self, request, outcome, now):
        """End it and note the outcome."""
        request.outcome, request.ended = outcome, now

    def play(self, streams, seconds):
        """Play streams of (requests a second, maker of a request) and let everything end."""
        arrivals = []
        for rate, make in streams:
            at = 0.0
            while (at := at + self.rng.expovariate(rate)) < seconds:
                arrivals.append((at, next(self.counter), make))
        heapq.heapify(arrivals)
        now = 0.0
        while now < seconds + 10.0:
            now += STEP_SECONDS
            while arrivals and arrivals[0][0] <= now:
                at, _, make = heapq.heappop(arrivals)
                self.advance(at)
                self.arrive(make(at), at)
            self.advance(now)


def maker(kind="request", goal=0.8, deadline=3.0, priority=1, nested=False, seconds=None):
    """Return a function that makes a request of a kind from its time of arrival."""
    return lambda at: Played(kind, at, goal, deadline, priority, nested, seconds)
