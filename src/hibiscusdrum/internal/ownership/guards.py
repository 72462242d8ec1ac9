"""Selection of the guard of a node.

The nodes of a region are ordered so that failure domains alternate, and each node prefers the next node in
another failure domain. In steady state the guards form one long cycle, in which a failed node remains
without a running guard only if all nodes of the cycle fail.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

import xxhash

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal.ownership.rows import LEAVING, LeaseRow, OwnerRow

# Limits the renewals that one node answers and the nodes that are affected when it fails.
MAX_LESSEES = 4
# Number of successors in the order that are tried before a candidate is chosen by hash.
MAX_SUCCESSORS_TRIED = 3
# The slices of three failed nodes that guard each other in a chain are served again within 5 s, so a cycle
# must have at least four nodes.
MIN_CYCLE_NODES = 4


def interleaved_order(nodes: Iterable[OwnerRow]) -> list[str]:
    """Return node names in an order in which neighbours are in different failure domains where possible.

    A node's position is its relative rank within its failure domain, so failure domains of different sizes
    are interleaved evenly.
    """
    domains: dict[str, list[str]] = {}
    for row in nodes:
        domains.setdefault(row.failure_domain, []).append(row.node)
    placed = []
    for number, domain in enumerate(sorted(domains)):
        names = sorted(domains[domain])
        placed += [((rank + 0.5) / len(names), number, name) for rank, name in enumerate(names)]
    return [name for _, _, name in sorted(placed)]


def choose_guard(
    node: str,
    owners: Mapping[str, OwnerRow],
    leases: Mapping[str, LeaseRow],
    usable: Callable[[str], bool],
    max_lessees: int = MAX_LESSEES,
) -> str:
    """Return the best guard for a node, or the node itself if no other node is usable.

    Parameters
    ----------
    node : str
        Must be in ``owners``.
    owners, leases : mapping
        Owner rows and lease rows by node.
    usable : callable
        Returns whether a node's lease is assumed to be valid. Leaving nodes are never chosen.
    max_lessees : int
        Nodes with this many lessees are chosen only if no other candidate exists.

    Raises
    ------
    InvalidArgument
        If the node has no owner row.
    """
    own_row = owners.get(node)
    if own_row is None:
        raise InvalidArgument(name="node", value=node, expected="a node with an owner row")
    lessee_counts = Counter(row.guard for name, row in leases.items() if name != node and row.guard != name)
    leaving = {name for name, row in leases.items() if row.state == LEAVING}
    candidates = [name for name in owners if name != node and name not in leaving and usable(name)]
    with_capacity = [name for name in candidates if lessee_counts[name] < max_lessees]
    for allowed in (with_capacity, candidates):
        for group in _group_by_distance(own_row, owners, allowed):
            if group:
                return _choose_in_group(own_row, owners, leases, group)
    return node


def find_better_guard(
    node: str,
    owners: Mapping[str, OwnerRow],
    leases: Mapping[str, LeaseRow],
    usable: Callable[[str], bool],
    max_lessees: int = MAX_LESSEES,
) -> str | None:
    """Return a better guard than the current one, or None to keep the current one.

    The guard is replaced if it is the node itself, is leaving or has no rows, has too many lessees (only
    those beyond the limit change, in order of their names), is in the same failure domain or another region
    although a better candidate
    is usable, or is part of a short cycle.
    """
    lease = leases.get(node)
    if lease is None:
        return None
    best = choose_guard(node, owners, leases, usable, max_lessees)
    if best in (node, lease.guard):
        return None
    guard_lease = leases.get(lease.guard)
    unavailable = lease.guard not in owners or guard_lease is None or guard_lease.state == LEAVING
    if lease.guard == node or unavailable:
        return best
    lessees = sorted(name for name, row in leases.items() if row.guard == lease.guard and name != lease.guard)
    if node in lessees[max_lessees:]:
        return best
    own_row = owners[node]
    if _distance(own_row, owners[best]) < _distance(own_row, owners[lease.guard]):
        return best
    if _cycle_length(node, lease.guard, leases) < MIN_CYCLE_NODES:
        return _guard_outside_short_cycle(own_row, owners, leases, usable, best)
    return None


def _guard_outside_short_cycle(
    own_row: OwnerRow,
    owners: Mapping[str, OwnerRow],
    leases: Mapping[str, LeaseRow],
    usable: Callable[[str], bool],
    best: str,
) -> str | None:
    """Return a guard that ends a short cycle, immediately or after the other nodes have changed theirs.

    Nodes that guard each other in pairs can be linked such that no single change makes a long cycle. If each
    node changes to its successor in the order, one cycle of all nodes results.
    """
    current = leases[own_row.node].guard
    if _cycle_length(own_row.node, best, leases) >= MIN_CYCLE_NODES:
        return best
    successor = next((name for name in _successors(own_row, owners) if usable(name)), current)
    return successor if successor != current else None


def _group_by_distance(
    own_row: OwnerRow, owners: Mapping[str, OwnerRow], names: list[str]
) -> list[list[str]]:
    """Group candidates by preference: other failure domain, same failure domain, other region."""
    groups: list[list[str]] = [[], [], []]
    for name in names:
        groups[_distance(own_row, owners[name])].append(name)
    return groups


def _distance(own_row: OwnerRow, other: OwnerRow) -> int:
    """Return the preference of a node as guard; lower is better."""
    if other.region != own_row.region:
        return 2
    return 1 if other.failure_domain == own_row.failure_domain else 0


def _choose_in_group(
    own_row: OwnerRow, owners: Mapping[str, OwnerRow], leases: Mapping[str, LeaseRow], group: list[str]
) -> str:
    """Return one of the first successors in the order, or a candidate by hash if none of them qualifies.

    If each node took the next usable one, many nodes that restart at the same time would choose the same
    guard.
    """
    in_long_cycle = [name for name in group if _cycle_length(own_row.node, name, leases) >= MIN_CYCLE_NODES]
    names = set(in_long_cycle or group)
    successors = _successors(own_row, owners)
    for name in successors[:MAX_SUCCESSORS_TRIED]:
        if name in names:
            return name
    return max(names, key=lambda name: (xxhash.xxh64_intdigest(f"{own_row.node}>{name}".encode()), name))


def _successors(own_row: OwnerRow, owners: Mapping[str, OwnerRow]) -> list[str]:
    """Return the region's nodes in other failure domains, in order beginning after the node."""
    order = interleaved_order(row for row in owners.values() if row.region == own_row.region)
    start = order.index(own_row.node) + 1
    return [name for name in order[start:] + order[:start] if _distance(own_row, owners[name]) == 0]


def _cycle_length(node: str, guard: str, leases: Mapping[str, LeaseRow]) -> int:
    """Return the length of the cycle that choosing ``guard`` would close, limited to ``MIN_CYCLE_NODES``.

    If there would be no cycle, the limit is returned.
    """
    length, name = 1, guard
    while length < MIN_CYCLE_NODES:
        if name == node:
            return length
        row = leases.get(name)
        if row is None or row.guard == name:
            return MIN_CYCLE_NODES
        name = row.guard
        length += 1
    return MIN_CYCLE_NODES
