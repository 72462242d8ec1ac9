"""Collects changes to the rows of one ring into one conditional transaction.

A hot key that is owned separately from its slice must be excluded in the row that contains the slice, which
is an owner row or the ring row. The exclusions therefore move together with their slices.
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

EligibilityCheck = Callable[[OwnerRow], bool]


def row_to_json(row: LeaseRow | OwnerRow | RingRow) -> dict[str, Any]:
    """Return a row as a JSON object."""
    return {
        name: list(value) if isinstance(value, tuple) else value
        for name, value in msgspec.structs.asdict(row).items()
    }


class OwnerEdit:
    """Changed contents of one owner row.

    Attributes
    ----------
    row : OwnerRow
        The row before the changes.
    slices, hot_keys, excluded : set of int
        Contents of the row after the changes so far.
    needs_epoch : bool
        Whether the node receives slices or hot keys, so that its epoch must be set to the number of this
        transaction.
    """

    __slots__ = ("excluded", "hot_keys", "needs_epoch", "row", "slices")

    def __init__(self, row: OwnerRow) -> None:
        self.row = row
        self.slices = set(row.slices)
        self.hot_keys = set(row.hot_keys)
        self.excluded = set(row.excluded)
        self.needs_epoch = False

    def slices_per_capacity(self) -> float:
        """Return the number of slices per unit of capacity."""
        return len(self.slices) / max(self.row.capacity, 1e-9)

    def to_json(self) -> dict[str, Any]:
        """Return the row to write as a JSON object.

        A hot key whose slice the node owns becomes an ordinary key again.
        """
        merged = self.hot_keys & self.excluded
        row = msgspec.structs.replace(
            self.row,
            slices=tuple(sorted(self.slices)),
            hot_keys=tuple(sorted(self.hot_keys - merged)),
            excluded=tuple(sorted(self.excluded - merged)),
        )
        value = row_to_json(row)
        if self.needs_epoch:
            value["epoch"] = SEQUENCE_PLACEHOLDER
        return value


class RingEdit:
    """Changes to the rows of one ring, conditional on the row versions in an ownership map.

    Parameters
    ----------
    ownership_map : OwnershipMap
        Rows and versions that the transaction depends on.
    service, region : str
        Identify the ring.

    Attributes
    ----------
    slice_count : int
        Number of slices of the ring.
    ring_unowned, ring_excluded : set of int
        Unowned slices of the ring after the changes so far, and the hot keys excluded from them.
    ring_changed : bool
        Whether the ring row must be written.
    owner_edits : dict of str to OwnerEdit
        Changed owner rows by node.
    checks : dict of str to int
        Required versions by row key; 0 requires that the row does not exist.
    puts : dict of str to Any
        Changed lease rows by row key.
    deletes : list of str
        Keys of the rows to delete.
    """

    __slots__ = (
        "checks",
        "deletes",
        "owner_edits",
        "ownership_map",
        "puts",
        "region",
        "ring_changed",
        "ring_excluded",
        "ring_unowned",
        "service",
        "slice_count",
    )

    def __init__(self, ownership_map: OwnershipMap, service: str, region: str) -> None:
        self.ownership_map = ownership_map
        self.service = service
        self.region = region
        self.slice_count = ownership_map.slice_count(service, region)
        row = ownership_map.rings.get((service, region))
        self.ring_unowned = set(row.unowned) if row is not None else set()
        self.ring_excluded = set(row.excluded) if row is not None else set()
        self.ring_changed = False
        self.owner_edits: dict[str, OwnerEdit] = {}
        self.checks: dict[str, int] = {}
        self.puts: dict[str, Any] = {}
        self.deletes: list[str] = []

    def require_version(self, key: str, version: int | None = None) -> None:
        """Make the transaction conditional on a row's version, by default the version in the map."""
        self.checks[key] = self.ownership_map.version(key) if version is None else version

    def edit_owner(self, node: str) -> OwnerEdit:
        """Return the changes to the owner row of a node, and make the transaction conditional on that row.

        Raises
        ------
        InvalidArgument
            If the node has no owner row in this ring.
        """
        edit = self.owner_edits.get(node)
        if edit is None:
            row = self.ownership_map.owners.get(node)
            if row is None or (row.service, row.region) != (self.service, self.region):
                ring = f"{self.service}@{self.region}"
                raise InvalidArgument(name="node", value=node, expected=f"a node of ring {ring!r}")
            edit = self.owner_edits[node] = OwnerEdit(row)
            self.require_version(owner_key(node))
        return edit

    def add_owner(self, row: OwnerRow) -> OwnerEdit:
        """Add an owner row without slices for a node, which must not have an owner row yet."""
        edit = self.owner_edits[row.node] = OwnerEdit(
            msgspec.structs.replace(row, slices=(), hot_keys=(), excluded=())
        )
        self.require_version(owner_key(row.node), 0)
        return edit

    def put_lease(self, key: str, row: LeaseRow) -> None:
        """Write a lease row."""
        self.puts[key] = row_to_json(row)

    def move_slices(self, source: OwnerEdit, receiver: OwnerEdit, slices: Iterable[int]) -> None:
        """Move slices and their exclusions from one node to another."""
        moving = set(slices)
        excluded = self._excluded_in(source.excluded, moving)
        source.slices -= moving
        source.excluded -= excluded
        receiver.slices |= moving
        receiver.excluded |= excluded
        receiver.needs_epoch = receiver.needs_epoch or bool(moving)

    def move_hot_key(self, source: OwnerEdit, receiver: OwnerEdit, hash_value: int) -> None:
        """Move a hot key; if it is still part of a slice of the source, separate it from the slice.

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
        receiver.needs_epoch = True

    def release_to_ring(self, source: OwnerEdit) -> None:
        """Move everything that a node owns to the unowned slices of the ring row.

        Hot keys are merged back into their slices, so that the ring row does not need to list them.
        """
        self.ring_changed = True
        self.ring_unowned |= source.slices
        self.ring_excluded |= source.excluded
        for hash_value in sorted(source.hot_keys):
            self._remove_exclusion(hash_value, source)
        source.slices = set()
        source.hot_keys = set()
        source.excluded = set()

    def claim_unowned(self, receiver: OwnerEdit) -> None:
        """Move all unowned slices of the ring to a node."""
        if not self.ring_unowned:
            return
        self.ring_changed = True
        receiver.slices |= self.ring_unowned
        receiver.excluded |= self.ring_excluded
        receiver.needs_epoch = True
        self.ring_unowned = set()
        self.ring_excluded = set()

    def distribute(self, source: OwnerEdit, receivers: list[OwnerEdit]) -> None:
        """Distribute everything that a node owns among receivers; without receivers, release it to the ring.

        Each slice and each hot key goes to the receiver with the least slices per unit of capacity.
        """
        if not receivers:
            self.release_to_ring(source)
            return
        for index in sorted(source.slices):
            self.move_slices(source, min(receivers, key=_load_order), (index,))
        for hash_value in sorted(source.hot_keys):
            self.move_hot_key(source, min(receivers, key=_load_order), hash_value)

    def remove_node(self, node: str, lease_version: int | None = None) -> None:
        """Delete the lease row and the owner row of a node whose slices have been moved."""
        self.require_version(lease_key(node), lease_version)
        self.require_version(owner_key(node))
        self.owner_edits.pop(node, None)
        self.deletes += [lease_key(node), owner_key(node)]

    def transaction(self, operation_id: str) -> Transaction:
        """Return the transaction that writes the collected changes."""
        puts = dict(self.puts)
        for node, edit in self.owner_edits.items():
            puts[owner_key(node)] = edit.to_json()
        if self.ring_changed:
            key = ring_key(self.service, self.region)
            self.require_version(key)
            puts[key] = row_to_json(
                RingRow(
                    service=self.service,
                    region=self.region,
                    slice_count=self.slice_count,
                    unowned=tuple(sorted(self.ring_unowned)),
                    excluded=tuple(sorted(self.ring_excluded)),
                )
            )
        deletes = tuple(key for key in self.deletes if self.checks[key])
        return Transaction(operation_id=operation_id, checks=dict(self.checks), puts=puts, deletes=deletes)

    def _excluded_in(self, excluded: set[int], slices: set[int]) -> set[int]:
        """Return the excluded hot keys that are part of the given slices."""
        return {value for value in excluded if slice_of(value, self.slice_count) in slices}

    def _remove_exclusion(self, hash_value: int, source: OwnerEdit) -> None:
        """Remove the exclusion of a hot key from the row that contains its slice."""
        self.ring_excluded.discard(hash_value)
        index = slice_of(hash_value, self.slice_count)
        if index in self.ring_unowned:
            return
        owner = self.ownership_map.slice_owner(self.service, self.region, index)
        if owner is None or owner.node == source.row.node:
            return
        edit = self.edit_owner(owner.node)
        edit.excluded.discard(hash_value)
        edit.needs_epoch = True


def _load_order(edit: OwnerEdit) -> tuple[float, str]:
    """Return the sort key that puts the least loaded node first."""
    return edit.slices_per_capacity(), edit.row.node
