"""Schedules built on purpose, one for each lease rule, that give a slice two owners without the rule.

In all of them ``x`` is the owner in danger, ``g`` its guard and ``h`` and ``k`` further nodes. Nothing is
random but the phases of the nodes' timers. Run ``python -m bench.lease_scenarios``.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable

from bench.lease_model import Cluster

Builder = Callable[[Cluster], None]
SCENARIOS: dict[str, Builder] = {}
LONG = 60.0


def scenario(rule: str) -> Callable[[Builder], Builder]:
    """Register the schedule that is dangerous without a rule."""

    def register(builder: Builder) -> Builder:
        SCENARIOS[rule] = builder
        return builder

    return register


def run(rule: str, omit: frozenset[str], seed: int = 0) -> Cluster:
    """Run the schedule of a rule with some rules left out."""
    cluster = Cluster(seed, count=0, omit=omit, drift=0.0)
    cluster.review = False
    cluster.tick_seconds = 0.01
    for index, name in enumerate("xghk"):
        cluster.add_node(name, f"zone{index % 2}")
    SCENARIOS[rule](cluster)
    cluster.run_until(cluster.time + 6.0)
    return cluster


def form(cluster: Cluster, **guard_of: str) -> None:
    """Start the nodes; by default g, h and k guard x, g and h, and k guards itself.

    All rules are in force until all nodes have valid leases, which takes a renewal for each link of
    the chain.
    """
    omit, cluster.omit = cluster.omit, frozenset()
    silence, cluster.guard_silence = cluster.guard_silence, LONG
    cluster.form({"x": "g", "g": "h", "h": "k", "k": "k", **guard_of})
    cluster.run_until(2.0)
    cluster.omit, cluster.guard_silence = omit, silence


def cut(cluster: Cluster, *pairs: str) -> None:
    """Lose messages for good; ``a>b`` names a direction, ``a|b`` both, T stands for the table."""
    cluster.faults.cuts |= _pairs(pairs)


def heal(cluster: Cluster, *pairs: str) -> None:
    """Deliver messages again."""
    cluster.faults.cuts -= _pairs(pairs)


def _pairs(texts: tuple[str, ...]) -> set[tuple[str, str]]:
    pairs = set()
    for text in texts:
        first, second = (name.replace("T", "table") for name in (text[0], text[2]))
        pairs.add((first, second))
        if text[1] == "|":
            pairs.add((second, first))
    return pairs


def late(cluster: Cluster, pair: str, seconds: float | None) -> None:
    """Delay messages in one direction, or no longer."""
    key = next(iter(_pairs((pair,))))
    if seconds is None:
        cluster.faults.late.pop(key, None)
    else:
        cluster.faults.late[key] = seconds


def wait(cluster: Cluster, seconds: float) -> None:
    """Let true time pass."""
    cluster.run_until(cluster.time + seconds)


def wait_for_takeover(cluster: Cluster) -> None:
    """Let true time pass until g has started to take x over, at most two terms."""
    for _ in range(300):
        lessee = cluster.nodes["g"].process.guard.lessees.get("x")
        if lessee is None or lessee.takeover_started:
            return
        wait(cluster, 0.01)


def change_guard(cluster: Cluster, guard: str) -> None:
    """Let x name another guard."""
    node = cluster.nodes["x"]
    node.change_guard(node.process, guard)


@scenario("count_from_send")
def grant_arrives_late(cluster: Cluster) -> None:
    """Deliver the last grants 1.2 s late; x reaches nobody afterwards."""
    form(cluster)
    cut(cluster, "x|T", "h>x", "k>x")
    late(cluster, "g>x", 1.2)
    wait(cluster, 0.5)
    cut(cluster, "x>g")


@scenario("grant_only_while_valid")
def guard_was_taken_over(cluster: Cluster) -> None:
    """Let h take g over while g does not know it and still hears x."""
    form(cluster)
    cut(cluster, "x|T", "g|T", "g|h", "g|k", "x|h", "x|k")


@scenario("owner_changes_guard")
def stranger_names_itself(cluster: Cluster) -> None:
    """K may name itself as guard of x; neither x nor g learns of it."""
    form(cluster)
    cut(cluster, "x|T", "g|T", "k>x", "k>g", "h>x")
    node = cluster.nodes["k"]
    node.rewrite_guard(node.process, "x")


@scenario("wait_after_duties")
def guard_dies_after_granting(cluster: Cluster) -> None:
    """G grants until its own lease lapses; h takes over g and its duties while x is still valid."""
    form(cluster)
    cut(cluster, "x|T", "g|T", "g>h", "x|h", "x|k")


@scenario("wait_from_read")
def new_guard_hears_nothing(cluster: Cluster) -> None:
    """X has a fresh grant of g, names h and is cut off."""
    form(cluster)
    cut(cluster, "x>h", "x>g")
    change_guard(cluster, "h")
    wait(cluster, 0.05)
    cut(cluster, "x|T")


@scenario("wait_from_grant")
def owner_renews_for_long(cluster: Cluster) -> None:
    """X renews for longer than a term after g read the row."""
    form(cluster)
    wait(cluster, 2.0)


@scenario("clock_margin")
def clocks_differ(cluster: Cluster) -> None:
    """Run the guard's clock fast and the owner's slow, both within the margin."""
    cluster.nodes["x"].rate, cluster.nodes["g"].rate = 0.9951, 1.0049
    cluster.tick_seconds = 0.001
    cluster.faults.table_delay = cluster.faults.delay = 0.0005
    form(cluster)
    wait(cluster, 0.5)
    cut(cluster, "x|T", "x>g")


@scenario("version_as_read")
def takeover_arrives_after_return(cluster: Cluster) -> None:
    """G's takeover is 2.5 s on its way to the table, while x names h and then g again."""
    form(cluster)
    cluster.guard_silence = LONG
    cut(cluster, "x>g", "T>g", "x>k", "x>h")
    wait(cluster, 0.3)
    change_guard(cluster, "h")
    wait(cluster, 0.1)
    late(cluster, "g>T", 2.5)
    wait_for_takeover(cluster)
    wait(cluster, 0.01)
    late(cluster, "g>T", None)
    heal(cluster, "x>g", "T>g", "x>h")
    change_guard(cluster, "g")


@scenario("grant_bound_to_version")
def old_grant_after_read_back(cluster: Cluster) -> None:
    """Deliver a grant under the old row after x has read that it named h."""
    form(cluster)
    cut(cluster, "g|T", "x>h", "h>x", "k>x")
    late(cluster, "T>x", 0.6)
    change_guard(cluster, "h")
    late(cluster, "g>x", 0.7)
    wait(cluster, 0.65)
    cut(cluster, "x|T", "x>g")


@scenario("no_count_while_changing")
def change_without_reply(cluster: Cluster) -> None:
    """X names h and gets no reply from the table; g does not know and grants on."""
    form(cluster)
    cut(cluster, "T>x", "g|T", "h>x", "k>x", "h>g", "k>g")
    heal(cluster, "h>g")
    change_guard(cluster, "h")
    wait(cluster, 0.05)
    cut(cluster, "x>T")


@scenario("change_ends_on_newer_row")
def change_takes_effect_after_read_back(cluster: Cluster) -> None:
    """X's change of guard is 1.5 s on its way; x reads the old row before the change takes effect."""
    form(cluster)
    cut(cluster, "g|T", "h>x", "k>x", "k>g")
    cluster.guard_silence = LONG
    late(cluster, "x>T", 1.5)
    change_guard(cluster, "h")
    late(cluster, "x>T", None)
    # The repetitions of the write are lost; x gives up after 0.75 s and then reads the old row.
    cut(cluster, "x>T")
    wait(cluster, 0.8)
    heal(cluster, "x>T")
    cluster.nodes["x"].process.next_poll = 0.0
    wait(cluster, 0.03)
    cut(cluster, "x>T")


@scenario("refuse_during_takeover")
def owner_returns_during_takeover(cluster: Cluster) -> None:
    """X is heard again after g has sent the takeover and before it takes effect."""
    form(cluster)
    cut(cluster, "x|T", "x>g", "x|h", "x|k")
    cluster.guard_silence = LONG
    late(cluster, "g>T", 0.7)
    wait_for_takeover(cluster)
    heal(cluster, "x>g")


@scenario("refuse_while_unknown")
def takeover_takes_effect_late(cluster: Cluster) -> None:
    """G gives up waiting for the outcome of a takeover that takes effect later."""
    form(cluster)
    cut(cluster, "x|T", "x>g", "x|h", "x|k")
    cluster.guard_silence = LONG
    late(cluster, "g>T", 2.0)
    wait(cluster, 2.5)
    heal(cluster, "x>g")


@scenario("limit_after_self_guard")
def self_guard_ends_unnoticed(cluster: Cluster) -> None:
    """X guards itself, names h and gets no reply."""
    form(cluster, x="x")
    cut(cluster, "T>x", "x>h", "x>g", "x>k", "h>x", "g>x", "k>x")
    change_guard(cluster, "h")
    wait(cluster, 0.05)
    cut(cluster, "x>T")


@scenario("self_guard_untouchable")
def self_guarded_node_is_rewritten(cluster: Cluster) -> None:
    """K may name itself as guard of the self-guarded x, which does not learn of it."""
    form(cluster, x="x")
    cut(cluster, "x|T", "x|g", "x|h", "x|k")
    node = cluster.nodes["k"]
    node.rewrite_guard(node.process, "x")


@scenario("conditional_recovery")
def recovery_after_takeover(cluster: Cluster) -> None:
    """X was taken over while cut off and recovers before it has read that."""
    form(cluster)
    cut(cluster, "x|T", "x|g", "x|h", "x|k")
    wait(cluster, 2.5)
    process = cluster.nodes["x"].process
    process.busy.discard("guard")
    process.next_poll = cluster.nodes["x"].now() + LONG
    heal(cluster, "x|T")
    change_guard(cluster, "x")


@scenario("hold_until_known")
def handover_takes_effect_late(cluster: Cluster) -> None:
    """X gives up waiting for the outcome of a handover that takes effect later."""
    form(cluster)
    late(cluster, "x>T", 1.2)
    node = cluster.nodes["x"]
    slices = list(node.process.map.owners["x"].slices[:2])
    node.hand_over(node.process, "k", slices, [])


def main() -> int:
    """Run each schedule with and without its rule and print a table; returns 1 on an unexpected result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    options = parser.parse_args()
    print("command: python -m bench.lease_scenarios " + " ".join(sys.argv[1:]))
    print("| rule | runs | two owners with all rules | two owners without the rule |\n|---|---|---|---|")
    failed = 0
    for rule in SCENARIOS:
        seeds = range(options.seeds)
        kept = sum(bool(run(rule, frozenset(), seed).violations) for seed in seeds)
        omitted = sum(bool(run(rule, frozenset([rule]), seed).violations) for seed in seeds)
        print(f"| {rule} | {options.seeds} | {kept} | {omitted} |", flush=True)
        failed |= kept > 0 or omitted < options.seeds
    return int(failed)


if __name__ == "__main__":
    sys.exit(main())
