"""Choice of the guard of a node.

The nodes of a region are ordered so that failure domains alternate; each node prefers the next one in
another failure domain. In steady state this makes one long cycle, which only the loss of all its nodes
breaks.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

import xxhash

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal.ownership.rows import LEAVING, LeaseRow, OwnerRow

# Bounds the renewals that one node answers and the nodes that must wait when it is lost.
MAX_LESSEES = 4
# Nodes ahead in the order that are tried first; beyond them the choice is spread by hash.
NEAR_CANDIDATES = 3
# A chain of three lost nodes is served again within 5 s, so a cycle needs at least four nodes.
MIN_CYCLE = 4


def alternating_order(nodes: Iterable[OwnerRow]) -> list[str]:
    """Return node names such that neighbours are in different failure domains as far as possible.

    A node's position depends on its rank in its failure domain, so domains of different sizes mix evenly.
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
    """Return the best guard for a node, the node itself when no other is usable.

    Parameters
    ----------
    node : str
        Must be in ``owners``.
    owners, leases : mapping
        Rows by node.
    usable : callable
        Whether a node's lease is believed valid; leaving nodes are passed over in any case.

    Raises
    ------
    InvalidArgument
        If the node has no owner row.
    """
    here = owners.get(node)
    if here is None:
        raise InvalidArgument(name="node", value=node, expected="a node with an owner row")
    lessees = Counter(row.guard for name, row in leases.items() if name != node and row.guard != name)
    leaving = {name for name, row in leases.items() if row.state == LEAVING}
    candidates = [name for name in owners if name != node and name not in leaving and usable(name)]
    free = [name for name in candidates if lessees[name] < max_lessees]
    for allowed in (free, candidates):
        for group in _groups(here, owners, allowed):
            if group:
                return _pick(here, owners, leases, group)
    return node


def find_better_guard(
    node: str,
    owners: Mapping[str, OwnerRow],
    leases: Mapping[str, LeaseRow],
    usable: Callable[[str], bool],
    max_lessees: int = MAX_LESSEES,
) -> str | None:
    """Return a better guard than the present one, or None to keep it.

    A guard is replaced when it is the node itself, leaves, serves too many owners (only the ones beyond the
    limit change, in order of name), is in the same failure domain or another region without need, or forms
    a short cycle.
    """
    lease = leases.get(node)
    if lease is None:
        return None
    best = choose_guard(node, owners, leases, usable, max_lessees)
    if best in (node, lease.guard):
        return None
    guard_lease = leases.get(lease.guard)
    gone = lease.guard not in owners or guard_lease is None or guard_lease.state == LEAVING
    if lease.guard == node or gone:
        return best
    served = sorted(name for name, row in leases.items() if row.guard == lease.guard and name != lease.guard)
    if node in served[max_lessees:]:
        return best
    here = owners[node]
    if _distance(here, owners[best]) < _distance(here, owners[lease.guard]):
        return best
    if _cycle_length(node, lease.guard, leases) < MIN_CYCLE:
        return _out_of_short_cycle(here, owners, leases, usable, best)
    return None


def _out_of_short_cycle(
    here: OwnerRow,
    owners: Mapping[str, OwnerRow],
    leases: Mapping[str, LeaseRow],
    usable: Callable[[str], bool],
    best: str,
) -> str | None:
    """Return a guard that leads out of a short cycle, at once or when the others have changed theirs too.

    Nodes that guard each other in pairs can be so linked that no single change makes a long cycle. If each
    changes to its successor in the order, one cycle of all nodes results.
    """
    present = leases[here.node].guard
    if _cycle_length(here.node, best, leases) >= MIN_CYCLE:
        return best
    successor = next((name for name in _ahead(here, owners) if usable(name)), present)
    return successor if successor != present else None


def _groups(here: OwnerRow, owners: Mapping[str, OwnerRow], names: list[str]) -> list[list[str]]:
    """Divide candidates by preference: other failure domain, same failure domain, other region."""
    groups: list[list[str]] = [[], [], []]
    for name in names:
        groups[_distance(here, owners[name])].append(name)
    return groups


def _distance(here: OwnerRow, other: OwnerRow) -> int:
    if other.region != here.region:
        return 2
    return 1 if other.failure_domain == here.failure_domain else 0


def _pick(
    here: OwnerRow, owners: Mapping[str, OwnerRow], leases: Mapping[str, LeaseRow], group: list[str]
) -> str:
    """Return the next candidate in the order, or one spread by hash when the next ones are not usable.

    Always taking the next usable node would make many nodes that restart at once choose the same one.
    """
    long_cycle = [name for name in group if _cycle_length(here.node, name, leases) >= MIN_CYCLE]
    names = set(long_cycle or group)
    ahead = _ahead(here, owners)
    for name in ahead[:NEAR_CANDIDATES]:
        if name in names:
            return name
    return max(names, key=lambda name: (xxhash.xxh64_intdigest(f"{here.node}>{name}".encode()), name))


def _ahead(here: OwnerRow, owners: Mapping[str, OwnerRow]) -> list[str]:
    """Return the region's nodes in other failure domains, in the order that begins after a node."""
    order = alternating_order(row for row in owners.values() if row.region == here.region)
    start = order.index(here.node) + 1
    return [name for name in order[start:] + order[:start] if _distance(here, owners[name]) == 0]


def _cycle_length(node: str, guard: str, leases: Mapping[str, LeaseRow]) -> int:
    """Return the length, at most ``MIN_CYCLE``, of the cycle that naming ``guard`` would close."""
    length, name = 1, guard
    while length < MIN_CYCLE:
        if name == node:
            return length
        row = leases.get(name)
        if row is None or row.guard == name:
            return MIN_CYCLE
        name = row.guard
        length += 1
    return MIN_CYCLE
