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
# Reported requests count less with the age of the report: most have ended after a few service times.
REPORT_DECAY_SECONDS = 0.5
# Nodes that are compared for a request, in the own region and in others. Smaller services are compared whole.
NEAR_SAMPLE = 3
FAR_SAMPLE = 1
LARGEST_WHOLE = 6
# Nodes that may turn a request away because they have no free slot. Large bodies are not sent with a try.
BUSY_TRIES = 2
# The same for a service without a node in the own region: a round trip takes 60 ms.
FAR_BUSY_TRIES = 1
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
        age = now - self.reported_at
        if age > REPORT_LIFE_SECONDS:
            return float(self.in_flight)
        reported = (self.report.running + self.report.queued) * math.exp(-age / REPORT_DECAY_SECONDS)
        return max(float(self.in_flight), reported + self.sent_since)

    def passed_over(self, now: float) -> bool:
        """Return whether the node failed shortly before, or says that it takes nothing."""
        outdated = now - self.reported_at >= REPORT_LIFE_SECONDS
        return self.avoid_until > now or not (self.report.accepting or outdated)


class Selection:
    """Views of all nodes, and the choice among them.

    Parameters
    ----------
    region, failure_domain : str
        Where this node is.
    rng : random.Random
        Breaks ties, so that nodes do not all choose the same target.
    """

    __slots__ = ("failure_domain", "paths", "region", "rng", "views")

    def __init__(self, region: str, failure_domain: str, rng: random.Random) -> None:
        self.region = region
        self.failure_domain = failure_domain
        self.rng = rng
        self.views: dict[str, NodeView] = {}
        self.paths: dict[str, PathDelay] = {}

    def path(self, region: str) -> PathDelay:
        """Return the round trips to a region."""
        path = self.paths.get(region)
        if path is None:
            path = self.paths[region] = PathDelay()
        return path

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
            seconds += self.path(candidate.region).excess(now)
        elif candidate.failure_domain != self.failure_domain:
            seconds += CROSS_DOMAIN_SECONDS
        return seconds * (1.0 + 0.05 * self.rng.random())

    def choose(
        self, candidates: Iterable[Candidate], size: int, now: float, exclude: Collection[str] = ()
    ) -> Candidate | None:
        """Return the candidate with the shortest expected time, or None when there is none."""
        best: Candidate | None = None
        best_cost = float("inf")
        for candidate in self.compared([entry for entry in candidates if entry.node not in exclude], now):
            view = self.view(candidate.node)
            cost = self.expected(candidate, size, now)
            if view.avoid_until > now:
                cost += 10.0 + (view.avoid_until - now)
            if not view.report.accepting and now - view.reported_at < REPORT_LIFE_SECONDS:
                cost += 5.0
            if cost < best_cost:
                best, best_cost = candidate, cost
        return best

    def place(
        self,
        candidates: Collection[Candidate],
        size: int,
        now: float,
        busy: Collection[str],
        refused: Collection[str],
        tries: bool = True,
    ) -> tuple[Candidate, bool] | None:
        """Return a node for a request, and whether it should turn the request away when it has no free slot.

        Parameters
        ----------
        size : int
            Bytes of the request's body.
        busy, refused : collection of str
            Nodes that had no free slot, and nodes that refused the request for good.
        tries : bool
            Whether nodes may be asked for a free slot; in an overload none has one.

        Returns
        -------
        tuple or None
            None when no node is left.
        """
        near = any(entry.region == self.region for entry in candidates)
        if tries and len(busy) < (BUSY_TRIES if near else FAR_BUSY_TRIES):
            chosen = self.choose(candidates, size, now, (*busy, *refused))
            if chosen is not None:
                others = len(candidates) - len(busy) - len(refused) > 1
                return chosen, others and (chosen.region == self.region or not near)
        chosen = self.choose(candidates, size, now, refused)
        return None if chosen is None else (chosen, False)

    def compared(self, candidates: list[Candidate], now: float) -> list[Candidate]:
        """Return the candidates to compare: all of a few, else a random sample of those that seem well."""
        if len(candidates) <= LARGEST_WHOLE:
            return candidates
        well = [entry for entry in candidates if not self.view(entry.node).passed_over(now)] or candidates
        near = [entry for entry in well if entry.region == self.region]
        far = [entry for entry in well if entry.region != self.region]
        # Without a node in the own region the far ones are compared in its place.
        wanted = FAR_SAMPLE if near else NEAR_SAMPLE
        return self.rng.sample(near, min(NEAR_SAMPLE, len(near))) + self.rng.sample(
            far, min(wanted, len(far))
        )

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
