"""Rows of the table service that describe ownership, and their row keys.

A row's version is the number of the transaction that last wrote it. It is stored separately from the value.
"""

from __future__ import annotations

import msgspec

LEASE_PREFIX = "lease/"
OWNER_PREFIX = "owner/"
RING_PREFIX = "ring/"
CONFIG_KEY = "config/current"
PLAN_PREFIX = "plan/"

ACTIVE = "active"
LEAVING = "leaving"


class LeaseRow(msgspec.Struct, frozen=True):
    """The lease of a node: its incarnation, its guard and its state.

    Handovers of slices do not write this row, so its version changes only when the incarnation, the guard or
    the state changes.
    """

    node: str
    incarnation: str
    guard: str
    state: str = ACTIVE


class OwnerRow(msgspec.Struct, frozen=True):
    """The slices and hot keys that a node owns, and the addresses on which it listens.

    Attributes
    ----------
    slices : tuple of int
        Owned slices of the ring of ``service`` and ``region``, sorted.
    hot_keys : tuple of int
        Hashes of hot keys owned separately from their slices, sorted.
    excluded : tuple of int
        Hashes of hot keys in owned slices that are owned by other nodes, sorted.
    epoch : int
        Number of the transaction that last added slices or hot keys, used as the fencing token.
    peer_address, http_address : str
        ``ip:port`` of the daemon's ZeroMQ socket and of its HTTP endpoint.
    capacity : float
        Relative capacity of the target.
    """

    node: str
    service: str
    region: str
    failure_domain: str
    peer_address: str
    http_address: str
    slices: tuple[int, ...] = ()
    hot_keys: tuple[int, ...] = ()
    excluded: tuple[int, ...] = ()
    epoch: int = 0
    capacity: float = 1.0


class RingRow(msgspec.Struct, frozen=True):
    """The number of slices of a ring, and its slices without an owner.

    Attributes
    ----------
    unowned : tuple of int
        Slices without an owner, sorted.
    excluded : tuple of int
        Hashes of hot keys in unowned slices that are owned by a node, sorted. A node that claims the slices
        must exclude these keys, since otherwise they would have two owners.
    """

    service: str
    region: str
    slice_count: int
    unowned: tuple[int, ...] = ()
    excluded: tuple[int, ...] = ()


def lease_key(node: str) -> str:
    """Return the key of a node's lease row."""
    return LEASE_PREFIX + node


def owner_key(node: str) -> str:
    """Return the key of a node's owner row."""
    return OWNER_PREFIX + node


def ring_key(service: str, region: str) -> str:
    """Return the key of a ring's row."""
    return f"{RING_PREFIX}{service}@{region}"
