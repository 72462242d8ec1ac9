"""Maps keys to regions and slices."""

from __future__ import annotations

from collections.abc import Sequence

import xxhash

# With 490 targets each owns 33 or 34 slices, which is an imbalance of 1.02 by slice count.
DEFAULT_SLICE_COUNT = 16_384


def key_hash(key: bytes) -> int:
    """Return the unsigned 64-bit xxhash64 of a key."""
    return xxhash.xxh64_intdigest(key)


def slice_of(hash_value: int, slice_count: int = DEFAULT_SLICE_COUNT) -> int:
    """Return the slice of a key hash, from 0 up to but excluding ``slice_count``.

    The slice depends on the high bits, so that doubling the number of slices splits each slice in two.
    """
    return (hash_value * slice_count) >> 64


def region_of(key: bytes, regions: Sequence[str]) -> str:
    """Return the region that serves a key, chosen from the allowed regions by rendezvous hashing.

    Parameters
    ----------
    key : bytes
        The key.
    regions : sequence of str
        Allowed regions, at least one; their order does not matter.
    """
    if len(regions) == 1:
        return regions[0]
    return max(regions, key=lambda region: (xxhash.xxh64_intdigest(key, _region_seed(region)), region))


def _region_seed(region: str) -> int:
    return xxhash.xxh32_intdigest(region.encode())
