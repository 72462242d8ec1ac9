"""Compares leases granted by guards with leases renewed through the store.

Store leases: each node writes its lease row every ``--renewal`` seconds and counts the lease from when it
sent the write. The store executes writes one after another at a limited rate; nodes keep one write under
way and give up after a term. A peer that saw the row unchanged for a term and the clock margin takes over by
one write. Guard leases run in the model of ``bench.lease_model``; its table has no rate limit, but counts
the writes. Run ``python -m bench.lease_compare``.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import random
import sys

from bench.lease_liveness import chain_lost, formed, store_outage
from hibiscusdrum.internal.ownership.lease import CLOCK_MARGIN_FRACTION, LEASE_TERM_SECONDS

ROUND_TRIP_SECONDS = 0.02
WATCH_SECONDS = 0.1
OUTAGE_SECONDS = 60.0


class StoreLeases:
    """Event-driven model of nodes that renew their leases through a store.

    Parameters
    ----------
    nodes : int
    renewal : float
        Seconds between the renewals of a node.
    rate : float
        Writes a second that the store executes.
    """

    def __init__(self, nodes: int, renewal: float, rate: float, seed: int) -> None:
        self.random = random.Random(seed)
        self.renewal = renewal
        self.rate = rate
        self.time = 0.0
        self.free_at = 0.0
        self.down_from = self.down_until = -1.0
        self.expiry = [0.0] * nodes
        self.last_commit = [0.0] * nodes
        self.lapsed = 0.0
        self.writes = 0
        self.heap: list[tuple[float, int, str, int, float]] = []
        self.counter = itertools.count()
        for node in range(nodes):
            self.at(self.random.random() * renewal, "renew", node, 0.0)

    def at(self, time: float, kind: str, node: int, sent: float) -> None:
        """Schedule an event."""
        heapq.heappush(self.heap, (time, next(self.counter), kind, node, sent))

    def run(self, until: float, count_from: float) -> None:
        """Run up to a time and add up the node-seconds without a lease after ``count_from``."""
        while self.heap and self.heap[0][0] <= until:
            self.time, _, kind, node, sent = heapq.heappop(self.heap)
            if kind == "renew":
                self.renew(node)
            else:
                self.granted(node, sent, count_from)
        for node, expiry in enumerate(self.expiry):
            self.lapsed += max(0.0, until - max(expiry, count_from))
            self.expiry[node] = max(expiry, until)

    def renew(self, node: int) -> None:
        """Send a write; it waits for those before it, and is lost while the store is down."""
        arrival = self.time + ROUND_TRIP_SECONDS / 2
        if self.down_from <= arrival < self.down_until:
            self.at(self.time + self.renewal, "renew", node, 0.0)
            return
        done = max(arrival, self.free_at) + 1.0 / self.rate
        if done - self.time > LEASE_TERM_SECONDS:
            self.at(self.time + self.renewal, "renew", node, 0.0)
            return
        self.free_at = done
        self.at(done + ROUND_TRIP_SECONDS / 2, "granted", node, self.time)

    def granted(self, node: int, sent: float, count_from: float) -> None:
        """Count a grant and schedule the next renewal."""
        self.writes += 1
        self.last_commit[node] = self.time - ROUND_TRIP_SECONDS / 2
        if self.time > self.expiry[node]:
            self.lapsed += max(0.0, self.time - max(self.expiry[node], count_from))
        self.expiry[node] = max(self.expiry[node], sent + LEASE_TERM_SECONDS)
        self.at(max(self.time, sent + self.renewal), "renew", node, 0.0)


def store_leases(options: argparse.Namespace, rate: float) -> tuple[float, float, float, float]:
    """Return writes/s, share of node time without lease, the same in an outage, and the recovery time."""
    steady = StoreLeases(options.nodes, options.renewal, rate, 1)
    steady.run(5.0, 5.0)
    steady.writes = 0
    steady.lapsed = 0.0
    steady.run(35.0, 5.0)
    writes, lapsed = steady.writes / 30.0, steady.lapsed / 30.0 / options.nodes
    outage = StoreLeases(options.nodes, options.renewal, rate, 2)
    outage.run(5.0, 5.0)
    outage.lapsed = 0.0
    outage.down_from, outage.down_until = 5.0, 5.0 + OUTAGE_SECONDS
    outage.run(80.0, 5.0)
    unavailable = outage.lapsed / options.nodes
    return writes, lapsed, unavailable, store_recovery(options)


def store_recovery(options: argparse.Namespace) -> float:
    """Return the median time to serve again after a loss, with a store that is not overloaded."""
    rng = random.Random(3)
    wait = LEASE_TERM_SECONDS * (1 + CLOCK_MARGIN_FRACTION)
    times = []
    for _ in range(1000):
        since_renewal = rng.random() * options.renewal
        seen = rng.random() * WATCH_SECONDS
        times.append(wait + seen - since_renewal + 2 * ROUND_TRIP_SECONDS)
    return sorted(times)[500]


def guard_leases(seeds: int) -> tuple[float, float, float, float, int]:
    """Return the same four figures for guards, writes for each node, and the nodes of the model."""
    writes, lapsed, outage, recovery = 0, 0, [], []
    steps = 300
    for seed in range(seeds):
        cluster = formed(seed)
        nodes = cluster.nodes.values()
        before = cluster.table.seq
        for _ in range(steps):
            cluster.run_until(cluster.time + 0.1)
            lapsed += sum(not node.process.holder.valid(node.now()) for node in nodes)
        writes += cluster.table.seq - before
        outage.append(store_outage(seed)[0])
        recovery.append(chain_lost(1)(seed)[0])
    count = len(nodes)
    share = lapsed / (steps * count * seeds)
    per_node = writes / (steps * 0.1 * count * seeds)
    return per_node, share, sum(outage) / seeds, sorted(recovery)[seeds // 2], count


def main() -> int:
    """Run the comparison and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=490)
    parser.add_argument("--renewal", type=float, default=0.5)
    parser.add_argument("--rate", type=float, default=500.0, help="writes a second that the store executes")
    parser.add_argument("--seeds", type=int, default=20)
    options = parser.parse_args()
    print("command: python -m bench.lease_compare " + " ".join(sys.argv[1:]))
    print(f"{options.nodes} nodes, term {LEASE_TERM_SECONDS} s")
    print("| leases | writes/s | time without lease | unavailable in 60 s outage | served again after loss |")
    print("|---|---|---|---|---|")
    for label, rate in (("store, no rate limit", 1e9), (f"store, {options.rate:.0f} writes/s", options.rate)):
        writes, lapsed, unavailable, recovery = store_leases(options, rate)
        print(f"| {label} | {writes:.0f} | {lapsed:.1%} | {unavailable:.1f} s | {recovery:.2f} s |")
    each, lapsed, unavailable, recovery, nodes = guard_leases(options.seeds)
    label, writes = f"guards (model of {nodes} nodes, scaled)", each * options.nodes
    print(f"| {label} | {writes:.1f} | {lapsed:.1%} | {unavailable:.1f} s | {recovery:.2f} s |")
    return 0


if __name__ == "__main__":
    sys.exit(main())
