"""Choice of the clients that are refused when a process holds more input and answers than it may.

It handles crowds of clients that hold memory and do not go on: bodies and heads that stop before their end,
and answers that are not read. A request that is still arriving has not run, so refusing it costs its caller
least. Callers that stall go first, since an ordinary caller sends what it has; among them those that hold
most, so that few have to be refused.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Generic, TypeVar

Connection = TypeVar("Connection")

# Held bytes are reduced to this share of the limit at once: the choice takes time in proportion to the
# connections, and would otherwise be made for each part that arrives.
RELIEVED_SHARE = 0.9


class Holding(Generic[Connection]):
    """What a connection holds, and for how many seconds it has made no progress."""

    __slots__ = ("connection", "held_bytes", "idle_seconds")

    def __init__(self, connection: Connection, held_bytes: int, idle_seconds: float) -> None:
        self.connection = connection
        self.held_bytes = held_bytes
        self.idle_seconds = idle_seconds


def choose_refused(
    holdings: Iterable[Holding[Connection]], excess: int, stalled_seconds: float
) -> list[Connection]:
    """Return the connections to refuse, so that at least ``excess`` bytes are released where possible.

    Parameters
    ----------
    holdings : iterable of Holding
        Connections with requests that are incomplete.
    excess : int
        Bytes to release.
    stalled_seconds : float
        A connection without progress for longer counts as stalled.
    """
    ordered = sorted(
        holdings,
        key=lambda holding: (holding.idle_seconds > stalled_seconds, holding.held_bytes),
        reverse=True,
    )
    refused = []
    for holding in ordered:
        if excess <= 0:
            break
        excess -= holding.held_bytes
        refused.append(holding.connection)
    return refused
