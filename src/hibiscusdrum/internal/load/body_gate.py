"""Large bodies on their way to one VM: in parts, the most urgent first.

The load that these decisions answer is a narrow link on which many nodes would send large bodies at the same
time. Everything else for the VM, such as small requests, answers and pings, would wait behind them. So parts
are asked for one after the other, and few are on their way at any time.
"""

from __future__ import annotations

import heapq
import itertools

# Bytes asked for at once take the link for this long, in seconds: small messages wait at most that, and the
# link is busy without a break while a round trip within the region is shorter.
LOCAL_WINDOW_SECONDS = 0.04
# The same for bodies from another region: the round trip of 60 ms is added, in which parts are not on the
# link of this VM. A longer delay between the regions slows these bodies down.
REMOTE_WINDOW_SECONDS = 0.1
# Share of the link that is counted on for bodies; requests, answers and callers use it too.
BODY_LINK_SHARE = 0.7
# Length of a part in bytes: 13 ms on a link of 5 Mbit/s, the narrowest known.
CHUNK_BYTES = 8_192

TransferPriority = tuple[int, float]


class TransferQueue:
    """Bodies that share a limit of bytes on their way.

    Attributes
    ----------
    limit : float
        Largest number of bytes that were asked for and have not arrived; 0 for no limit.
    in_flight : int
        Their present number.
    """

    __slots__ = ("heap", "in_flight", "max_bytes_in_flight")

    def __init__(self, max_bytes_in_flight: float) -> None:
        self.max_bytes_in_flight = max_bytes_in_flight
        self.in_flight = 0
        self.heap: list[tuple[TransferPriority, int, bytes]] = []

    @property
    def has_room(self) -> bool:
        """Whether one more part may be asked for; one at least is always on its way."""
        return (
            not self.max_bytes_in_flight
            or not self.in_flight
            or self.in_flight + CHUNK_BYTES <= self.max_bytes_in_flight
        )


class Transfer:
    """A body on its way.

    Attributes
    ----------
    asked, arrived : int
        Bytes that were asked for, and those of them that have arrived.
    """

    __slots__ = ("queue", "received", "requested", "size")

    def __init__(self, size: int, queue: TransferQueue) -> None:
        self.size = size
        self.queue = queue
        self.requested = 0
        self.received = 0


class BodyGate:
    """Chooses which parts of offered bodies are asked for.

    Parameters
    ----------
    bytes_per_second : float
        Rate of the VM's link; 0 when it is not known, and bodies are asked for whole and at once.

    Attributes
    ----------
    transfers : dict of bytes to Transfer
        Bodies that were offered and have not arrived completely.
    """

    __slots__ = ("bytes_per_second", "local", "remote", "sequence", "transfers")

    def __init__(self, bytes_per_second: float) -> None:
        self.bytes_per_second = bytes_per_second
        self.local = TransferQueue(bytes_per_second * LOCAL_WINDOW_SECONDS)
        self.remote = TransferQueue(bytes_per_second * REMOTE_WINDOW_SECONDS)
        self.transfers: dict[bytes, Transfer] = {}
        self.sequence = itertools.count()

    @property
    def in_flight(self) -> int:
        """Bytes that were asked for and have not arrived."""
        return self.local.in_flight + self.remote.in_flight

    def expected_wait(self, size: int = 0) -> float:
        """Return the seconds until one more body of a size would have arrived."""
        if not self.bytes_per_second:
            return 0.0
        waiting = sum(transfer.size - transfer.received for transfer in self.transfers.values()) + size
        return waiting / (self.bytes_per_second * BODY_LINK_SHARE)

    @property
    def is_idle(self) -> bool:
        """Whether an offered body would be asked for at once."""
        return not self.bytes_per_second or not self.transfers

    def offer(
        self, request_id: bytes, size: int, priority: int, deadline: float, cross_region: bool = False
    ) -> None:
        """Note a body of so many bytes.

        Parameters
        ----------
        deadline : float
            Seconds on any clock.
        far : bool
            Whether it comes from another region.
        """
        queue = self.remote if cross_region else self.local
        self.transfers[request_id] = Transfer(size, queue)
        heapq.heappush(queue.heap, ((priority, deadline), next(self.sequence), request_id))

    def next_chunk(self) -> tuple[bytes, int, int] | None:
        """Return the next part to ask for: the request, the first byte and the number of bytes; or None."""
        return self.next_chunk_of(self.local) or self.next_chunk_of(self.remote)

    def next_chunk_of(self, queue: TransferQueue) -> tuple[bytes, int, int] | None:
        """Return the next part of a lane.

        A body that has begun is not overtaken by one of the same order, so that bodies arrive one after the
        other.
        """
        while queue.heap and queue.has_room:
            request_id = queue.heap[0][2]
            transfer = self.transfers.get(request_id)
            if transfer is None or transfer.requested == transfer.size:
                heapq.heappop(queue.heap)
                continue
            first = transfer.requested
            count = min(CHUNK_BYTES if queue.max_bytes_in_flight else transfer.size, transfer.size - first)
            transfer.requested += count
            queue.in_flight += count
            return request_id, first, count
        return None

    def on_chunk_received(self, request_id: bytes, first: int, count: int) -> bool:
        """Note a part that has arrived; returns whether it is the next one of a body that is awaited."""
        transfer = self.transfers.get(request_id)
        if transfer is None or first != transfer.received or first + count > transfer.requested:
            return False
        transfer.received += count
        transfer.queue.in_flight -= count
        return True

    def forget(self, request_id: bytes) -> None:
        """Forget a request whose body has arrived, or is not wanted any more."""
        transfer = self.transfers.pop(request_id, None)
        if transfer is not None:
            transfer.queue.in_flight -= transfer.requested - transfer.received
