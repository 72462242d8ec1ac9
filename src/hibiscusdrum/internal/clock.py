"""Clocks. Decisions take a clock as an argument so that tests control time."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic and wall time, both in seconds."""

    def monotonic(self) -> float:
        """Return seconds that never go backwards; comparable only on one VM."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock:
    """Clock of the operating system."""

    __slots__ = ()

    def monotonic(self) -> float:
        """Return the system's monotonic clock."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the system's wall clock."""
        return time.time()


class BootClock(SystemClock):
    """Clock of the operating system that also counts the time in which the VM was suspended.

    A lease that was counted on a clock that stands still meanwhile would outlast its term.
    """

    __slots__ = ()

    def monotonic(self) -> float:
        """Return seconds since the VM was started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """Clock that moves only when told to, optionally at a rate that differs from true time.

    Parameters
    ----------
    now : float
        Start of the monotonic clock in seconds.
    rate : float
        Seconds this clock advances for each true second.
    """

    __slots__ = ("now", "rate", "wall_offset")

    def __init__(self, now: float = 1000.0, rate: float = 1.0) -> None:
        self.now = now
        self.rate = rate
        self.wall_offset = 1_800_000_000.0

    def monotonic(self) -> float:
        """Return the time set by ``advance``."""
        return self.now

    def wall(self) -> float:
        """Return the wall time that belongs to the monotonic time."""
        return self.now + self.wall_offset

    def advance(self, seconds: float) -> None:
        """Let ``seconds`` of true time pass."""
        self.now += seconds * self.rate
