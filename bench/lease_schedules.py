"""Runs seeded random schedules of faults against the lease rules and counts those with two owners.

Run ``python -m bench.lease_schedules --schedules 2000`` for all rules, ``--omit NAME`` to leave one out, or
``--each`` to leave each rule out in turn.
"""

from __future__ import annotations

import argparse
import sys
import time

from bench.lease_model import RULES, Cluster, hand_over_some

SCHEDULE_SECONDS = 12.0
# Faults stop this long before the end, so that the last check sees the table after recovery.
QUIET_SECONDS = 0.0


def schedule(seed: int, omit: frozenset[str] = frozenset(), kill_senders: bool = False) -> Cluster:
    """Run one schedule and return the cluster with its violations.

    Parameters
    ----------
    seed : int
    omit : frozenset of str
        Rules left out.
    kill_senders : bool
        Whether senders of writes are killed and restarted before their writes take effect, or as soon as they
        have learned the outcome.
    """
    cluster = Cluster(seed, count=0, omit=omit, noisy=True, drift=0.0049)
    rng = cluster.random
    for index in range(rng.randint(2, 5)):
        cluster.add_node(f"n{index}", f"zone{index % 2}")
    names = list(cluster.nodes)
    guard_of = {names[0]: names[0]} if rng.random() < 0.3 else None
    cluster.faults.drop = rng.choice((0.0, 0.02, 0.1))
    cluster.faults.slow = rng.choice((0.0, 0.03, 0.15))
    cluster.faults.step_pause = rng.choice((0.0, 0.005, 0.02))
    cluster.faults.table_delay = rng.choice((0.005, 0.05, 0.3))
    cluster.form(guard_of)
    if kill_senders:
        cluster.faults.kill_sender = cluster.killer.choice((0.05, 0.2))
        cluster.faults.kill_informed = cluster.killer.choice((0.05, 0.2))
    for _ in range(rng.randint(2, 10)):
        cluster.at(rng.uniform(0.0, SCHEDULE_SECONDS), lambda: fault(cluster))
    cluster.run_until(SCHEDULE_SECONDS)
    return cluster


def fault(cluster: Cluster) -> None:
    """Inject one random fault or operation now."""
    rng = cluster.random
    node = rng.choice(list(cluster.nodes.values()))
    kind = rng.choice(
        ("pause", "pause", "crash", "cut", "cut", "isolate", "outage", "handover", "guard", "hot", "leave")
    )
    length = rng.choice((0.3, 1.0, 1.6, 2.5, 4.0)) * rng.uniform(0.8, 1.2)
    if kind == "pause":
        node.pause(length)
    elif kind == "crash":
        node.crash()
        cluster.at(cluster.time + length, lambda: node.process or node.start())
    elif kind == "cut":
        other = rng.choice([*cluster.nodes, "table"])
        cut(cluster, {(node.name, other)}, length)
    elif kind == "isolate":
        others = [*cluster.nodes, "table"]
        cut(cluster, {(node.name, name) for name in others} | {(name, node.name) for name in others}, length)
    elif kind == "outage":
        cluster.faults.table_down = True
        cluster.at(cluster.time + length, lambda: setattr(cluster.faults, "table_down", False))
    elif kind in ("handover", "hot"):
        hand_over_some(cluster, node, rng.randint(1, 3), kind == "hot")
    else:
        act_as_member(cluster, node, kind)


def act_as_member(cluster: Cluster, node, kind: str) -> None:
    """Let a running member change its guard at random, or leave."""
    process = node.process
    if node not in cluster.live() or cluster.time < node.thaw or node.name not in process.map.owners:
        return
    if kind == "guard" and "guard" not in process.busy:
        node.change_guard(process, cluster.random.choice(sorted(process.map.owners)))
    elif kind == "leave" and len(process.map.owners) > 1 and "handover" not in process.busy:
        node.leave(process)


def cut(cluster: Cluster, pairs: set[tuple[str, str]], length: float) -> None:
    """Lose all messages between pairs of parties, in the given direction, for some time."""
    cluster.faults.cuts |= pairs
    cluster.at(cluster.time + length, lambda: cluster.faults.cuts.difference_update(pairs))


def count(
    seeds: range, omit: frozenset[str], limit_seconds: float, kill_senders: bool = False
) -> tuple[int, int, list[str]]:
    """Return the schedules run, those with a violation, and the first violations."""
    bad, run, first = 0, 0, []
    end = time.monotonic() + limit_seconds
    for seed in seeds:
        if time.monotonic() > end:
            break
        run += 1
        violations = schedule(seed, omit, kill_senders).violations
        if violations:
            bad += 1
            if len(first) < 3:
                first.append(f"seed {seed}: {violations[0]}")
    return run, bad, first


def main() -> int:
    """Run the schedules and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--schedules", type=int, default=2000)
    parser.add_argument("--first-seed", type=int, default=0)
    parser.add_argument("--seconds", type=float, default=120.0, help="time limit for each row of the table")
    parser.add_argument("--omit", action="append", default=[], choices=sorted(RULES))
    parser.add_argument(
        "--kill-senders", action="store_true", help="kill and restart senders of writes before or after these"
    )
    parser.add_argument("--each", action="store_true", help="leave each rule out in turn")
    options = parser.parse_args()
    seeds = range(options.first_seed, options.first_seed + options.schedules)
    print("command: python -m bench.lease_schedules " + " ".join(sys.argv[1:]))
    print("| rule left out | schedules | with two owners or lost slices |\n|---|---|---|")
    variants = [frozenset([rule]) for rule in RULES] if options.each else [frozenset(options.omit)]
    failed = 0
    for omit in variants:
        run, bad, first = count(seeds, omit, options.seconds, options.kill_senders)
        print(f"| {', '.join(sorted(omit)) or 'none'} | {run} | {bad} |", flush=True)
        if not omit and bad:
            failed = 1
        if not options.each:
            print("\n".join(first))
    return failed


if __name__ == "__main__":
    sys.exit(main())
