"""Order and pacing of what a node sends over the link of its VM.

It handles a link that large answers keep busy most of the time, while small answers with short time limits
use it too. Handed to the network at once, the large answers would delay everything behind them by their whole
length. They are therefore sent in parts, each of them when the previous bytes have left the link.
"""

from __future__ import annotations

import enum
import heapq
import itertools
from typing import Any

# Share of the stated rate that is used. Headers of TCP and IP take 3 to 5% of a link.
USABLE_SHARE = 0.95
# A part takes this long on the link. A small answer waits for the part that is being sent.
PART_SECONDS = 0.01
MIN_PART_BYTES = 4_096
# Small answers are handed over while what has not left the link takes at most this long: the part that is
# being sent and a few small answers. Beyond that they wait in their order, and can still be cancelled.
SMALL_LEAD_SECONDS = 0.02


class Lane(enum.IntEnum):
    """Classes of what is sent, first ones first."""

    SMALL = 0
    NESTED = 1
    BULK = 2


class Precedence(enum.IntEnum):
    """Order on a link that cannot carry all before the process ends, first ones first."""

    # The end of the process closes the caller's connection.
    RESPONSE = 0
    # Its outcome would stay unknown, or its caller would have to send its body again.
    UNREPEATABLE = 1
    # Another node can provide it too.
    REPEATABLE = 2


class Outgoing:
    """An answer or a body that waits for the link, or of which parts have been sent.

    Parameters
    ----------
    key : bytes
        Id of the request.
    size : int
        Bytes to send.
    deadline : float
        Monotonic time in seconds from which it is useless.
    whole : bool
        Whether it must be sent in one part.
    expires : bool
        Whether it is dropped at its deadline.
    precedence : Precedence
        Place before other large ones once the process is about to end.

    Attributes
    ----------
    sent : int
        Bytes sent so far.
    """

    __slots__ = ("deadline", "expires", "item", "key", "lane", "precedence", "sent", "size", "whole")

    def __init__(
        self,
        key: bytes,
        lane: Lane,
        size: int,
        deadline: float,
        item: Any,
        whole: bool = False,
        expires: bool = True,
        precedence: Precedence = Precedence.UNREPEATABLE,
    ) -> None:
        self.key = key
        self.lane = lane
        self.size = size
        self.deadline = deadline
        self.item = item
        self.whole = whole or lane is Lane.SMALL
        self.expires = expires
        self.precedence = precedence
        self.sent = 0

    @property
    def left(self) -> int:
        """Bytes that have not been sent."""
        return self.size - self.sent


class EgressQueue:
    """Decides what is sent next over a link, and when.

    Whoever sends a message, in whatever way, reports its size with ``charge``.

    Parameters
    ----------
    bytes_per_second : float
        Rate of the link; 0 if unknown, in which case everything is sent at once.

    Attributes
    ----------
    entries : dict of bytes to Outgoing
        What waits for the link, by the id of its request.
    free_at : float
        Monotonic time in seconds at which the bytes that were handed over have left the link.
    lane_bytes : list of int
        Bytes that wait for the link, by lane.
    busy_since : float
        Monotonic time in seconds since which something has waited without interruption, if anything waits.
    ending : bool
        Whether large entries are ordered by precedence, because the process ends before all are sent.
    """

    __slots__ = (
        "busy_since",
        "ending",
        "entries",
        "free_at",
        "heap",
        "lane_bytes",
        "part_bytes",
        "rate",
        "sequence",
        "small_count",
    )

    def __init__(self, bytes_per_second: float) -> None:
        self.rate = bytes_per_second * USABLE_SHARE
        self.part_bytes = max(MIN_PART_BYTES, int(self.rate * PART_SECONDS))
        self.entries: dict[bytes, Outgoing] = {}
        self.heap: list[tuple[tuple[Precedence, Lane, float], int, Outgoing]] = []
        self.ending = False
        self.sequence = itertools.count()
        self.lane_bytes = [0] * len(Lane)
        self.busy_since = 0.0
        self.small_count = 0
        self.free_at = 0.0

    @property
    def queued_bytes(self) -> int:
        """Bytes that wait for the link."""
        return sum(self.lane_bytes)

    def busy_seconds(self, now: float) -> float:
        """Return for how many seconds something has waited for the link without interruption."""
        return now - self.busy_since if self.entries else 0.0

    def charge(self, size: int, now: float) -> None:
        """Count bytes that were handed over to the link."""
        if not self.rate:
            return
        if not self.entries and self.free_at + PART_SECONDS < now:
            # A period in which the link is busy begins with bytes that were sent without waiting.
            self.busy_since = now
        # While something waits, the link was kept idle only by a late timer; one part is made up for.
        credit = PART_SECONDS if self.entries else 0.0
        self.free_at = max(self.free_at, now - credit) + size / self.rate

    def backlog_seconds(self, now: float) -> float:
        """Return the seconds until the bytes that were handed over have left the link."""
        return max(0.0, self.free_at - now)

    def passes(self, lane: Lane, size: int, now: float) -> bool:
        """Return whether a message may be sent whole and at once, without being queued."""
        if not self.rate:
            return True
        if not self.entries and self.free_at <= now and size <= self.part_bytes:
            return True
        return lane is Lane.SMALL and not self.small_count and self.backlog_seconds(now) <= SMALL_LEAD_SECONDS

    def push(self, entry: Outgoing, now: float) -> None:
        """Queue an answer or a body."""
        if not self.entries and self.free_at <= now:
            self.free_at = self.busy_since = now
        self.remove(entry.key)
        self.entries[entry.key] = entry
        self.lane_bytes[entry.lane] += entry.left
        self.small_count += entry.lane is Lane.SMALL
        heapq.heappush(self.heap, (self.order(entry), next(self.sequence), entry))

    def order(self, entry: Outgoing) -> tuple[Precedence, Lane, float]:
        """Return the key by which the entries are sorted."""
        ranked = self.ending and entry.lane is not Lane.SMALL
        return entry.precedence if ranked else Precedence.RESPONSE, entry.lane, entry.deadline

    def order_by_precedence(self) -> None:
        """Order large entries by precedence from now on."""
        if not self.ending:
            self.ending = True
            self.heap = [(self.order(entry), next(self.sequence), entry) for entry in self.entries.values()]
            heapq.heapify(self.heap)

    def seconds_to_send(
        self, now: float, least: Precedence = Precedence.REPEATABLE, further: float = 0.0
    ) -> float:
        """Return the seconds until what is queued has left the link.

        Parameters
        ----------
        least : Precedence
            Entries that come after this one are left out.
        further : float
            Bytes that are to be sent besides.
        """
        if not self.rate:
            return 0.0
        if least is Precedence.REPEATABLE:
            waiting = self.queued_bytes
        else:
            waiting = sum(entry.left for entry in self.entries.values() if entry.precedence <= least)
        return self.backlog_seconds(now) + (waiting + further) / self.rate

    def unsendable(self, now: float, seconds: float) -> list[Outgoing]:
        """Return the entries that will not have left the link after some seconds, in their present order.

        Those that are too long for the rest of the time do not keep shorter ones back.
        """
        used, late = self.backlog_seconds(now), []
        for _, _, entry in sorted(self.heap):
            if self.entries.get(entry.key) is not entry:
                continue
            needed = entry.left / self.rate
            if used + needed > seconds:
                late.append(entry)
            else:
                used += needed
        return late

    def extend(self, entry: Outgoing, count: int) -> None:
        """Add bytes to the end of a queued body."""
        entry.size += count
        self.lane_bytes[entry.lane] += count

    def remove(self, key: bytes) -> Outgoing | None:
        """Remove and return what is queued for a request, without its item; None if nothing is."""
        entry = self.entries.get(key)
        if entry is not None:
            self.detach(entry)
            # The entry stays in the heap until its turn, and must not keep the answer in memory.
            entry.item = None
        return entry

    def detach(self, entry: Outgoing) -> None:
        """Count an entry as queued no longer."""
        del self.entries[entry.key]
        self.lane_bytes[entry.lane] -= entry.left
        self.small_count -= entry.lane is Lane.SMALL

    def next_part(self, now: float, paced: bool = True) -> tuple[Outgoing, int, int] | None:
        """Return an entry with the offset and the length of its part to send now; None if it is not time yet.

        An entry leaves the queue with its last part. Entries whose deadline has passed are dropped.

        Parameters
        ----------
        paced : bool
            False to return all that is queued regardless of the link, because the process is about to end.
        """
        while self.heap:
            entry = self.heap[0][-1]
            if self.entries.get(entry.key) is not entry:
                heapq.heappop(self.heap)
                continue
            if entry.expires and entry.deadline <= now:
                self.remove(entry.key)
                continue
            if paced and self.seconds_until_due(entry, now) > 0.0:
                return None
            first = entry.sent
            count = entry.left if entry.whole else min(entry.left, self.part_bytes)
            if first + count == entry.size:
                self.detach(entry)
            else:
                self.lane_bytes[entry.lane] -= count
            entry.sent += count
            return entry, first, count
        return None

    def seconds_until_due(self, entry: Outgoing, now: float) -> float:
        """Return the seconds until a part of an entry may be sent if it is the first one."""
        lead = SMALL_LEAD_SECONDS if entry.lane is Lane.SMALL else 0.0
        return max(0.0, self.free_at - lead - now)

    def next_due_seconds(self, now: float) -> float | None:
        """Return the seconds until the next part may be sent; None if nothing is queued."""
        while self.heap and self.entries.get(self.heap[0][-1].key) is not self.heap[0][-1]:
            heapq.heappop(self.heap)
        return self.seconds_until_due(self.heap[0][-1], now) if self.heap else None
