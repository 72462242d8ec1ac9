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
        "priority",
        "removed",
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
        self.removed = False

    @property
    def order(self) -> QueueOrder:
        """Sort key: nested requests, priority, those that can still meet their goal, and short goals first.

        If only the remaining time counted, requests that have waited for most of a long goal would precede
        calls with a short one, and the requests that made those calls would fail.
        """
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
    """

    __slots__ = (
        "class_service_seconds",
        "cost_aware",
        "counter",
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
        self.queued_classes: dict[str, int] = {}

    def outstanding_seconds(self, now: float) -> float:
        """Return the expected work of what is running or queued, in seconds of one slot at usual speed."""
        expected = self.work.costs.expected
        queued = sum(count * expected(cost_class) for cost_class, count in self.queued_classes.items())
        return self.work.running_seconds(now) + queued

    def expected_service_seconds(self, cost_class: str) -> float:
        """Return the expected service time of requests of a class."""
        return self.class_service_seconds.get(cost_class, self.mean_service_seconds)

    def has_free_slot(self, now: float) -> bool:
        """Return whether a new request would start immediately."""
        return not self.queued and self.running < self.slots and self.rate_limiter.can_send(now)

    def expected_wait_seconds(self, order: QueueOrder, now: float) -> float:
        """Return the expected seconds until a request starts, given the entries ahead of it."""
        ahead = sum(1 for key, _, entry in self.heap if key <= order and not entry.removed)
        starts_before = max(0, ahead - (self.slots - self.running) + 1)
        slot_wait = starts_before * self.mean_service_seconds / self.slots
        return max(slot_wait, self.rate_limiter.wait_seconds(ahead, now))

    def saturated(self, now: float) -> bool:
        """Return whether the target is overloaded, so that a late request would delay ones still on time."""
        if now - self.idle_at <= OVERLOAD_SATURATION_SECONDS:
            return False
        return any(not entry.removed and not self.misses_goal(entry, now) for _, _, entry in self.heap)

    def is_servable(self, entry: QueueEntry, now: float) -> bool:
        """Return whether a request is expected to meet its deadline, and in an overload also its goal."""
        start = now + self.expected_wait_seconds(entry.order, now)
        if self.misses_goal(entry, start) and self.saturated(now):
            return False
        return (
            start + self.expected_service_seconds(entry.cost_class) * DEADLINE_SERVICE_SHARE <= entry.deadline
        )

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
            heapq.heappop(self.heap)
            if not entry.late and self.misses_goal(entry, now):
                entry.late = True
                heapq.heappush(self.heap, (entry.order, next(self.counter), entry))
                continue
            self.remove(entry)
            self.running += 1
            self.work.start(entry, entry.cost_class, now)
            self.rate_limiter.record(now)
            return entry
        if self.running < self.slots:
            self.idle_at = now
        return None

    def misses_goal(self, entry: QueueEntry, now: float) -> bool:
        """Return whether a request is expected to miss its goal even if it starts now."""
        return now + self.expected_service_seconds(entry.cost_class) * GOAL_SERVICE_FACTOR > entry.goal_at

    def remove_unservable(self, now: float) -> list[QueueEntry]:
        """Remove and return the requests that cannot meet their deadline, or in an overload their goal."""
        saturated = self.saturated(now)
        entries = [
            entry
            for _, _, entry in self.heap
            if not entry.removed
            and (
                now + self.expected_service_seconds(entry.cost_class) * DEADLINE_SERVICE_SHARE
                > entry.deadline
                or (saturated and self.misses_goal(entry, now))
            )
        ]
        for entry in entries:
            self.remove(entry)
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
