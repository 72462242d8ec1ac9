"""Lease state of a guard, which grants renewals and determines when a lessee may be taken over.

A guard does not decide who owns a slice; it only tracks how long a lessee may still be serving. The table
arbitrates, because each takeover is conditional on the version of the lease row.

All times are in seconds on the node's own monotonic clock. ``now`` must be read after the row or request was
received: a clock value from before a pause would start the takeover wait before the grant that it must
outlast.
"""

from __future__ import annotations

import enum
import math

import msgspec

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal.ownership.lease import CLOCK_MARGIN_FRACTION, LEASE_TERM_SECONDS
from hibiscusdrum.internal.ownership.rows import LeaseRow

# Number of nodes whose last lease version is kept, also after deletion or a change of guard, so that stale
# reads are ignored. 70 restarts a day add 70 entries a day.
MAX_KNOWN_VERSIONS = 20_000


class RenewalRefusal(enum.StrEnum):
    """Reason for refusing a renewal; the value is sent on the wire."""

    OWN_LEASE_INVALID = "own_lease_invalid"
    NOT_GUARD = "not_guard"
    OLD_VERSION = "old_version"
    UNKNOWN_VERSION = "unknown_version"
    OTHER_INCARNATION = "other_incarnation"
    TAKEOVER_STARTED = "takeover_started"


class RenewalDecision(msgspec.Struct, frozen=True):
    """Decision on a renewal request; ``refusal`` is None when it is granted."""

    granted: bool
    refusal: RenewalRefusal | None = None


class ExpiredLease(msgspec.Struct, frozen=True):
    """A node whose lease has expired; its takeover is conditional on ``lease_version``."""

    node: str
    lease_version: int


class Lessee:
    """A node whose lease this guard grants.

    Attributes
    ----------
    incarnation : str
        Incarnation of the node in its lease row.
    lease_version : int
        Version of that row.
    takeover_at : float
        Time from which no grant of this or an earlier guard can still be valid.
    takeover_due : bool
        Whether ``expired_leases`` reported the node and no renewal has been granted since.
    takeover_postponed : bool
        Whether ``takeover_at`` was postponed once because this guard itself was paused.
    takeover_started : bool
        Whether a takeover was started whose outcome is not known.
    """

    __slots__ = (
        "incarnation",
        "lease_version",
        "takeover_at",
        "takeover_due",
        "takeover_postponed",
        "takeover_started",
    )

    def __init__(self, incarnation: str, lease_version: int, takeover_at: float) -> None:
        self.incarnation = incarnation
        self.lease_version = lease_version
        self.takeover_at = takeover_at
        self.takeover_started = False
        self.takeover_due = False
        self.takeover_postponed = False


GRANTED = RenewalDecision(granted=True)


class LeaseGuard:
    """State of a guard: its lessees, which are the nodes whose lease rows name it as guard.

    Parameters
    ----------
    node : str
        Name of this node.
    term : float
        Duration of a grant in seconds.
    margin : float
        Largest tolerated difference between clock rates, as a fraction of the term.

    Attributes
    ----------
    incarnation : str or None
        Incarnation in this node's own lease row.
    lessees : dict of str to Lessee
        Lessees by node.
    known_versions : dict of str to int
        Newest lease version seen of each node.
    last_check_at : float
        Time of the last call of ``expired_leases``.
    """

    __slots__ = ("incarnation", "known_versions", "last_check_at", "lessees", "margin", "node", "term")

    def __init__(
        self, node: str, term: float = LEASE_TERM_SECONDS, margin: float = CLOCK_MARGIN_FRACTION
    ) -> None:
        if not term > 0:
            raise InvalidArgument(name="term", value=term, expected="seconds above 0")
        if not 0 <= margin < 1:
            raise InvalidArgument(name="margin", value=margin, expected="a fraction from 0 and below 1")
        self.node = node
        self.term = term
        self.margin = margin
        self.incarnation: str | None = None
        self.lessees: dict[str, Lessee] = {}
        self.known_versions: dict[str, int] = {}
        self.last_check_at = math.inf

    @property
    def takeover_wait(self) -> float:
        """Seconds after which a grant has expired on every clock within the margin."""
        return self.term * (1 + self.margin)

    def apply_row(self, row: LeaseRow | None, node: str, version: int, now: float) -> None:
        """Apply a lease row read from the table, or its deletion.

        A version that is not newer than the known one is a stale read and ignored. When a row newly names
        this node as guard, a takeover must wait one term, because the previous guard may have granted
        renewals until the row changed.

        Parameters
        ----------
        row : LeaseRow or None
            The row; None when it was deleted.
        node : str
            Node that the row belongs to.
        version : int
            Version of the row or of its deletion.
        now : float
            Current time.
        """
        if version <= self.known_versions.get(node, 0):
            return
        self._record_version(node, version)
        if node == self.node:
            self._apply_own_row(row)
            return
        if row is None or row.guard != self.node:
            self.lessees.pop(node, None)
            return
        self.lessees[node] = Lessee(row.incarnation, version, now + self.takeover_wait)

    def decide_renewal(
        self, node: str, incarnation: str, lease_version: int, own_lease_valid: bool, now: float
    ) -> RenewalDecision:
        """Grant or refuse a renewal request.

        ``own_lease_valid`` must be evaluated without waiting in between. The node that takes over this one
        also becomes the guard of its lessees and waits one term, which is enough only if this guard granted
        nothing after its own lease had expired.
        """
        lessee = self.lessees.get(node)
        refusal = self._refusal_reason(lessee, node, incarnation, lease_version, own_lease_valid)
        if refusal is RenewalRefusal.OWN_LEASE_INVALID:
            # The lessee is running. Half a term gives it time to renew once this node's own lease is valid
            # again.
            lessee.takeover_at = max(lessee.takeover_at, now + self.term / 2)
        if refusal is not None:
            return RenewalDecision(granted=False, refusal=refusal)
        lessee.takeover_at = max(lessee.takeover_at, now + self.takeover_wait)
        lessee.takeover_due = lessee.takeover_postponed = False
        return GRANTED

    def expired_leases(self, now: float, own_lease_valid: bool = True) -> list[ExpiredLease]:
        """Return the nodes whose lease has expired on every clock within the margin.

        Call this several times per term; a longer interval is treated as a pause of this node. No lease is
        reported while the node's own lease is invalid: lessees cannot renew through this guard then, so an
        expired lease does not show that a lessee has failed.
        """
        paused = now - self.last_check_at > self.term / 2
        self.last_check_at = now
        if not own_lease_valid:
            return []
        if paused:
            self._postpone_takeovers(now)
        expired = []
        for node, lessee in self.lessees.items():
            if now >= lessee.takeover_at and not lessee.takeover_started:
                lessee.takeover_due = True
                expired.append(ExpiredLease(node=node, lease_version=lessee.lease_version))
        return expired

    def begin_takeover(self, node: str) -> bool:
        """Stop granting renewals to a node; return False if its takeover is no longer due.

        Call this before any step that waits, such as reading rows: a renewal granted between the check and
        the write would let the old and the new owner serve at the same time.
        """
        lessee = self.lessees.get(node)
        if lessee is None or not lessee.takeover_due:
            return False
        lessee.takeover_started = True
        return True

    def end_takeover(self, node: str, committed: bool | None, now: float) -> None:
        """Process the outcome of a takeover.

        Parameters
        ----------
        committed : bool or None
            True if the write took effect, False if it did not and never will, None if the outcome is
            unknown. After None the guard continues to refuse renewals until a newer row is applied or the
            outcome of a repeated write is known.
        """
        lessee = self.lessees.get(node)
        if lessee is None or committed is None:
            return
        if committed:
            del self.lessees[node]
            return
        lessee.takeover_started = False

    def remove_lessees(self) -> None:
        """Remove all lessees after this node's own lease row was deleted; they have another guard now."""
        self.lessees.clear()

    def _refusal_reason(
        self, lessee: Lessee | None, node: str, incarnation: str, lease_version: int, own_lease_valid: bool
    ) -> RenewalRefusal | None:
        if lessee is None:
            newer = lease_version > self.known_versions.get(node, 0)
            return RenewalRefusal.UNKNOWN_VERSION if newer else RenewalRefusal.NOT_GUARD
        if lease_version != lessee.lease_version:
            return (
                RenewalRefusal.UNKNOWN_VERSION
                if lease_version > lessee.lease_version
                else RenewalRefusal.OLD_VERSION
            )
        if incarnation != lessee.incarnation:
            return RenewalRefusal.OTHER_INCARNATION
        if lessee.takeover_started:
            return RenewalRefusal.TAKEOVER_STARTED
        return None if own_lease_valid else RenewalRefusal.OWN_LEASE_INVALID

    def _apply_own_row(self, row: LeaseRow | None) -> None:
        """Remove the lessees if this node was taken over, because their rows name another guard now."""
        incarnation = row.incarnation if row is not None else None
        if self.incarnation is not None and incarnation != self.incarnation:
            self.remove_lessees()
        self.incarnation = incarnation

    def _record_version(self, node: str, version: int) -> None:
        self.known_versions.pop(node, None)
        self.known_versions[node] = version
        if len(self.known_versions) > MAX_KNOWN_VERSIONS:
            oldest = next(name for name in self.known_versions if name not in self.lessees)
            del self.known_versions[oldest]

    def _postpone_takeovers(self, now: float) -> None:
        """Postpone takeovers once by half a term.

        After a pause of this node, renewal requests may still be unread in the socket.
        """
        for lessee in self.lessees.values():
            if not lessee.takeover_postponed and not lessee.takeover_started:
                lessee.takeover_postponed = True
                lessee.takeover_at = max(lessee.takeover_at, now + self.term / 2)
