"""Time in transit between two nodes, measured on the clock of the store that both of them have asked.

The monotonic clocks of two VMs differ by any constant. Each answer of the store has a stamp that was made
between the sending of the request and the arrival of the answer, which bounds the offset of the local clock
to the store's from both sides. The sender of a message states the latest time at which it may have been
sent, and the receiver compares that to the earliest time that it may be now. The difference is a lower bound
of the time in transit. It is short of the true time by at most the shortest exchange of each node with the
store, and by the drift of the clocks since then, so a message that is in time never counts as late.

A process that has just started may get no answer of the store while the links are full. Requests and pings
therefore also state the earliest time at which they may have been sent: when one arrives, it is not earlier.
Messages from the same region tell a receiver the time within milliseconds.
"""

from __future__ import annotations

import math

from hibiscusdrum.internal.kernel import Service

# Seconds per second by which the rates of the store's clock and of a VM's may differ. Clocks of VMs drift by
# less than a fifth of this. A wrong value costs requests, but does not endanger leases: see ``range_lease``.
MAX_DRIFT = 0.001


class ClockBounds:
    """Bounds of the store's time, from the stamps of its answers; times are seconds.

    Attributes
    ----------
    least_offset, most_offset : float
        Bounds of the store's clock minus the local one at ``least_at`` and ``most_at``; infinite if unknown.
    least_at, most_at : float
        Local monotonic times.
    """

    __slots__ = ("least_at", "least_offset", "most_at", "most_offset")

    def __init__(self) -> None:
        self.least_offset, self.most_offset = -math.inf, math.inf
        self.least_at = self.most_at = 0.0

    def observe(self, sent_at: float, received_at: float, store_time: float) -> None:
        """Narrow the bounds by the stamp of an answer.

        Parameters
        ----------
        sent_at, received_at : float
            Local monotonic times between which the stamp was made.
        store_time : float
            The stamp.
        """
        least, most = store_time - received_at, store_time - sent_at
        # A stamp that contradicts the bounds shows that one of the clocks was set.
        known_least = self.earliest(received_at) - received_at
        known_most = self.latest(received_at) - received_at
        contradicts = most < known_least or least > known_most
        if contradicts or least > known_least:
            self.least_offset, self.least_at = least, received_at
        if contradicts or most < known_most:
            self.most_offset, self.most_at = most, received_at

    def observe_earliest(self, now: float, store_time: float) -> None:
        """Raise the lower bound to a time that has passed according to another node."""
        if self.earliest(now) < store_time <= self.latest(now):
            self.least_offset, self.least_at = store_time - now, now

    def earliest(self, now: float) -> float:
        """Return a lower bound of the store's current time."""
        return now + self.least_offset - max(0.0, now - self.least_at) * MAX_DRIFT

    def latest(self, now: float) -> float:
        """Return an upper bound of the store's current time."""
        return now + self.most_offset + max(0.0, now - self.most_at) * MAX_DRIFT


class SharedClock(Service):
    """Stamps messages with the store's time, and tells how long those of other nodes were in transit.

    Attributes
    ----------
    bounds : ClockBounds
        What the answers of the store in its current era tell.
    era : int
        Era of the store to which the bounds belong; the clock of a restored store may differ.
    """

    service_name = "shared_clock"

    def __init__(self) -> None:
        super().__init__()
        self.bounds = ClockBounds()
        self.era = 0

    def on_start(self) -> None:
        """Subscribe to the times in answers of the store."""
        self.table = self.app.find("table")
        self.table.on_store_time.append(self.on_store_time)

    @property
    def now(self) -> float:
        """Monotonic time in seconds."""
        return self.app.clock.monotonic()

    def on_message(self, earliest: float, era: int) -> None:
        """Take the earliest time at which a newly arrived message may have been sent; 0 if unknown."""
        if not earliest:
            return
        if math.isinf(self.bounds.least_offset):
            self.era = era
        if era == self.era:
            self.bounds.observe_earliest(self.now, earliest)

    def on_store_time(self, sent_at: float, store_time: float) -> None:
        """Take the time from an answer that has just arrived."""
        if self.table.era != self.era:
            self.era, self.bounds = self.table.era, ClockBounds()
        self.bounds.observe(sent_at, self.now, store_time)

    def stamp(self) -> tuple[float, int]:
        """Return the latest time that the store's clock may show, and its era; (0, 0) if unknown."""
        if math.isinf(self.bounds.most_offset):
            return 0.0, 0
        return self.bounds.latest(self.now), self.era

    def earliest_stamp(self) -> tuple[float, int]:
        """Return the earliest time that the store's clock may show, and its era; (0, 0) if unknown."""
        if math.isinf(self.bounds.least_offset):
            return 0.0, 0
        return self.bounds.earliest(self.now), self.era

    def seconds_since(self, stamp: float, era: int) -> float | None:
        """Return for how many seconds at least a message was in transit; None if that is not known.

        Parameters
        ----------
        stamp : float
            Stamp of the sender; 0 if it had none.
        era : int
            Era in which the stamp was made.
        """
        if not stamp or era != self.era or math.isinf(self.bounds.least_offset):
            return None
        return max(0.0, self.bounds.earliest(self.now) - stamp)
