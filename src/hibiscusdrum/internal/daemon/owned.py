"""Slices and hot keys that this node owns, with their acquisition times and requests in flight."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.ownership.rows import OwnerRow, owner_key
from hibiscusdrum.internal.platform.table import Row


class OwnedSlices(Service):
    """Tracks this node's owner row and the requests in flight on its slices.

    Parameters
    ----------
    node : str
        Name of this node.

    Attributes
    ----------
    acquired_at_by_slice : dict of int to float
        Wall-clock time in seconds at which this node acquired each of its slices; earlier attempts of a
        request may have run at a previous owner.
    in_flight_by_slice, in_flight_by_key : Counter of int
        Admitted requests without an outcome, by slice and by key hash.
    """

    service_name = "owned"

    def __init__(self, node: str) -> None:
        super().__init__()
        self.node = node
        self.row: OwnerRow | None = None
        self.acquired_at_by_slice: dict[int, float] = {}
        self.acquired_at_by_hot_key: dict[int, float] = {}
        self.in_flight_by_slice: Counter[int] = Counter()
        self.in_flight_by_key: Counter[int] = Counter()
        self.epoch_listeners: list[Callable[[], None]] = []

    def on_start(self) -> None:
        """Subscribe to rows."""
        self.membership = self.app.find("membership")
        self.membership.listeners.append(self.on_rows)

    def on_rows(self, rows: list[Row]) -> None:
        """Process a change of this node's owner row."""
        if any(row.key == owner_key(self.node) for row in rows):
            self.set_row(self.membership.map.owners.get(self.node))

    def set_row(self, row: OwnerRow | None) -> None:
        """Record acquisition times of new slices and hot keys, and remove those no longer owned."""
        wall = self.app.clock.wall()
        former = self.epoch
        self.row = row
        slices = row.slices if row is not None else ()
        hot_keys = row.hot_keys if row is not None else ()
        self.acquired_at_by_slice = {index: self.acquired_at_by_slice.get(index, wall) for index in slices}
        self.acquired_at_by_hot_key = {key: self.acquired_at_by_hot_key.get(key, wall) for key in hot_keys}
        if self.epoch > former:
            for listener in self.epoch_listeners:
                listener()

    def owns(self, hash_value: int, slice_index: int) -> bool:
        """Return whether the row gives this node the key; the lease is checked separately."""
        row = self.row
        if row is None:
            return False
        if hash_value in self.acquired_at_by_hot_key:
            return True
        return slice_index in self.acquired_at_by_slice and hash_value not in row.excluded

    def acquired_at(self, hash_value: int, slice_index: int) -> float:
        """Return the wall-clock time at which this node acquired the key."""
        return self.acquired_at_by_hot_key.get(hash_value, self.acquired_at_by_slice.get(slice_index, 0.0))

    @property
    def epoch(self) -> int:
        """Fencing token for newly admitted requests; 0 if this node has no owner row."""
        return self.row.epoch if self.row is not None else 0

    def request_started(self, hash_value: int, slice_index: int) -> None:
        """Count a request for a key as in flight."""
        self.in_flight_by_slice[slice_index] += 1
        self.in_flight_by_key[hash_value] += 1

    def request_finished(self, hash_value: int, slice_index: int) -> None:
        """Count a request for a key as ended."""
        for counter, entry in ((self.in_flight_by_slice, slice_index), (self.in_flight_by_key, hash_value)):
            counter[entry] -= 1
            if counter[entry] <= 0:
                del counter[entry]

    def busy_slices(self, slices: frozenset[int]) -> set[int]:
        """Return those of the slices that have requests in flight."""
        return {index for index in self.in_flight_by_slice if index in slices}

    def any_key_busy(self, hot_keys: frozenset[int]) -> bool:
        """Return whether one of the keys has requests in flight."""
        return any(hash_value in self.in_flight_by_key for hash_value in hot_keys)
