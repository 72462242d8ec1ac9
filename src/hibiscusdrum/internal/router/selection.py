"""Load balancing: choice of the node for a request that any target of a service may serve.

Targets differ in speed and load, and are spread over failure domains and regions. The node with the shortest
expected response time is chosen; one in another region only if that saves the caller more than the detour
costs.

In a large service a node learns the load of another one only from the replies to its own requests, seconds
apart. Therefore the best of a small random sample is chosen, and the first nodes are probed: they decline the
request if they have no free slot, since a round trip within a region takes less time than waiting in a queue.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Iterable

import msgspec

from hibiscusdrum.internal.load.cost_model import ClassCosts
from hibiscusdrum.internal.messages import UNKNOWN_OUTLOOK, Answered, Declined, Pong
from hibiscusdrum.internal.router.path_delay import PathDelay

# Assumed mean service time of a target whose load is unknown.
DEFAULT_SERVICE_SECONDS = 0.15
MIN_SERVICE_SECONDS = 0.001
# Expected wait for a rate limit whose state is not known, as a share of the time between two requests.
RATE_WAIT_SHARE = 0.5
# Added to the expected response time of a node in another region: the round trip takes 60 ms, and the link is
# slow and billed by volume.
CROSS_REGION_PENALTY_SECONDS = 0.15
# Weight of a target's utilization: requests that can go elsewhere should leave capacity for those that
# cannot.
UTILIZATION_WEIGHT = 0.3
# Added for each megabyte of body, because all nodes of a region share a link of 30 Mbit/s.
CROSS_REGION_PENALTY_SECONDS_PER_MB = 3.0
CROSS_DOMAIN_PENALTY_SECONDS = 0.004
# A node is avoided for this long after a failure, if there is another; the time doubles up to the maximum.
INITIAL_AVOIDANCE_SECONDS = 1.0
MAX_AVOIDANCE_SECONDS = 8.0
# Older load reports are ignored.
REPORT_MAX_AGE_SECONDS = 3.0
# Time constant with which reported requests decay: most of them have ended after a few service times.
REPORT_DECAY_SECONDS = 0.5
# Weight of a report in the usual load of a target. At a few reports a second it spans several seconds.
USUAL_LOAD_SMOOTHING = 0.1
# Nodes compared for a request, in this region and in others. Services of up to six nodes are not sampled.
LOCAL_SAMPLE_SIZE = 3
REMOTE_SAMPLE_SIZE = 1
# With costs, estimates differ more between targets, so that with three candidates the nodes more often choose
# the same target from outdated reports. In a long overload, three make 2 % more requests miss their goals.
COST_AWARE_SAMPLE_SIZE = 2
MAX_UNSAMPLED_CANDIDATES = 6
# Nodes probed for a free slot before a request is queued. A probe does not carry a large body.
MAX_LOCAL_PROBES = 2
# The same for a service without a node in this region, since a round trip to another region takes 60 ms.
MAX_REMOTE_PROBES = 1
BYTES_PER_MEGABYTE = 1_000_000.0
# Time constant with which a reported slowdown is forgotten: targets are slow for 0.4 s at a time.
SLOWDOWN_DECAY_SECONDS = 0.3
# Reports beyond these bounds are not credible: no queue holds a minute of work, since deadlines are shorter.
MAX_WORK_SECONDS_PER_SLOT = 60.0
MAX_REPORTED_SLOWDOWN = 10.0

# Service, and class of requests of similar cost.
CostClass = tuple[str, str]


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Load of a target as seen by the router on its VM.

    Attributes
    ----------
    rate_limit : float
        Requests per second that the target accepts from all nodes together; 0 if unlimited.
    work_seconds : float
        Expected work of all that runs or waits, in seconds of one slot at usual speed; 0 if unknown.
    link_seconds : float
        Expected wait of a further large answer for the link of the target's VM.
    slowdown : float
        How long work takes at the target now; 1 as usual.
    """

    running: int = 0
    queued: int = 0
    slots: int = 1
    mean_service_seconds: float = DEFAULT_SERVICE_SECONDS
    accepting: bool = True
    rate_limit: float = 0.0
    work_seconds: float = 0.0
    link_seconds: float = 0.0
    slowdown: float = 1.0

    @classmethod
    def of(cls, message: Answered | Declined | Pong) -> LoadReport:
        """Return the report that a message carries."""
        return cls(*message.load, message.rate_limit, *message.outlook)

    @property
    def credible(self) -> bool:
        """Whether work and slowdown are plausible; otherwise they count as not reported."""
        work, slowdown = self.work_seconds, self.slowdown
        return (
            0.0 <= work <= MAX_WORK_SECONDS_PER_SLOT * max(1, self.slots)
            and 1.0 / MAX_REPORTED_SLOWDOWN <= slowdown <= MAX_REPORTED_SLOWDOWN
        )


class Candidate(msgspec.Struct, frozen=True):
    """A node that may serve a request."""

    node: str
    region: str
    failure_domain: str


class NodeState:
    """What this node knows about a node's target.

    Attributes
    ----------
    in_flight : int
        Requests from this node that have no outcome yet.
    sent_since_report : int
        Requests sent since the last load report.
    sent_seconds : float
        Expected cost of these requests at the target.
    usual_requests, usual_work : float
        Moving averages of the reported requests, and of their work in seconds.
    avoided_until : float
        Monotonic time in seconds until which the node is avoided after a failure.
    avoidance_seconds : float
        Duration of the next avoidance.
    """

    __slots__ = (
        "avoidance_seconds",
        "avoided_until",
        "in_flight",
        "report",
        "reported_at",
        "sent_seconds",
        "sent_since_report",
        "usual_requests",
        "usual_work",
    )

    def __init__(self) -> None:
        self.report = LoadReport()
        self.reported_at = float("-inf")
        self.in_flight = 0
        self.sent_since_report = 0
        self.sent_seconds = 0.0
        self.usual_requests = 0.0
        self.usual_work = 0.0
        self.avoided_until = 0.0
        self.avoidance_seconds = INITIAL_AVOIDANCE_SECONDS

    def expected_requests(self, now: float) -> float:
        """Return the expected number of requests at the target."""
        age = now - self.reported_at
        if age > REPORT_MAX_AGE_SECONDS:
            return float(self.in_flight)
        reported = (self.report.running + self.report.queued) * math.exp(-age / REPORT_DECAY_SECONDS)
        return max(float(self.in_flight), reported + self.sent_since_report)

    def expected_load(self, now: float) -> tuple[float, float]:
        """Return the expected number of requests at the target, and their work at its usual speed in seconds.

        Between reports the load returns to what it usually is at this target: the requests that were there
        end, and others arrive from nodes of which this one knows nothing.
        """
        report = self.report
        weight = math.exp(min(0.0, self.reported_at - now) / REPORT_DECAY_SECONDS)
        requests = self.usual_requests + (report.running + report.queued - self.usual_requests) * weight
        work = self.usual_work + (self.reported_work - self.usual_work) * weight
        requests, work = requests + self.sent_since_report, work + self.sent_seconds
        if requests < self.in_flight:
            per_request = work / requests if requests > 0.0 else report.mean_service_seconds
            return float(self.in_flight), self.in_flight * per_request
        return requests, work

    @property
    def reported_work(self) -> float:
        """Work in the last report; a peer of an earlier release reports the number of requests only."""
        report = self.report
        return report.work_seconds or (report.running + report.queued) * report.mean_service_seconds

    def on_report(self, report: LoadReport, now: float) -> None:
        """Store a report."""
        if not report.credible:
            work, _, slowdown = UNKNOWN_OUTLOOK
            report = msgspec.structs.replace(report, work_seconds=work, slowdown=slowdown)
        self.report = report
        first = math.isinf(self.reported_at)
        share = 1.0 if first else USUAL_LOAD_SMOOTHING
        self.usual_requests += (report.running + report.queued - self.usual_requests) * share
        self.usual_work += (self.reported_work - self.usual_work) * share
        self.reported_at = now
        self.sent_since_report = 0
        self.sent_seconds = 0.0

    def slowdown(self, now: float) -> float:
        """Return how long work is expected to take at the target now, 1 as usual."""
        age = max(0.0, now - self.reported_at)
        return 1.0 + (self.report.slowdown - 1.0) * math.exp(-age / SLOWDOWN_DECAY_SECONDS)

    @property
    def capacity(self) -> float:
        """Requests per second that the target can run according to its last report."""
        report = self.report
        capacity = max(1, report.slots) / max(report.mean_service_seconds, MIN_SERVICE_SECONDS)
        return min(capacity, report.rate_limit or capacity)

    def rate_wait(self, now: float, probing: bool) -> float:
        """Return the expected seconds until the target's rate limit admits a request.

        Parameters
        ----------
        probing : bool
            Whether the node declines the request if it would have to wait. It may then be asked although the
            report is outdated, and the requests of other nodes since the report need not be considered.
        """
        rate, age = self.report.rate_limit, now - self.reported_at
        if not rate or (probing and age >= REPORT_MAX_AGE_SECONDS):
            return 0.0
        wait = (self.report.queued + self.sent_since_report) / rate - age
        return max(0.0, wait) if probing else max(wait, min(age, RATE_WAIT_SHARE / rate))

    def link_wait(self, now: float) -> float:
        """Return the expected seconds that a large answer waits for the link of the target's VM."""
        return max(0.0, self.report.link_seconds - (now - self.reported_at))

    def avoided(self, now: float) -> bool:
        """Return whether the node failed recently, or reports that it accepts no requests."""
        outdated = now - self.reported_at >= REPORT_MAX_AGE_SECONDS
        return self.avoided_until > now or not (self.report.accepting or outdated)


class NodeSelector:
    """Chooses among the nodes of a service by their expected response time.

    Parameters
    ----------
    region, failure_domain : str
        Location of this node.
    rng : random.Random
        Draws samples and varies the estimates, so that nodes do not all choose the same target.
    cost_aware : bool
        Whether response times are expected by the costs of requests instead of their number.

    Attributes
    ----------
    class_costs : ClassCosts
        Costs of classes, and relative costs of targets.
    """

    __slots__ = (
        "class_costs",
        "cost_aware",
        "failure_domain",
        "node_states",
        "path_delays",
        "region",
        "rng",
    )

    def __init__(
        self, region: str, failure_domain: str, rng: random.Random, cost_aware: bool = False
    ) -> None:
        self.cost_aware = cost_aware
        self.class_costs = ClassCosts()
        self.region = region
        self.failure_domain = failure_domain
        self.rng = rng
        self.node_states: dict[str, NodeState] = {}
        self.path_delays: dict[str, PathDelay] = {}

    def path_delay(self, region: str) -> PathDelay:
        """Return the round trip measurements of a region."""
        path = self.path_delays.get(region)
        if path is None:
            path = self.path_delays[region] = PathDelay()
        return path

    def node_state(self, node: str) -> NodeState:
        """Return what is known about a node."""
        state = self.node_states.get(node)
        if state is None:
            state = self.node_states[node] = NodeState()
        return state

    def own_cost(self, node: str, cost_class: CostClass | None) -> float:
        """Return the expected cost of a request at a node's target, at the usual speed of this target."""
        state = self.node_state(node)
        known = self.class_costs.expected(node, cost_class) if cost_class is not None else None
        if known is not None and (node in self.class_costs.relative_costs or math.isinf(state.reported_at)):
            return known
        # Either the class is unknown, or the peer is of an earlier release, which reports no class costs.
        return max(state.report.mean_service_seconds, MIN_SERVICE_SECONDS)

    def expected_end_seconds(self, node: str, cost_class: CostClass | None, now: float) -> float:
        """Return the expected time to the end of a request, by the work at the target and its own cost."""
        state = self.node_state(node)
        slots = max(1, state.report.slots)
        requests, work = state.expected_load(now)
        seconds = self.own_cost(node, cost_class) + UTILIZATION_WEIGHT * work / slots
        excess_requests = requests + 1.0 - slots
        if excess_requests > 0.0 and requests > 0.0:
            seconds += work / requests * excess_requests / slots
        return seconds * state.slowdown(now)

    def expected_seconds(
        self,
        candidate: Candidate,
        size: int,
        now: float,
        probing: bool = False,
        cost_class: CostClass | None = None,
        bulk_answer: bool = False,
    ) -> float:
        """Return the expected response time in seconds, with penalties for distant nodes.

        Parameters
        ----------
        size : int
            Bytes of the request's body.
        probing : bool
            Whether the node is only to be probed for a free slot.
        cost_class : tuple or None
            Class of the request; None if not known.
        bulk_answer : bool
            Whether the answer is expected to be large, so that it waits for the link of the target's VM.
        """
        state = self.node_state(candidate.node)
        report = state.report
        if self.cost_aware:
            seconds = self.expected_end_seconds(candidate.node, cost_class, now)
        else:
            slots = max(1, report.slots)
            excess_requests = state.expected_requests(now) + 1.0 - slots
            seconds = report.mean_service_seconds * (1.0 + max(0.0, excess_requests) / slots)
            seconds += UTILIZATION_WEIGHT * report.mean_service_seconds * state.expected_requests(now) / slots
        seconds = max(seconds, report.mean_service_seconds + state.rate_wait(now, probing))
        if bulk_answer:
            seconds += state.link_wait(now)
        if candidate.region != self.region:
            seconds += (
                CROSS_REGION_PENALTY_SECONDS + CROSS_REGION_PENALTY_SECONDS_PER_MB * size / BYTES_PER_MEGABYTE
            )
            seconds += self.path_delay(candidate.region).queueing_seconds(now)
        elif candidate.failure_domain != self.failure_domain:
            seconds += CROSS_DOMAIN_PENALTY_SECONDS
        return seconds * (1.0 + 0.05 * self.rng.random())

    def choose(
        self,
        candidates: Iterable[Candidate],
        size: int,
        now: float,
        exclude: Collection[str] = (),
        probing: bool = False,
        cost_class: CostClass | None = None,
        bulk_answer: bool = False,
    ) -> Candidate | None:
        """Return the candidate with the shortest expected response time, or None if there is no candidate."""
        best: Candidate | None = None
        lowest_cost = float("inf")
        for candidate in self.comparison_sample(
            [entry for entry in candidates if entry.node not in exclude], now
        ):
            state = self.node_state(candidate.node)
            cost = self.expected_seconds(candidate, size, now, probing, cost_class, bulk_answer)
            if state.avoided_until > now:
                cost += 10.0 + (state.avoided_until - now)
            if not state.report.accepting and now - state.reported_at < REPORT_MAX_AGE_SECONDS:
                cost += 5.0
            if cost < lowest_cost:
                best, lowest_cost = candidate, cost
        return best

    def select(
        self,
        candidates: Collection[Candidate],
        size: int,
        now: float,
        busy_nodes: Collection[str],
        refusing_nodes: Collection[str],
        probe: bool = True,
        cost_class: CostClass | None = None,
        bulk_answer: bool = False,
    ) -> tuple[Candidate, bool] | None:
        """Return a node for a request, and whether it should decline the request if it has no free slot.

        Parameters
        ----------
        size : int
            Bytes of the request's body.
        busy_nodes, refusing_nodes : collection of str
            Nodes that had no free slot and may still queue the request, and nodes not to ask again.
        probe : bool
            Whether nodes may be probed for a free slot; pointless in an overload.
        cost_class : tuple or None
            Class of the request; None if not known.
        bulk_answer : bool
            Whether the answer is expected to be large.

        Returns
        -------
        tuple or None
            None if no node is left.
        """
        local = any(entry.region == self.region for entry in candidates)
        if probe and len(busy_nodes) < (MAX_LOCAL_PROBES if local else MAX_REMOTE_PROBES):
            chosen = self.choose(
                candidates, size, now, (*busy_nodes, *refusing_nodes), True, cost_class, bulk_answer
            )
            if chosen is not None:
                has_other = len(candidates) - len(busy_nodes) - len(refusing_nodes) > 1
                return chosen, has_other and (chosen.region == self.region or not local)
        chosen = self.choose(
            candidates, size, now, refusing_nodes, cost_class=cost_class, bulk_answer=bulk_answer
        )
        return None if chosen is None else (chosen, False)

    def comparison_sample(self, candidates: list[Candidate], now: float) -> list[Candidate]:
        """Return the candidates to compare: all of a few, else a random sample of those not avoided.

        The sample is drawn in proportion to reported capacity: if many targets had little of it, for example
        because of rate limits, a uniform sample would often contain no other.
        """
        if len(candidates) <= MAX_UNSAMPLED_CANDIDATES:
            return candidates
        available = [
            entry for entry in candidates if not self.node_state(entry.node).avoided(now)
        ] or candidates
        local = [entry for entry in available if entry.region == self.region]
        remote = [entry for entry in available if entry.region != self.region]
        local_sample_size = COST_AWARE_SAMPLE_SIZE if self.cost_aware else LOCAL_SAMPLE_SIZE
        # Without a node in this region, remote nodes are sampled at the local sample size.
        remote_sample_size = REMOTE_SAMPLE_SIZE if local else local_sample_size
        return self.weighted_sample(local, local_sample_size) + self.weighted_sample(
            remote, remote_sample_size
        )

    def weighted_sample(self, candidates: list[Candidate], size: int) -> list[Candidate]:
        """Return a random sample without replacement, in proportion to the capacity of the targets."""
        if len(candidates) <= size:
            return candidates
        weights = [self.sample_weight(entry.node) for entry in candidates]
        # The entries with the earliest arrivals of Poisson processes whose rates are the weights.
        arrivals = [self.rng.expovariate(weight) for weight in weights]
        order = sorted(range(len(candidates)), key=arrivals.__getitem__)
        return [candidates[index] for index in order[:size]]

    def sample_weight(self, node: str) -> float:
        """Return the requests per second that a node's target can run, for the choice of a sample.

        The mean service time of a target depends on the costs of the requests that were sent to it, so it
        says little about its speed once they are sent where they end first.
        """
        state = self.node_state(node)
        if not self.cost_aware or node not in self.class_costs.relative_costs:
            return state.capacity
        report = state.report
        capacity = max(1, report.slots) / (DEFAULT_SERVICE_SECONDS * self.class_costs.relative_cost(node))
        return min(capacity, report.rate_limit or capacity)

    def on_sent(self, node: str, cost_class: CostClass | None = None) -> None:
        """Count a request as sent to a node."""
        state = self.node_state(node)
        state.in_flight += 1
        state.sent_since_report += 1
        state.sent_seconds += self.own_cost(node, cost_class)

    def on_class_cost(self, node: str, cost_class: CostClass, seconds: float) -> None:
        """Store the mean cost of a class at a node's target; 0 if the node does not report it."""
        self.class_costs.record(node, cost_class, seconds)

    def on_ended(self, node: str) -> None:
        """Count a request to a node as ended."""
        state = self.node_state(node)
        state.in_flight = max(0, state.in_flight - 1)

    def on_report(self, node: str, report: LoadReport, now: float) -> None:
        """Store a node's load report."""
        state = self.node_state(node)
        state.on_report(report, now)

    def on_success(self, node: str) -> None:
        """End the avoidance of a node."""
        state = self.node_state(node)
        state.avoidance_seconds = INITIAL_AVOIDANCE_SECONDS
        state.avoided_until = 0.0

    def on_failure(self, node: str, now: float) -> None:
        """Avoid a node for a time that doubles with each consecutive failure."""
        state = self.node_state(node)
        state.avoided_until = now + state.avoidance_seconds
        state.avoidance_seconds = min(MAX_AVOIDANCE_SECONDS, state.avoidance_seconds * 2.0)
