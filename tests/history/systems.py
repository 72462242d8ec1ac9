"""The systems that features and benchmarks use: a service under load in one or two regions."""

from __future__ import annotations

import time

from tools.processes import wait_until

from tests.history.cluster import Cluster, ClusterSpec, NodeSpec
from tests.history.model import History

SERVICE = "verleihung"
SLICES = 64
KEYS = 16
REQUESTS_PER_SECOND = 80.0
# Long enough that a missed bound of 5 s or 7 s is reported by the checker and not by the harness.
WAIT_SECONDS = 12.0
MINIMUM_ANSWERS = 50
FAILURE_DOMAINS = "ab"
NODES = 4
# The first owner's target does not check epochs, as some do not; leases and deadlines must suffice.
UNFENCED = {"a": {"checks-epoch": "false"}, "b": {}}


def loaded_cluster(
    regions: tuple[str, ...], *, relayed: bool = False, load_seconds: float = 180.0
) -> Cluster:
    """Start four nodes in two failure domains of each region, and one caller for each region."""
    each = NODES // len(regions) // len(FAILURE_DOMAINS)
    nodes = tuple(
        NodeSpec(f"{region}-{domain}{number}", region, f"{region}-{domain}", target=UNFENCED[domain])
        for region in regions
        for domain in FAILURE_DOMAINS
        for number in range(1, each + 1)
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


def complete_records(cluster: Cluster) -> History:
    """Return the history once each caller has an outcome of a request sent from now on.

    Raises
    ------
    AssertionError
        If a caller has ended or the history has too little in it to prove anything.
    """
    now = time.monotonic()

    def callers_go_on() -> bool:
        recent = {operation.caller for operation in cluster.operations() if operation.invoked > now}
        return recent == {load.caller for load in cluster.loads}

    wait_until(callers_go_on, WAIT_SECONDS, "each caller has a recent outcome")
    history = cluster.records()
    assert sum(operation.outcome == "ok" for operation in history.operations) >= MINIMUM_ANSWERS
    assert history.ownership and history.observed_revisions and history.effects
    return history


def make_plan(cluster: Cluster, node: str, **intent: object) -> str:
    """Make a plan at a node and return its id."""
    status, answer = cluster.operator(node, "POST", "plan", intent)
    assert status == 201, answer
    return answer["plan"]["id"]


def plan_state(cluster: Cluster, node: str, plan: str) -> str:
    """Return the state of a plan as a node knows it, empty when it does not answer."""
    status, answer = cluster.operator(node, "GET", f"plan/{plan}")
    return answer["state"] if status == 200 else ""
