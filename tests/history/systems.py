"""Clusters under load for features and benchmarks: one service in one or two regions."""

from __future__ import annotations

import time

from tools.processes import wait_until

from tests.history.cluster import Cluster, ClusterSpec, NodeSpec
from tests.history.model import History

SERVICE = "verleihung"
SLICES = 64
KEYS = 16
REQUESTS_PER_SECOND = 80.0
# Exceeds the bounds of 5 s and 7 s, so that the checker reports a missed bound before a wait times out.
WAIT_SECONDS = 12.0
MINIMUM_ANSWERS = 50
FAILURE_DOMAINS = "ab"
NODES = 4
# Target flags by failure domain. The target of the first owner does not check epochs, as some targets in the
# field do not, so leases and deadlines alone must keep ownership exclusive.
TARGET_FLAGS = {"a": {"checks-epoch": "false"}, "b": {}}


def loaded_cluster(
    regions: tuple[str, ...], *, relayed: bool = False, load_seconds: float = 180.0
) -> Cluster:
    """Start four nodes, spread evenly over two failure domains of each region, and a caller per region."""
    nodes_per_domain = NODES // len(regions) // len(FAILURE_DOMAINS)
    nodes = tuple(
        NodeSpec(f"{region}-{domain}{number}", region, f"{region}-{domain}", target=TARGET_FLAGS[domain])
        for region in regions
        for domain in FAILURE_DOMAINS
        for number in range(1, nodes_per_domain + 1)
    )
    route = {"name": SERVICE, "regions": list(regions), "divided": False, "slices": SLICES}
    tenants = {f"tenant-{r}": {"name": f"tenant-{r}", "home_regions": [r]} for r in regions}
    cluster = Cluster(ClusterSpec(nodes, {SERVICE: route}, tenants, relayed))
    try:
        cluster.start()
        for region in regions:
            values = {"keys": KEYS, "rate": REQUESTS_PER_SECOND, "seconds": load_seconds}
            cluster.start_load(region=region, tenant=f"tenant-{region}", **values)
        wait_until(lambda: len(cluster.operations()) >= MINIMUM_ANSWERS, WAIT_SECONDS, "the load runs")
    except BaseException:
        cluster.close()
        raise
    return cluster


def complete_history(cluster: Cluster) -> History:
    """Return the history after each caller has recorded an outcome of a request sent since this call.

    Raises
    ------
    AssertionError
        If a caller records no new outcome, or the history has too few records for a meaningful check.
    """
    called_at = time.monotonic()

    def callers_progress() -> bool:
        recent = {operation.caller for operation in cluster.operations() if operation.invoked > called_at}
        return recent == {load.caller for load in cluster.loads}

    wait_until(callers_progress, WAIT_SECONDS, "each caller has a recent outcome")
    history = cluster.history()
    assert sum(operation.outcome == "ok" for operation in history.operations) >= MINIMUM_ANSWERS
    assert history.ownership and history.observed_revisions and history.effects
    return history


def create_plan(cluster: Cluster, node: str, **intent: object) -> str:
    """Create a plan at a node and return its identifier."""
    status, answer = cluster.operator_request(node, "POST", "plan", intent)
    assert status == 201, answer
    return answer["plan"]["id"]


def plan_state(cluster: Cluster, node: str, plan: str) -> str:
    """Return the state of a plan as reported by a node, or an empty string if the node does not answer."""
    status, answer = cluster.operator_request(node, "GET", f"plan/{plan}")
    return answer["state"] if status == 200 else ""
