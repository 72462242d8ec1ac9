"""Measures service while the regions are parted for minutes, with real processes behind a relay.

Run as ``python -m bench.region_partition --seconds 120``. A plan is confirmed during the partition; it must
stay committed until the regions are joined again, and then be accepted.
"""

from __future__ import annotations

import sys
import time

import defopt
from tests.history.model import RevisionAccepted
from tests.history.systems import WAIT_SECONDS, complete_history, create_plan, loaded_cluster, plan_state
from tools.processes import wait_until

from bench.store_outage import LOAD_MARGIN_SECONDS, MAXIMUM_SECONDS, SETTLE_SECONDS, report


def main(*, seconds: int = 120) -> int:
    """Run one partition.

    Parameters
    ----------
    seconds : int
        Length of the partition, at most 300.
    """
    seconds = min(seconds, MAXIMUM_SECONDS)
    cluster = loaded_cluster(("ost", "west"), relayed=True, load_seconds=seconds + LOAD_MARGIN_SECONDS)
    try:
        time.sleep(SETTLE_SECONDS)
        node = cluster.spec.nodes[0].name
        event = cluster.partition_region("west")
        plan = create_plan(cluster, node, kind="create_tenant", name="new-tenant")
        status, answer = cluster.operator_request(node, "POST", f"confirm/{plan}")
        time.sleep(seconds)
        print(f"confirm: {status}, after {seconds} s: {plan_state(cluster, node, plan)}")
        cluster.heal(event)
        healed = time.monotonic()
        wait_until(
            lambda: plan_state(cluster, node, plan) == "accepted", WAIT_SECONDS, "the plan is accepted"
        )
        print(f"accepted {time.monotonic() - healed:.2f} s after the partition")
        cluster.accepted_revisions.append(RevisionAccepted(answer["revision"], time.monotonic()))
        time.sleep(SETTLE_SECONDS)
        return report(complete_history(cluster), cluster.events[-1])
    finally:
        cluster.close()


if __name__ == "__main__":
    sys.exit(defopt.run(main))
