"""Guard role of this node: grants leases to other nodes and takes over nodes whose leases have expired."""

from __future__ import annotations

from returns.result import Result, Success

from hibiscusdrum.errors import HibiscusdrumError, StoreConflict
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.daemon.operations import ignore_result, new_operation_id
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.messages import LeaseGranted, LeaseRefused, RenewLease
from hibiscusdrum.internal.ownership import takeover
from hibiscusdrum.internal.ownership.guard import ExpiredLease, LeaseGuard, RenewalRefusal
from hibiscusdrum.internal.ownership.handover import ACTIVE
from hibiscusdrum.internal.ownership.rows import LEASE_PREFIX, lease_key
from hibiscusdrum.internal.platform.table import Row, Transaction
from hibiscusdrum.internal.settings import Settings

# Interval of the checks for expired leases; it adds to the time until the keys of a lost node are served
# again.
CHECK_INTERVAL_SECONDS = 0.05
# Delay before a takeover transaction with an unknown outcome is sent again.
TAKEOVER_RETRY_SECONDS = 0.2
ORPHAN_CHECK_INTERVAL_SECONDS = 1.0
# Number of nodes that each try to remove a released node, so that the loss of some of them does not matter.
RELEASE_ATTEMPTING_NODES = 3


class GuardService(Service):
    """Grants leases and takes over nodes whose leases have expired.

    Parameters
    ----------
    settings : Settings
        Name, region, term and clock margin of this node.
    """

    service_name = "guarding"

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self.settings = settings
        self.node = settings.node
        self.guard_table = LeaseGuard(
            self.node, settings.lease_term_ms / 1000.0, settings.clock_margin_percent / 100.0
        )

    def on_start(self) -> None:
        """Subscribe to renewal messages and rows, and start the timers."""
        find = self.app.find
        self.membership = find("membership")
        self.configuration = find("configuration")
        self.leases = find("leases")
        self.peers = find("peers")
        self.peers.control_handlers[RenewLease] = self.on_renew
        self.membership.listeners.append(self.on_rows)
        every = self.app.scheduler.every
        every(CHECK_INTERVAL_SECONDS, self.take_over_expired)
        every(ORPHAN_CHECK_INTERVAL_SECONDS, self.adopt_orphaned_node)
        every(ORPHAN_CHECK_INTERVAL_SECONDS, self.take_over_released)

    @property
    def now(self) -> float:
        """Monotonic time in seconds."""
        return self.app.clock.monotonic()

    def on_rows(self, rows: list[Row]) -> None:
        """Pass changed lease rows to the guard table."""
        for row in rows:
            if row.key.startswith(LEASE_PREFIX):
                node = row.key[len(LEASE_PREFIX) :]
                value = self.membership.map.leases.get(node) if row.value is not None else None
                self.guard_table.apply_row(value, node, row.version, self.now)

    def on_renew(self, message: RenewLease) -> None:
        """Grant or refuse a lease renewal."""
        now = self.now
        self.configuration.on_peer_revision(message.node, message.revision)
        decision = self.guard_table.decide_renewal(
            message.node, message.incarnation, message.lease_version, self.leases.valid(), now
        )
        address = self.membership.address_of(message.node)
        if address is None or decision.refusal is RenewalRefusal.UNKNOWN_VERSION:
            # The sender's row is newer than this node's copy; its next renewal arrives within the lease term.
            self.membership.poll()
        if address is None:
            return
        self.peers.send_control(address, self.renewal_response(message, decision.refusal))

    def renewal_response(
        self, message: RenewLease, refusal: RenewalRefusal | None
    ) -> LeaseGranted | LeaseRefused:
        """Build the response to a renewal: a grant, or a refusal if a reason is given."""
        if refusal is not None:
            return LeaseRefused(
                guard=self.node,
                node=message.node,
                lease_version=message.lease_version,
                nonce=message.nonce,
                reason=refusal.value,
            )
        return LeaseGranted(
            guard=self.node,
            node=message.node,
            lease_version=message.lease_version,
            nonce=message.nonce,
            revision=self.configuration.acknowledged,
            table_seq=self.membership.map.seq,
        )

    def take_over_expired(self) -> None:
        """Take over the nodes guarded by this one whose leases have expired."""
        for due in self.guard_table.expired_leases(self.now, self.leases.valid()):
            self.take_over(due)

    def take_over(self, due: ExpiredLease) -> None:
        """Start the takeover of a node whose lease has expired."""
        if not self.guard_table.begin_takeover(due.node):
            return
        started_at = self.now
        receivers = self.eligible_receivers(due.node)
        log_events.emit(log_events.TakeoverStarted(taken_node=due.node, lease_version=due.lease_version))
        transaction = takeover.takeover_transaction(
            self.membership.map,
            due.node,
            due.lease_version,
            self.node,
            new_operation_id(),
            lambda row: row.node in receivers,
        )
        self.commit_takeover(due, transaction, started_at)

    def eligible_receivers(self, lost_node: str) -> set[str]:
        """Return the nodes that may receive slices of a node that is taken over.

        A node guarded by the lost node may be lost as well, which would delay the service of its new slices
        by a lease term. Such nodes are excluded unless there are no others.
        """
        owners, leases = self.membership.map.owners, self.membership.map.leases
        row = owners.get(lost_node)
        if row is None:
            return set()
        ring = self.membership.map.owner_rows(row.service, row.region)
        eligible = {
            other.node
            for other in ring
            if other.node != lost_node
            and other.node in leases
            and leases[other.node].state == ACTIVE
            and self.configuration.accepts_work(other)
        }
        independent = {node for node in eligible if leases[node].guard != lost_node}
        return independent or eligible

    def commit_takeover(self, due: ExpiredLease, transaction: Transaction, started_at: float) -> None:
        """Commit a takeover; a transaction with an unknown outcome is sent again unchanged."""
        lost_row = self.membership.map.owners.get(due.node)
        slices = len(lost_row.slices) if lost_row is not None else 0

        def done(result: Result[int, HibiscusdrumError]) -> None:
            if isinstance(result, Success):
                self.guard_table.end_takeover(due.node, True, self.now)
                self.log_takeover(due, transaction, started_at, slices)
            elif isinstance(result.failure(), StoreConflict):
                self.guard_table.end_takeover(due.node, False, self.now)
                keys = tuple(result.failure().keys)
                log_events.emit(log_events.TakeoverConflict(taken_node=due.node, keys=keys))
            else:
                self.app.scheduler.call_later(
                    TAKEOVER_RETRY_SECONDS, lambda: self.commit_takeover(due, transaction, started_at)
                )

        self.membership.commit(transaction, done)

    def log_takeover(
        self, due: ExpiredLease, transaction: Transaction, started_at: float, slices: int
    ) -> None:
        """Log a committed takeover."""
        receivers = tuple(key.removeprefix("owner/") for key in transaction.puts if key.startswith("owner/"))
        duration_ms = (self.now - started_at) * 1000.0
        log_events.emit(
            log_events.TakeoverCommitted(
                taken_node=due.node, receivers=receivers, slices=slices, duration_ms=duration_ms
            )
        )

    def take_over_released(self) -> None:
        """Remove nodes that an operator has released as lost.

        Only the first ``RELEASE_ATTEMPTING_NODES`` nodes by name try; the table lets one of them succeed.
        """
        leases = self.membership.map.leases
        released = [
            entry.node
            for entry in self.configuration.document.released
            if entry.node in leases and entry.lease_version == self.lease_version(entry.node)
        ]
        remaining_nodes = sorted(node for node in leases if node not in released)
        if not released or self.node not in remaining_nodes[:RELEASE_ATTEMPTING_NODES]:
            return
        for transaction in takeover.release_transactions(
            self.membership.map, released, new_operation_id(), self.configuration.accepts_work
        ):
            self.membership.commit(transaction, ignore_result)

    def lease_version(self, node: str) -> int:
        """Return the version of a node's lease row."""
        return self.membership.map.version(lease_key(node))

    def adopt_orphaned_node(self) -> None:
        """Become the guard of one node in this region whose guard no longer has a lease row."""
        if not self.leases.valid():
            return
        owners = self.membership.map.owners
        for node in takeover.orphaned_nodes(self.membership.map):
            row = owners.get(node)
            if node != self.node and (row is None or row.region == self.settings.region):
                transaction = takeover.orphan_guard_transaction(
                    self.membership.map, node, self.node, new_operation_id()
                )
                self.membership.commit(transaction, ignore_result)
                return
