"""Contents of a grant: the key ranges that fit into one answer to a heartbeat of the target."""

from __future__ import annotations

from collections.abc import Collection, Iterable

import msgspec

from hibiscusdrum.internal.router.ring import Range, Ring

# Targets ignore answers above 4 KiB; the rest is left for the fields besides the ranges.
MAX_RANGES_BYTES = 4_000
# Brackets, commas and quotes of one encoded range.
RANGE_PUNCTUATION_BYTES = 8


class GrantContents(msgspec.Struct, frozen=True):
    """Ranges of a grant, and the indexes of the stripes that they consist of."""

    ranges: tuple[Range, ...]
    stripes: frozenset[int]


def grant_contents(ring: Ring, indexes: Collection[int], held: Iterable[Range]) -> GrantContents:
    """Return the part of some stripes that fits into one grant.

    Ranges that the target holds come first, without a handover token, which a target needs only to start
    with a range. What does not fit can be granted by a later answer, when the target holds the others.

    Parameters
    ----------
    ring : Ring
    indexes : collection of int
        Stripes that the target should hold.
    held : iterable of Range
        Ranges that the target reports to hold.
    """
    held_indexes = held_stripes(ring, held)
    kept: list[Range] = []
    gained: list[Range] = []
    for entry in ring.key_ranges(indexes):
        if held_indexes.issuperset(range_stripes(ring, entry)):
            kept.append(msgspec.structs.replace(entry, handover_token=""))
        else:
            gained.append(entry)
    contents: list[Range] = []
    size = 0
    for entry in (*kept, *gained):
        size += encoded_bytes(entry)
        if size > MAX_RANGES_BYTES:
            break
        contents.append(entry)
    contents.sort(key=lambda entry: entry.first)
    stripes = frozenset(index for entry in contents for index in range_stripes(ring, entry))
    return GrantContents(tuple(contents), stripes)


def grantable_stripes(
    ring: Ring, indexes: Collection[int], held: Iterable[Range], era: int | None
) -> set[int]:
    """Return the stripes that may be granted although the store was restored from a copy.

    The store may have lost assignments, so tokens of earlier eras may be smaller than some that were given
    out. A stripe is granted under such a token only while the target holds it under that very token.

    Parameters
    ----------
    ring : Ring
    indexes : collection of int
        Stripes that the target should hold.
    held : iterable of Range
        Ranges that the target reports to hold.
    era : int or None
        Era of the store if it has settled, otherwise None.
    """
    renewable = held_stripes(ring, held)
    least_token = ring.era_fencing_token if ring.era == era else ring.next_fencing_token
    return {
        index for index in indexes if index in renewable or ring.stripes[index].fencing_token >= least_token
    }


def held_stripes(ring: Ring, held: Iterable[Range]) -> set[int]:
    """Return the stripes that lie in ranges held with the fencing token of the ring."""
    indexes: set[int] = set()
    for entry in held:
        for index in range_stripes(ring, entry):
            first, last = ring.key_bounds(index)
            whole = entry.first <= first and last <= entry.last
            if whole and ring.stripes[index].fencing_token == entry.fencing_token:
                indexes.add(index)
    return indexes


def range_stripes(ring: Ring, entry: Range) -> range:
    """Return the indexes of the stripes that a range touches; a target may report keys that do not exist."""
    first, last = ring.stripe_index(entry.first), ring.stripe_index(entry.last)
    return range(max(0, first), min(len(ring.stripes), last + 1))


def encoded_bytes(entry: Range) -> int:
    """Return the size of an encoded range in bytes."""
    numbers = f"{entry.first}{entry.last}{entry.fencing_token}"
    return RANGE_PUNCTUATION_BYTES + len(numbers) + len(entry.handover_token)
