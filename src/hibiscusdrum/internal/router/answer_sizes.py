"""Learned sizes of answers, and the time at which a further answer could have left the link of the VM.

It handles requests for large answers that arrive faster than the link can carry the answers. Their target has
free slots, so that only the bytes of what it is running and of what waits tell that a further answer would
come after its deadline.
"""

from __future__ import annotations

import math

from hibiscusdrum.internal.load.egress import EgressQueue, Lane

# A larger body is not sent with the request but offered, and sent when the receiver asks for it: the extra
# round trip takes less time than such a body takes on a slow link. Larger answers are bulk on a link.
MAX_INLINE_BODY_BYTES = 16_384
# Least weight of a new sample: the mean follows a change within about 20 answers.
SIZE_SMOOTHING = 0.05
# A peer may send any cost class; those beyond this number share the estimate over all classes.
MAX_CLASSES = 1_000
# A large answer also crosses the link of its caller's VM on its way to the caller. That rate is not known and
# taken to be the same; the entry node sends nothing before it has the whole answer.
LINK_PASSES = 2.0
# Standard deviations that are added to the expected bytes; of a normal distribution, 98% lie below.
SPREAD_FACTOR = 2.0
# An answer needs this long beyond the link: 30 ms between regions, and some for the nodes at both ends.
PATH_SECONDS = 0.05
# A link that was busy without interruption for this long is overloaded. At 95% utilization by answers that
# take 76 ms, it is busy for 1.5 s on average.
OVERLOAD_BUSY_SECONDS = 3.0


class SizeEstimate:
    """Mean and variance of the sizes of answers.

    Attributes
    ----------
    count : int
        Answers seen.
    """

    __slots__ = ("count", "mean", "variance")

    def __init__(self) -> None:
        self.count = 0
        self.mean = 0.0
        self.variance = 0.0

    def observe(self, size: int) -> None:
        """Take the size of an answer into account."""
        self.count += 1
        weight = max(SIZE_SMOOTHING, 1.0 / self.count)
        difference = size - self.mean
        self.mean += weight * difference
        self.variance = (1.0 - weight) * (self.variance + weight * difference * difference)


class AnswerSizes:
    """Sizes of answers by cost class; classes without answers are estimated by all answers together."""

    __slots__ = ("all_classes", "by_class")

    def __init__(self) -> None:
        self.by_class: dict[str, SizeEstimate] = {}
        self.all_classes = SizeEstimate()

    def observe(self, cost_class: str, size: int) -> None:
        """Take the size of an answer into account."""
        self.all_classes.observe(size)
        estimate = self.by_class.get(cost_class)
        if estimate is None:
            if len(self.by_class) >= MAX_CLASSES:
                return
            estimate = self.by_class[cost_class] = SizeEstimate()
        estimate.observe(size)

    def expect(self, cost_class: str) -> SizeEstimate:
        """Return the estimate for a class."""
        return self.by_class.get(cost_class, self.all_classes)

    def is_bulk(self, cost_class: str) -> bool:
        """Return whether answers of a class are usually large."""
        return self.expect(cost_class).mean > MAX_INLINE_BODY_BYTES


class ExpectedAnswer:
    """The answer to a request that is queued or running."""

    __slots__ = ("lane", "mean", "variance")

    def __init__(self, lane: Lane, mean: float, variance: float) -> None:
        self.lane = lane
        self.mean = mean
        self.variance = variance


class LinkForecast:
    """Expects when the answers to the requests at a target will have left the link of its VM.

    Attributes
    ----------
    sizes : AnswerSizes
        Sizes of this target's answers.
    outstanding : dict of bytes to ExpectedAnswer
        Requests that are queued or running, by their id.
    means, variances : list of float
        Sums of these by lane.
    """

    __slots__ = ("egress", "means", "outstanding", "sizes", "variances")

    def __init__(self, egress: EgressQueue) -> None:
        self.egress = egress
        self.sizes = AnswerSizes()
        self.outstanding: dict[bytes, ExpectedAnswer] = {}
        self.means = [0.0] * len(Lane)
        self.variances = [0.0] * len(Lane)

    def lane(self, cost_class: str, nested: bool) -> Lane:
        """Return the lane that the answer to a request is expected to take."""
        if not self.sizes.is_bulk(cost_class):
            return Lane.SMALL
        return Lane.NESTED if nested else Lane.BULK

    def add(self, request_id: bytes, cost_class: str, nested: bool) -> None:
        """Expect an answer over the link."""
        if not self.egress.rate:
            return
        self.remove(request_id)
        size = self.sizes.expect(cost_class)
        answer = ExpectedAnswer(self.lane(cost_class, nested), size.mean, size.variance)
        self.outstanding[request_id] = answer
        self.means[answer.lane] += answer.mean
        self.variances[answer.lane] += answer.variance

    def remove(self, request_id: bytes) -> None:
        """Expect an answer no longer, because it is queued or will not come."""
        answer = self.outstanding.pop(request_id, None)
        if answer is None:
            return
        self.means[answer.lane] -= answer.mean
        self.variances[answer.lane] -= answer.variance
        if not self.outstanding:
            # Ends what rounding has left.
            self.means, self.variances = [0.0] * len(Lane), [0.0] * len(Lane)

    def wait_seconds(self, now: float, lane: Lane = Lane.BULK) -> float:
        """Return the expected seconds until all that precedes a further answer would have left the link."""
        egress = self.egress
        if not egress.rate:
            return 0.0
        ahead = sum(egress.lane_bytes[: lane + 1]) + sum(self.means[: lane + 1])
        return egress.backlog_seconds(now) + max(0.0, ahead) / egress.rate

    def arrival(self, cost_class: str, lane: Lane, ready_at: float, now: float, queued: bool = True) -> float:
        """Return the time at which a further answer, ready at a given time, will most likely have arrived.

        Parameters
        ----------
        queued : bool
            Whether it waits for what precedes it on the link.
        """
        rate, size = self.egress.rate, self.sizes.expect(cost_class)
        start, variance = ready_at, size.variance
        if queued:
            start = max(ready_at, now + self.wait_seconds(now, lane))
            variance += sum(self.variances[: lane + 1])
        passes = LINK_PASSES if self.sizes.is_bulk(cost_class) else 1
        seconds = (passes * size.mean + SPREAD_FACTOR * math.sqrt(max(0.0, variance))) / rate
        return start + seconds + PATH_SECONDS

    def late_seconds(
        self, cost_class: str, nested: bool, ready_at: float, goal_at: float, deadline: float, now: float
    ) -> float:
        """Return the seconds after which an answer that the link would make late could be in time.

        It is 0 if the answer will be in time. An answer is late after its deadline, and after its goal if the
        link is overloaded, since it would make others miss theirs. One that cannot reach its goal at all then
        counts as late unless it hardly has to wait. The returned time suffices for the goal,
        because the link may be overloaded by then.

        Parameters
        ----------
        ready_at : float
            Time at which the target is expected to have answered. If it is late by itself, the link is not
            the cause.
        """
        lane = self.lane(cost_class, nested)
        if not self.egress.rate or ready_at > deadline or self.wait_seconds(now, lane) <= 0.0:
            return 0.0
        arrival = self.arrival(cost_class, lane, ready_at, now)
        reaches_goal = not nested and self.arrival(cost_class, lane, ready_at, now, queued=False) <= goal_at
        overloaded = self.egress.busy_seconds(now) > OVERLOAD_BUSY_SECONDS
        if overloaded and not nested and not reaches_goal:
            # Callers who were refused before come back with little time: if their answers filled the link,
            # those of all others would miss their goals too.
            wait = self.wait_seconds(now, lane)
            return wait if wait > self.sizes.expect(cost_class).mean / self.egress.rate else 0.0
        if arrival <= (goal_at if overloaded and reaches_goal else deadline):
            return 0.0
        return arrival - (goal_at if reaches_goal else deadline)
