"""Lease of a node on its key ranges, with its expiry on the store's clock.

The store stamps each answer with the time of its monotonic clock. A lease row holds the time on that clock at
which the lease expires: the owner stops before it, and other nodes may take over its ranges after it. Since
both sides use the store's clock, a node that reads a lease for the first time need not wait a whole term.
"""

from __future__ import annotations

import msgspec

from hibiscusdrum.internal.decoding import Name, Number, excerpt, refusing_malformed
from hibiscusdrum.internal.router.key_load import OwnerLoad

# A lost node keeps its keys for up to this long. Leases survive an outage of the store of this time less the
# renewal interval.
LEASE_TERM_SECONDS = 9.0
LEASE_RENEWAL_INTERVAL_SECONDS = 2.5
# The clock rates of the store and the node may differ by this share.
MAX_CLOCK_DRIFT = 0.005
# The end of a lease may lie this much further ahead of the newest time that a reader has seen on the store's
# clock than the term, because its writer has seen a newer one.
MAX_LEASE_TERM_SECONDS = 2.0 * LEASE_TERM_SECONDS
# A node whose lease row is unreadable counts as lost after this time: its last readable row has expired then.
UNREADABLE_LEASE_TIMEOUT_SECONDS = LEASE_TERM_SECONDS + 1.0
# Others take over only this long after a lease has expired, which covers the rounding of both clocks.
TAKEOVER_MARGIN_SECONDS = 0.3


class LeaseRow(msgspec.Struct, frozen=True):
    """Stored row of a lease.

    Attributes
    ----------
    incarnation : str
        Identifies one claim of the lease.
    ends : float
        Expiry in seconds on the store's clock.
    load : OwnerLoad
        Load of the owner when the row was written.
    """

    node: Name
    incarnation: Name
    ends: Number
    load: OwnerLoad = OwnerLoad()


def decode_lease(node: str, value: object, store_time: float) -> LeaseRow:
    """Decode the value of the row of a node's lease.

    Parameters
    ----------
    node : str
    value : object
    store_time : float
        Newest known time in seconds on the store's clock.

    Raises
    ------
    InvalidArgument
        If it is malformed, names another node, or expires later than any lease that a node writes.
    """
    with refusing_malformed("lease row", value):
        row = msgspec.convert(value, LeaseRow)
        if row.node != node:
            raise ValueError(f"the lease of node {excerpt(node)}, got that of {row.node}")
        if row.ends > store_time + MAX_LEASE_TERM_SECONDS:
            raise ValueError(f"an end at most {MAX_LEASE_TERM_SECONDS} s ahead of the store's time")
        return row


class StoreClock:
    """Upper bound of the store's clock, so that an owner stops too early rather than too late.

    An observation ages, since the clocks run at different rates: the bound rises by ``MAX_CLOCK_DRIFT`` in
    each second from then on, until another observation is lower.

    Attributes
    ----------
    observed : bool
        Whether a stamped answer has been observed.
    max_offset : float
        Upper bound in seconds of the store's clock minus the local one at the time ``observed_at``.
    observed_at : float
        Local monotonic time in seconds.
    """

    __slots__ = ("max_offset", "observed", "observed_at")

    def __init__(self) -> None:
        self.observed = False
        self.max_offset = 0.0
        self.observed_at = 0.0

    def observe(self, sent_at: float, store_time: float) -> None:
        """Update the bound from the stamp of an answer.

        Parameters
        ----------
        sent_at : float
            Local monotonic time in seconds at which the request was sent; the stamp is no older.
        store_time : float
            Stamp of the answer, in seconds on the store's clock.
        """
        offset = store_time - sent_at
        # The stamp was made after the request was sent, so each observation is an upper bound of the offset.
        if not self.observed or offset < self.upper_bound(sent_at) - sent_at:
            self.max_offset, self.observed_at = offset, sent_at
            self.observed = True

    def upper_bound(self, now: float) -> float:
        """Return an upper bound of the store's current time."""
        return now + self.max_offset + max(0.0, now - self.observed_at) * MAX_CLOCK_DRIFT

    def reset(self) -> None:
        """Discard the bound, for example when the store's clock was replaced."""
        self.observed = False


class RangeLease:
    """The lease of this node as last written.

    Parameters
    ----------
    node : str
    incarnation : str
        Identifies one claim of the lease.

    Attributes
    ----------
    expires_at : float
        Expiry in seconds on the store's clock; 0 when there is no lease.
    latest_expiry : float
        Latest expiry in local monotonic seconds: one term after the row was sent. A better observation of the
        store's clock does not lengthen the lease beyond it.
    row_version : int
        Version of the stored row; 0 when there is none.
    """

    __slots__ = ("expires_at", "incarnation", "latest_expiry", "node", "row_version", "store_clock")

    def __init__(self, node: str, incarnation: str) -> None:
        self.node = node
        self.incarnation = incarnation
        self.store_clock = StoreClock()
        self.expires_at = 0.0
        self.latest_expiry = float("inf")
        self.row_version = 0

    def next_row(self, now: float, load: OwnerLoad | None = None) -> LeaseRow:
        """Return the row to write next; its term starts before the write is sent."""
        expires_at = self.store_clock.upper_bound(now) + LEASE_TERM_SECONDS
        return LeaseRow(self.node, self.incarnation, expires_at, load or OwnerLoad())

    def record_written(self, row: LeaseRow, version: int, sent_at: float = float("inf")) -> None:
        """Record that a row of this process is in the store.

        Parameters
        ----------
        row : LeaseRow
        version : int
        sent_at : float
            Local monotonic time in seconds at which it was sent, or an upper bound of it.
        """
        self.expires_at = row.ends
        self.latest_expiry = sent_at + LEASE_TERM_SECONDS
        self.row_version = version

    def record_lost(self) -> None:
        """Record that the row was removed or replaced."""
        self.expires_at = 0.0
        self.row_version = 0

    def remaining_seconds(self, now: float) -> float:
        """Return the seconds for which the node may still own keys; 0 when the lease has expired."""
        if not self.expires_at:
            return 0.0
        left = min(self.expires_at - self.store_clock.upper_bound(now), self.latest_expiry - now)
        return max(0.0, left * (1.0 - MAX_CLOCK_DRIFT))

    def is_renewal_due(self, now: float) -> bool:
        """Return whether the lease is due for renewal."""
        return (
            self.store_clock.observed
            and self.remaining_seconds(now) < LEASE_TERM_SECONDS - LEASE_RENEWAL_INTERVAL_SECONDS
        )


def is_expired(row: LeaseRow, store_time: float) -> bool:
    """Return whether other nodes may take over a lease at ``store_time`` on the store's clock."""
    return store_time > row.ends + TAKEOVER_MARGIN_SECONDS
