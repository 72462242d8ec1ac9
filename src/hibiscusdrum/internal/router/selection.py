"""Choice of the node whose target serves a request that any target of a service may serve.

The load that these decisions answer is a service whose targets differ in speed and are unevenly busy, in
several failure domains and regions. The node with the shortest expected time to an answer is chosen; another
region is chosen only when that saves the caller more than the detour costs.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable

import msgspec

# Expected time of an answer from a node that nothing is known of, in seconds.
UNKNOWN_SERVICE_SECONDS = 0.15
# Advantage that an answer from another region must have, in seconds: the round trip is 60 ms, and the link is
# narrow and paid for by volume.
CROSS_REGION_SECONDS = 0.15
# Weight of a target's utilization: requests that may go elsewhere leave room for those that may not.
UTILIZATION_WEIGHT = 0.3
# Further advantage for each megabyte of body; 30 Mbit/s are shared by all nodes of a region.
CROSS_REGION_SECONDS_PER_MB = 3.0
CROSS_DOMAIN_SECONDS = 0.004
# After a failure a node is passed over for this long, when there is another.
AVOID_SECONDS = 1.0
MAX_AVOID_SECONDS = 8.0
# A load report says nothing any more after this many seconds.
REPORT_LIFE_SECONDS = 3.0
MEGABYTE = 1_000_000.0


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Load of a target as its daemon sees it; ``service`` is the mean service time in seconds."""

    running: int = 0
    queued: int = 0
    slots: int = 1
    service: float = UNKNOWN_SERVICE_SECONDS
    accepting: bool = True


class Candidate(msgspec.Struct, frozen=True):
    """A node that may serve a request."""

    node: str
    region: str
    failure_domain: str


class NodeView:
    """What this node knows of another one's target."""

    __slots__ = ("avoid_for", "avoid_until", "in_flight", "report", "reported_at", "sent_since")

    def __init__(self) -> None:
        self.report = LoadReport()
        self.reported_at = float("-inf")
        self.in_flight = 0
        self.sent_since = 0
        self.avoid_until = 0.0
        self.avoid_for = AVOID_SECONDS

    def busy(self, now: float) -> float:
        """Return the expected number of requests at the target."""
        if now - self.reported_at > REPORT_LIFE_SECONDS:
            return float(self.in_flight)
        return float(max(self.in_flight, self.report.running + self.report.queued + self.sent_since))


class Selection:
    """Views of all nodes, and the choice among them.

    Parameters
    ----------
    region, failure_domain : str
        Where this node is.
    rng : random.Random
        Breaks ties, so that nodes do not all choose the same target.
    """

    __slots__ = ("failure_domain", "region", "rng", "views")

    def __init__(self, region: str, failure_domain: str, rng: random.Random) -> None:
        self.region = region
        self.failure_domain = failure_domain
        self.rng = rng
        self.views: dict[str, NodeView] = {}

    def view(self, node: str) -> NodeView:
        """Return what is known of a node."""
        view = self.views.get(node)
        if view is None:
            view = self.views[node] = NodeView()
        return view

    def expected(self, candidate: Candidate, size: int, now: float) -> float:
        """Return the expected seconds to an answer, detours included.

        Parameters
        ----------
        size : int
            Bytes of the request's body.
        """
        view = self.view(candidate.node)
        report = view.report
        slots = max(1, report.slots)
        over = view.busy(now) + 1.0 - slots
        seconds = report.service * (1.0 + max(0.0, over) / slots)
        seconds += UTILIZATION_WEIGHT * report.service * view.busy(now) / slots
        if candidate.region != self.region:
            seconds += CROSS_REGION_SECONDS + CROSS_REGION_SECONDS_PER_MB * size / MEGABYTE
        elif candidate.failure_domain != self.failure_domain:
            seconds += CROSS_DOMAIN_SECONDS
        return seconds * (1.0 + 0.05 * self.rng.random())

    def choose(
        self, candidates: Iterable[Candidate], size: int, now: float, exclude: Collection[str] = ()
    ) -> Candidate | None:
        """Return the candidate with the shortest expected time, or None when there is none."""
        best: Candidate | None = None
        best_cost = float("inf")
        for candidate in candidates:
            if candidate.node in exclude:
                continue
            view = self.view(candidate.node)
            cost = self.expected(candidate, size, now)
            if view.avoid_until > now:
                cost += 10.0 + (view.avoid_until - now)
            if not view.report.accepting and now - view.reported_at < REPORT_LIFE_SECONDS:
                cost += 5.0
            if cost < best_cost:
                best, best_cost = candidate, cost
        return best

    def sent(self, node: str) -> None:
        """Count a request sent to a node."""
        view = self.view(node)
        view.in_flight += 1
        view.sent_since += 1

    def ended(self, node: str) -> None:
        """Count a request as ended."""
        view = self.view(node)
        view.in_flight = max(0, view.in_flight - 1)

    def reported(self, node: str, report: LoadReport, now: float) -> None:
        """Take over a load report."""
        view = self.view(node)
        view.report = report
        view.reported_at = now
        view.sent_since = 0

    def succeeded(self, node: str) -> None:
        """Trust a node again."""
        view = self.view(node)
        view.avoid_for = AVOID_SECONDS
        view.avoid_until = 0.0

    def failed(self, node: str, now: float) -> None:
        """Pass a node over for a time that doubles with each failure in a row."""
        view = self.view(node)
        view.avoid_until = now + view.avoid_for
        view.avoid_for = min(MAX_AVOID_SECONDS, view.avoid_for * 2.0)
