"""Rebalancing: hands over surplus slices and hot keys of this node according to the placement."""

from __future__ import annotations

from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.ownership import placement
from hibiscusdrum.internal.ownership.handover import ACTIVE
from hibiscusdrum.internal.ownership.keys import slice_of
from hibiscusdrum.internal.ownership.rows import OwnerRow
from hibiscusdrum.internal.settings import Settings

# Upper bound of the slices moved in one round over the whole ring; limits the cost and the churn of a round.
MAX_SLICES_PER_ROUND = 20_000


class Rebalancer(Service):
    """Decides periodically whether this node hands over slices or a hot key.

    Parameters
    ----------
    settings : Settings
        Names and intervals of this node.
    """

    service_name = "rebalancer"

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self.settings = settings

    def on_start(self) -> None:
        """Look up the services used and start the timer."""
        find = self.app.find
        self.membership = find("membership")
        self.configuration = find("configuration")
        self.owned = find("owned")
        self.leases = find("leases")
        self.handover = find("handover")
        self.requests = find("requests")
        self.app.scheduler.every(self.settings.rebalance_interval_ms / 1000.0, self.rebalance)

    def eligible(self, row: OwnerRow) -> bool:
        """Return whether a node is active and may receive slices."""
        lease = self.membership.map.leases.get(row.node)
        return lease is not None and lease.state == ACTIVE and self.configuration.accepts_work(row)

    def rebalance(self) -> None:
        """Start at most one handover, of a hot key or else of surplus slices."""
        row = self.owned.row
        if row is None or self.handover.busy or not self.leases.valid() or not self.eligible(row):
            return
        rows = [
            other for other in self.membership.map.owner_rows(row.service, row.region) if self.eligible(other)
        ]
        if len(rows) > 1 and not self.hand_over_hot_key(row, rows):
            self.hand_over_surplus_slices(row)

    def hand_over_surplus_slices(self, row: OwnerRow) -> None:
        """Start the first handover from this node in the placement, which all nodes compute identically."""
        ring = self.membership.map.owner_rows(row.service, row.region)
        for move in placement.plan_moves(ring, {}, {}, MAX_SLICES_PER_ROUND, self.eligible):
            if move.source == row.node:
                self.handover.start_handover(move.receiver, move.slices)
                return

    def hand_over_hot_key(self, row: OwnerRow, rows: list[OwnerRow]) -> bool:
        """Hand over one hot key, and return whether there was one.

        A key that is no longer hot goes back to the owner of its slice; a new hot key goes to the node with
        the fewest hot keys.
        """
        detector = self.requests.hot_keys
        changes = detector.changes(row.hot_keys, self.app.clock.monotonic())
        for hash_value in changes.merge:
            owner = self.slice_owner(row, hash_value)
            if owner is not None and owner.node != row.node:
                self.handover.start_handover(owner.node, (), (hash_value,))
                return True
        for hash_value in changes.isolate:
            if hash_value in row.excluded:
                continue
            others = [other for other in rows if other.node != row.node]
            receiver = min(others, key=lambda other: (len(other.hot_keys), len(other.slices), other.node))
            detector.forget(hash_value)
            self.handover.start_handover(receiver.node, (), (hash_value,))
            return True
        return False

    def slice_owner(self, row: OwnerRow, hash_value: int) -> OwnerRow | None:
        """Return the owner of the slice that contains a key."""
        ownership_map = self.membership.map
        index = slice_of(hash_value, ownership_map.slice_count(row.service, row.region))
        return ownership_map.slice_owner(row.service, row.region, index)
