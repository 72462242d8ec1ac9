"""Imbalance and churn of placement against modulo hashing and consistent hashing; speed of the map.

Run ``python -m bench.placement``. Keys are placed by 64-bit hashes; churn is the share of keys that change
owner.
"""

from __future__ import annotations

import argparse
import random
import sys
import time
from bisect import bisect_right

import msgspec
import xxhash

from hibiscusdrum.internal.ownership import handover, takeover
from hibiscusdrum.internal.ownership.keys import DEFAULT_SLICE_COUNT, slice_of
from hibiscusdrum.internal.ownership.ownership_map import OwnershipMap
from hibiscusdrum.internal.ownership.placement import MAX_LOAD_RATIO, plan_moves
from hibiscusdrum.internal.ownership.ring_edit import row_to_json
from hibiscusdrum.internal.ownership.rows import LeaseRow, OwnerRow, RingRow, lease_key, owner_key, ring_key
from hibiscusdrum.internal.platform.table import SEQUENCE_PLACEHOLDER, Transaction

SERVICE, REGION = "wappensuche", "ost"
DOMAINS = 8
VIRTUAL_NODES = 100
KEYS = 100_000
_RANDOM = random.Random(1)
KEY_HASHES = [_RANDOM.getrandbits(64) for _ in range(KEYS)]


def domain_of(index: int) -> str:
    """Return the failure domain of a target."""
    return f"zone{index % DOMAINS}"


class SlicePlacement:
    """The product: slices in rows, moved by transactions and rebalanced by placement."""

    def __init__(self, count: int) -> None:
        self.map = OwnershipMap()
        self.seq = 0
        self.next = 0
        self.drained: set[str] = set()
        self.moved_slices = 0
        self.join_all(count)

    def eligible(self, row: OwnerRow) -> bool:
        """Return whether a node may own slices."""
        return row.failure_domain not in self.drained

    def commit(self, transaction: Transaction) -> None:
        """Apply a transaction to the map."""
        self.seq += 1
        rows = []
        for key, value in transaction.puts.items():
            if value.get("epoch") == SEQUENCE_PLACEHOLDER:
                value = {**value, "epoch": self.seq}
            rows.append((key, self.seq, value))
        rows += [(key, self.seq, None) for key in transaction.deletes]
        self.map.apply(rows, self.seq)

    def join(self, index: int, balance: bool = True) -> None:
        """Add a target."""
        name = f"n{index:03d}"
        guard = next(iter(self.map.leases), name)
        row = OwnerRow(name, SERVICE, REGION, domain_of(index), "10.0.0.1:7000", "10.0.0.1:8000")
        self.commit(handover.join_transaction(self.map, row, "1", guard, "op"))
        if balance:
            self.balance()

    def join_all(self, count: int) -> None:
        """Add the first targets and balance."""
        for index in range(count):
            self.join(index, balance=False)
        self.next = count
        self.balance()

    def balance(self) -> None:
        """Carry out moves until there are none."""
        for _ in range(1000):
            planned = plan_moves(self.map.owner_rows(SERVICE, REGION), {}, {}, 10_000, self.eligible)
            if not planned:
                return
            for move in planned:
                self.moved_slices += len(move.slices)
                self.commit(
                    handover.handover_transaction(self.map, move.source, move.receiver, move.slices, (), "op")
                )

    def add(self) -> None:
        """One target joins."""
        self.join(self.next)
        self.next += 1

    def remove(self) -> None:
        """One target is lost and taken over."""
        names = sorted(self.map.owners)
        dead = names[len(names) // 2]
        version = self.map.version(lease_key(dead))
        self.commit(takeover.takeover_transaction(self.map, dead, version, names[0], "op", self.eligible))
        self.balance()

    def drain(self) -> None:
        """Take one failure domain out of service."""
        self.drained = {domain_of(0)}
        self.balance()

    def restore(self) -> None:
        """Return the failure domain."""
        self.drained = set()
        self.balance()

    def owners(self) -> list[str]:
        """Return the owner of each key."""
        names = [row and row.node for row in self._slots()]
        return [names[slice_of(value)] for value in KEY_HASHES]

    def _slots(self) -> list[OwnerRow | None]:
        return [self.map.slice_owner(SERVICE, REGION, index) for index in range(DEFAULT_SLICE_COUNT)]

    def active(self) -> list[str]:
        """Return the nodes that may own keys."""
        return [row.node for row in self.map.owner_rows(SERVICE, REGION) if self.eligible(row)]


class HashPlacement:
    """Base of the two comparisons: keys placed by hashing over the list of active targets."""

    def __init__(self, count: int) -> None:
        self.names = {f"n{index:03d}": domain_of(index) for index in range(count)}
        self.next = count
        self.drained: set[str] = set()

    def active(self) -> list[str]:
        """Return the targets that may own keys."""
        return sorted(name for name, domain in self.names.items() if domain not in self.drained)

    def add(self) -> None:
        """One target joins."""
        self.names[f"n{self.next:03d}"] = domain_of(self.next)
        self.next += 1

    def remove(self) -> None:
        """One target is lost."""
        names = sorted(self.names)
        del self.names[names[len(names) // 2]]

    def drain(self) -> None:
        """Take one failure domain out of service."""
        self.drained = {domain_of(0)}

    def restore(self) -> None:
        """Return the failure domain."""
        self.drained = set()


class ModuloPlacement(HashPlacement):
    """Hash modulo the number of targets."""

    def owners(self) -> list[str]:
        """Return the owner of each key."""
        names = self.active()
        return [names[value % len(names)] for value in KEY_HASHES]


class ConsistentPlacement(HashPlacement):
    """Consistent hashing with virtual nodes."""

    def owners(self) -> list[str]:
        """Return the owner of each key."""
        points = sorted(
            (xxhash.xxh64_intdigest(f"{name}#{index}".encode()), name)
            for name in self.active()
            for index in range(VIRTUAL_NODES)
        )
        hashes = [point for point, _ in points]
        return [points[bisect_right(hashes, value) % len(points)][1] for value in KEY_HASHES]


PLACEMENTS = {
    "slices": SlicePlacement,
    "modulo": ModuloPlacement,
    f"consistent, {VIRTUAL_NODES} virtual nodes": ConsistentPlacement,
}


def spread(placement, owners: list[str]) -> float:
    """Return the largest share of keys of a target, divided by the mean.

    With few keys for each target, sampling alone makes the largest share exceed the mean; the slices
    are therefore counted exactly.
    """
    counts = dict.fromkeys(placement.active(), 0)
    if isinstance(placement, SlicePlacement):
        counts.update(
            (row.node, len(row.slices)) for row in placement.map.owner_rows(SERVICE, REGION) if row.slices
        )
    else:
        for name in owners:
            counts[name] += 1
    return max(counts.values()) * len(placement.active()) / sum(counts.values())


def changes(make, size: int) -> list[tuple[str, float, float, float]]:
    """Return change, keys moved, least possible share and imbalance after each change of a placement."""
    placement = make(size)
    before = placement.owners()
    results = []
    for change in ("add", "remove", "drain", "restore"):
        active = set(placement.active())
        getattr(placement, change)()
        after, now = placement.owners(), set(placement.active())
        moved = sum(a != b for a, b in zip(before, after, strict=True)) / KEYS
        least = max(len(now - active) / len(now), len(active - now) / len(active))
        results.append((change, moved, least, spread(placement, after)))
        before = after
    return results


def churn_table(sizes: list[int]) -> None:
    """Print the keys moved and the imbalance of all placements, and the ratios to the slices."""
    print("moved: share of keys; ratio: keys moved divided by those of the slices; imb.: imbalance after")
    print("| targets | change | least | slices moved | imb. | modulo moved | ratio | imb. ", end="")
    print(f"| consistent ({VIRTUAL_NODES} virtual nodes) moved | ratio | imb. |")
    print("|---" * 11 + "|")
    for size in sizes:
        table = zip(*(changes(make, size) for make in PLACEMENTS.values()), strict=True)
        for (change, own, least, level), *others in table:
            cells = [str(size), change, f"{least:.2%}", f"{own:.2%}", f"{level:.2f}"]
            for _, moved, _, other_level in others:
                cells += [f"{moved:.2%}", f"{moved / own:.2f}", f"{other_level:.2f}"]
            print("| " + " | ".join(cells) + " |")


def best(action, repeats: int = 15) -> float:
    """Return the shortest of several durations in seconds."""
    durations = []
    for _ in range(repeats):
        start = time.perf_counter()
        action()
        durations.append(time.perf_counter() - start)
    return min(durations)


def random_moves_map(nodes: int) -> OwnershipMap:
    """Return a map whose slices are scattered at random, as after many moves."""
    slices = list(range(DEFAULT_SLICE_COUNT))
    random.Random(2).shuffle(slices)
    result = OwnershipMap()
    rows = [(ring_key(SERVICE, REGION), 1, row_to_json(RingRow(SERVICE, REGION, DEFAULT_SLICE_COUNT)))]
    for index in range(nodes):
        name = f"n{index:03d}"
        own = tuple(sorted(slices[index::nodes]))
        row = OwnerRow(
            name, SERVICE, REGION, domain_of(index), "10.0.0.1:7000", "10.0.0.1:8000", own, epoch=1
        )
        rows.append((owner_key(name), 1, row_to_json(row)))
        rows.append(
            (lease_key(name), 1, row_to_json(LeaseRow(name, f"{index:032x}", f"n{(index + 1) % nodes:03d}")))
        )
    result.apply(rows, 1)
    return result


def map_table(nodes: int = 490) -> None:
    """Print the speed and size of the map."""
    ownership = random_moves_map(nodes)
    lookup = ownership.owner

    def look_up() -> None:
        for value in KEY_HASHES:
            lookup(SERVICE, REGION, value)

    index_lookup = ownership.ring_index(SERVICE, REGION).owner

    def look_up_in_index() -> None:
        for value in KEY_HASHES:
            index_lookup(value)

    def empty_loop() -> None:
        for _ in KEY_HASHES:
            pass

    rows = [(key, version, _value(ownership, key)) for key, version in ownership.versions.items()]
    present = _value(ownership, owner_key("n100"))
    version = iter(range(2, 1_000_000))

    def apply_one() -> None:
        for _ in range(1000):
            ownership.apply([(owner_key("n100"), next(version), present)], 0)

    fresh = [OwnershipMap() for _ in range(15)]
    loop = best(empty_loop)
    map_lookup, kept_index = ((best(action) - loop) / KEYS * 1e9 for action in (look_up, look_up_in_index))
    encoded = msgspec.msgpack.encode(rows)
    change = msgspec.msgpack.encode([(owner_key("n100"), 7, present)])
    print(f"\nmap of {nodes} nodes, {len(rows)} rows")
    print("| figure | value |\n|---|---|")
    print(f"| lookup in the map | {map_lookup:.0f} ns |")
    print(f"| lookup in the kept index of a ring | {kept_index:.0f} ns |")
    print(f"| apply one owner row | {best(apply_one) * 1e3:.1f} us |")
    print(f"| apply the whole map | {best(lambda: fresh.pop().apply(rows, 1)) * 1e3:.1f} ms |")
    print(f"| whole map, msgpack | {len(encoded)} bytes |")
    print(f"| one owner row, msgpack | {len(change)} bytes |")


def _value(ownership: OwnershipMap, key: str):
    kind, _, name = key.partition("/")
    if kind == "ring":
        return row_to_json(ownership.rings[SERVICE, REGION])
    return row_to_json((ownership.owners if kind == "owner" else ownership.leases)[name])


def main() -> int:
    """Run the comparison and print tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--targets", type=int, nargs="+", default=[10, 50, 100, 245, 490])
    options = parser.parse_args()
    print("command: python -m bench.placement " + " ".join(sys.argv[1:]))
    print(f"{KEYS} keys, bound of the imbalance of slices {MAX_LOAD_RATIO}")
    churn_table(options.targets)
    map_table()
    return 0


if __name__ == "__main__":
    sys.exit(main())
