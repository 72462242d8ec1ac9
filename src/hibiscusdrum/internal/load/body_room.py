"""Limit on the bytes of request bodies that one target holds at the same time.

It handles many large uploads that run at one target at once: each takes the memory of the target's process,
which shares the VM with this one, until it is answered.
"""

from __future__ import annotations

from typing import Any

# Smaller bodies are bounded by the number of slots, and need not wait.
MIN_LIMITED_BYTES = 16_384
# The largest body that callers may send. A single body is always let through.
DEFAULT_ROOM_BYTES = 67_108_864
# Share of the memory of the VM, where that is known.
SHARE_OF_MEMORY = 0.25


def default_room(memory_bytes: float) -> int:
    """Return the limit in bytes for a VM with some memory, 0 if that is not known."""
    return min(DEFAULT_ROOM_BYTES, int(memory_bytes * SHARE_OF_MEMORY)) or DEFAULT_ROOM_BYTES


class BodyRoom:
    """Counts the bodies at a target, and keeps the requests that have to wait for room.

    Parameters
    ----------
    limit : int
        Bytes of bodies at the target.

    Attributes
    ----------
    sizes : dict of bytes to int
        Bytes of the large bodies at the target, by request id.
    waiting : list
        Requests that wait for room, in their order.
    """

    __slots__ = ("limit", "outstanding", "sizes", "waiting")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.sizes: dict[bytes, int] = {}
        self.outstanding = 0
        self.waiting: list[Any] = []

    def take(self, request_id: bytes, size: int) -> bool:
        """Count a body that is about to be sent; return False if it has to wait.

        A body also waits behind those that wait already, lest smaller ones pass it forever.
        """
        if size <= MIN_LIMITED_BYTES:
            return True
        if self.sizes and (self.waiting or self.outstanding + size > self.limit):
            return False
        self.sizes[request_id] = size
        self.outstanding += size
        return True

    def release(self, request_id: bytes) -> list[Any]:
        """Forget a body that the target no longer holds; return the requests that may be tried again."""
        size = self.sizes.pop(request_id, None)
        if size is None:
            return []
        self.outstanding -= size
        waiting, self.waiting = self.waiting, []
        return waiting

    def remove(self, item: Any) -> None:
        """Remove a request that waits, if it does."""
        if item in self.waiting:
            self.waiting.remove(item)
