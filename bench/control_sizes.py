"""Sizes and costs of control state at 490 nodes, built from the package's own types in one process.

Run as ``python -m bench.control_sizes``.
"""

from __future__ import annotations

import gc
import random
import sys
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import msgspec

from hibiscusdrum.internal import codec
from hibiscusdrum.internal.config.document import Document, Route, Tenant, encode_document
from hibiscusdrum.internal.daemon.rebalancer import MAX_SLICES_PER_ROUND
from hibiscusdrum.internal.load.hot_keys import HotKeyDetector
from hibiscusdrum.internal.messages import MapReply, RowsChanged
from hibiscusdrum.internal.ownership.dedup import DedupWindow
from hibiscusdrum.internal.ownership.guards import find_better_guard
from hibiscusdrum.internal.ownership.ids import new_request_id
from hibiscusdrum.internal.ownership.keys import DEFAULT_SLICE_COUNT
from hibiscusdrum.internal.ownership.ownership_map import OwnershipMap
from hibiscusdrum.internal.ownership.placement import plan_moves
from hibiscusdrum.internal.ownership.ring_edit import row_to_json
from hibiscusdrum.internal.ownership.rows import LeaseRow, OwnerRow, lease_key, owner_key
from hibiscusdrum.internal.ownership.takeover import orphaned_nodes

NODES = 490
REGIONS = ("ost", "west")
IDS_PER_SECOND = 590
WINDOW_SECONDS = 120
SHARED_KEY = b"bench-shared-key-0123456789"
REPEATS = 20
RowValue = tuple[str, int, Any]


def build_rows(nodes: int = NODES, slices: int = DEFAULT_SLICE_COUNT, seed: int = 1) -> list[RowValue]:
    """Return lease and owner rows as JSON values; each region's ring is spread in random order."""
    rng = random.Random(seed)
    rows: list[RowValue] = []
    for region in REGIONS:
        indices = list(range(slices))
        rng.shuffle(indices)
        names = [f"n{i:03d}" for i in range(nodes) if REGIONS[i % 2] == region]
        for position, name in enumerate(names):
            lease = LeaseRow(name, f"{rng.getrandbits(128):032x}", names[position - 1])
            owner = OwnerRow(
                node=name,
                service="wappensuche",
                region=region,
                failure_domain=f"{region}-{position % 4}",
                peer_address=f"10.20.{position % 250}.17:7100",
                http_address=f"10.20.{position % 250}.17:7101",
                slices=tuple(sorted(indices[position :: len(names)])),
                epoch=position + 1,
            )
            rows.append((lease_key(name), position + 1, row_to_json(lease)))
            rows.append((owner_key(name), position + 1, row_to_json(owner)))
    return rows


def memory(build: Callable[[], Any]) -> tuple[float, Any]:
    """Return the MB (2**20 bytes) that a value keeps allocated, and the value."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    value = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / 2**20, value


def seconds(action: Callable[[], Any], repeats: int = REPEATS) -> float:
    """Return the median time of an action."""
    times = []
    for _ in range(repeats):
        started = time.perf_counter()
        action()
        times.append(time.perf_counter() - started)
    return sorted(times)[repeats // 2]


def applied(rows: list[RowValue]) -> OwnershipMap:
    """Return a map of rows."""
    ownership = OwnershipMap()
    ownership.apply(rows, len(rows))
    return ownership


def filled_window() -> DedupWindow:
    """Return a window filled at the target rate, each id answered with 200 bytes."""
    window = DedupWindow()
    for i in range(IDS_PER_SECOND * WINDOW_SECONDS):
        wall = 1.8e9 + i / IDS_PER_SECOND
        request_id = new_request_id(wall)
        window.admit(request_id, 1, 0.0, wall)
        window.finish(request_id, b"%200d" % i)
    return window


def filled_detector() -> HotKeyDetector:
    """Return a detector with every counter taken."""
    detector = HotKeyDetector()
    rng = random.Random(1)
    for i in range(20_000):
        detector.observe(rng.getrandbits(64), i / 5_900)
    return detector


def periodic_costs(nodes: int) -> dict[str, float]:
    """Return the processor time in ms, for each second, of the periodic work that depends on the nodes."""
    ownership = applied(build_rows(nodes))
    owners, leases = ownership.owners, ownership.leases
    name = next(iter(owners))

    ring = ownership.owner_rows("wappensuche", owners[name].region)

    return {
        "review_guard, 2/s": 2e3
        * seconds(lambda: find_better_guard(name, owners, leases, leases.__contains__)),
        "orphans, 1/s": 1e3 * seconds(lambda: orphaned_nodes(ownership)),
        "sorted leases for releases, 1/s": 1e3 * seconds(lambda: sorted(leases)),
        "placement, 1/s": 1e3 * seconds(lambda: plan_moves(ring, {}, {}, MAX_SLICES_PER_ROUND)),
    }


def document_bytes(tenants: int) -> int:
    """Return the size of a configuration with three routes and a number of tenants with a home region."""
    routes = {
        name: Route(name=name, regions=REGIONS, divided=True)
        for name in ("wappensuche", "verleihung", "archiv")
    }
    names = [f"tenant-{i:04d}" for i in range(tenants)]
    document = Document(
        revision=420,
        routes=routes,
        tenants={name: Tenant(name=name, home_regions=REGIONS[:1]) for name in names},
    )
    return len(msgspec.msgpack.encode(encode_document(document)))


def report_sizes() -> None:
    """Print the sizes."""
    rows = build_rows()
    owner = rows[1]
    receivers = [(key, version, {**value, "epoch": 99}) for key, version, value in rows[1:9:2]]
    takeover = [*receivers, (rows[10][0], 99, rows[10][2]), (rows[12][0], 99, None), (rows[13][0], 99, None)]
    encoded = msgspec.json.encode({"seq": 1, "rows": [dict(zip("kvw", row, strict=True)) for row in rows]})
    print(f"sizes at {NODES} nodes, 2 rings of {DEFAULT_SLICE_COUNT} slices, built in this process")
    print(
        f"  rows {len(rows)}; JSON {len(encoded)} bytes; MapReply {len(message(MapReply(1, 1, rows)))} bytes"
    )
    owner_bytes = len(message(RowsChanged("n000", 1, (owner,))))
    lease_bytes = len(message(RowsChanged("n000", 1, (rows[0],))))
    takeover_bytes = len(codec.sign(SHARED_KEY, RowsChanged("n000", 99, tuple(takeover))))
    print(f"  RowsChanged with one owner row {owner_bytes} bytes, one lease row {lease_bytes} bytes")
    print(f"  RowsChanged of a takeover, 4 receivers: {takeover_bytes} bytes")
    size, ownership = memory(lambda: applied(msgspec.json.decode(msgspec.json.encode(rows))))
    raw_size, _raw = memory(lambda: msgspec.json.decode(msgspec.json.encode(rows)))
    print(f"  OwnershipMap {size:.2f} MB; the decoded rows that the daemon also keeps {raw_size:.2f} MB")
    print(f"  apply all rows {seconds(lambda: applied(rows)) * 1e3:.2f} ms")
    versions = iter(range(10**6, 10**7))
    one = seconds(lambda: ownership.apply([(owner[0], next(versions), owner[2])], 0), 1000)
    print(f"  apply one changed row {one * 1e6:.0f} us")
    window_size, window = memory(filled_window)
    entries = len(window.entries)
    print(f"  dedup window with {entries} ids at {IDS_PER_SECOND}/s, 200-byte answers: {window_size:.1f} MB")
    sizes = ", ".join(f"{count} tenants {document_bytes(count)} bytes" for count in (10, 100, 1000))
    print(f"  configuration document: {sizes}")
    for nodes in (48, NODES):
        costs = periodic_costs(nodes)
        text = ", ".join(f"{name} {cost:.3f}" for name, cost in costs.items())
        print(f"  periodic work with {nodes} nodes, ms/s: {text}; sum {sum(costs.values()):.2f}")
    detector_size, _detector = memory(filled_detector)
    print(f"  hot key detector {detector_size * 1024:.1f} KB")


def message(value: Any) -> bytes:
    """Return a message as it is encoded on the wire, without its signature."""
    return codec.encode(value)


if __name__ == "__main__":
    report_sizes()
    sys.exit(0)
