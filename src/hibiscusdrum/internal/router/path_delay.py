"""How long messages to another region are held up on their way, and what share of requests to send there.

The load that these decisions answer is a link between regions that gets more than it can carry. Its queue
grows until everything that crosses it is late, what could be answered included. Round trips show the queue
within a second; requests are then refused at the caller's node, more of them the longer the queue is.
"""

from __future__ import annotations

from collections import deque

# Round trips count for this long, in seconds; nodes with requests of this one are asked four times a second.
WINDOW_SECONDS = 1.0
# The shortest round trip is remembered for one to two such periods, so that a change of the path is followed.
PERIOD_SECONDS = 30.0
# Delay in seconds up to which nothing is refused: a burst passes the link in this time.
TOLERATED_SECONDS = 0.1
# Further delay in seconds at which all but the last share would be refused.
FULL_SECONDS = 0.4
LARGEST_SHARE = 0.9


class PathDelay:
    """Round trips to the nodes of one region."""

    __slots__ = ("best", "former", "period", "recent")

    def __init__(self) -> None:
        self.best = float("inf")
        self.former = float("inf")
        self.period = float("-inf")
        self.recent: deque[tuple[float, float]] = deque()

    def note(self, seconds: float, now: float) -> None:
        """Note a round trip."""
        if now - self.period > PERIOD_SECONDS:
            self.former, self.best, self.period = self.best, float("inf"), now
        self.best = min(self.best, seconds)
        self.recent.append((now, seconds))
        self.forget(now)

    def forget(self, now: float) -> None:
        """Drop round trips that say nothing any more."""
        while self.recent and now - self.recent[0][0] > WINDOW_SECONDS:
            self.recent.popleft()

    def excess(self, now: float) -> float:
        """Return the seconds by which round trips are longer than the shortest known one.

        The shortest recent one counts: a longer one may have been held up by the link of its node alone.
        """
        self.forget(now)
        if not self.recent:
            return 0.0
        return min(seconds for _, seconds in self.recent) - min(self.best, self.former)

    def refused_share(self, now: float) -> float:
        """Return the share of requests that is not to be sent there."""
        beyond = (self.excess(now) - TOLERATED_SECONDS) / FULL_SECONDS
        return min(LARGEST_SHARE, max(0.0, beyond))
