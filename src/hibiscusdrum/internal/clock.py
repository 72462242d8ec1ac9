"""Clocks, which are passed as arguments so that tests can control time."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic and wall time, both in seconds."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes backwards; comparable only within one VM."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock:
    """Clock of the operating system."""

    __slots__ = ()

    def monotonic(self) -> float:
        """Return the time of the system's monotonic clock."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the time of the system's wall clock."""
        return time.time()


class BootClock(SystemClock):
    """Clock of the operating system whose monotonic time includes the time while the VM is suspended.

    On a clock that stops during suspension, a lease would outlast its term.
    """

    __slots__ = ()

    def monotonic(self) -> float:
        """Return the seconds since the VM booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """Clock for tests that advances only on request, optionally at a rate different from true time.

    Parameters
    ----------
    now : float
        Initial monotonic time in seconds.
    rate : float
        Seconds by which this clock advances for each second of true time.
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
        """Return the wall time that corresponds to the monotonic time."""
        return self.now + self.wall_offset

    def advance(self, seconds: float) -> None:
        """Advance the clock by ``seconds`` of true time."""
        self.now += seconds * self.rate
