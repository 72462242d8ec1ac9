"""Transactions by which a node joins, hands slices over, changes its guard and leaves."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal.ownership.keys import DEFAULT_SLICES
from hibiscusdrum.internal.ownership.ownership_map import OwnershipMap
from hibiscusdrum.internal.ownership.ring_edit import Eligible, RingEdit, row_to_json
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
    slice_count: int = DEFAULT_SLICES,
    claim: bool = True,
) -> Transaction:
    """Return the transaction by which a node joins its ring.

    The first node creates the ring row and takes all slices. A later one claims the slices that have no
    owner, or joins with none.

    Parameters
    ----------
    row : OwnerRow
        Description of the node; its slices, hot keys and epoch are ignored.
    incarnation : str
        Identifier of this run of the node.
    guard : str
        The chosen guard; the node itself when there is no other.
    claim : bool
        False for a node that may not take slices, for example in a drained failure domain.

    Notes
    -----
    The transaction requires that no row of the node exists. A node that restarts under its old name waits
    until its former incarnation has been taken over.
    """
    edit = RingEdit(ownership_map, row.service, row.region)
    joiner = edit.add_owner(row)
    if (row.service, row.region) not in ownership_map.rings:
        edit.slice_count = slice_count
        edit.ring_unowned = set(range(slice_count))
        edit.ring_touched = True
    if claim:
        edit.claim_unowned(joiner)
    key = lease_key(row.node)
    edit.check(key, 0)
    edit.put(key, LeaseRow(node=row.node, incarnation=incarnation, guard=guard, state=ACTIVE))
    return edit.transaction(operation_id)


def claim_transaction(ownership_map: OwnershipMap, node: str, operation_id: str) -> Transaction | None:
    """Return the transaction by which a node claims slices without an owner, None when there are none."""
    row = _owner_row(ownership_map, node)
    edit = RingEdit(ownership_map, row.service, row.region)
    if not edit.ring_unowned:
        return None
    edit.claim_unowned(edit.owner(node))
    return edit.transaction(operation_id)


def handover_transaction(
    ownership_map: OwnershipMap,
    source: str,
    receiver: str,
    slices: Sequence[int],
    hot_keys: Sequence[int],
    operation_id: str,
) -> Transaction:
    """Return the transaction by which the present owner hands slices and hot keys over.

    The source must have stopped serving them before it sends the write, and must not serve them again
    before it knows that the write had no effect. A hot key that lies in a slice of the source is separated
    from it; one that the receiver has the slice of becomes an ordinary key again.

    Raises
    ------
    InvalidArgument
        If the source does not own a slice or a key, or a node is not in the source's ring.
    """
    row = _owner_row(ownership_map, source)
    missing = sorted(set(slices) - set(row.slices))
    if missing:
        raise InvalidArgument(name="slices", value=missing, expected=f"slices that {source!r} owns")
    if source == receiver:
        raise InvalidArgument(name="receiver", value=receiver, expected="another node than the source")
    edit = RingEdit(ownership_map, row.service, row.region)
    giving, taking = edit.owner(source), edit.owner(receiver)
    for hash_value in hot_keys:
        edit.move_hot_key(giving, taking, hash_value)
    edit.move(giving, taking, slices)
    return edit.transaction(operation_id)


def leave_transaction(
    ownership_map: OwnershipMap, node: str, operation_id: str, eligible: Eligible
) -> Transaction:
    """Return the transaction by which a node hands everything over and deletes its rows.

    The last node of a ring leaves its slices to the ring row.
    """
    row = _owner_row(ownership_map, node)
    edit = RingEdit(ownership_map, row.service, row.region)
    targets = [edit.owner(name) for name in choose_receivers(ownership_map, row, {node}, eligible)]
    edit.spread(edit.owner(node), targets)
    edit.remove(node)
    return edit.transaction(operation_id)


def guard_change_transaction(
    ownership_map: OwnershipMap, node: str, guard: str, operation_id: str, state: str | None = None
) -> Transaction:
    """Return the transaction by which a node names another guard, another state, or both.

    Only the node itself may send it, after ``LeaseHolder.begin_guard_change``.
    """
    row = _lease_row(ownership_map, node)
    changed = msgspec.structs.replace(row, guard=guard, state=state or row.state)
    key = lease_key(node)
    return Transaction(
        operation_id=operation_id, checks={key: ownership_map.version(key)}, puts={key: row_to_json(changed)}
    )


def self_guard_transaction(ownership_map: OwnershipMap, node: str, operation_id: str) -> Transaction:
    """Return the transaction by which a node whose lease lapsed names itself as guard.

    It conflicts with a takeover by the former guard, since both depend on the version of the lease row.
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
