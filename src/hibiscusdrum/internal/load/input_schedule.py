"""Order in which waiting input is parsed, and how much of it in one turn of the event loop.

It handles clients whose input costs far more processor time than its bytes suggest, such as bodies in
chunks of one byte: a few hundred of them keep a processor busy for seconds with what the process has read
already. Input of connections that have used little time is parsed first. The rest shares what remains of
the turn, so that timers, messages between nodes and other sockets wait for at most one turn.
"""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

Connection = TypeVar("Connection")

# Share of a turn after which input of costly connections is parsed although other input waits.
CHEAP_SHARE_OF_TURN = 0.7


class ParseDebt:
    """Processor time that the input of one connection took beyond its share.

    Attributes
    ----------
    seconds : float
        Time used at ``updated_at``, less the share of the time before.
    updated_at : float
        Monotonic time in seconds.
    """

    __slots__ = ("seconds", "updated_at")

    def __init__(self, now: float) -> None:
        self.seconds = 0.0
        self.updated_at = now

    def add(self, used: float, share: float, now: float) -> None:
        """Record processor time; the debt shrinks by ``share`` seconds per second."""
        self.seconds = max(0.0, self.seconds - share * (now - self.updated_at)) + used
        self.updated_at = now


class InputSchedule(Generic[Connection]):
    """Connections with input that waits for a turn.

    Attributes
    ----------
    cheap, costly : deque
        Connections in the order in which they are served.
    """

    __slots__ = ("cheap", "costly")

    def __init__(self) -> None:
        self.cheap: deque[Connection] = deque()
        self.costly: deque[Connection] = deque()

    def __len__(self) -> int:
        return len(self.cheap) + len(self.costly)

    def add(self, connection: Connection, is_costly: bool) -> None:
        """Add a connection behind the others of its class."""
        (self.costly if is_costly else self.cheap).append(connection)

    def take(self, used_share: float) -> Connection:
        """Return the next connection.

        Parameters
        ----------
        used_share : float
            Share of the turn that has been used so far.
        """
        prefers_cheap = used_share < CHEAP_SHARE_OF_TURN or not self.costly
        return self.cheap.popleft() if self.cheap and prefers_cheap else self.costly.popleft()
