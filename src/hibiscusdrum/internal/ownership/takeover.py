"""Transactions that give the slices of a lost node to others."""

from __future__ import annotations

import msgspec
import xxhash

from hibiscusdrum.internal.ownership.ownership_map import OwnershipMap
from hibiscusdrum.internal.ownership.ring_edit import Eligible, OwnerEdit, RingEdit, row_to_json
from hibiscusdrum.internal.ownership.rows import ACTIVE, OwnerRow, lease_key
from hibiscusdrum.internal.platform.table import Transaction

# A transaction stays small, and few rows can conflict with other takeovers.
MAX_RECEIVERS = 4
# Receivers whose load differs by less than this share of the mean are ordered by hash instead, so that
# concurrent takeovers choose different receivers.
LOAD_STEP = 0.1


def takeover_transaction(
    ownership_map: OwnershipMap,
    dead: str,
    lease_version: int,
    taker: str,
    operation_id: str,
    eligible: Eligible,
) -> Transaction:
    """Return the transaction by which a guard takes over a node.

    Parameters
    ----------
    ownership_map : OwnershipMap
        Rows as the taker knows them.
    dead : str
        The node whose lease has ended.
    lease_version : int
        Version of its lease row under which the guard waited; another version means another guard.
    taker : str
        The guard, which also becomes the guard of the nodes that the lost node guarded.
    operation_id : str
        Identifier of the write.
    eligible : callable
        Whether a node may receive slices; false for drained failure domains and excluded nodes.

    Returns
    -------
    Transaction
        Conditional on the version of every row that it depends on.

    Notes
    -----
    Once it is committed, pass the written lease rows to ``LeaseGuard.apply_row``: this starts the additional
    term for the nodes whose guard the taker has become.
    """
    row = ownership_map.owners.get(dead)
    edit = RingEdit(ownership_map, row.service if row else "", row.region if row else "")
    if row is not None:
        _give_away(edit, {dead}, dead, eligible)
    edit.remove(dead, lease_version)
    for node, lease in sorted(ownership_map.leases.items()):
        if lease.guard == dead and node not in (dead, taker):
            edit.check(lease_key(node))
            edit.put(lease_key(node), msgspec.structs.replace(lease, guard=taker))
    return edit.transaction(operation_id)


def release_transactions(
    ownership_map: OwnershipMap, nodes: list[str], operation_id: str, eligible: Eligible
) -> list[Transaction]:
    """Return the transactions that remove nodes which an operator declares gone, one for each ring.

    Nothing is waited for: the operator vouches that the nodes do not run any more. Nodes that they guarded
    change their guard themselves or are adopted as orphans.
    """
    rings: dict[tuple[str, str], list[str]] = {}
    for node in sorted(nodes):
        row = ownership_map.owners.get(node)
        rings.setdefault((row.service, row.region) if row else ("", ""), []).append(node)
    transactions = []
    for index, ((service, region), gone) in enumerate(sorted(rings.items())):
        edit = RingEdit(ownership_map, service, region)
        for node in gone:
            if node in ownership_map.owners:
                _give_away(edit, set(nodes), node, eligible)
            edit.remove(node)
        transactions.append(edit.transaction(f"{operation_id}-{index}"))
    return transactions


def orphaned_nodes(ownership_map: OwnershipMap) -> list[str]:
    """Return the nodes whose guard has no lease row.

    This happens when a node chose a guard that was being taken over, and was then lost itself before it
    chose another. Without adoption nobody would take it over.
    """
    leases = ownership_map.leases
    return sorted(node for node, row in leases.items() if row.guard != node and row.guard not in leases)


def orphan_guard_transaction(
    ownership_map: OwnershipMap, orphan: str, taker: str, operation_id: str
) -> Transaction:
    """Return the transaction by which a node becomes the guard of an orphan.

    It is conditional on the absence of the former guard's row, so the former guard has no valid lease and
    grants nothing. The new guard waits a whole term after this write, like after every change of guard.
    """
    row = ownership_map.leases[orphan]
    key = lease_key(orphan)
    return Transaction(
        operation_id=operation_id,
        checks={key: ownership_map.version(key), lease_key(row.guard): 0},
        puts={key: row_to_json(msgspec.structs.replace(row, guard=taker))},
    )


def choose_receivers(
    ownership_map: OwnershipMap, row: OwnerRow, gone: set[str], eligible: Eligible
) -> list[str]:
    """Return at most ``MAX_RECEIVERS`` nodes of the same ring to give a node's slices to."""
    candidates = [
        other
        for other in ownership_map.owner_rows(row.service, row.region)
        if other.node not in gone and _active(ownership_map, other.node) and eligible(other)
    ]
    if not candidates:
        return []
    weights = {other.node: len(other.slices) / max(other.capacity, 1e-9) for other in candidates}
    step = LOAD_STEP * sum(weights.values()) / len(weights) or 1.0
    ordered = sorted(weights, key=lambda node: (int(weights[node] / step), _spread(row.node, node), node))
    return ordered[:MAX_RECEIVERS]


def _give_away(edit: RingEdit, gone: set[str], node: str, eligible: Eligible) -> None:
    source = edit.owner(node)
    names = choose_receivers(edit.map, source.row, gone, eligible)
    targets: list[OwnerEdit] = [edit.owner(name) for name in names]
    edit.spread(source, targets)


def _active(ownership_map: OwnershipMap, node: str) -> bool:
    lease = ownership_map.leases.get(node)
    return lease is not None and lease.state == ACTIVE


def _spread(source: str, receiver: str) -> int:
    return xxhash.xxh64_intdigest(f"{source}>{receiver}".encode())
