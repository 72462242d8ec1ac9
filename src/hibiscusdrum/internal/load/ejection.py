"""Outlier ejection: takes slow or failing nodes out of rotation, up to a maximum share of all nodes."""

from __future__ import annotations

import statistics
from collections.abc import Collection, Iterable

from hibiscusdrum.errors import InvalidArgument

# A sample is slow if it exceeds this multiple of the median of the nodes' mean latencies. An exponentially
# distributed sample does so with probability 0.018, so five in a row happen by chance about once in 5e8
# samples.
SLOW_FACTOR = 4.0
EJECT_AFTER_SLOW = 5
# A hedge is sent after the 95th percentile of the latency, so six overdue requests in a row without a normal
# answer happen by chance about once in 6e7.
EJECT_AFTER_OVERDUE = 6
EJECT_AFTER_FAILURES = 5
LATENCY_EWMA_WEIGHT = 0.05
# Samples between two updates of the median, which costs a few microseconds for six nodes.
MEDIAN_REFRESH_SAMPLES = 128
# Consecutive successful probes, sent one at a time, that end the probing state.
REQUIRED_PROBE_SUCCESSES = 3
# A node's ejection count drops by one for each period of this many base ejection times that it stays healthy.
EJECTION_FORGET_FACTOR = 2.0
# Consecutive slow answers that eject a node on the ramp again; fewer than for a healthy node.
EJECT_AFTER_SLOW_ON_RAMP = 3
# Tolerates rounding errors in the time of sending, which is computed from the latency.
PROBE_MARGIN_SECONDS = 1e-6

HEALTHY, EJECTED, PROBING, RAMPING = range(4)


class NodeHealth:
    """Health of one node as observed by the ejector."""

    __slots__ = (
        "consecutive_failures",
        "consecutive_overdue",
        "consecutive_slow",
        "ejected_at",
        "ejection_count",
        "healthy_since",
        "mean_latency",
        "probe_in_flight",
        "probe_sent_at",
        "probe_successes",
        "state",
        "state_ends_at",
    )

    def __init__(self) -> None:
        self.state = HEALTHY
        self.mean_latency = 0.0
        self.clear_consecutive()
        self.ejection_count = 0
        self.state_ends_at = 0.0
        self.ejected_at = 0.0
        self.healthy_since = 0.0
        self.probe_successes = 0
        self.probe_in_flight = False
        self.probe_sent_at = 0.0

    def clear_consecutive(self) -> None:
        """Reset the counts of consecutive slow, failed and overdue requests."""
        self.consecutive_slow = 0
        self.consecutive_failures = 0
        self.consecutive_overdue = 0


class OutlierEjector:
    """Ejects slow or failing nodes for exponentially growing times and readmits them gradually.

    An ejected node passes through the states *ejected* (no requests), *probing* (one request at a time) and
    *ramping* (a growing share of its requests) back to *healthy*. Nodes in the first three count towards the
    cap.

    Parameters
    ----------
    max_share : float
        Maximum share of the nodes that may be unhealthy at once.
    base_ejection_seconds, max_ejection_seconds : float
        Duration of the first ejection, which doubles with each further one, and its maximum.
    ramp_seconds : float
        Time in which a readmitted node regains its full share of requests.
    """

    __slots__ = (
        "base_ejection_seconds",
        "max_ejection_seconds",
        "max_share",
        "median_latency",
        "nodes",
        "ramp_seconds",
        "samples_until_median",
        "unhealthy",
    )

    def __init__(
        self,
        max_share: float = 0.34,
        base_ejection_seconds: float = 1.0,
        max_ejection_seconds: float = 30.0,
        ramp_seconds: float = 1.0,
    ) -> None:
        if not 0.0 <= max_share < 1.0:
            raise InvalidArgument(name="max_share", value=max_share, expected="at least 0 and below 1")
        self.max_share = max_share
        self.base_ejection_seconds = base_ejection_seconds
        self.max_ejection_seconds = max_ejection_seconds
        self.ramp_seconds = ramp_seconds
        self.nodes: dict[str, NodeHealth] = {}
        self.unhealthy: dict[str, NodeHealth] = {}
        self.median_latency = 0.0
        self.samples_until_median = 0

    def set_nodes(self, nodes: Iterable[str], now: float) -> None:
        """Replace the known nodes; readmits the latest ejected ones if they now exceed the cap."""
        known = {node: self.nodes.get(node) or NodeHealth() for node in nodes}
        self.nodes = known
        self.unhealthy = {node: health for node, health in self.unhealthy.items() if node in known}
        while len(self.unhealthy) > self.max_unhealthy():
            _, health = self.unhealthy.popitem()
            self._mark_healthy(health, now)

    def max_unhealthy(self) -> int:
        """Return how many of the known nodes may be unhealthy at once."""
        return int(self.max_share * len(self.nodes))

    def excluded(self, now: float, draw: float) -> Collection[str]:
        """Return the nodes that should receive no ordinary request now.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        draw : float
            Uniform random number in [0, 1) that decides about nodes in the ramping state.
        """
        if not self.unhealthy:
            return ()
        excluded = []
        for node, health in list(self.unhealthy.items()):
            if health.state != RAMPING or not self._admits_on_ramp(node, health, now, draw):
                excluded.append(node)
        return excluded

    def next_probe(self, candidates: Collection[str], exclude: Collection[str], now: float) -> str | None:
        """Return a node whose ejection time has passed and that has no probe in flight, or None."""
        for node, health in self.unhealthy.items():
            if health.state == EJECTED and now >= health.state_ends_at:
                health.state = PROBING
                health.probe_successes = 0
                health.probe_in_flight = False
                health.clear_consecutive()
            if health.state != PROBING or node not in candidates or node in exclude:
                continue
            # A probe that is never answered must not keep the node ejected forever.
            if not health.probe_in_flight or now - health.probe_sent_at > self.max_ejection_seconds:
                return node
        return None

    def on_sent(self, node: str, now: float) -> None:
        """Record a request sent to a node; for a node in the probing state it is the probe in flight."""
        health = self.unhealthy.get(node)
        if health is not None and health.state == PROBING:
            health.probe_in_flight = True
            health.probe_sent_at = now

    def on_result(self, node: str, latency: float, ok: bool, now: float) -> bool:
        """Record the end of a request and its latency in seconds; True if it moves the node to the ramp."""
        health = self.nodes.get(node)
        if health is None:
            health = self.nodes[node] = NodeHealth()
        if not ok:
            health.consecutive_failures += 1
            self._evaluate(node, health, now, latency)
            return False
        health.consecutive_failures = 0
        health.mean_latency += (latency - health.mean_latency) * (
            LATENCY_EWMA_WEIGHT if health.mean_latency else 1.0
        )
        self.samples_until_median -= 1
        if self.samples_until_median < 0:
            self._refresh_median()
        if 0.0 < SLOW_FACTOR * self.median_latency < latency:
            health.consecutive_slow += 1
            self._evaluate(node, health, now, latency)
            return False
        health.consecutive_slow = health.consecutive_overdue = 0
        return health.state == PROBING and self._on_probe_success(health, now, latency)

    def on_cancelled(self, node: str) -> None:
        """Record that a request is no longer awaited; if it was a probe, another one may be sent."""
        health = self.unhealthy.get(node)
        if health is not None:
            health.probe_in_flight = False

    def on_overdue(self, node: str, now: float) -> None:
        """Record that a request to the node is still unanswered after its hedge delay."""
        health = self.nodes.get(node)
        if health is not None:
            health.consecutive_overdue += 1
            if health.consecutive_overdue >= EJECT_AFTER_OVERDUE:
                self._evaluate(node, health, now, 0.0)

    def is_ejected(self, node: str, now: float) -> bool:
        """Return whether the node receives no requests other than probes."""
        health = self.unhealthy.get(node)
        return health is not None and health.state in (EJECTED, PROBING)

    def _admits_on_ramp(self, node: str, health: NodeHealth, now: float, draw: float) -> bool:
        if now >= health.state_ends_at:
            del self.unhealthy[node]
            self._mark_healthy(health, now)
            return True
        return draw >= (health.state_ends_at - now) / self.ramp_seconds

    def _on_probe_success(self, health: NodeHealth, now: float, latency: float) -> bool:
        if self._sent_before_probe(health, now, latency):
            return False
        health.probe_in_flight = False
        health.probe_successes += 1
        if health.probe_successes < REQUIRED_PROBE_SUCCESSES:
            return False
        health.state = RAMPING
        health.state_ends_at = now + self.ramp_seconds
        return True

    def _sent_before_probe(self, health: NodeHealth, now: float, latency: float) -> bool:
        # Answers to requests sent before the ejection do not reflect the current state of the node.
        return not health.probe_in_flight or now - latency < health.probe_sent_at - PROBE_MARGIN_SECONDS

    def _evaluate(self, node: str, health: NodeHealth, now: float, latency: float) -> None:
        if health.state == EJECTED:
            return
        if health.state == PROBING:
            if self._sent_before_probe(health, now, latency):
                health.clear_consecutive()
            else:
                self._eject(node, health, now)
            return
        slow_limit = EJECT_AFTER_SLOW if health.state == HEALTHY else EJECT_AFTER_SLOW_ON_RAMP
        should_eject = (
            health.consecutive_slow >= slow_limit
            or health.consecutive_failures >= EJECT_AFTER_FAILURES
            or health.consecutive_overdue >= EJECT_AFTER_OVERDUE
        )
        if not should_eject:
            return
        if health.state == RAMPING or (self._most_others_healthy(node) and self._make_room_under_cap(now)):
            self._eject(node, health, now)

    def _make_room_under_cap(self, now: float) -> bool:
        # A node on the ramp has passed its probes, so it gives up its place under the cap to a node that is
        # slow now. Otherwise a slow node would stay in use until the previous one has been fully readmitted.
        if len(self.unhealthy) < self.max_unhealthy():
            return True
        for node, health in self.unhealthy.items():
            if health.state == RAMPING:
                del self.unhealthy[node]
                self._mark_healthy(health, now)
                return True
        # Probes early those that have been out for the base time, since they may have recovered by now.
        for health in self.unhealthy.values():
            if health.state == EJECTED and now - health.ejected_at >= self.base_ejection_seconds:
                health.state_ends_at = now
        return False

    def _most_others_healthy(self, node: str) -> bool:
        # If the network or this process slows down, all nodes look slow and none of them is an outlier.
        unhealthy_count = sum(
            1
            for name, health in self.nodes.items()
            if name != node and (health.consecutive_slow >= 2 or health.consecutive_failures >= 2)
        )
        return 2 * unhealthy_count <= len(self.nodes) - 1

    def _eject(self, node: str, health: NodeHealth, now: float) -> None:
        if health.state == HEALTHY:
            # Only nodes that misbehave soon after their readmission get longer and longer ejections.
            healthy_seconds = now - health.healthy_since
            health.ejection_count -= int(
                min(
                    health.ejection_count,
                    healthy_seconds / (EJECTION_FORGET_FACTOR * self.base_ejection_seconds),
                )
            )
        seconds = min(
            self.max_ejection_seconds, self.base_ejection_seconds * 2.0 ** min(health.ejection_count, 30)
        )
        health.ejection_count += 1
        health.state = EJECTED
        health.ejected_at = now
        health.state_ends_at = now + seconds
        health.clear_consecutive()
        self.unhealthy[node] = health

    def _mark_healthy(self, health: NodeHealth, now: float) -> None:
        health.state = HEALTHY
        health.healthy_since = now
        health.clear_consecutive()

    def _refresh_median(self) -> None:
        self.samples_until_median = MEDIAN_REFRESH_SAMPLES
        samples = [health.mean_latency for health in self.nodes.values() if health.mean_latency]
        self.median_latency = statistics.median_low(samples) if len(samples) > 1 else 0.0
