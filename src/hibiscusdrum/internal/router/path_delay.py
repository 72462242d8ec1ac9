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
BASELINE_PERIOD_SECONDS = 30.0
# Delay in seconds up to which nothing is refused: a burst passes the link in this time.
TOLERATED_DELAY_SECONDS = 0.1
# Further delay in seconds at which all but the last share would be refused.
FULL_REFUSAL_DELAY_SECONDS = 0.4
MAX_REFUSED_SHARE = 0.9


class PathDelay:
    """Round trips to the nodes of one region."""

    __slots__ = ("period_started_at", "previous_shortest", "recent", "shortest")

    def __init__(self) -> None:
        self.shortest = float("inf")
        self.previous_shortest = float("inf")
        self.period_started_at = float("-inf")
        self.recent: deque[tuple[float, float]] = deque()

    def record(self, seconds: float, now: float) -> None:
        """Note a round trip."""
        if now - self.period_started_at > BASELINE_PERIOD_SECONDS:
            self.previous_shortest, self.shortest, self.period_started_at = self.shortest, float("inf"), now
        self.shortest = min(self.shortest, seconds)
        self.recent.append((now, seconds))
        self.drop_expired(now)

    def drop_expired(self, now: float) -> None:
        """Drop round trips that say nothing any more."""
        while self.recent and now - self.recent[0][0] > WINDOW_SECONDS:
            self.recent.popleft()

    def queueing_seconds(self, now: float) -> float:
        """Return the seconds by which round trips are longer than the shortest known one.

        The shortest recent one counts: a longer one may have been held up by the link of its node alone.
        """
        self.drop_expired(now)
        if not self.recent:
            return 0.0
        return min(seconds for _, seconds in self.recent) - min(self.shortest, self.previous_shortest)

    def refused_share(self, now: float) -> float:
        """Return the share of requests that is not to be sent there."""
        excess = (self.queueing_seconds(now) - TOLERATED_DELAY_SECONDS) / FULL_REFUSAL_DELAY_SECONDS
        return min(MAX_REFUSED_SHARE, max(0.0, excess))
