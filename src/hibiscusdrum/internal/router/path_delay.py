"""Congestion control for links between regions, based on round trip times.

It handles a link that is offered more traffic than it can carry: its queue grows until all messages on it are
late, including those for requests that could be served. Round trip times reveal the queue within a second.
Then requests are refused at the caller's node, in a share that grows with the queueing delay.
"""

from __future__ import annotations

from collections import deque

# Age up to which round trips count. Nodes with outstanding requests are pinged four times a second.
WINDOW_SECONDS = 1.0
# The shortest round trip is remembered for one to two such periods, to adapt to a change of the network path.
BASELINE_PERIOD_SECONDS = 30.0
# Queueing delay up to which nothing is refused: a burst passes the link in this time.
TOLERATED_DELAY_SECONDS = 0.1
# Additional queueing delay at which all requests would be refused, were it not for the maximum share.
FULL_REFUSAL_DELAY_SECONDS = 0.4
MAX_REFUSED_SHARE = 0.9


class PathDelay:
    """Round trip times to the nodes of one region, and the share of requests to refuse."""

    __slots__ = ("period_started_at", "previous_shortest", "recent", "shortest")

    def __init__(self) -> None:
        self.shortest = float("inf")
        self.previous_shortest = float("inf")
        self.period_started_at = float("-inf")
        self.recent: deque[tuple[float, float]] = deque()

    def record(self, seconds: float, now: float) -> None:
        """Record the duration of a round trip."""
        if now - self.period_started_at > BASELINE_PERIOD_SECONDS:
            self.previous_shortest, self.shortest, self.period_started_at = self.shortest, float("inf"), now
        self.shortest = min(self.shortest, seconds)
        self.recent.append((now, seconds))
        self.drop_expired(now)

    def drop_expired(self, now: float) -> None:
        """Drop the round trips that are too old to count."""
        while self.recent and now - self.recent[0][0] > WINDOW_SECONDS:
            self.recent.popleft()

    def queueing_seconds(self, now: float) -> float:
        """Return the queueing delay: recent round trips in excess of the shortest known one, in seconds.

        The shortest recent round trip is used, because the link of a single node may have delayed longer
        ones.
        """
        self.drop_expired(now)
        if not self.recent:
            return 0.0
        return min(seconds for _, seconds in self.recent) - min(self.shortest, self.previous_shortest)

    def refused_share(self, now: float) -> float:
        """Return the share of requests not to send to the region."""
        excess = (self.queueing_seconds(now) - TOLERATED_DELAY_SECONDS) / FULL_REFUSAL_DELAY_SECONDS
        return min(MAX_REFUSED_SHARE, max(0.0, excess))
