"""Flow control for large request bodies sent to one VM: bodies are pulled in chunks by priority.

Many nodes may offer large bodies to a VM with a narrow link at the same time. Sent all at once, they would
delay all other messages to the VM, such as small requests, answers and pings. Therefore the receiver requests
one chunk after another and keeps few bytes in flight.
"""

from __future__ import annotations

import heapq
import itertools

# Limit on the bytes in flight, in seconds of link time. Small messages wait at most this long, and the link
# stays busy as long as a round trip within the region is shorter.
LOCAL_WINDOW_SECONDS = 0.04
# The same limit for bodies from another region. It includes the round trip of 60 ms, during which the chunks
# do not occupy the link of this VM; a longer delay between the regions slows these bodies down.
REMOTE_WINDOW_SECONDS = 0.1
# Share of the link assumed to be available for bodies, since requests, answers and callers use it too.
BODY_LINK_SHARE = 0.7
# One chunk takes 13 ms on a link of 5 Mbit/s, the narrowest one known.
CHUNK_BYTES = 8_192

TransferPriority = tuple[int, float]


class TransferQueue:
    """Bodies that share a limit on the bytes in flight.

    Attributes
    ----------
    max_bytes_in_flight : float
        Maximum number of bytes requested and not yet received; 0 for no limit.
    in_flight : int
        Bytes requested and not yet received.
    """

    __slots__ = ("heap", "in_flight", "max_bytes_in_flight")

    def __init__(self, max_bytes_in_flight: float) -> None:
        self.max_bytes_in_flight = max_bytes_in_flight
        self.in_flight = 0
        self.heap: list[tuple[TransferPriority, int, bytes]] = []

    @property
    def has_room(self) -> bool:
        """Whether one more chunk may be requested; one is always allowed if none is in flight."""
        return (
            not self.max_bytes_in_flight
            or not self.in_flight
            or self.in_flight + CHUNK_BYTES <= self.max_bytes_in_flight
        )


class Transfer:
    """Progress of one body.

    Attributes
    ----------
    requested, received : int
        Bytes requested so far, and bytes received of those.
    """

    __slots__ = ("queue", "received", "requested", "size")

    def __init__(self, size: int, queue: TransferQueue) -> None:
        self.size = size
        self.queue = queue
        self.requested = 0
        self.received = 0


class BodyGate:
    """Selects which chunks of the offered bodies to request next.

    Parameters
    ----------
    bytes_per_second : float
        Rate of the VM's link; 0 if unknown, in which case each body is requested whole and at once.

    Attributes
    ----------
    transfers : dict of bytes to Transfer
        Offered bodies that have not been received completely, by request id.
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
        """Bytes requested and not yet received."""
        return self.local.in_flight + self.remote.in_flight

    def expected_wait(self, size: int = 0) -> float:
        """Return the seconds until all pending bodies and one more of the given size would be received."""
        if not self.bytes_per_second:
            return 0.0
        waiting = sum(transfer.size - transfer.received for transfer in self.transfers.values()) + size
        return waiting / (self.bytes_per_second * BODY_LINK_SHARE)

    @property
    def is_idle(self) -> bool:
        """Whether a newly offered body would be requested at once."""
        return not self.bytes_per_second or not self.transfers

    def offer(
        self, request_id: bytes, size: int, priority: int, deadline: float, cross_region: bool = False
    ) -> None:
        """Add a body that a sender has offered.

        Parameters
        ----------
        size : int
            Length of the body in bytes.
        priority : int
            Bodies with a lower value are requested first; equal ones in the order of their deadlines.
        deadline : float
            Time in seconds; only compared with other deadlines, so any clock will do.
        cross_region : bool
            Whether the body comes from another region.
        """
        queue = self.remote if cross_region else self.local
        self.transfers[request_id] = Transfer(size, queue)
        heapq.heappush(queue.heap, ((priority, deadline), next(self.sequence), request_id))

    def next_chunk(self) -> tuple[bytes, int, int] | None:
        """Return the request id, offset and length of the next chunk to request, or None."""
        return self.next_chunk_of(self.local) or self.next_chunk_of(self.remote)

    def next_chunk_of(self, queue: TransferQueue) -> tuple[bytes, int, int] | None:
        """Return the next chunk to request from one queue.

        A body that has begun is not overtaken by one of the same priority and deadline, so that such bodies
        complete one after the other.
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
        """Record a received chunk; returns whether it is the next one of an awaited body."""
        transfer = self.transfers.get(request_id)
        if transfer is None or first != transfer.received or first + count > transfer.requested:
            return False
        transfer.received += count
        transfer.queue.in_flight -= count
        return True

    def forget(self, request_id: bytes) -> None:
        """Remove a body that has been received completely or is no longer wanted."""
        transfer = self.transfers.pop(request_id, None)
        if transfer is not None:
            transfer.queue.in_flight -= transfer.requested - transfer.received
