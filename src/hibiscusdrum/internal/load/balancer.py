"""Load balancing by power of two choices, based on the caller's own measurements and aged load reports."""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Sequence

# Weight of the newest sample in the moving average of a node's latency.
LATENCY_EWMA_WEIGHT = 0.1
# Weight of the newest sample in the moving average over all nodes.
OVERALL_EWMA_WEIGHT = 0.01
INITIAL_LATENCY_SECONDS = 0.002
# Time constant with which a report loses weight. Reports are about 2 s old on arrival, in which time a target
# that is slowed down for a few seconds may have changed twice.
REPORT_DECAY_SECONDS = 0.5
# After the first time without new samples a node's average latency decays towards the average of all nodes,
# with the second as its time constant, so that a node that was slow is tried again.
STALE_AFTER_SECONDS = 1.0
STALE_DECAY_SECONDS = 5.0


class NodeLoad:
    """Load of one node as known to the balancer."""

    __slots__ = (
        "in_flight",
        "mean_latency",
        "reported_at",
        "reported_in_flight",
        "reported_latency",
        "sampled_at",
    )

    def __init__(self) -> None:
        self.in_flight = 0
        self.mean_latency = 0.0
        self.sampled_at = -math.inf
        self.reported_at = -math.inf
        self.reported_in_flight = 0
        self.reported_latency = 0.0


class Balancer:
    """Selects the less loaded of two randomly drawn nodes (power of two choices).

    Parameters
    ----------
    rng : random.Random
        Draws the two candidates.
    """

    __slots__ = ("mean_latency", "nodes", "rng")

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.nodes: dict[str, NodeLoad] = {}
        # Until there are samples any value above 0 will do: nodes are compared by their requests in flight.
        self.mean_latency = INITIAL_LATENCY_SECONDS

    def choose(self, candidates: Sequence[str], now: float, exclude: Collection[str] = ()) -> str | None:
        """Return the less loaded of two random candidates, or None if all are excluded."""
        if exclude:
            candidates = [node for node in candidates if node not in exclude]
        count = len(candidates)
        if count < 2:
            return candidates[0] if count else None
        uniform = self.rng.random
        first = int(uniform() * count)
        second = int(uniform() * (count - 1))
        if second >= first:
            second += 1
        one, other = candidates[first], candidates[second]
        return one if self.cost(one, now) <= self.cost(other, now) else other

    def cost(self, node: str, now: float) -> float:
        """Return a node's expected wait up to a constant factor, for comparison with other nodes."""
        load = self.nodes.get(node)
        if load is None:
            return self.mean_latency
        in_flight = load.in_flight
        latency = load.mean_latency or self.mean_latency
        idle = now - load.sampled_at - STALE_AFTER_SECONDS
        if idle > 0.0 and load.mean_latency:
            latency = self.mean_latency + (latency - self.mean_latency) * math.exp(
                -idle / STALE_DECAY_SECONDS
            )
        age = now - load.reported_at
        if age < 4.0 * REPORT_DECAY_SECONDS:
            weight = math.exp(-age / REPORT_DECAY_SECONDS) if age > 0.0 else 1.0
            reported = load.reported_in_flight
            if reported > in_flight:
                in_flight += (reported - in_flight) * weight
        return (in_flight + 1.0) * latency

    def on_sent(self, node: str, now: float) -> None:
        """Record a request sent to a node; must be followed by one ``on_done`` or ``on_cancelled``."""
        load = self.nodes.get(node)
        if load is None:
            load = self.nodes[node] = NodeLoad()
        load.in_flight += 1

    def on_done(self, node: str, latency: float, ok: bool, now: float) -> None:
        """Record the end of a request; the latency of a failed one is ignored."""
        load = self.nodes.get(node)
        if load is None:
            return
        if load.in_flight > 0:
            load.in_flight -= 1
        if not ok:
            return
        load.mean_latency = (
            latency
            if not load.mean_latency
            else load.mean_latency + (latency - load.mean_latency) * LATENCY_EWMA_WEIGHT
        )
        load.sampled_at = now
        self.mean_latency += (latency - self.mean_latency) * OVERALL_EWMA_WEIGHT

    def on_cancelled(self, node: str) -> None:
        """Record that a request is no longer awaited, without taking a latency sample."""
        load = self.nodes.get(node)
        if load is not None and load.in_flight > 0:
            load.in_flight -= 1

    def on_report(self, node: str, in_flight: int, latency_ms: float, age_ms: float, now: float) -> None:
        """Record a node's load report, taken ``age_ms`` ago; older than the one already known is ignored."""
        load = self.nodes.get(node)
        if load is None:
            load = self.nodes[node] = NodeLoad()
        taken_at = now - age_ms / 1000.0
        if taken_at >= load.reported_at:
            load.reported_at = taken_at
            load.reported_in_flight = in_flight
            load.reported_latency = latency_ms / 1000.0

    def reset_latency(self, node: str) -> None:
        """Assume the average latency of all nodes for a node until it has new samples."""
        load = self.nodes.get(node)
        if load is not None:
            load.mean_latency = 0.0

    def forget(self, node: str) -> None:
        """Remove a node that has left."""
        self.nodes.pop(node, None)
