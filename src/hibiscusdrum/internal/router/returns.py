"""Recognition of callers that retry after a refusal.

During an overload a retried request would otherwise look as urgent as a new one, and take the slot in which
the new one could have met its latency goal, although it misses its own goal anyway.

Callers carry no identity across attempts. But each attempt sends the caller's remaining time, so the absolute
time at which the caller gives up is the same for all of its attempts and identifies it.
"""

from __future__ import annotations

from bisect import bisect_left, insort

# Maximum difference between the give-up times of two attempts of one caller: timeouts are sent in whole
# milliseconds, and the delay on the way to the router varies by a few.
MATCH_TOLERANCE_SECONDS = 0.004
# Share of the Retry-After by which a caller may return early.
EARLY_RETURN_SHARE = 0.1
MAX_REFUSED_CALLERS = 1000
# Share of the served requests of a route that is kept for callers who come back when they were told to. With
# 0.15, as many are served in the model of tests/cost_world.py, but 2 % more miss their goals.
RETURN_SHARE = 0.08
# Requests per second that are assumed to be served at least; a lower rate cannot be told from none.
MIN_SERVED_PER_SECOND = 0.2


class RefusedCaller:
    """A caller that was refused with a Retry-After.

    Attributes
    ----------
    gives_up_at : float
        When the caller stops waiting.
    first_arrived_at : float
        When the first attempt of the caller arrived.
    earliest_return_at : float
        Earliest time at which an attempt can be a retry of this caller.
    """

    __slots__ = ("earliest_return_at", "first_arrived_at", "gives_up_at")

    def __init__(self, gives_up_at: float, first_arrived_at: float, earliest_return_at: float) -> None:
        self.gives_up_at = gives_up_at
        self.first_arrived_at = first_arrived_at
        self.earliest_return_at = earliest_return_at


class ReturningCallers:
    """Recently refused callers of one route, ordered by the time at which they give up; monotonic seconds."""

    __slots__ = ("refused_callers",)

    def __init__(self) -> None:
        self.refused_callers: list[RefusedCaller] = []

    def record(self, gives_up_at: float, first_arrived_at: float, now: float, wait: float) -> None:
        """Record a caller that was refused with a Retry-After of ``wait`` seconds."""
        # Callers that have given up by now will not retry.
        del self.refused_callers[: bisect_left(self.refused_callers, now, key=give_up_time)]
        if len(self.refused_callers) < MAX_REFUSED_CALLERS:
            insort(
                self.refused_callers,
                RefusedCaller(gives_up_at, first_arrived_at, now + wait * (1.0 - EARLY_RETURN_SHARE)),
                key=give_up_time,
            )

    def first_attempt(self, gives_up_at: float, now: float) -> float:
        """Return when the first attempt of a caller arrived; ``now`` if it is not a retry.

        The matching refused caller is removed.
        """
        index = bisect_left(self.refused_callers, gives_up_at - MATCH_TOLERANCE_SECONDS, key=give_up_time)
        while (
            index < len(self.refused_callers)
            and self.refused_callers[index].gives_up_at <= gives_up_at + MATCH_TOLERANCE_SECONDS
        ):
            if self.refused_callers[index].earliest_return_at <= now:
                return self.refused_callers.pop(index).first_arrived_at
            index += 1
        return now


class ReturnSchedule:
    """Times at which refused callers of one route are told to come back, so that there is room for each.

    Attributes
    ----------
    next_at : float
        Monotonic time in seconds from which on nobody was told to come back yet.
    """

    __slots__ = ("next_at",)

    def __init__(self) -> None:
        self.next_at = float("-inf")

    def reserve(self, wait: float, served_per_second: float, give_up: float, now: float) -> float:
        """Return the seconds after which a caller has room, at least ``wait``.

        Parameters
        ----------
        served_per_second : float
            Rate at which requests of the route are served at this node.
        give_up : float
            Seconds for which the caller waits; no room is kept for one that cannot come back before that.
        """
        rate = RETURN_SHARE * max(served_per_second, MIN_SERVED_PER_SECOND)
        return_at = max(now + wait, self.next_at)
        if return_at - now < give_up:
            self.next_at = return_at + 1.0 / rate
        return return_at - now


def give_up_time(caller: RefusedCaller) -> float:
    """Return the sort key of refused callers."""
    return caller.gives_up_at
