"""Wait between an answer of the store that brought rows and the next poll for changes.

It handles the load of many nodes that publish their rows at the same time: each row ends the polls of all
nodes, so without a wait the calls to the store grow with the square of the number of nodes. The wait grows
with the size of the fleet, which is estimated from the rate of arrivals while nodes join.
"""

from __future__ import annotations

from collections import deque

SECONDS_PER_NODE = 0.015
MAX_WAIT_SECONDS = 1.0
# While nodes join, a fleet is taken to have at least this many nodes, the size of a small deployment; one of
# up to this size is not estimated to be larger.
SMALL_FLEET_NODES = 13
# Nodes that joined within this time are taken as a sign that more will follow. Processes of one fleet start
# within about 3 s.
JOIN_WINDOW_SECONDS = 2.0
# Nodes that are expected to follow for each that has joined within the window. In a model of 72 nodes that
# join within 3 s, a node polls 13.7 times in its first 5 s without an estimate, 8.4 times with 1 and
# 7.9 times with 3 or 5.
EXPECTED_PER_JOIN = 3


class ChangeBatching:
    """Estimates the size of the fleet, and derives the wait before the next poll from it.

    Attributes
    ----------
    joins : deque of (float, int)
        Monotonic times in seconds and numbers of nodes that were not known before.
    """

    __slots__ = ("joins",)

    def __init__(self) -> None:
        self.joins: deque[tuple[float, int]] = deque()

    def record_joined(self, count: int, now: float) -> None:
        """Record that nodes which were not known before have joined."""
        if count > 0:
            self.joins.append((now, count))

    def expected_nodes(self, known: int, now: float) -> int:
        """Return the number of nodes that the fleet is expected to have."""
        while self.joins and self.joins[0][0] <= now - JOIN_WINDOW_SECONDS:
            self.joins.popleft()
        if not self.joins:
            return known
        if known <= SMALL_FLEET_NODES:
            return SMALL_FLEET_NODES
        return known + EXPECTED_PER_JOIN * sum(count for _, count in self.joins)

    def wait_seconds(self, known: int, now: float) -> float:
        """Return the wait before the next poll, after an answer that brought rows."""
        return min(MAX_WAIT_SECONDS, SECONDS_PER_NODE * self.expected_nodes(known, now))
