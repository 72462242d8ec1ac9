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
SAME_SECONDS = 0.004
# A caller may be early by this share of the time that it was told to wait.
EARLY_SHARE = 0.1
LARGEST_COUNT = 1000


class Refused:
    """A caller who was told to come back.

    Attributes
    ----------
    ends_at : float
        When it gives up.
    begun_at : float
        When its first attempt arrived.
    due : float
        When it may be back at the earliest.
    """

    __slots__ = ("begun_at", "due", "ends_at")

    def __init__(self, ends_at: float, begun_at: float, due: float) -> None:
        self.ends_at = ends_at
        self.begun_at = begun_at
        self.due = due


class Returns:
    """Refused callers of one route; all times are monotonic, in seconds."""

    __slots__ = ("refused",)

    def __init__(self) -> None:
        self.refused: list[Refused] = []

    def note(self, ends_at: float, begun_at: float, now: float, wait: float) -> None:
        """Note a caller who was refused and told to come back after ``wait`` seconds."""
        # Whoever has given up by now is not coming back.
        del self.refused[: bisect_left(self.refused, now, key=end)]
        if len(self.refused) < LARGEST_COUNT:
            insort(self.refused, Refused(ends_at, begun_at, now + wait * (1.0 - EARLY_SHARE)), key=end)

    def first_attempt(self, ends_at: float, now: float) -> float:
        """Return when the first attempt of a caller arrived: now, unless it was refused before."""
        index = bisect_left(self.refused, ends_at - SAME_SECONDS, key=end)
        while index < len(self.refused) and self.refused[index].ends_at <= ends_at + SAME_SECONDS:
            if self.refused[index].due <= now:
                return self.refused.pop(index).begun_at
            index += 1
        return now


def end(caller: Refused) -> float:
    """Return when a caller gives up."""
    return caller.ends_at
