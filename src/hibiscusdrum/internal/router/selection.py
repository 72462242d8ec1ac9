"""Choice of the node whose target serves a request that any target of a service may serve.

The load that these decisions answer is a service whose targets differ in speed and are unevenly busy, in
several failure domains and regions. The node with the shortest expected time to an answer is chosen; another
region is chosen only when that saves the caller more than the detour costs.

In a large service each node sees another's load only with its own answers, seconds apart. So a few nodes are
drawn and the best of them is chosen, and the first ones are asked to turn the request away when they have no
free slot: a round trip within a region takes less time than a place in a queue.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Iterable

import msgspec

from hibiscusdrum.internal.router.path_delay import PathDelay

# Expected time of an answer from a node that nothing is known of, in seconds.
DEFAULT_SERVICE_SECONDS = 0.15
# Advantage that an answer from another region must have, in seconds: the round trip is 60 ms, and the link is
# narrow and paid for by volume.
CROSS_REGION_PENALTY_SECONDS = 0.15
# Weight of a target's utilization: requests that may go elsewhere leave room for those that may not.
UTILIZATION_WEIGHT = 0.3
# Further advantage for each megabyte of body; 30 Mbit/s are shared by all nodes of a region.
CROSS_REGION_PENALTY_SECONDS_PER_MB = 3.0
CROSS_DOMAIN_PENALTY_SECONDS = 0.004
# After a failure a node is passed over for this long, when there is another.
INITIAL_AVOIDANCE_SECONDS = 1.0
MAX_AVOIDANCE_SECONDS = 8.0
# A load report says nothing any more after this many seconds.
REPORT_MAX_AGE_SECONDS = 3.0
# Reported requests count less with the age of the report: most have ended after a few service times.
REPORT_DECAY_SECONDS = 0.5
# Nodes that are compared for a request, in the own region and in others. Smaller services are compared whole.
LOCAL_SAMPLE_SIZE = 3
REMOTE_SAMPLE_SIZE = 1
MAX_UNSAMPLED_CANDIDATES = 6
# Nodes that may turn a request away because they have no free slot. Large bodies are not sent with a try.
MAX_LOCAL_PROBES = 2
# The same for a service without a node in the own region: a round trip takes 60 ms.
MAX_REMOTE_PROBES = 1
BYTES_PER_MEGABYTE = 1_000_000.0


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Load of a target as its daemon sees it; ``service`` is the mean service time in seconds."""

    running: int = 0
    queued: int = 0
    slots: int = 1
    mean_service_seconds: float = DEFAULT_SERVICE_SECONDS
    accepting: bool = True


class Candidate(msgspec.Struct, frozen=True):
    """A node that may serve a request."""

    node: str
    region: str
    failure_domain: str


class NodeState:
    """What this node knows of another one's target."""

    __slots__ = (
        "avoidance_seconds",
        "avoided_until",
        "in_flight",
        "report",
        "reported_at",
        "sent_since_report",
    )

    def __init__(self) -> None:
        self.report = LoadReport()
        self.reported_at = float("-inf")
        self.in_flight = 0
        self.sent_since_report = 0
        self.avoided_until = 0.0
        self.avoidance_seconds = INITIAL_AVOIDANCE_SECONDS

    def expected_requests(self, now: float) -> float:
        """Return the expected number of requests at the target."""
        age = now - self.reported_at
        if age > REPORT_MAX_AGE_SECONDS:
            return float(self.in_flight)
        reported = (self.report.running + self.report.queued) * math.exp(-age / REPORT_DECAY_SECONDS)
        return max(float(self.in_flight), reported + self.sent_since_report)

    def avoided(self, now: float) -> bool:
        """Return whether the node failed shortly before, or says that it takes nothing."""
        outdated = now - self.reported_at >= REPORT_MAX_AGE_SECONDS
        return self.avoided_until > now or not (self.report.accepting or outdated)


class NodeSelector:
    """Views of all nodes, and the choice among them.

    Parameters
    ----------
    region, failure_domain : str
        Where this node is.
    rng : random.Random
        Breaks ties, so that nodes do not all choose the same target.
    """

    __slots__ = ("failure_domain", "node_states", "path_delays", "region", "rng")

    def __init__(self, region: str, failure_domain: str, rng: random.Random) -> None:
        self.region = region
        self.failure_domain = failure_domain
        self.rng = rng
        self.node_states: dict[str, NodeState] = {}
        self.path_delays: dict[str, PathDelay] = {}

    def path_delay(self, region: str) -> PathDelay:
        """Return the round trips to a region."""
        path = self.path_delays.get(region)
        if path is None:
            path = self.path_delays[region] = PathDelay()
        return path

    def node_state(self, node: str) -> NodeState:
        """Return what is known of a node."""
        state = self.node_states.get(node)
        if state is None:
            state = self.node_states[node] = NodeState()
        return state

    def expected_seconds(self, candidate: Candidate, size: int, now: float) -> float:
        """Return the expected seconds to an answer, detours included.

        Parameters
        ----------
        size : int
            Bytes of the request's body.
        """
        state = self.node_state(candidate.node)
        report = state.report
        slots = max(1, report.slots)
        excess_requests = state.expected_requests(now) + 1.0 - slots
        seconds = report.mean_service_seconds * (1.0 + max(0.0, excess_requests) / slots)
        seconds += UTILIZATION_WEIGHT * report.mean_service_seconds * state.expected_requests(now) / slots
        if candidate.region != self.region:
            seconds += (
                CROSS_REGION_PENALTY_SECONDS + CROSS_REGION_PENALTY_SECONDS_PER_MB * size / BYTES_PER_MEGABYTE
            )
            seconds += self.path_delay(candidate.region).queueing_seconds(now)
        elif candidate.failure_domain != self.failure_domain:
            seconds += CROSS_DOMAIN_PENALTY_SECONDS
        return seconds * (1.0 + 0.05 * self.rng.random())

    def choose(
        self, candidates: Iterable[Candidate], size: int, now: float, exclude: Collection[str] = ()
    ) -> Candidate | None:
        """Return the candidate with the shortest expected time, or None when there is none."""
        best: Candidate | None = None
        best_cost = float("inf")
        for candidate in self.comparison_sample(
            [entry for entry in candidates if entry.node not in exclude], now
        ):
            state = self.node_state(candidate.node)
            cost = self.expected_seconds(candidate, size, now)
            if state.avoided_until > now:
                cost += 10.0 + (state.avoided_until - now)
            if not state.report.accepting and now - state.reported_at < REPORT_MAX_AGE_SECONDS:
                cost += 5.0
            if cost < best_cost:
                best, best_cost = candidate, cost
        return best

    def select(
        self,
        candidates: Collection[Candidate],
        size: int,
        now: float,
        busy: Collection[str],
        refused: Collection[str],
        probe: bool = True,
    ) -> tuple[Candidate, bool] | None:
        """Return a node for a request, and whether it should turn the request away when it has no free slot.

        Parameters
        ----------
        size : int
            Bytes of the request's body.
        busy, refused : collection of str
            Nodes that had no free slot, and nodes that refused the request for good.
        probe : bool
            Whether nodes may be asked for a free slot; in an overload none has one.

        Returns
        -------
        tuple or None
            None when no node is left.
        """
        local = any(entry.region == self.region for entry in candidates)
        if probe and len(busy) < (MAX_LOCAL_PROBES if local else MAX_REMOTE_PROBES):
            chosen = self.choose(candidates, size, now, (*busy, *refused))
            if chosen is not None:
                others = len(candidates) - len(busy) - len(refused) > 1
                return chosen, others and (chosen.region == self.region or not local)
        chosen = self.choose(candidates, size, now, refused)
        return None if chosen is None else (chosen, False)

    def comparison_sample(self, candidates: list[Candidate], now: float) -> list[Candidate]:
        """Return the candidates to compare: all of a few, else a random sample of those that seem well."""
        if len(candidates) <= MAX_UNSAMPLED_CANDIDATES:
            return candidates
        available = [
            entry for entry in candidates if not self.node_state(entry.node).avoided(now)
        ] or candidates
        local = [entry for entry in available if entry.region == self.region]
        remote = [entry for entry in available if entry.region != self.region]
        # Without a node in the own region the far ones are compared in its place.
        remote_sample_size = REMOTE_SAMPLE_SIZE if local else LOCAL_SAMPLE_SIZE
        return self.rng.sample(local, min(LOCAL_SAMPLE_SIZE, len(local))) + self.rng.sample(
            remote, min(remote_sample_size, len(remote))
        )

    def on_sent(self, node: str) -> None:
        """Count a request sent to a node."""
        state = self.node_state(node)
        state.in_flight += 1
        state.sent_since_report += 1

    def on_ended(self, node: str) -> None:
        """Count a request as ended."""
        state = self.node_state(node)
        state.in_flight = max(0, state.in_flight - 1)

    def on_report(self, node: str, report: LoadReport, now: float) -> None:
        """Take over a load report."""
        state = self.node_state(node)
        state.report = report
        state.reported_at = now
        state.sent_since_report = 0

    def on_success(self, node: str) -> None:
        """Trust a node again."""
        state = self.node_state(node)
        state.avoidance_seconds = INITIAL_AVOIDANCE_SECONDS
        state.avoided_until = 0.0

    def on_failure(self, node: str, now: float) -> None:
        """Pass a node over for a time that doubles with each failure in a row."""
        state = self.node_state(node)
        state.avoided_until = now + state.avoidance_seconds
        state.avoidance_seconds = min(MAX_AVOIDANCE_SECONDS, state.avoidance_seconds * 2.0)
