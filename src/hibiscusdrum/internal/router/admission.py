"""Admission to one target: a queue by urgency, refusals of what cannot be served in time, and cold limits.

The load that these decisions answer is an overload of one target: more requests than slots, of several
priorities, some with deadlines that the queue can no longer meet. What cannot be served is refused at once,
with the time after which there is room again.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections import deque
from typing import Any

# Weight of the newest sample in the averages of service times.
SERVICE_TIME_SMOOTHING = 0.1
# Service time assumed before the first answer, in seconds.
INITIAL_SERVICE_SECONDS = 0.15
# Part of the expected service time that must fit between the expected start and the deadline. Requests vary
# in length, so a full mean would refuse many that would have fitted.
DEADLINE_SERVICE_SHARE = 0.8
# A target that was busy without a break for this long is overloaded: a burst has passed by then.
SATURATED_SECONDS = 0.6
# The same for the latency goal. One start in two would be late with the mean alone.
GOAL_SERVICE_SHARE = 1.3
MIN_GOAL_SECONDS = 0.001
MIN_RETRY_AFTER_SECONDS = 0.05
MAX_RETRY_AFTER_SECONDS = 2.0
# Requests of a cold target are counted over this time, in seconds.
COLD_WINDOW_SECONDS = 1.0
# Share of what a cold target tolerates beyond its rate that is used; the rest covers requests under way.
COLD_TOLERANCE_SHARE = 0.5


QueueOrder = tuple[int, bool, int, float]


class QueueEntry:
    """A queued request.

    Attributes
    ----------
    priority : int
        0 is the most urgent.
    goal_at, deadline : float
        Monotonic times in seconds from which an answer counts as late, and is worth nothing.
    cost_class : str
        Requests of one class take about the same time.
    goal_bucket : int
        Logarithm of the time from arrival to the goal: goals of about the same length share a bucket.
    """

    __slots__ = ("cost_class", "deadline", "goal_at", "goal_bucket", "item", "late", "priority", "removed")

    def __init__(
        self, item: Any, priority: int, goal_at: float, deadline: float, cost_class: str, now: float
    ) -> None:
        self.goal_bucket = math.frexp(max(goal_at - now, MIN_GOAL_SECONDS))[1]
        self.item = item
        self.priority = priority
        self.goal_at = goal_at
        self.deadline = deadline
        self.cost_class = cost_class
        self.late = False
        self.removed = False

    @property
    def order(self) -> QueueOrder:
        """Priority first; then those that can still be on time, short goals before long ones.

        By the remaining time alone, requests that have waited for most of a long goal would go before calls
        with a short one, and the requests that made those calls would fail.
        """
        if self.late:
            return (self.priority, True, 0, self.deadline)
        return (self.priority, False, self.goal_bucket, self.goal_at)


class ColdStartLimiter:
    """Limits the requests a second to a target that has just started.

    Attributes
    ----------
    rate : float
        Requests a second that the cold target bears; 0 when not limited.
    factor, slack : float
        In one second it tolerates up to ``rate * factor + slack`` requests.
    warm_at : float
        Monotonic time in seconds at which it is warm.
    """

    __slots__ = ("factor", "rate", "sent_times", "slack", "warm_at")

    def __init__(self, factor: float = 1.0, slack: float = 0.0) -> None:
        self.rate = 0.0
        self.factor = factor
        self.slack = slack
        self.warm_at = 0.0
        self.sent_times: deque[float] = deque()

    def has_room(self, now: float) -> bool:
        """Return whether one more request may be sent."""
        if now >= self.warm_at or self.rate <= 0.0:
            return True
        while self.sent_times and self.sent_times[0] <= now - COLD_WINDOW_SECONDS:
            self.sent_times.popleft()
        return len(self.sent_times) + 1 <= max(1.0, self.max_requests_per_second)

    @property
    def max_requests_per_second(self) -> float:
        """Requests that are sent in one second."""
        return self.rate + COLD_TOLERANCE_SHARE * (self.rate * (self.factor - 1.0) + self.slack)

    def record(self, now: float) -> None:
        """Count a request; the last second counts also when the target turns cold now."""
        self.sent_times.append(now)
        while self.sent_times[0] <= now - COLD_WINDOW_SECONDS:
            self.sent_times.popleft()


class AdmissionQueue:
    """Queue in front of one target.

    Requests that can still be on time go before those that cannot. While the target has been busy without a
    break, the latter are refused: each of them would make one more request late.

    Parameters
    ----------
    slots : int
        Requests that the target runs at once.
    cold_limiter : ColdStartLimiter, optional
        Limit while the target is cold; none when not given.

    Attributes
    ----------
    running : int
        Requests at the target.
    idle_at : float
        Monotonic time in seconds at which the target last had room and nothing was queued.
    """

    __slots__ = (
        "class_service_seconds",
        "cold_limiter",
        "counter",
        "heap",
        "idle_at",
        "mean_service_seconds",
        "queued",
        "running",
        "slots",
    )

    def __init__(self, slots: int, cold_limiter: ColdStartLimiter | None = None) -> None:
        self.slots = slots
        self.running = 0
        self.queued = 0
        self.heap: list[tuple[QueueOrder, int, QueueEntry]] = []
        self.counter = itertools.count()
        self.mean_service_seconds = INITIAL_SERVICE_SECONDS
        self.class_service_seconds: dict[str, float] = {}
        self.cold_limiter = cold_limiter or ColdStartLimiter()
        self.idle_at = float("-inf")

    # Estimates

    def expected_service_seconds(self, cost_class: str) -> float:
        """Return the mean seconds that requests of a class take at the target."""
        return self.class_service_seconds.get(cost_class, self.mean_service_seconds)

    def has_free_slot(self, now: float) -> bool:
        """Return whether a request would start at once."""
        return not self.queued and self.running < self.slots and self.cold_limiter.has_room(now)

    def expected_wait_seconds(self, order: QueueOrder, now: float) -> float:
        """Return the seconds until a request would start, by what is ahead of it."""
        ahead = sum(1 for key, _, entry in self.heap if key <= order and not entry.removed)
        wait = 0.0
        if now < self.cold_limiter.warm_at and self.cold_limiter.rate > 0.0:
            wait = (
                0.0 if self.cold_limiter.has_room(now) else COLD_WINDOW_SECONDS / 2
            ) + ahead / self.cold_limiter.max_requests_per_second
        starts_before = ahead - (self.slots - self.running) + 1
        return max(wait, starts_before * self.mean_service_seconds / self.slots if starts_before > 0 else 0.0)

    def saturated(self, now: float) -> bool:
        """Return whether a late request would delay others: an overload, not the rest of a burst."""
        if now - self.idle_at <= SATURATED_SECONDS:
            return False
        return any(not entry.removed and not self.misses_goal(entry, now) for _, _, entry in self.heap)

    def is_servable(self, entry: QueueEntry, now: float) -> bool:
        """Return whether a request should be queued: it can be answered, and on time in an overload."""
        start = now + self.expected_wait_seconds(entry.order, now)
        if self.misses_goal(entry, start) and self.saturated(now):
            return False
        return (
            start + self.expected_service_seconds(entry.cost_class) * DEADLINE_SERVICE_SHARE <= entry.deadline
        )

    def retry_after(self, entry: QueueEntry, now: float) -> float:
        """Return the seconds after which a refused request would start at once."""
        wait = self.expected_wait_seconds((entry.priority, True, 0, float("inf")), now)
        return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, wait))

    # Queue

    def push(self, entry: QueueEntry, now: float) -> None:
        """Queue a request."""
        if not self.queued and self.running < self.slots:
            self.idle_at = now
        heapq.heappush(self.heap, (entry.order, next(self.counter), entry))
        self.queued += 1

    def remove(self, entry: QueueEntry) -> None:
        """Take a request out of the queue, for example when its caller has left."""
        if not entry.removed:
            entry.removed = True
            self.queued -= 1

    def pop(self, now: float) -> QueueEntry | None:
        """Return the most urgent request if the target has room, and count it as running."""
        while self.heap:
            entry = self.heap[0][2]
            if entry.removed:
                heapq.heappop(self.heap)
                continue
            if self.running >= self.slots or not self.cold_limiter.has_room(now):
                return None
            heapq.heappop(self.heap)
            if not entry.late and self.misses_goal(entry, now):
                entry.late = True
                heapq.heappush(self.heap, (entry.order, next(self.counter), entry))
                continue
            entry.removed = True
            self.queued -= 1
            self.running += 1
            self.cold_limiter.record(now)
            return entry
        if self.running < self.slots:
            self.idle_at = now
        return None

    def misses_goal(self, entry: QueueEntry, now: float) -> bool:
        """Return whether a request would probably be late even if it started now."""
        return now + self.expected_service_seconds(entry.cost_class) * GOAL_SERVICE_SHARE > entry.goal_at

    def remove_unservable(self, now: float) -> list[QueueEntry]:
        """Remove and return what is not worth waiting for: past its deadline, or late in an overload."""
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
        """Remove and return everything that is queued."""
        entries = [entry for _, _, entry in sorted(self.heap, key=lambda item: item[:2]) if not entry.removed]
        for entry in entries:
            self.remove(entry)
        self.heap.clear()
        return entries

    def finish(self, cost_class: str, seconds: float | None) -> None:
        """Count a request as ended; ``seconds`` is its service time, or None when it says nothing of it."""
        self.running = max(0, self.running - 1)
        if seconds is None:
            return
        self.mean_service_seconds += (seconds - self.mean_service_seconds) * SERVICE_TIME_SMOOTHING
        previous = self.class_service_seconds.get(cost_class, seconds)
        self.class_service_seconds[cost_class] = previous + (seconds - previous) * SERVICE_TIME_SMOOTHING
