"""Transactions by which a node joins and leaves a ring, hands over slices and changes its guard."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal.ownership.keys import DEFAULT_SLICE_COUNT
from hibiscusdrum.internal.ownership.ownership_map import OwnershipMap
from hibiscusdrum.internal.ownership.ring_edit import EligibilityCheck, RingEdit, row_to_json
from hibiscusdrum.internal.ownership.rows import ACTIVE, LEAVING, LeaseRow, OwnerRow, lease_key
from hibiscusdrum.internal.ownership.takeover import choose_receivers, release_transactions
from hibiscusdrum.internal.platform.table import Transaction

__all__ = [
    "ACTIVE",
    "LEAVING",
    "claim_transaction",
    "guard_change_transaction",
    "handover_transaction",
    "join_transaction",
    "leave_transaction",
    "release_transactions",
    "self_guard_transaction",
]


def join_transaction(
    ownership_map: OwnershipMap,
    row: OwnerRow,
    incarnation: str,
    guard: str,
    operation_id: str,
    slice_count: int = DEFAULT_SLICE_COUNT,
    claim: bool = True,
) -> Transaction:
    """Return the transaction by which a node joins its ring.

    The first node of a ring creates the ring row and claims all slices. Later nodes claim the slices without
    an owner, if there are any.

    Parameters
    ----------
    ownership_map : OwnershipMap
        Rows as the node knows them.
    row : OwnerRow
        Description of the node; its slices, hot keys and epoch are ignored.
    incarnation : str
        Identifier of this incarnation of the node.
    guard : str
        The chosen guard, or the node itself if there is no other node.
    operation_id : str
        Identifier of the write.
    slice_count : int
        Number of slices of the ring if it does not exist yet.
    claim : bool
        Whether the node may own slices; false in a drained failure domain, for example.

    Notes
    -----
    The transaction requires that the node has no rows. A node that restarts under the same name must wait
    until its previous incarnation has been taken over.
    """
    edit = RingEdit(ownership_map, row.service, row.region)
    joiner = edit.add_owner(row)
    if (row.service, row.region) not in ownership_map.rings:
        edit.slice_count = slice_count
        edit.ring_unowned = set(range(slice_count))
        edit.ring_changed = True
    if claim:
        edit.claim_unowned(joiner)
    key = lease_key(row.node)
    edit.require_version(key, 0)
    edit.put_lease(key, LeaseRow(node=row.node, incarnation=incarnation, guard=guard, state=ACTIVE))
    return edit.transaction(operation_id)


def claim_transaction(ownership_map: OwnershipMap, node: str, operation_id: str) -> Transaction | None:
    """Return the transaction by which a node claims all unowned slices, or None if there are none."""
    row = _owner_row(ownership_map, node)
    edit = RingEdit(ownership_map, row.service, row.region)
    if not edit.ring_unowned:
        return None
    edit.claim_unowned(edit.edit_owner(node))
    return edit.transaction(operation_id)


def handover_transaction(
    ownership_map: OwnershipMap,
    source: str,
    receiver: str,
    slices: Sequence[int],
    hot_keys: Sequence[int],
    operation_id: str,
) -> Transaction:
    """Return the transaction by which the current owner hands slices and hot keys over to another node.

    The source must stop serving them before it sends the write, and must not serve them again unless it
    knows that the write had no effect. A hot key in a slice of the source is separated from the slice; a hot
    key whose slice the receiver owns becomes an ordinary key again.

    Raises
    ------
    InvalidArgument
        If the source does not own a slice or key, if source and receiver are the same node, or if a node is
        not in the source's ring.
    """
    row = _owner_row(ownership_map, source)
    not_owned = sorted(set(slices) - set(row.slices))
    if not_owned:
        raise InvalidArgument(name="slices", value=not_owned, expected=f"slices that {source!r} owns")
    if source == receiver:
        raise InvalidArgument(name="receiver", value=receiver, expected="a node other than the source")
    edit = RingEdit(ownership_map, row.service, row.region)
    source_edit, receiver_edit = edit.edit_owner(source), edit.edit_owner(receiver)
    for hash_value in hot_keys:
        edit.move_hot_key(source_edit, receiver_edit, hash_value)
    edit.move_slices(source_edit, receiver_edit, slices)
    return edit.transaction(operation_id)


def leave_transaction(
    ownership_map: OwnershipMap, node: str, operation_id: str, eligible: EligibilityCheck
) -> Transaction:
    """Return the transaction by which a node hands over everything that it owns and deletes its rows.

    If no other node can receive the slices, they are added to the unowned slices of the ring row.
    """
    row = _owner_row(ownership_map, node)
    edit = RingEdit(ownership_map, row.service, row.region)
    receivers = [edit.edit_owner(name) for name in choose_receivers(ownership_map, row, {node}, eligible)]
    edit.distribute(edit.edit_owner(node), receivers)
    edit.remove_node(node)
    return edit.transaction(operation_id)


def guard_change_transaction(
    ownership_map: OwnershipMap, node: str, guard: str, operation_id: str, state: str | None = None
) -> Transaction:
    """Return the transaction by which a node changes the guard or the state in its lease row, or both.

    Only the node itself may send it, and only after ``LeaseHolder.begin_guard_change``.
    """
    row = _lease_row(ownership_map, node)
    changed = msgspec.structs.replace(row, guard=guard, state=state or row.state)
    key = lease_key(node)
    return Transaction(
        operation_id=operation_id, checks={key: ownership_map.version(key)}, puts={key: row_to_json(changed)}
    )


def self_guard_transaction(ownership_map: OwnershipMap, node: str, operation_id: str) -> Transaction:
    """Return the transaction by which a node whose lease has expired becomes its own guard.

    It conflicts with a takeover by the former guard, because both depend on the version of the lease row.
    """
    return guard_change_transaction(ownership_map, node, node, operation_id)


def _owner_row(ownership_map: OwnershipMap, node: str) -> OwnerRow:
    row = ownership_map.owners.get(node)
    if row is None:
        raise InvalidArgument(name="node", value=node, expected="a node with an owner row")
    return row


def _lease_row(ownership_map: OwnershipMap, node: str) -> LeaseRow:
    row = ownership_map.leases.get(node)
    if row is None:
        raise InvalidArgument(name="node", value=node, expected="a node with a lease row")
    return row
