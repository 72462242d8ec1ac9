"""Limits on the memory that a process holds for messages, each body and all together.

Counted are bodies, unparsed input, heads with what their fields take as objects, and requests without a
response. Whoever is about to hold more than the limit allows gives something up. Requests that are still
being received are refused first, since they have not run (``load/memory_relief.py`` chooses them). If that
is not enough,

- of the responses being received, the largest one fails as malformed; its caller gets 502 or another target;
- a complete request that is not small is rejected with 503 before it is passed on;
- of the callers with unread responses, the one that has read nothing for longest is disconnected.
"""

from __future__ import annotations

from collections.abc import Callable

from hibiscusdrum.internal import log_events

# Largest body accepted on any VM.
MAX_BODY_BYTES = 16 * 1024 * 1024
# Bodies held by a process whose memory is not known.
DEFAULT_HELD_BYTES = 32 * 1024 * 1024
# A body is copied up to four times on its way through a process, whose code and tables take 40 to 60 MB.
HELD_SHARE_OF_MEMORY = 0.15
# One body must leave room for others.
MAX_SHARE_OF_ONE_BODY = 0.5


class BodyMemory:
    """Counts the bytes of bodies that the parts of a process hold.

    Parameters
    ----------
    memory_bytes : float
        Memory that the process may use; 0 if it is not known.

    Attributes
    ----------
    held_limit : int
        Bytes of all bodies together.
    body_limit : int
        Bytes of one body.
    holders : list of callable
        Each returns the bytes that one part of the process holds.
    relievers : list of callable
        Each releases what can be released without loss of an outcome, if more is held than the limit allows.
    """

    __slots__ = ("body_limit", "held_limit", "holders", "relievers")

    def __init__(self, memory_bytes: float = 0.0) -> None:
        self.held_limit = int(memory_bytes * HELD_SHARE_OF_MEMORY) or DEFAULT_HELD_BYTES
        self.body_limit = min(MAX_BODY_BYTES, int(self.held_limit * MAX_SHARE_OF_ONE_BODY))
        self.holders: list[Callable[[], int]] = []
        self.relievers: list[Callable[[], None]] = []

    @property
    def held(self) -> int:
        """Bytes held now."""
        return sum(holder() for holder in self.holders)

    def report_exceeded(self, what: str, size: int) -> None:
        """Log what is given up because the limit is exceeded, and its size in bytes."""
        log_events.emit(
            log_events.BodyLimitReached(what=what, size=size, held=self.held, limit=self.held_limit)
        )

    @property
    def exceeded(self) -> bool:
        """Whether more is held than the limit allows."""
        return self.held > self.held_limit

    def exceeded_after_relief(self) -> bool:
        """Return whether more is held than the limit allows after requests being received are refused."""
        if self.exceeded:
            for relieve in self.relievers:
                relieve()
        return self.exceeded
