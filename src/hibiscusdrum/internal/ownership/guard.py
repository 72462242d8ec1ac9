"""The guard's side of leases: which renewals to grant, and when a takeover is due.

A guard decides nothing about ownership; it only times how long an owner may still be serving. The table
arbitrates, because every takeover is conditional on the version of the lease row.
All times are seconds of the node's own monotonic clock. ``now`` must have been read after the row or request
was received: a clock reading from before a pause would start a wait before the grant that it must outlast.
"""

from __future__ import annotations

import enum
import math

import msgspec

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal.ownership.lease import CLOCK_MARGIN_FRACTION, LEASE_TERM_SECONDS
from hibiscusdrum.internal.ownership.rows import LeaseRow

# Versions of lease rows of other guards or deleted rows, kept to ignore late reads. 70 restarts a day add
# 70 entries a day.
MAX_KNOWN_VERSIONS = 20_000


class RenewalRefusal(enum.StrEnum):
    """Why a renewal was refused; the value is the code on the wire."""

    OWN_LEASE_INVALID = "own_lease_invalid"
    NOT_GUARD = "not_guard"
    OLD_VERSION = "old_version"
    UNKNOWN_VERSION = "unknown_version"
    OTHER_INCARNATION = "other_incarnation"
    TAKEOVER_STARTED = "takeover_started"


class RenewalDecision(msgspec.Struct, frozen=True):
    """The answer to a renewal; ``refusal`` is None when it is granted."""

    granted: bool
    refusal: RenewalRefusal | None = None


class ExpiredLease(msgspec.Struct, frozen=True):
    """A node whose lease has ended; the takeover is conditional on ``lease_version``."""

    node: str
    lease_version: int


class Lessee:
    """A node that this guard grants its lease.

    Attributes
    ----------
    deadline : float
        Time from which no grant of this or an earlier guard can still be in force.
    taking_over : bool
        Whether a takeover was started whose outcome is not known.
    due : bool
        Whether ``due`` reported the node and nothing was granted since.
    deferred : bool
        Whether the deadline was put off once because this guard itself was paused.
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
    """The nodes that name this node as guard.

    Parameters
    ----------
    node : str
        This node.
    term : float
        Seconds that a grant lasts.
    margin : float
        Largest difference of clock rates, as a share of the term.
    """

    __slots__ = ("incarnation", "known_versions", "last_check_at", "lessees", "margin", "node", "term")

    def __init__(
        self, node: str, term: float = LEASE_TERM_SECONDS, margin: float = CLOCK_MARGIN_FRACTION
    ) -> None:
        if not term > 0:
            raise InvalidArgument(name="term", value=term, expected="seconds above 0")
        if not 0 <= margin < 1:
            raise InvalidArgument(name="margin", value=margin, expected="a share from 0 to 1")
        self.node = node
        self.term = term
        self.margin = margin
        self.incarnation: str | None = None
        self.lessees: dict[str, Lessee] = {}
        self.known_versions: dict[str, int] = {}
        self.last_check_at = math.inf

    @property
    def takeover_wait(self) -> float:
        """Seconds after which a grant has ended on every clock within the margin."""
        return self.term * (1 + self.margin)

    def apply_row(self, row: LeaseRow | None, node: str, version: int, now: float) -> None:
        """Note a lease row as read from the table, or its deletion (``row`` None, version of the deletion).

        A version that is not above the known one is a late read and ignored. A row that newly names this
        node starts a wait of a whole term, since an earlier guard may have granted until the row changed.
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
        """Decide on a renewal request.

        ``own_lease_valid`` must be evaluated in the same step: whoever takes this node over becomes the
        guard of its lessees and waits one term, which covers only grants given while the lease was valid.
        """
        lessee = self.lessees.get(node)
        refusal = self._refusal_reason(lessee, node, incarnation, lease_version, own_lease_valid)
        if refusal is RenewalRefusal.OWN_LEASE_INVALID:
            # The owner is alive. Half a term lets it renew when this node's own lease is valid again.
            lessee.takeover_at = max(lessee.takeover_at, now + self.term / 2)
        if refusal is not None:
            return RenewalDecision(granted=False, refusal=refusal)
        lessee.takeover_at = max(lessee.takeover_at, now + self.takeover_wait)
        lessee.takeover_due = lessee.takeover_postponed = False
        return GRANTED

    def expired_leases(self, now: float, own_lease_valid: bool = True) -> list[ExpiredLease]:
        """Return the nodes whose lease has ended on every clock within the margin.

        Call it several times within a term. While the node's own lease is not valid, nothing is due: its
        lessees cannot renew through it, so their lapse does not show that they are gone.
        """
        paused = now - self.last_check_at > self.term / 2
        self.last_check_at = now
        if not own_lease_valid:
            return []
        if paused:
            self._postpone_takeovers(now)
        found = []
        for node, lessee in self.lessees.items():
            if now >= lessee.takeover_at and not lessee.takeover_started:
                lessee.takeover_due = True
                found.append(ExpiredLease(node=node, lease_version=lessee.lease_version))
        return found

    def begin_takeover(self, node: str) -> bool:
        """Stop granting to a node; returns False when it is no longer due.

        Call this before any step that waits, such as reading rows: a grant given between the check and the
        write would let the old owner serve beside the new one.
        """
        lessee = self.lessees.get(node)
        if lessee is None or not lessee.takeover_due:
            return False
        lessee.takeover_started = True
        return True

    def end_takeover(self, node: str, committed: bool | None, now: float) -> None:
        """Record the outcome of a takeover.

        Parameters
        ----------
        committed : bool or None
            True when the write took effect, False when it did not and never will, None when the outcome is
            unknown. After None the guard goes on refusing until a newer row is observed or a repeated
            write has a known outcome.
        """
        lessee = self.lessees.get(node)
        if lessee is None or committed is None:
            return
        if committed:
            del self.lessees[node]
            return
        lessee.takeover_started = False

    def forget_lessees(self) -> None:
        """Forget all lessees because this node's own lease row is gone; they have another guard now."""
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
        """Drop the lessees when this node was taken over, since their rows name another guard now."""
        incarnation = row.incarnation if row is not None else None
        if self.incarnation is not None and incarnation != self.incarnation:
            self.forget_lessees()
        self.incarnation = incarnation

    def _record_version(self, node: str, version: int) -> None:
        self.known_versions.pop(node, None)
        self.known_versions[node] = version
        if len(self.known_versions) > MAX_KNOWN_VERSIONS:
            oldest = next(name for name in self.known_versions if name not in self.lessees)
            del self.known_versions[oldest]

    def _postpone_takeovers(self, now: float) -> None:
        """Put deadlines off once by half a term: after a pause, renewals may wait unread in the socket."""
        for lessee in self.lessees.values():
            if not lessee.takeover_postponed and not lessee.takeover_started:
                lessee.takeover_postponed = True
                lessee.takeover_at = max(lessee.takeover_at, now + self.term / 2)
