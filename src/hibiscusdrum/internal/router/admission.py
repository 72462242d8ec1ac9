"""Admission control for one target: priority queue, early rejection, and rate limits.

It handles an overload of one target: more requests than slots, of several priorities, some with deadlines
that can no longer be met. Requests that cannot be served in time are refused immediately, with an estimate of
when capacity will be available.
"""

from __future__ import annotations

import heapq
import itertools
import math
from typing import Any

from hibiscusdrum.internal.load.service_floor import ServiceFloor
from hibiscusdrum.internal.router.outstanding_work import OutstandingWork
from hibiscusdrum.internal.router.rate_limiter import RateLimiter

# Weight of the newest sample in the moving averages of service times.
SERVICE_TIME_SMOOTHING = 0.1
# Mean service time assumed before the first response.
INITIAL_SERVICE_SECONDS = 0.15
# Share of the expected service time that must fit between the expected start and the deadline. Service times
# vary, so requiring the full mean would refuse many requests that could have been served.
DEADLINE_SERVICE_SHARE = 0.8
# A target that was saturated without interruption for this long is overloaded: a burst is over by then.
OVERLOAD_SATURATION_SECONDS = 0.6
# Multiple of the expected service time that must fit before the latency goal. With the mean alone, every
# other request would miss its goal.
GOAL_SERVICE_FACTOR = 1.3
MIN_GOAL_SECONDS = 0.001
# A request yields to one of the same priority that costs at most this share and would else miss its goal.
SHORT_COST_SHARE = 0.5
# Share of its expected wait that decides whether a queued request is refused because of those that arrived
# later: the expectation varies, and a request that was admitted should rarely be refused.
DISPLACED_WAIT_SHARE = 0.7
# Priority of requests whose class is served too rarely: before all except nested ones.
PREFERRED_PRIORITY = -1
# Goal bucket of requests whose callers come back when they were told to: lower than that of any goal.
RETURNING_BUCKET = -100
MIN_RETRY_AFTER_SECONDS = 0.05
MAX_RETRY_AFTER_SECONDS = 2.0


QueueOrder = tuple[bool, int, bool, int, float]


class QueueEntry:
    """A queued request.

    Attributes
    ----------
    priority : int
        0 is the highest priority.
    goal_at, deadline : float
        Monotonic times in seconds from which a response is late, and from which it is useless.
    cost_class : str
        Requests of one class have similar service times.
    goal_bucket : int
        Binary logarithm of the time from arrival to the goal, so that similar goals share a bucket.
    late : bool
        Whether the request can no longer meet its goal; it is then queued behind those that can.
    nested : bool
        Whether a request that a target is running waits for the response. If a nested request fails, so does
        the one that waits, and the time that its target has spent on it is lost. Nested requests therefore
        precede all others, and only their deadline counts.
    preferred : bool
        Whether it precedes all others that are not nested, and only its deadline counts, because its class is
        served too rarely.
    returning : bool
        Whether its caller was told to come back at this time. It then precedes all others of its priority,
        and only its deadline counts.
    removed : bool
        Whether the entry has left the queue; the heap drops such entries lazily.
    """

    __slots__ = (
        "cost_class",
        "deadline",
        "goal_at",
        "goal_bucket",
        "item",
        "late",
        "nested",
        "preferred",
        "priority",
        "removed",
        "returning",
    )

    def __init__(
        self,
        item: Any,
        priority: int,
        goal_at: float,
        deadline: float,
        cost_class: str,
        now: float,
        nested: bool = False,
        returning: bool = False,
    ) -> None:
        if nested:
            goal_at = deadline
        self.goal_bucket = math.frexp(max(goal_at - now, MIN_GOAL_SECONDS))[1]
        self.item = item
        self.priority = priority
        self.goal_at = goal_at
        self.deadline = deadline
        self.cost_class = cost_class
        self.late = False
        self.nested = nested
        self.preferred = False
        self.returning = returning
        self.removed = False

    @property
    def ignores_goal(self) -> bool:
        """Whether only the deadline counts."""
        return self.preferred or self.returning

    @property
    def order(self) -> QueueOrder:
        """Sort key: nested requests, priority, those that can still meet their goal, and short goals first.

        If only the remaining time counted, requests that have waited for most of a long goal would precede
        calls with a short one, and the requests that made those calls would fail.
        """
        if self.preferred:
            return (not self.nested, PREFERRED_PRIORITY, False, 0, self.deadline)
        if self.returning:
            return (not self.nested, self.priority, False, RETURNING_BUCKET, self.deadline)
        if self.late:
            return (not self.nested, self.priority, True, 0, self.deadline)
        return (not self.nested, self.priority, False, self.goal_bucket, self.goal_at)


class AdmissionQueue:
    """Priority queue in front of one target.

    Requests that can still meet their latency goal precede those that cannot. During an overload the latter
    are refused, because each of them would delay another request past its goal.

    Parameters
    ----------
    slots : int
        Number of requests that the target runs concurrently.
    rate_limiter : RateLimiter, optional
        Limits the rate of requests to the target; unlimited by default.
    cost_aware : bool
        Whether waits are expected by the costs of the requests ahead instead of their number.

    Attributes
    ----------
    running : int
        Number of requests at the target.
    mean_service_seconds : float
        Moving average over all requests.
    class_service_seconds : dict of str to float
        Moving average for each cost class.
    idle_at : float
        Monotonic time in seconds at which the target last had a free slot with nothing queued.
    work : OutstandingWork
        Costs by class, and the work of the requests at the target.
    queued_classes : dict of str to int
        Number of queued requests by cost class.
    floor : ServiceFloor
        Which classes are served too rarely.
    """

    __slots__ = (
        "class_service_seconds",
        "cost_aware",
        "counter",
        "floor",
        "heap",
        "idle_at",
        "mean_service_seconds",
        "queued",
        "queued_classes",
        "rate_limiter",
        "running",
        "slots",
        "work",
    )

    def __init__(self, slots: int, rate_limiter: RateLimiter | None = None, cost_aware: bool = False) -> None:
        self.slots = slots
        self.cost_aware = cost_aware
        self.running = 0
        self.queued = 0
        self.heap: list[tuple[QueueOrder, int, QueueEntry]] = []
        self.counter = itertools.count()
        self.mean_service_seconds = INITIAL_SERVICE_SECONDS
        self.class_service_seconds: dict[str, float] = {}
        self.rate_limiter = rate_limiter or RateLimiter()
        self.idle_at = float("-inf")
        self.work = OutstandingWork()
        self.floor = ServiceFloor()
        self.queued_classes: dict[str, int] = {}

    def outstanding_seconds(self, now: float) -> float:
        """Return the expected work of what is running or queued, in seconds of one slot at usual speed."""
        expected = self.work.costs.expected
        queued = sum(count * expected(cost_class) for cost_class, count in self.queued_classes.items())
        return self.work.running_seconds(now) + queued

    def expected_service_seconds(self, cost_class: str) -> float:
        """Return the expected service time of requests of a class."""
        if self.cost_aware:
            return self.work.costs.expected(cost_class)
        return self.class_service_seconds.get(cost_class, self.mean_service_seconds)

    def has_free_slot(self, now: float) -> bool:
        """Return whether a new request would start immediately."""
        return not self.queued and self.running < self.slots and self.rate_limiter.can_send(now)

    def expected_wait_seconds(self, order: QueueOrder, now: float) -> float:
        """Return the expected seconds until a request starts, given the entries ahead of it."""
        if self.cost_aware:
            costs = [
                self.expected_service_seconds(entry.cost_class)
                for key, _, entry in self.heap
                if key <= order and not entry.removed
            ]
            ahead, slot_wait = len(costs), self.wait_behind(len(costs), sum(costs), now)
        else:
            ahead = sum(1 for key, _, entry in self.heap if key <= order and not entry.removed)
            starts_before = max(0, ahead - (self.slots - self.running) + 1)
            slot_wait = starts_before * self.mean_service_seconds / self.slots
        return max(slot_wait, self.rate_limiter.wait_seconds(ahead, now))

    def wait_behind(self, requests: int, seconds: float, now: float) -> float:
        """Return the expected wait for a slot behind a number of queued requests that cost some seconds.

        A slot becomes free when the first of the running requests ends, and then with each request ahead.
        """
        starts_before = requests - (self.slots - self.running) + 1
        if starts_before <= 0:
            return 0.0
        running = self.work.running_seconds(now) / self.running if self.running else 0.0
        return (running + seconds) * starts_before / (requests + 1) / self.slots

    def saturated(self, now: float) -> bool:
        """Return whether the target is overloaded, so that a late request would delay ones still on time."""
        if now - self.idle_at <= OVERLOAD_SATURATION_SECONDS:
            return False
        return any(not entry.removed and not self.misses_goal(entry, now) for _, _, entry in self.heap)

    def is_servable(self, entry: QueueEntry, now: float) -> bool:
        """Return whether a request is expected to meet its deadline, and in an overload also its goal."""
        entry.preferred = self.cost_aware and self.floor.is_starved(entry.cost_class, now)
        start = now + self.expected_wait_seconds(entry.order, now)
        too_late = self.misses_deadline(entry, start) or (
            not entry.ignores_goal and self.misses_goal(entry, start) and self.saturated(now)
        )
        if too_late:
            self.floor.record(entry.cost_class, False, now)
        return not too_late

    def misses_deadline(self, entry: QueueEntry, start: float) -> bool:
        """Return whether a request that starts at a time is expected to miss its deadline."""
        service = self.expected_service_seconds(entry.cost_class) * DEADLINE_SERVICE_SHARE
        return start + service > entry.deadline

    def retry_after(self, entry: QueueEntry, now: float) -> float:
        """Return the seconds after which a refused request could be expected to start immediately."""
        wait = self.expected_wait_seconds((not entry.nested, entry.priority, True, 0, float("inf")), now)
        return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, wait))

    def push(self, entry: QueueEntry, now: float) -> None:
        """Add a request to the queue."""
        if not self.queued and self.running < self.slots:
            self.idle_at = now
        heapq.heappush(self.heap, (entry.order, next(self.counter), entry))
        self.queued += 1
        self.queued_classes[entry.cost_class] = self.queued_classes.get(entry.cost_class, 0) + 1

    def remove(self, entry: QueueEntry) -> None:
        """Remove a request from the queue, for example because its caller has disconnected."""
        if entry.removed:
            return
        entry.removed = True
        self.queued -= 1
        count = self.queued_classes.pop(entry.cost_class) - 1
        if count:
            self.queued_classes[entry.cost_class] = count

    def pop(self, now: float) -> QueueEntry | None:
        """Remove the first request if the target has a free slot, and count it as running."""
        while self.heap:
            entry = self.heap[0][2]
            if entry.removed:
                heapq.heappop(self.heap)
                continue
            if self.running >= self.slots or not self.rate_limiter.can_send(now):
                return None
            short = self.urgent_short_entry(entry, now) if self.cost_aware else None
            if short is not None:
                # Its place in the heap is dropped later, like that of any removed entry.
                return self.begin(short, now)
            heapq.heappop(self.heap)
            if not entry.late and not entry.ignores_goal and self.misses_goal(entry, now):
                entry.late = True
                heapq.heappush(self.heap, (entry.order, next(self.counter), entry))
                continue
            return self.begin(entry, now)
        if self.running < self.slots:
            self.idle_at = now
        return None

    def begin(self, entry: QueueEntry, now: float) -> QueueEntry:
        """Take a request from the queue, count it as running, and return it."""
        self.remove(entry)
        self.running += 1
        self.work.start(entry, entry.cost_class, now)
        self.floor.record(entry.cost_class, True, now)
        self.rate_limiter.record(now)
        return entry

    def urgent_short_entry(self, first: QueueEntry, now: float) -> QueueEntry | None:
        """Return a short request to which the first one yields, since it would else miss its goal."""
        if first.nested or first.ignores_goal:
            return None
        cost = self.expected_service_seconds(first.cost_class)
        short_classes = {
            name
            for name in self.queued_classes
            if self.expected_service_seconds(name) <= SHORT_COST_SHARE * cost
        }
        if not short_classes:
            return None
        # If the first one starts now, another slot becomes free after this time.
        next_start = now + (self.work.running_seconds(now) + cost) / (self.running + 1) / self.slots
        urgent = [
            entry
            for _, _, entry in self.heap
            if entry.cost_class in short_classes
            and entry.priority == first.priority
            and not (entry.removed or entry.nested or entry.late or entry.ignores_goal)
            and self.misses_goal(entry, next_start)
            and not self.misses_goal(entry, now)
        ]
        return min(urgent, key=lambda entry: entry.goal_at, default=None)

    def misses_goal(self, entry: QueueEntry, now: float) -> bool:
        """Return whether a request is expected to miss its goal even if it starts now."""
        return now + self.expected_service_seconds(entry.cost_class) * GOAL_SERVICE_FACTOR > entry.goal_at

    def remove_unservable(self, now: float) -> list[QueueEntry]:
        """Remove and return the requests that cannot meet their deadline, or in an overload their goal."""
        saturated = self.saturated(now)
        entries = []
        requests, seconds = 0, 0.0
        queued = sorted(self.heap, key=lambda item: item[:2]) if self.cost_aware else self.heap
        for _, _, entry in queued:
            if entry.removed:
                continue
            start = now
            if self.cost_aware:
                start += DISPLACED_WAIT_SHARE * self.wait_behind(requests, seconds, now)
            late = saturated and not entry.ignores_goal and self.misses_goal(entry, start)
            if late or self.misses_deadline(entry, start):
                entries.append(entry)
            else:
                requests += 1
                seconds += self.expected_service_seconds(entry.cost_class)
        for entry in entries:
            self.remove(entry)
            self.floor.record(entry.cost_class, False, now)
        return entries

    def remove_all(self) -> list[QueueEntry]:
        """Remove and return all queued requests in their order."""
        entries = [entry for _, _, entry in sorted(self.heap, key=lambda item: item[:2]) if not entry.removed]
        for entry in entries:
            self.remove(entry)
        self.heap.clear()
        return entries

    def finish(
        self, cost_class: str, seconds: float | None, entry: QueueEntry | None = None, now: float = 0.0
    ) -> None:
        """Count a request as ended, and update the mean service times.

        Parameters
        ----------
        seconds : float or None
            Service time; None if the outcome does not reflect it.
        entry : QueueEntry or None
            Entry with which the request was taken from the queue.
        now : float
            Monotonic time in seconds; required with ``entry``.
        """
        self.running = max(0, self.running - 1)
        if entry is not None:
            self.work.end(entry, now, learn=seconds is not None)
        if seconds is None:
            return
        self.mean_service_seconds += (seconds - self.mean_service_seconds) * SERVICE_TIME_SMOOTHING
        previous = self.class_service_seconds.get(cost_class, seconds)
        self.class_service_seconds[cost_class] = previous + (seconds - previous) * SERVICE_TIME_SMOOTHING
