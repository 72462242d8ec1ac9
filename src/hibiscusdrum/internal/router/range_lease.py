"""Lease of a node on its ranges, counted on the clock of the store.

The store stamps each answer with a steady clock. A lease row names the time on that clock at which the lease
ends; the owner stops before it, and others may take its ranges once the store's clock has passed it. Two
clocks of the same store are compared, so that no node waits a whole term from its first look.
"""

from __future__ import annotations

import msgspec

from hibiscusdrum.internal.router.key_load import OwnerLoad

# Term of a lease in seconds. A node that falls silent keeps its keys for this long; the store may be away for
# the difference to the renewal interval without a lapse.
LEASE_TERM_SECONDS = 9.0
LEASE_RENEWAL_INTERVAL_SECONDS = 2.5
# The store's clock and the node's may differ in rate by this much.
MAX_CLOCK_DRIFT = 0.005
# Waited beyond the end of a lease before others take over; covers the rounding of both clocks.
TAKEOVER_MARGIN_SECONDS = 0.3


class LeaseRow(msgspec.Struct, frozen=True):
    """Row of a lease.

    Attributes
    ----------
    ends : float
        Seconds on the store's clock.
    load : OwnerLoad
        Load of the owner when the row was written.
    """

    node: str
    incarnation: str
    ends: float
    load: OwnerLoad = OwnerLoad()


class StoreClock:
    """Estimate of the store's clock from above, so that an owner errs towards an earlier end.

    Attributes
    ----------
    known : bool
        Whether an answer has been stamped.
    """

    __slots__ = ("max_offset", "observed")

    def __init__(self) -> None:
        self.observed = False
        self.max_offset = 0.0

    def observe(self, sent_at: float, store_time: float) -> None:
        """Note the stamp of an answer.

        Parameters
        ----------
        sent_at : float
            Local time in seconds at which the request was sent; the stamp is no older than that.
        store_time : float
            Seconds on the store's clock.
        """
        offset = store_time - sent_at
        # The stamp was made after sending, so every observation bounds the true offset from above.
        if not self.observed or offset < self.max_offset:
            self.max_offset = offset
            self.observed = True

    def upper_bound(self, now: float) -> float:
        """Return an upper bound of the store's present time."""
        return now + self.max_offset

    def reset(self) -> None:
        """Forget the estimate, for example when the store's clock was replaced."""
        self.observed = False


class RangeLease:
    """The lease of this node.

    Parameters
    ----------
    node, incarnation : str
        The incarnation differs with each start of the process.
    """

    __slots__ = ("expires_at", "incarnation", "node", "row_version", "store_clock")

    def __init__(self, node: str, incarnation: str) -> None:
        self.node = node
        self.incarnation = incarnation
        self.store_clock = StoreClock()
        self.expires_at = 0.0
        self.row_version = 0

    def next_row(self, now: float, load: OwnerLoad | None = None) -> LeaseRow:
        """Return the row to write; the term counts from before it is sent."""
        ends = self.store_clock.upper_bound(now) + LEASE_TERM_SECONDS
        return LeaseRow(self.node, self.incarnation, ends, load or OwnerLoad())

    def record_written(self, row: LeaseRow, version: int) -> None:
        """Note that a proposal is in the store."""
        self.expires_at = row.ends
        self.row_version = version

    def record_lost(self) -> None:
        """Note that the row was removed or replaced."""
        self.expires_at = 0.0
        self.row_version = 0

    def remaining_seconds(self, now: float) -> float:
        """Return the seconds for which the node may let its target hold keys; 0 when lapsed."""
        if not self.expires_at:
            return 0.0
        return max(0.0, (self.expires_at - self.store_clock.upper_bound(now)) * (1.0 - MAX_CLOCK_DRIFT))

    def is_renewal_due(self, now: float) -> bool:
        """Return whether the lease should be written again."""
        return (
            self.store_clock.observed
            and self.remaining_seconds(now) < LEASE_TERM_SECONDS - LEASE_RENEWAL_INTERVAL_SECONDS
        )


def is_expired(row: LeaseRow, store_time: float) -> bool:
    """Return whether a lease has ended at a time of the store's clock."""
    return store_time > row.ends + TAKEOVER_MARGIN_SECONDS
