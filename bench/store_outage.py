"""Measures service through a long outage of the platform's store, with real processes on loopback.

Run as ``python -m bench.store_outage --seconds 60 --mode down``. Prints how many requests were sent and
answered during the outage, the longest wait, and every violation that the history checker finds.
"""

from __future__ import annotations

import sys
import time

import defopt
from tests.history.checker import check
from tests.history.model import Event, History
from tests.history.systems import complete_history, loaded_cluster

MAXIMUM_SECONDS = 300
SETTLE_SECONDS = 3.0
LOAD_MARGIN_SECONDS = 60.0


def main(*, seconds: int = 60, mode: str = "down", delay_ms: float = 0.0) -> int:
    """Run one outage.

    Parameters
    ----------
    seconds : int
        Length of the outage, at most 300.
    mode : str
        ``down``, ``slow`` (with ``delay_ms``) or ``lose_reply``.
    delay_ms : float
        Delay of each answer of a slow store.
    """
    seconds = min(seconds, MAXIMUM_SECONDS)
    cluster = loaded_cluster(("ost",), load_seconds=seconds + LOAD_MARGIN_SECONDS)
    try:
        # Nodes that have just joined still move slices; a move under way would wait for the store.
        time.sleep(SETTLE_SECONDS)
        cluster.inject_store_fault(mode, seconds, delay_ms)
        time.sleep(seconds + SETTLE_SECONDS)
        history = complete_history(cluster)
        return report(history, cluster.events[-1])
    finally:
        cluster.close()


def report(history: History, event: Event) -> int:
    """Print the figures of a fault; returns 1 when a request failed or a guarantee was broken."""
    inside = [o for o in history.operations if event.at <= o.invoked <= event.until]
    failed = [o for o in inside if o.outcome != "ok"]
    waits = [o.completed - o.invoked for o in inside]
    violations = check(history)
    print(f"{event.kind} for {event.until - event.at:.1f} s")
    answered, longest = len(inside) - len(failed), max(waits) * 1000.0
    print(f"requests {len(inside)}, answered {answered}, longest wait {longest:.0f} ms")
    for line in (*failed[:3], *violations[:5]):
        print(line)
    print(f"{len(violations)} violations")
    return 1 if failed or violations else 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
