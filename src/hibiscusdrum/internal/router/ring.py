"""Ownership of the keys of one service: stripes of adjacent keys, each with an owner and a fencing token.

The keys 0 to 65535 are cut into stripes of equal width that are dealt to the owners in turn, because busy
keys lie close together: adjacent stripes then have different owners. All functions here are pure; conditional
writes of the ring's row decide which change wins.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping

import msgspec

from hibiscusdrum.internal.router.routes import KEY_SPACE

# Stripes for each owner when a ring is made. More spread busy keys better; a target takes its list of ranges
# in one message of at most 4 KiB, and an owner may get those of others that were lost.
STRIPES_PER_OWNER = 80
# Ranges that fit into such a message: about 24 bytes each.
MAX_RANGES_PER_TARGET = 140
# Bounds the size of the row, which every node reads at each change: about 4 bytes a stripe.
MAX_STRIPES = 2048
UNOWNED = -1


class Owner(msgspec.Struct, frozen=True, array_like=True):
    """A target of a node, from one start of it to its end."""

    node: str
    incarnation: str

    @property
    def started_ms(self) -> int:
        """Unix milliseconds of the start, 0 when the target did not say."""
        started = self.incarnation.rpartition("@")[2]
        return int(started) if started.isdecimal() else 0


class Stripe(msgspec.Struct, frozen=True, array_like=True):
    """Who owns a stripe.

    Attributes
    ----------
    owner : int
        Index into the ring's owners, or ``UNOWNED``.
    fencing_token : int
        Fencing token; grows with each change of the owner.
    handover_token : str
        Handover token of the last owner's target, which lets the new one start warm.
    """

    owner_index: int = UNOWNED
    fencing_token: int = 0
    handover_token: str = ""


class Range(msgspec.Struct, frozen=True):
    """Adjacent keys that one target holds; both ends are included."""

    first: int
    last: int
    fencing_token: int
    handover_token: str = ""


class Ring(msgspec.Struct, frozen=True, array_like=True):
    """Owners of all keys of a service.

    Attributes
    ----------
    next_fence : int
        Larger than every fencing token given so far.
    """

    owners: tuple[Owner, ...]
    stripes: tuple[Stripe, ...]
    next_fencing_token: int = 1

    def stripe_index(self, key: int) -> int:
        """Return the stripe of a key."""
        return key * len(self.stripes) // KEY_SPACE

    def owner_of(self, key: int) -> Owner | None:
        """Return the owner of a key, or None."""
        stripe = self.stripes[self.stripe_index(key)]
        return self.owners[stripe.owner_index] if stripe.owner_index != UNOWNED else None

    def stripes_of(self, node: str) -> list[int]:
        """Return the stripes of a node."""
        indexes = {index for index, owner in enumerate(self.owners) if owner.node == node}
        return [index for index, stripe in enumerate(self.stripes) if stripe.owner_index in indexes]

    def unowned_stripes(self) -> list[int]:
        """Return the stripes without an owner."""
        return [index for index, stripe in enumerate(self.stripes) if stripe.owner_index == UNOWNED]

    def owner_nodes(self) -> set[str]:
        """Return the nodes that own a stripe."""
        return {
            self.owners[stripe.owner_index].node for stripe in self.stripes if stripe.owner_index != UNOWNED
        }

    def stripe_counts(self) -> dict[str, int]:
        """Return the number of stripes of each node that owns one."""
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
        """Return the ranges of some stripes; adjacent ones with the same token are joined."""
        ranges: list[Range] = []
        for index in sorted(indexes):
            stripe = self.stripes[index]
            first, last = self.key_bounds(index)
            former = ranges[-1] if ranges else None
            joined = (
                former is not None
                and former.last + 1 == first
                and former.fencing_token == stripe.fencing_token
            )
            if joined and former.handover_token == stripe.handover_token:
                ranges[-1] = Range(former.first, last, stripe.fencing_token, stripe.handover_token)
            else:
                ranges.append(Range(first, last, stripe.fencing_token, stripe.handover_token))
        return tuple(ranges)


def create_ring(owners: Collection[Owner]) -> Ring:
    """Return a ring whose stripes are dealt to the owners in turn."""
    ordered = tuple(sorted(owners, key=lambda owner: owner.node))
    count = min(MAX_STRIPES, STRIPES_PER_OWNER * len(ordered))
    stripes = tuple(Stripe(index % len(ordered), 1) for index in range(count))
    return Ring(ordered, stripes, 2)


def reassign_stripes(
    ring: Ring, moves: Mapping[int, Owner | None], tokens: Mapping[int, str] | None = None
) -> Ring:
    """Give stripes to other owners, or to nobody, with a new fencing token.

    Parameters
    ----------
    moves : mapping of int to Owner or None
    tokens : mapping of int to str
        Handover tokens of the stripes that their last owner released.
    """
    owners = list(ring.owners)
    positions = {owner: index for index, owner in enumerate(owners)}
    stripes = list(ring.stripes)
    for index, owner in moves.items():
        position = UNOWNED
        if owner is not None:
            position = positions.setdefault(owner, len(owners))
            if position == len(owners):
                owners.append(owner)
        stripes[index] = Stripe(position, ring.next_fencing_token, (tokens or {}).get(index, ""))
    return _drop_unused_owners(Ring(tuple(owners), tuple(stripes), ring.next_fencing_token + 1))


def _drop_unused_owners(ring: Ring) -> Ring:
    """Drop owners that own nothing, so that the row does not grow with each restart of a target."""
    used = sorted({stripe.owner_index for stripe in ring.stripes if stripe.owner_index != UNOWNED})
    if len(used) == len(ring.owners):
        return ring
    position = {old: new for new, old in enumerate(used)}
    stripes = tuple(
        Stripe(position.get(stripe.owner_index, UNOWNED), stripe.fencing_token, stripe.handover_token)
        for stripe in ring.stripes
    )
    return Ring(tuple(ring.owners[index] for index in used), stripes, ring.next_fencing_token)


def distribute_stripes(
    ring: Ring,
    indexes: Iterable[int],
    receivers: Collection[Owner],
    weight: Callable[[str], float] = lambda _node: 1.0,
) -> dict[int, Owner | None]:
    """Choose new owners for stripes: those with the fewest for their weight, neighbours apart.

    Stripes for which no receiver has room stay without an owner.

    Parameters
    ----------
    receivers : collection of Owner
        Owners that take stripes.
    weight : callable
        Relative capacity of a node.
    """
    counts = ring.stripe_counts()
    present = {owner.node: counts.get(owner.node, 0) for owner in receivers}
    by_node = {owner.node: owner for owner in receivers}
    moves: dict[int, Owner | None] = {}
    last = ""
    for index in sorted(indexes):
        room = [node for node, count in present.items() if count < MAX_RANGES_PER_TARGET]
        if not room:
            moves[index] = None
            continue
        node = min(room, key=lambda name: (present[name] / weight(name), name == last, name))
        present[node] += 1
        last = node
        moves[index] = by_node[node]
    return moves


def plan_rebalance(
    ring: Ring, receivers: Collection[Owner], node: str, sated: Collection[str] = ()
) -> dict[int, Owner | None]:
    """Return stripes that a node should give to owners that have far fewer, such as one that just joined.

    Parameters
    ----------
    sated : collection of str
        Nodes whose few stripes already bring them as much work as others have.
    """
    counts = ring.stripe_counts()
    mine = ring.stripes_of(node)
    others = {owner.node: owner for owner in receivers if owner.node != node}
    if not others:
        return {}
    fair = sum(counts.values()) / (len(others) + 1)
    needy = {
        name: counts.get(name, 0)
        for name in others
        if counts.get(name, 0) < fair * UNDERLOADED_SHARE and name not in sated
    }
    surplus = int(len(mine) - fair)
    if not needy or surplus <= 0:
        return {}
    moves: dict[int, Owner | None] = {}
    for index in mine[:: max(1, len(mine) // surplus)][:surplus]:
        name = min(needy, key=lambda other: (needy[other], other))
        if needy[name] >= fair:
            break
        needy[name] += 1
        moves[index] = others[name]
    return moves


# Share of the mean number of stripes below which an owner gets stripes from others.
UNDERLOADED_SHARE = 0.6
