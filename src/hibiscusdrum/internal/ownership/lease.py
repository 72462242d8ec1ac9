"""The owner's side of a lease: when the node may consider itself the owner of its slices.

All times are seconds of the node's own monotonic clock.
"""

from __future__ import annotations

import math

import msgspec

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal.ownership.rows import LeaseRow

# Time in which a grant lets the owner serve, in seconds.
LEASE_TERM_SECONDS = 1.5
# Three renewals may be lost before a lease of 1.5 s lapses.
RENEWAL_INTERVAL_SECONDS = 0.4
# A refused renewal is repeated after this time: the guard may just be reading the row that names it.
REFUSED_RENEWAL_RETRY_SECONDS = 0.1
# Silence of the guard after which the owner names another one. Two renewals were lost by then, and 0.7 s of
# the term are left for the write and the first grant of the new guard.
GUARD_TIMEOUT_SECONDS = 0.8
# Largest difference between the clock rates of two nodes, as a share of the term.
CLOCK_MARGIN_FRACTION = 0.01


class RenewalRequest(msgspec.Struct, frozen=True):
    """A renewal request to send to ``guard``."""

    nonce: int
    lease_version: int
    guard: str


class PendingRenewal:
    """A renewal request whose answer is outstanding."""

    __slots__ = ("extends_lease", "lease_version", "sent_at")

    def __init__(self, sent_at: float, lease_version: int, extends_lease: bool) -> None:
        self.sent_at = sent_at
        self.lease_version = lease_version
        self.extends_lease = extends_lease


class LeaseHolder:
    """The lease of one incarnation of a node.

    Parameters
    ----------
    node, incarnation : str
        The holder; a row that names another incarnation ends the lease for ever.
    term : float
        Seconds that a grant lasts, counted from when the renewal request was sent.
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
        """Whether the last known row names the node as its own guard."""
        return self.row is not None and self.row.guard == self.node

    def apply_row(self, row: LeaseRow, version: int, now: float) -> None:
        """Use the lease row as read from the table or as committed by this node.

        Pass only rows that ``OwnershipMap.apply`` reported as changed: the reply to an own write can arrive
        after the deletion of the row has been read.

        A version that is not above the known one changes nothing. In particular, reading the old version
        after a change of guard with unknown outcome does not end the change: the write may still be on
        its way to the table. Only a higher version, or ``guard_change_failed``, ends it.
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
            # The change away from self-guard was made elsewhere than through begin_guard_change.
            self.expiry = -math.inf

    def apply_row_deletion(self, version: int, now: float) -> None:
        """Note that the lease row was deleted; a deletion older than the adopted row is ignored."""
        if self.row is not None and version > self.lease_version:
            self.revoke(now)

    def renewal_due(self, now: float) -> bool:
        """Return whether a renewal should be sent: at once after the row changed, soon after a refusal."""
        return self.row is not None and not self.revoked and now >= self.next_renewal_at

    def start_renewal(self, now: float) -> RenewalRequest:
        """Return the renewal request to send now; its nonce records the send time.

        Raises
        ------
        InvalidArgument
            If no lease row has been adopted.
        """
        if self.row is None:
            raise InvalidArgument(name="row", value=None, expected="an adopted lease row")
        self._drop_expired(now)
        self.next_renewal_at = now + RENEWAL_INTERVAL_SECONDS
        self.last_nonce += 1
        self.pending_renewals[self.last_nonce] = PendingRenewal(
            now, self.lease_version, not self.guard_change_pending
        )
        return RenewalRequest(nonce=self.last_nonce, lease_version=self.lease_version, guard=self.row.guard)

    def on_granted(self, nonce: int, lease_version: int, now: float) -> bool:
        """Count a grant; returns whether it extends the lease.

        The grant lasts from when its request was sent, since the guard's wait cannot begin before that.
        A grant for another version than the current one, or one that was requested while a change of
        guard was under way, is not counted: another guard may already be waiting.
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
        """Note a refusal; the renewal is repeated soon."""
        if self.pending_renewals.pop(nonce, None) is not None:
            self.next_renewal_at = min(self.next_renewal_at, now + REFUSED_RENEWAL_RETRY_SECONDS)

    def valid(self, now: float) -> bool:
        """Return whether the node may consider itself the owner of its slices."""
        return now < self.expiry

    def expires_at(self, now: float) -> float:
        """Return the end of the lease: infinity under self-guard, minus infinity when there is none."""
        return self.expiry

    def begin_guard_change(self, now: float) -> None:
        """Record that a change of the lease row is about to be sent.

        From now on no newly requested grant counts. A self-guarded lease gets a limit of one term, because
        the new guard waits for a whole term from when it reads the changed row.
        """
        self.guard_change_pending = True
        if self.expiry == math.inf:
            self.expiry = now + self.term

    def guard_change_unknown(self, now: float) -> None:
        """Record that the outcome of the change is unknown; the row must be read or written again."""
        self.guard_change_pending = True

    def guard_change_failed(self, now: float) -> None:
        """Record that the change did not take effect and never will, so the old row is still in force.

        Not for a conflict: it shows that the row has changed, and the new row must be adopted first.
        """
        self.guard_change_pending = False
        if self.self_guarded and not self.revoked:
            self.expiry = math.inf

    def seconds_since_grant(self, now: float) -> float:
        """Return the seconds since the send time of the last granted renewal, or since the row was adopted.

        Refusals do not count as answers: a guard that refuses must be replaced like a silent one.
        """
        return now - self.last_grant_at

    def revoke(self, now: float) -> None:
        """Record that the row is gone or names another incarnation; the lease is never valid again."""
        self.revoked = True
        self.expiry = -math.inf
        self.pending_renewals.clear()

    def _drop_expired(self, now: float) -> None:
        """Forget requests whose grant would have ended by now."""
        expired = [nonce for nonce, ask in self.pending_renewals.items() if ask.sent_at + self.term <= now]
        for nonce in expired:
            del self.pending_renewals[nonce]
