"""Callers who come back after a refusal, recognized by the time at which they give up.

The load that this answers is an overload in which refused callers come back: without it a returning request
looks as urgent as a new one, takes the slot in which that one could have been answered on time, and is late
all the same.

A caller sends how long it still waits, so the time at which it gives up is the same in each of its attempts.
"""

from __future__ import annotations

from bisect import bisect_left, insort

# Two attempts of a caller agree within this, in seconds: limits are whole milliseconds, and the way to the
# router varies by a few.
MATCH_TOLERANCE_SECONDS = 0.004
# A caller may be early by this share of the time that it was told to wait.
EARLY_RETURN_SHARE = 0.1
MAX_REFUSED_CALLERS = 1000


class RefusedCaller:
    """A caller who was told to come back.

    Attributes
    ----------
    gives_up_at : float
        When it gives up.
    first_arrived_at : float
        When its first attempt arrived.
    earliest_return_at : float
        When it may be back at the earliest.
    """

    __slots__ = ("earliest_return_at", "first_arrived_at", "gives_up_at")

    def __init__(self, gives_up_at: float, first_arrived_at: float, earliest_return_at: float) -> None:
        self.gives_up_at = gives_up_at
        self.first_arrived_at = first_arrived_at
        self.earliest_return_at = earliest_return_at


class ReturningCallers:
    """Refused callers of one route; all times are monotonic, in seconds."""

    __slots__ = ("refused_callers",)

    def __init__(self) -> None:
        self.refused_callers: list[RefusedCaller] = []

    def record(self, gives_up_at: float, first_arrived_at: float, now: float, wait: float) -> None:
        """Note a caller who was refused and told to come back after ``wait`` seconds."""
        # Whoever has given up by now is not coming back.
        del self.refused_callers[: bisect_left(self.refused_callers, now, key=give_up_time)]
        if len(self.refused_callers) < MAX_REFUSED_CALLERS:
            insort(
                self.refused_callers,
                RefusedCaller(gives_up_at, first_arrived_at, now + wait * (1.0 - EARLY_RETURN_SHARE)),
                key=give_up_time,
            )

    def first_attempt(self, gives_up_at: float, now: float) -> float:
        """Return when the first attempt of a caller arrived: now, unless it was refused before."""
        index = bisect_left(self.refused_callers, gives_up_at - MATCH_TOLERANCE_SECONDS, key=give_up_time)
        while (
            index < len(self.refused_callers)
            and self.refused_callers[index].gives_up_at <= gives_up_at + MATCH_TOLERANCE_SECONDS
        ):
            if self.refused_callers[index].earliest_return_at <= now:
                return self.refused_callers.pop(index).first_arrived_at
            index += 1
        return now


def give_up_time(caller: RefusedCaller) -> float:
    """Return when a caller gives up."""
    return caller.gives_up_at
