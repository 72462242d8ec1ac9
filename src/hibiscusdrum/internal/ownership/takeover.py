"""Transactions that remove failed nodes and reassign their slices and their lessees."""

from __future__ import annotations

import msgspec
import xxhash

from hibiscusdrum.internal.ownership.ownership_map import OwnershipMap
from hibiscusdrum.internal.ownership.ring_edit import EligibilityCheck, OwnerEdit, RingEdit, row_to_json
from hibiscusdrum.internal.ownership.rows import ACTIVE, OwnerRow, lease_key
from hibiscusdrum.internal.platform.table import Transaction

# Keeps the transaction small, and limits the rows that can conflict with concurrent takeovers.
MAX_RECEIVERS = 4
# Width of the load classes by which receivers are ordered, as a fraction of the mean load. Within a class
# they are ordered by hash, so that concurrent takeovers choose different receivers.
LOAD_CLASS_FRACTION = 0.1


def takeover_transaction(
    ownership_map: OwnershipMap,
    failed_node: str,
    lease_version: int,
    new_guard: str,
    operation_id: str,
    eligible: EligibilityCheck,
) -> Transaction:
    """Return the transaction by which a guard takes over a failed node.

    Parameters
    ----------
    ownership_map : OwnershipMap
        Rows as the guard knows them.
    failed_node : str
        Node whose lease has expired.
    lease_version : int
        Version of its lease row for which the guard waited; any other version belongs to another guard.
    new_guard : str
        The guard of the failed node, which also becomes the guard of the failed node's lessees.
    operation_id : str
        Identifier of the write.
    eligible : callable
        Returns whether a node may receive slices, which is false in drained failure domains and for excluded
        nodes.

    Returns
    -------
    Transaction
        Conditional on the version of every row that it depends on.

    Notes
    -----
    After the commit, pass the written lease rows to ``LeaseGuard.apply_row``. This starts the takeover wait
    of one term for the nodes that have received a new guard.
    """
    row = ownership_map.owners.get(failed_node)
    edit = RingEdit(ownership_map, row.service if row else "", row.region if row else "")
    if row is not None:
        _reassign_slices(edit, {failed_node}, failed_node, eligible)
    edit.remove_node(failed_node, lease_version)
    for node, lease in sorted(ownership_map.leases.items()):
        if lease.guard == failed_node and node not in (failed_node, new_guard):
            edit.require_version(lease_key(node))
            edit.put_lease(lease_key(node), msgspec.structs.replace(lease, guard=new_guard))
    return edit.transaction(operation_id)


def release_transactions(
    ownership_map: OwnershipMap, nodes: list[str], operation_id: str, eligible: EligibilityCheck
) -> list[Transaction]:
    """Return the transactions that remove nodes which an operator has released, one per ring.

    There is no takeover wait, because by releasing the nodes the operator confirms that they no longer run.
    Their lessees change their guard themselves, or another node becomes the guard of those it finds orphaned.
    """
    rings: dict[tuple[str, str], list[str]] = {}
    for node in sorted(nodes):
        row = ownership_map.owners.get(node)
        rings.setdefault((row.service, row.region) if row else ("", ""), []).append(node)
    transactions = []
    for index, ((service, region), removed) in enumerate(sorted(rings.items())):
        edit = RingEdit(ownership_map, service, region)
        for node in removed:
            if node in ownership_map.owners:
                _reassign_slices(edit, set(nodes), node, eligible)
            edit.remove_node(node)
        transactions.append(edit.transaction(f"{operation_id}-{index}"))
    return transactions


def orphaned_nodes(ownership_map: OwnershipMap) -> list[str]:
    """Return the nodes whose guard has no lease row.

    A node is orphaned if it chose a guard that was being taken over, and then failed itself before it chose
    another one. Without a new guard, no node would ever take it over.
    """
    leases = ownership_map.leases
    return sorted(node for node, row in leases.items() if row.guard != node and row.guard not in leases)


def orphan_guard_transaction(
    ownership_map: OwnershipMap, orphaned_node: str, new_guard: str, operation_id: str
) -> Transaction:
    """Return the transaction by which a node becomes the guard of an orphaned node.

    The transaction requires that the former guard has no lease row; without one it has no valid lease and
    grants nothing. The new guard waits one term after this write, as after every change of guard.
    """
    row = ownership_map.leases[orphaned_node]
    key = lease_key(orphaned_node)
    return Transaction(
        operation_id=operation_id,
        checks={key: ownership_map.version(key), lease_key(row.guard): 0},
        puts={key: row_to_json(msgspec.structs.replace(row, guard=new_guard))},
    )


def choose_receivers(
    ownership_map: OwnershipMap, row: OwnerRow, removed: set[str], eligible: EligibilityCheck
) -> list[str]:
    """Return at most ``MAX_RECEIVERS`` nodes of the same ring for a node's slices, the least loaded first."""
    candidates = [
        other
        for other in ownership_map.owner_rows(row.service, row.region)
        if other.node not in removed and _is_active(ownership_map, other.node) and eligible(other)
    ]
    if not candidates:
        return []
    loads = {other.node: len(other.slices) / max(other.capacity, 1e-9) for other in candidates}
    class_width = LOAD_CLASS_FRACTION * sum(loads.values()) / len(loads) or 1.0
    ordered = sorted(
        loads, key=lambda node: (int(loads[node] / class_width), _tie_break(row.node, node), node)
    )
    return ordered[:MAX_RECEIVERS]


def _reassign_slices(edit: RingEdit, removed: set[str], node: str, eligible: EligibilityCheck) -> None:
    """Distribute everything that a node owns among nodes that are not removed themselves."""
    source = edit.edit_owner(node)
    names = choose_receivers(edit.ownership_map, source.row, removed, eligible)
    receivers: list[OwnerEdit] = [edit.edit_owner(name) for name in names]
    edit.distribute(source, receivers)


def _is_active(ownership_map: OwnershipMap, node: str) -> bool:
    lease = ownership_map.leases.get(node)
    return lease is not None and lease.state == ACTIVE


def _tie_break(source: str, receiver: str) -> int:
    return xxhash.xxh64_intdigest(f"{source}>{receiver}".encode())
