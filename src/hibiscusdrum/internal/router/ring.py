"""Ownership of the keys of one service: stripes of adjacent keys, each with an owner and a fencing token.

The keys 0 to 65535 are divided into stripes of equal width, which are assigned to the owners round-robin:
busy keys lie close together, and adjacent stripes then have different owners. All functions here are pure;
conditional writes of the ring row decide which change wins.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Annotated

import msgspec

from hibiscusdrum.internal.decoding import Life, Name
from hibiscusdrum.internal.router.routes import KEY_SPACE

# Stripes per owner in a new ring. More stripes distribute busy keys better, but a target gets its ranges in
# one message of at most 4 KiB, and an owner may also get stripes of lost nodes.
STRIPES_PER_OWNER = 80
# Ranges that fit into a grant of at most 4 KiB, at about 24 bytes each.
MAX_RANGES_PER_TARGET = 140
# Limits the size of the ring row, which every node reads at each change: about 4 bytes per stripe.
MAX_STRIPES = 2048
UNOWNED = -1
# Era of a store that was never restored from a copy.
FIRST_ERA = 1
# Exceeds the number of writes of a ring that one restore of the store can lose.
FENCING_TOKENS_PER_ERA = 1_000_000


OwnerLife = Annotated[Life, msgspec.Meta(min_length=1)]


class Owner(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of a node's target.

    Attributes
    ----------
    incarnation : str
        Name of the target and Unix milliseconds of its start, joined by ``@``.
    """

    node: Name
    incarnation: OwnerLife

    @property
    def started_ms(self) -> int:
        """Unix milliseconds of the start; 0 when the target did not report it."""
        started = self.incarnation.rpartition("@")[2]
        return int(started) if started.isdecimal() else 0


class Stripe(msgspec.Struct, frozen=True, array_like=True):
    """Owner and tokens of one stripe.

    Attributes
    ----------
    owner_index : int
        Index into the ring's owners, or ``UNOWNED``.
    fencing_token : int
        Increases with each change of the owner.
    handover_token : str
        Token from the previous owner's target, which lets the new one start warm; may be empty.
    """

    owner_index: int = UNOWNED
    fencing_token: int = 0
    handover_token: str = ""


class Range(msgspec.Struct, frozen=True):
    """Range of keys of one target; ``first`` and ``last`` are included."""

    first: int
    last: int
    fencing_token: int
    handover_token: str = ""


class Ring(msgspec.Struct, frozen=True, array_like=True):
    """Owners of all keys of a service.

    Attributes
    ----------
    next_fencing_token : int
        Greater than every fencing token assigned so far.
    era : int
        Era of the store in which stripes were last assigned; 0 if it is not known.
    era_fencing_token : int
        First fencing token of that era; those of stripes that were assigned earlier are smaller.
    basis : int
        Stamp of the content, if a write restored it; 0 after any other write. See ``rings``.
    """

    owners: tuple[Owner, ...]
    stripes: tuple[Stripe, ...]
    next_fencing_token: int = 1
    era: int = 0
    era_fencing_token: int = 1
    basis: int = 0

    def stripe_index(self, key: int) -> int:
        """Return the index of the stripe that contains a key."""
        return key * len(self.stripes) // KEY_SPACE

    def owner_of(self, key: int) -> Owner | None:
        """Return the owner of a key, or None if its stripe is unowned."""
        stripe = self.stripes[self.stripe_index(key)]
        return self.owners[stripe.owner_index] if stripe.owner_index != UNOWNED else None

    def node_of_stripe(self, index: int) -> str:
        """Return the node that owns a stripe; an empty string if it has no owner or does not exist."""
        if not 0 <= index < len(self.stripes):
            return ""
        owner_index = self.stripes[index].owner_index
        return self.owners[owner_index].node if owner_index != UNOWNED else ""

    def stripes_of(self, node: str) -> list[int]:
        """Return the indexes of the stripes that any incarnation of a node's target owns."""
        owner_indexes = {index for index, owner in enumerate(self.owners) if owner.node == node}
        return [index for index, stripe in enumerate(self.stripes) if stripe.owner_index in owner_indexes]

    def unowned_stripes(self) -> list[int]:
        """Return the indexes of the stripes without an owner."""
        return [index for index, stripe in enumerate(self.stripes) if stripe.owner_index == UNOWNED]

    def owner_nodes(self) -> set[str]:
        """Return the nodes that own at least one stripe."""
        return {
            self.owners[stripe.owner_index].node for stripe in self.stripes if stripe.owner_index != UNOWNED
        }

    def stripe_counts(self) -> dict[str, int]:
        """Return the number of stripes of each node that owns at least one."""
        counts: dict[str, int] = {}
        for stripe in self.stripes:
            if stripe.owner_index != UNOWNED:
                node = self.owners[stripe.owner_index].node
                counts[node] = counts.get(node, 0) + 1
        return counts

    def key_bounds(self, index: int) -> tuple[int, int]:
        """Return the first and the last key of a stripe."""
        count = len(self.stripes)
        return -(-index * KEY_SPACE // count), -(-(index + 1) * KEY_SPACE // count) - 1

    def key_ranges(self, indexes: Iterable[int]) -> tuple[Range, ...]:
        """Return the key ranges of stripes; adjacent ones with the same tokens are merged."""
        ranges: list[Range] = []
        for index in sorted(indexes):
            stripe = self.stripes[index]
            first, last = self.key_bounds(index)
            previous = ranges[-1] if ranges else None
            adjacent = (
                previous is not None
                and previous.last + 1 == first
                and previous.fencing_token == stripe.fencing_token
            )
            if adjacent and previous.handover_token == stripe.handover_token:
                ranges[-1] = Range(previous.first, last, stripe.fencing_token, stripe.handover_token)
            else:
                ranges.append(Range(first, last, stripe.fencing_token, stripe.handover_token))
        return tuple(ranges)


def create_ring(owners: Collection[Owner], era: int = 0) -> Ring:
    """Return a new ring whose stripes are assigned to the owners round-robin.

    Parameters
    ----------
    owners : collection of Owner
    era : int
        Era of the store. A ring of an earlier era may have been lost; the fencing tokens exceed its own.
    """
    sorted_owners = tuple(sorted(owners, key=lambda owner: owner.node))
    count = min(MAX_STRIPES, STRIPES_PER_OWNER * len(sorted_owners))
    token = max(0, era - FIRST_ERA) * FENCING_TOKENS_PER_ERA + 1
    stripes = tuple(Stripe(index % len(sorted_owners), token) for index in range(count))
    return Ring(sorted_owners, stripes, token + 1, era, token)


def enter_era(ring: Ring, era: int) -> Ring:
    """Return a ring from which a change in an era of the store is derived.

    If it was last changed in an earlier era, the next fencing token exceeds all that were assigned until now,
    also by writes that the store has lost.
    """
    if ring.era >= era:
        return ring
    restores = era - max(ring.era, FIRST_ERA)
    token = ring.next_fencing_token + max(0, restores) * FENCING_TOKENS_PER_ERA
    return msgspec.structs.replace(ring, next_fencing_token=token, era=era, era_fencing_token=token, basis=0)


def outdated_stripes(ring: Ring) -> dict[int, Owner]:
    """Return the stripes whose fencing tokens are of an earlier era than the ring, with their owners."""
    return {
        index: ring.owners[stripe.owner_index]
        for index, stripe in enumerate(ring.stripes)
        if stripe.owner_index != UNOWNED and stripe.fencing_token < ring.era_fencing_token
    }


def reassign_stripes(
    ring: Ring, moves: Mapping[int, Owner | None], handover_tokens: Mapping[int, str] | None = None
) -> Ring:
    """Return a ring in which stripes have other owners, or none, and a new fencing token.

    Parameters
    ----------
    ring : Ring
    moves : mapping of int to Owner or None
        New owner by stripe index; None leaves the stripe unowned.
    handover_tokens : mapping of int to str, optional
        Handover tokens of the stripes that their previous owner has released.
    """
    owners = list(ring.owners)
    owner_indexes = {owner: index for index, owner in enumerate(owners)}
    stripes = list(ring.stripes)
    for index, owner in moves.items():
        owner_index = UNOWNED
        if owner is not None:
            owner_index = owner_indexes.setdefault(owner, len(owners))
            if owner_index == len(owners):
                owners.append(owner)
        stripes[index] = Stripe(owner_index, ring.next_fencing_token, (handover_tokens or {}).get(index, ""))
    changed = msgspec.structs.replace(
        ring,
        owners=tuple(owners),
        stripes=tuple(stripes),
        next_fencing_token=ring.next_fencing_token + 1,
        basis=0,
    )
    return _drop_unused_owners(changed)


def _drop_unused_owners(ring: Ring) -> Ring:
    """Return the ring without owners that own nothing; else it would grow with each restart of a target."""
    used = sorted({stripe.owner_index for stripe in ring.stripes if stripe.owner_index != UNOWNED})
    if len(used) == len(ring.owners):
        return ring
    new_indexes = {old: new for new, old in enumerate(used)}
    stripes = tuple(
        Stripe(new_indexes.get(stripe.owner_index, UNOWNED), stripe.fencing_token, stripe.handover_token)
        for stripe in ring.stripes
    )
    owners = tuple(ring.owners[index] for index in used)
    return msgspec.structs.replace(ring, owners=owners, stripes=stripes)


class Distribution(msgspec.Struct, frozen=True):
    """New owners of stripes.

    Attributes
    ----------
    moves : dict of int to Owner or None
        New owner by stripe; None for a stripe that no receiver can get.
    joined : frozenset of int
        Stripes that share a range with others. They get no handover token, since a range has only one.
    """

    moves: dict[int, Owner | None]
    joined: frozenset[int] = frozenset()


def distribute_stripes(
    ring: Ring,
    indexes: Iterable[int],
    receivers: Collection[Owner],
    weight: Callable[[str], float] = lambda _node: 1.0,
) -> Distribution:
    """Choose new owners for stripes: each time the receiver with the fewest stripes for its weight.

    Among equal receivers, one other than that of the previous stripe is preferred. If a range for each stripe
    does not fit into the grants of the receivers, adjacent stripes get one owner and form one range. What
    does not fit even then extends the range of a neighbour.

    Parameters
    ----------
    ring : Ring
    indexes : iterable of int
        Stripes to assign.
    receivers : collection of Owner
        Owners that may get stripes.
    weight : callable
        Returns the relative capacity of a node.
    """
    counts = ring.stripe_counts()
    totals = {owner.node: counts.get(owner.node, 0) for owner in receivers}
    by_node = {owner.node: owner for owner in receivers}
    ordered = sorted(indexes)
    room = sum(max(0, MAX_RANGES_PER_TARGET - count) for count in totals.values())
    if len(ordered) <= room:
        groups, ranges = [[index] for index in ordered], dict(totals)
    else:
        groups = adjacent_groups(ordered)
        ranges = {node: len(ring.key_ranges(ring.stripes_of(node))) for node in totals}
    moves: dict[int, Owner | None] = {}
    joined = {index for group in groups if len(group) > 1 for index in group}
    unplaced: list[list[int]] = []
    previous_node = ""
    for group in groups:
        nodes_with_room = [node for node, count in ranges.items() if count < MAX_RANGES_PER_TARGET]
        if not nodes_with_room:
            unplaced.append(group)
            continue
        node = min(
            nodes_with_room, key=lambda name: (totals[name] / weight(name), name == previous_node, name)
        )
        totals[node] += len(group)
        ranges[node] += 1
        previous_node = node
        moves.update(dict.fromkeys(group, by_node[node]))
    for group in unplaced:
        owner, extended = extend_neighbour(ring, group, by_node, totals)
        moves.update(dict.fromkeys(group, owner))
        moves.update(dict.fromkeys(extended, owner))
        joined.update(group, extended)
    return Distribution(moves, frozenset(joined))


def adjacent_groups(indexes: Iterable[int]) -> list[list[int]]:
    """Return sorted stripes as groups of adjacent ones."""
    groups: list[list[int]] = []
    for index in indexes:
        if groups and groups[-1][-1] + 1 == index:
            groups[-1].append(index)
        else:
            groups.append([index])
    return groups


def extend_neighbour(
    ring: Ring, group: list[int], by_node: Mapping[str, Owner], totals: dict[str, int]
) -> tuple[Owner | None, list[int]]:
    """Choose the owner of the stripes before or after a group, whichever has fewer, to get the group too.

    Parameters
    ----------
    group : list of int
        Adjacent stripes.
    by_node : mapping of str to Owner
        Owners that may get stripes.
    totals : dict of str to int
        Number of stripes of each of them; updated.

    Returns
    -------
    tuple
        The owner, or None if neither may get stripes, and its stripes beside the group. A new fencing token
        for these too makes all of them one range.
    """
    sides = []
    for start, step in ((group[0] - 1, -1), (group[-1] + 1, 1)):
        node, index, stripes = ring.node_of_stripe(start), start, []
        while node in by_node and ring.node_of_stripe(index) == node:
            stripes.append(index)
            index += step
        if stripes:
            sides.append((totals[node], node, stripes))
    if not sides:
        return None, []
    _, node, stripes = min(sides)
    totals[node] += len(group)
    return by_node[node], stripes


def plan_rebalance(
    ring: Ring, receivers: Collection[Owner], node: str, loaded_nodes: Collection[str] = ()
) -> dict[int, Owner | None]:
    """Return the stripes that a node should hand to owners with far fewer, and their new owners.

    Parameters
    ----------
    ring : Ring
    receivers : collection of Owner
        Owners that may get stripes.
    node : str
        Node that hands over stripes.
    loaded_nodes : collection of str
        Nodes that get no stripes, since the few that they own already load them as much as others.
    """
    counts = ring.stripe_counts()
    own_stripes = ring.stripes_of(node)
    others = {owner.node: owner for owner in receivers if owner.node != node}
    if not others:
        return {}
    mean = sum(counts.values()) / (len(others) + 1)
    underloaded = {
        name: counts.get(name, 0)
        for name in others
        if counts.get(name, 0) < mean * UNDERLOADED_SHARE and name not in loaded_nodes
    }
    surplus = int(len(own_stripes) - mean)
    if not underloaded or surplus <= 0:
        return {}
    moves: dict[int, Owner | None] = {}
    for index in own_stripes[:: max(1, len(own_stripes) // surplus)][:surplus]:
        name = min(underloaded, key=lambda other: (underloaded[other], other))
        if underloaded[name] >= mean:
            break
        underloaded[name] += 1
        moves[index] = others[name]
    return moves


# An owner gets stripes from others when it has less than this share of the mean number.
UNDERLOADED_SHARE = 0.6
