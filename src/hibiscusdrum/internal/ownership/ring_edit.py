"""Edits of the rows of one ring, collected into one conditional transaction.

Slices carry the exclusions of the hot keys that lie in them, so that a hot key held by one node is always
excluded by the row, of a node or of the ring, that has its slice.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal.ownership.keys import slice_of
from hibiscusdrum.internal.ownership.ownership_map import OwnershipMap
from hibiscusdrum.internal.ownership.rows import (
    LeaseRow,
    OwnerRow,
    RingRow,
    lease_key,
    owner_key,
    ring_key,
)
from hibiscusdrum.internal.platform.table import SEQUENCE_PLACEHOLDER, Transaction

Eligible = Callable[[OwnerRow], bool]


def row_to_json(row: LeaseRow | OwnerRow | RingRow) -> dict[str, Any]:
    """Return a row as plain JSON values."""
    return {
        name: list(value) if isinstance(value, tuple) else value
        for name, value in msgspec.structs.asdict(row).items()
    }


class OwnerEdit:
    """Pending contents of one owner row."""

    __slots__ = ("excluded", "gained", "hot_keys", "row", "slices")

    def __init__(self, row: OwnerRow) -> None:
        self.row = row
        self.slices = set(row.slices)
        self.hot_keys = set(row.hot_keys)
        self.excluded = set(row.excluded)
        self.gained = False

    def weight(self) -> float:
        """Return the slices for each unit of capacity."""
        return len(self.slices) / max(self.row.capacity, 1e-9)

    def value(self) -> dict[str, Any]:
        """Return the row to write; a hot key whose slice the node has becomes an ordinary key again."""
        merged = self.hot_keys & self.excluded
        row = msgspec.structs.replace(
            self.row,
            slices=tuple(sorted(self.slices)),
            hot_keys=tuple(sorted(self.hot_keys - merged)),
            excluded=tuple(sorted(self.excluded - merged)),
        )
        value = row_to_json(row)
        if self.gained:
            value["epoch"] = SEQUENCE_PLACEHOLDER
        return value


class RingEdit:
    """Changes to the rows of one ring, conditional on the versions in an ownership map.

    Parameters
    ----------
    ownership_map : OwnershipMap
        Rows and versions that the transaction depends on.
    service, region : str
        The ring.
    """

    __slots__ = (
        "checks",
        "deletes",
        "edits",
        "map",
        "puts",
        "region",
        "ring_excluded",
        "ring_touched",
        "ring_unowned",
        "service",
        "slice_count",
    )

    def __init__(self, ownership_map: OwnershipMap, service: str, region: str) -> None:
        self.map = ownership_map
        self.service = service
        self.region = region
        self.slice_count = ownership_map.slice_count(service, region)
        row = ownership_map.rings.get((service, region))
        self.ring_unowned = set(row.unowned) if row is not None else set()
        self.ring_excluded = set(row.excluded) if row is not None else set()
        self.ring_touched = False
        self.edits: dict[str, OwnerEdit] = {}
        self.checks: dict[str, int] = {}
        self.puts: dict[str, Any] = {}
        self.deletes: list[str] = []

    def check(self, key: str, version: int | None = None) -> None:
        """Make the transaction conditional on a row's version, by default the one in the map."""
        self.checks[key] = self.map.version(key) if version is None else version

    def owner(self, node: str) -> OwnerEdit:
        """Return the pending row of a node.

        Raises
        ------
        InvalidArgument
            If the node has no owner row in this ring.
        """
        edit = self.edits.get(node)
        if edit is None:
            row = self.map.owners.get(node)
            if row is None or (row.service, row.region) != (self.service, self.region):
                ring = f"{self.service}@{self.region}"
                raise InvalidArgument(name="node", value=node, expected=f"a node of ring {ring!r}")
            edit = self.edits[node] = OwnerEdit(row)
            self.check(owner_key(node))
        return edit

    def add_owner(self, row: OwnerRow) -> OwnerEdit:
        """Create the row of a node that must have none."""
        edit = self.edits[row.node] = OwnerEdit(
            msgspec.structs.replace(row, slices=(), hot_keys=(), excluded=())
        )
        self.check(owner_key(row.node), 0)
        return edit

    def put(self, key: str, row: LeaseRow) -> None:
        """Write a lease row."""
        self.puts[key] = row_to_json(row)

    def move(self, source: OwnerEdit, receiver: OwnerEdit, slices: Iterable[int]) -> None:
        """Move slices and their exclusions between nodes."""
        moving = set(slices)
        excluded = self._excluded_in(source.excluded, moving)
        source.slices -= moving
        source.excluded -= excluded
        receiver.slices |= moving
        receiver.excluded |= excluded
        receiver.gained = receiver.gained or bool(moving)

    def move_hot_key(self, source: OwnerEdit, receiver: OwnerEdit, hash_value: int) -> None:
        """Move a hot key, separating it from its slice when it lies in one of the source's slices.

        Raises
        ------
        InvalidArgument
            If the source does not own the key.
        """
        if hash_value in source.hot_keys:
            source.hot_keys.discard(hash_value)
        elif slice_of(hash_value, self.slice_count) in source.slices and hash_value not in source.excluded:
            source.excluded.add(hash_value)
        else:
            expected = f"the hash of a key that {source.row.node!r} owns"
            raise InvalidArgument(name="hot_keys", value=hash_value, expected=expected)
        receiver.hot_keys.add(hash_value)
        receiver.gained = True

    def move_to_ring(self, source: OwnerEdit) -> None:
        """Leave everything that a node owns without an owner.

        Its hot keys return to their slices, so that the ring row needs no list of them.
        """
        self.ring_touched = True
        self.ring_unowned |= source.slices
        self.ring_excluded |= source.excluded
        for hash_value in sorted(source.hot_keys):
            self._merge_into_slice(hash_value, source)
        source.slices = set()
        source.hot_keys = set()
        source.excluded = set()

    def claim_unowned(self, receiver: OwnerEdit) -> None:
        """Give all slices without an owner to a node."""
        if not self.ring_unowned:
            return
        self.ring_touched = True
        receiver.slices |= self.ring_unowned
        receiver.excluded |= self.ring_excluded
        receiver.gained = True
        self.ring_unowned = set()
        self.ring_excluded = set()

    def spread(self, source: OwnerEdit, receivers: list[OwnerEdit]) -> None:
        """Give everything that a node owns to receivers, the least loaded first, or to the ring row."""
        if not receivers:
            self.move_to_ring(source)
            return
        for index in sorted(source.slices):
            self.move(source, min(receivers, key=_order), (index,))
        for hash_value in sorted(source.hot_keys):
            self.move_hot_key(source, min(receivers, key=_order), hash_value)

    def remove(self, node: str, lease_version: int | None = None) -> None:
        """Delete the lease and owner rows of a node whose slices have been moved."""
        self.check(lease_key(node), lease_version)
        self.check(owner_key(node))
        self.edits.pop(node, None)
        self.deletes += [lease_key(node), owner_key(node)]

    def transaction(self, operation_id: str) -> Transaction:
        """Return the transaction that makes the collected changes."""
        puts = dict(self.puts)
        for node, edit in self.edits.items():
            puts[owner_key(node)] = edit.value()
        if self.ring_touched:
            key = ring_key(self.service, self.region)
            self.check(key)
            puts[key] = row_to_json(
                RingRow(
                    service=self.service,
                    region=self.region,
                    slice_count=self.slice_count,
                    unowned=tuple(sorted(self.ring_unowned)),
                    excluded=tuple(sorted(self.ring_excluded)),
                )
            )
        present = tuple(key for key in self.deletes if self.checks[key])
        return Transaction(operation_id=operation_id, checks=dict(self.checks), puts=puts, deletes=present)

    def _excluded_in(self, excluded: set[int], slices: set[int]) -> set[int]:
        return {value for value in excluded if slice_of(value, self.slice_count) in slices}

    def _merge_into_slice(self, hash_value: int, source: OwnerEdit) -> None:
        """Return a hot key to its slice, wherever that is."""
        self.ring_excluded.discard(hash_value)
        index = slice_of(hash_value, self.slice_count)
        if index in self.ring_unowned:
            return
        holder = self.map.slice_owner(self.service, self.region, index)
        if holder is None or holder.node == source.row.node:
            return
        edit = self.owner(holder.node)
        edit.excluded.discard(hash_value)
        edit.gained = True


def _order(edit: OwnerEdit) -> tuple[float, str]:
    return edit.weight(), edit.row.node
