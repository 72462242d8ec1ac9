"""Compares small-world routing with the full ownership map at 490 nodes.

Nodes form a 2-d torus; each knows its four neighbours and has long-distance links whose length follows the
inverse square law, under which greedy routing takes the fewest hops (Kleinberg 2000). Half of the torus lies
in each region. Run ``python -m bench.routing_tables``.
"""

from __future__ import annotations

import argparse
import random
import sys

import msgspec

from bench.placement import random_moves_map
from hibiscusdrum.internal.ownership.ring_edit import row_to_json

WIDTH, HEIGHT = 35, 14
NODES = WIDTH * HEIGHT
SAME_REGION_MS, CROSS_REGION_MS = 1.0, 30.0
# Node name, address and the slices' bounds, as in an owner row without its list of slices.
LINK_BYTES = 64


def distance(first: int, second: int) -> int:
    """Return the torus distance between two nodes."""
    columns = abs(first % WIDTH - second % WIDTH)
    rows = abs(first // WIDTH - second // WIDTH)
    return min(columns, WIDTH - columns) + min(rows, HEIGHT - rows)


def region(node: int) -> int:
    """Return the region of a node: the left or the right half of the torus."""
    return int(node % WIDTH >= WIDTH // 2)


def links(rng: random.Random, long_links: int) -> list[list[int]]:
    """Return the nodes that each node knows."""
    table = []
    for node in range(NODES):
        others = [other for other in range(NODES) if other != node]
        near = [other for other in others if distance(node, other) == 1]
        distant = [other for other in others if distance(node, other) > 1]
        weights = [distance(node, other) ** -2 for other in distant]
        far = rng.choices(distant, weights, k=long_links)
        table.append(sorted(set(near + far)))
    return table


def route(table: list[list[int]], start: int, goal: int) -> tuple[int, float]:
    """Return the hops and the latency in ms of greedy routing."""
    hops, latency, node = 0, 0.0, start
    while node != goal:
        following = min(table[node], key=lambda other: (distance(other, goal), other))
        latency += SAME_REGION_MS if region(node) == region(following) else CROSS_REGION_MS
        node = following
        hops += 1
    return hops, latency


def main() -> int:
    """Run the simulation and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--routes", type=int, default=50_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--long-links", type=int, default=2)
    options = parser.parse_args()
    rng = random.Random(options.seed)
    table = links(rng, options.long_links)
    pairs = [rng.sample(range(NODES), 2) for _ in range(options.routes)]
    routes = [route(table, start, goal) for start, goal in pairs]
    hops = sorted(count for count, _ in routes)
    latencies = sorted(latency for _, latency in routes)
    direct = [SAME_REGION_MS if region(a) == region(b) else CROSS_REGION_MS for a, b in pairs]
    ownership = random_moves_map(NODES)
    rows = [row_to_json(row) for row in ownership.owners.values()]
    known = sum(map(len, table)) / NODES
    print("command: python -m bench.routing_tables " + " ".join(sys.argv[1:]))
    size = len(msgspec.msgpack.encode(rows))
    last = options.routes * 99 // 100
    print("| figure | small world | full map |\n|---|---|---|")
    print(f"| nodes known to each node | {known:.1f} | {NODES} |")
    print(f"| bytes of the table, {LINK_BYTES} a link | {known * LINK_BYTES:.0f} | {size} |")
    print(f"| hops, mean | {sum(hops) / len(hops):.2f} | 1 |")
    print(f"| hops, 99th percentile | {hops[last]} | 1 |")
    mean = sum(latencies) / len(latencies)
    print(f"| one-way latency, mean ms | {mean:.1f} | {sum(direct) / len(direct):.1f} |")
    print(f"| one-way latency, 99th percentile ms | {latencies[last]:.0f} | {max(direct):.0f} |")
    return 0


if __name__ == "__main__":
    sys.exit(main())
