"""Lease state of an owner, which determines whether the node may serve its slices.

All times are in seconds on the node's own monotonic clock.
"""

from __future__ import annotations

import math

import msgspec

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal.ownership.rows import LeaseRow

# Duration of a grant, counted from when the owner sent the renewal request.
LEASE_TERM_SECONDS = 1.5
# At this interval a lease of 1.5 s survives the loss of three consecutive renewals.
RENEWAL_INTERVAL_SECONDS = 0.4
# Delay before a refused renewal is retried; the guard may not have read the row that names it yet.
REFUSED_RENEWAL_RETRY_SECONDS = 0.1
# Time without a grant after which the owner replaces its guard. By then two renewals have been lost, and
# 0.7 s of the term remain for writing the lease row and for the first grant of the new guard.
GUARD_TIMEOUT_SECONDS = 0.8
# Largest tolerated difference between the clock rates of two nodes, as a fraction of the term.
CLOCK_MARGIN_FRACTION = 0.01


class RenewalRequest(msgspec.Struct, frozen=True):
    """A renewal request that the owner sends to ``guard``."""

    nonce: int
    lease_version: int
    guard: str


class PendingRenewal:
    """A renewal request that has not been answered yet.

    Attributes
    ----------
    sent_at : float
        Time at which the request was sent.
    lease_version : int
        Version of the lease row under which it was sent.
    extends_lease : bool
        Whether a grant may extend the lease; false for requests sent during a change of guard.
    """

    __slots__ = ("extends_lease", "lease_version", "sent_at")

    def __init__(self, sent_at: float, lease_version: int, extends_lease: bool) -> None:
        self.sent_at = sent_at
        self.lease_version = lease_version
        self.extends_lease = extends_lease


class LeaseHolder:
    """State of the lease of one incarnation of a node.

    Parameters
    ----------
    node, incarnation : str
        The lease holder. A lease row with another incarnation ends the lease permanently.
    term : float
        Duration of a grant in seconds, counted from when the renewal request was sent.

    Attributes
    ----------
    row : LeaseRow or None
        Lease row in use, None until one has been applied.
    lease_version : int
        Version of that row.
    expiry : float
        End of the lease; infinite when the node is its own guard.
    pending_renewals : dict of int to PendingRenewal
        Unanswered renewal requests by nonce.
    last_grant_at : float
        Send time of the latest granted renewal, or the time at which the row was applied.
    next_renewal_at : float
        Earliest time of the next renewal request.
    guard_change_pending : bool
        Whether a change of guard is in progress or has an unknown outcome.
    revoked : bool
        Whether the lease has ended permanently.
    """

    __slots__ = (
        "expiry",
        "guard_change_pending",
        "incarnation",
        "last_grant_at",
        "last_nonce",
        "lease_version",
        "next_renewal_at",
        "node",
        "pending_renewals",
        "revoked",
        "row",
        "term",
    )

    def __init__(self, node: str, incarnation: str, term: float = LEASE_TERM_SECONDS) -> None:
        if not term > 0:
            raise InvalidArgument(name="term", value=term, expected="seconds above 0")
        self.node = node
        self.incarnation = incarnation
        self.term = term
        self.row: LeaseRow | None = None
        self.lease_version = 0
        self.expiry = -math.inf
        self.pending_renewals: dict[int, PendingRenewal] = {}
        self.last_nonce = 0
        self.last_grant_at = -math.inf
        self.next_renewal_at = -math.inf
        self.guard_change_pending = False
        self.revoked = False

    @property
    def self_guarded(self) -> bool:
        """Whether the node is its own guard according to the last applied row."""
        return self.row is not None and self.row.guard == self.node

    def apply_row(self, row: LeaseRow, version: int, now: float) -> None:
        """Apply a lease row that was read from the table or committed by this node.

        Pass only rows that ``OwnershipMap.apply`` reported as changed: the reply to this node's own write
        can arrive after the deletion of the row has been read.

        A version that is not newer than the applied one is ignored. In particular, reading the old version
        again after a change of guard with unknown outcome does not end the change, because the write may
        still reach the table. Only a newer version or ``guard_change_failed`` ends it.
        """
        if row.node != self.node or row.incarnation != self.incarnation:
            if version > self.lease_version:
                self.revoke(now)
            return
        if self.revoked or version <= self.lease_version:
            return
        self.row = row
        self.lease_version = version
        self.guard_change_pending = False
        self.pending_renewals.clear()
        self.last_grant_at = now
        self.next_renewal_at = now
        if self.self_guarded:
            self.expiry = math.inf
        elif self.expiry == math.inf:
            # The guard was changed without begin_guard_change, so the infinite expiry was not limited there.
            self.expiry = -math.inf

    def apply_row_deletion(self, version: int, now: float) -> None:
        """Revoke the lease because its row was deleted; a deletion older than the applied row is ignored."""
        if self.row is not None and version > self.lease_version:
            self.revoke(now)

    def renewal_due(self, now: float) -> bool:
        """Return whether a renewal request should be sent now.

        One is due immediately after the row has changed, and after a short delay when one was refused.
        """
        return self.row is not None and not self.revoked and now >= self.next_renewal_at

    def start_renewal(self, now: float) -> RenewalRequest:
        """Register a renewal request that is sent now, and return it.

        Raises
        ------
        InvalidArgument
            If no lease row has been applied.
        """
        if self.row is None:
            raise InvalidArgument(name="row", value=None, expected="an applied lease row")
        self._remove_expired_renewals(now)
        self.next_renewal_at = now + RENEWAL_INTERVAL_SECONDS
        self.last_nonce += 1
        self.pending_renewals[self.last_nonce] = PendingRenewal(
            now, self.lease_version, not self.guard_change_pending
        )
        return RenewalRequest(nonce=self.last_nonce, lease_version=self.lease_version, guard=self.row.guard)

    def on_granted(self, nonce: int, lease_version: int, now: float) -> bool:
        """Process a grant and return whether it was accepted and the lease is valid.

        A grant counts from when its request was sent, because the guard starts its takeover wait later
        than that. Grants for another version of the lease row, and grants requested during a change of
        guard, are ignored: another guard's takeover wait may already be running.
        """
        pending = self.pending_renewals.pop(nonce, None)
        if pending is None or self.revoked or not pending.extends_lease:
            return False
        if lease_version != pending.lease_version or lease_version != self.lease_version:
            return False
        self.last_grant_at = max(self.last_grant_at, pending.sent_at)
        self.expiry = max(self.expiry, pending.sent_at + self.term)
        return now < self.expiry

    def on_refused(self, nonce: int, now: float) -> None:
        """Process a refusal; the renewal is retried after a short delay."""
        if self.pending_renewals.pop(nonce, None) is not None:
            self.next_renewal_at = min(self.next_renewal_at, now + REFUSED_RENEWAL_RETRY_SECONDS)

    def valid(self, now: float) -> bool:
        """Return whether the node may serve its slices."""
        return now < self.expiry

    def expires_at(self, now: float) -> float:
        """Return the end of the lease: infinite when self-guarded, minus infinite without a lease."""
        return self.expiry

    def begin_guard_change(self, now: float) -> None:
        """Prepare for a change of the lease row that is about to be sent.

        Grants requested from now on are ignored. A self-guarded lease is limited to one term, because the
        new guard waits one term from when it reads the changed row before it may take the node over.
        """
        self.guard_change_pending = True
        if self.expiry == math.inf:
            self.expiry = now + self.term

    def guard_change_unknown(self, now: float) -> None:
        """Handle an unknown outcome of a change of guard; the row must be read or written again."""
        self.guard_change_pending = True

    def guard_change_failed(self, now: float) -> None:
        """Handle a change of guard that has not taken effect and never will; the old row stays valid.

        Do not call this on a conflict: a conflict shows that the row has changed, and the new row must be
        applied first.
        """
        self.guard_change_pending = False
        if self.self_guarded and not self.revoked:
            self.expiry = math.inf

    def seconds_since_grant(self, now: float) -> float:
        """Return the seconds since the last granted renewal was sent, or since the row was applied.

        Refusals do not reset this time: a guard that refuses must be replaced like an unresponsive one.
        """
        return now - self.last_grant_at

    def revoke(self, now: float) -> None:
        """End the lease permanently because its row was deleted or has another incarnation."""
        self.revoked = True
        self.expiry = -math.inf
        self.pending_renewals.clear()

    def _remove_expired_renewals(self, now: float) -> None:
        """Remove requests whose grant would already have expired."""
        expired = [
            nonce for nonce, pending in self.pending_renewals.items() if pending.sent_at + self.term <= now
        ]
        for nonce in expired:
            del self.pending_renewals[nonce]
