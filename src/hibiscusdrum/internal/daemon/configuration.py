"""Configuration in force on this node and its distribution to the other nodes."""

from __future__ import annotations

from typing import Any

from hibiscusdrum.errors import HibiscusdrumError, InvalidArgument
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.config.document import Document, decode_config_row, empty_document, encode_document
from hibiscusdrum.internal.config.revisions import ACCEPTED, Acceptance, Applied, Behind, RevisionState
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.messages import ConfigAck, ConfigChange, ConfigRequest
from hibiscusdrum.internal.ownership.keys import DEFAULT_SLICE_COUNT
from hibiscusdrum.internal.ownership.rows import CONFIG_KEY, LEASE_PREFIX, OwnerRow
from hibiscusdrum.internal.platform.table import Row

# Interval at which an unacknowledged revision is sent again; three attempts fit into the 7 s limit.
RESEND_INTERVAL_SECONDS = 1.0
# Newest revisions whose acknowledgements are tracked. At 420 changes a day, few are pending at the same time.
MAX_TRACKED_REVISIONS = 32
# Time that a drained node has to hand over its slices before it refuses requests for them.
DRAIN_GRACE_SECONDS = 4.0


class Configuration(Service):
    """Applies configuration revisions and tracks which nodes have acknowledged those committed here.

    A revision lower than the one in force is never applied.

    Parameters
    ----------
    node, failure_domain : str
        Names of this node and of its failure domain.
    """

    service_name = "configuration"

    def __init__(self, node: str, failure_domain: str) -> None:
        super().__init__()
        self.node = node
        self.failure_domain = failure_domain
        self.drained_at: float | None = None
        self.state = RevisionState(empty_document())
        self.last_acknowledged = 0
        self.acceptance_by_revision: dict[int, Acceptance] = {}
        self.tracked_since: dict[int, float] = {}
        self.listeners: list[Any] = []

    def on_start(self) -> None:
        """Subscribe to rows and to configuration messages, and start the resend timer."""
        self.membership = self.app.find("membership")
        self.membership.listeners.append(self.on_rows)
        self.peers = self.app.find("peers")
        handlers = self.peers.control_handlers
        handlers[ConfigChange] = self.on_config_change
        handlers[ConfigAck] = self.on_config_ack
        handlers[ConfigRequest] = self.on_config_request
        self.app.scheduler.every(RESEND_INTERVAL_SECONDS, self.resend_unacknowledged)

    @property
    def document(self) -> Document:
        """Configuration document in force."""
        return self.state.document

    @property
    def revision(self) -> int:
        """Revision in force."""
        return self.state.revision

    @property
    def acknowledged(self) -> int:
        """Highest revision that this node acknowledges.

        While tenants are suspended, a revision is acknowledged only when none of their requests is in flight
        on this node, because another region may serve their keys as soon as every node has acknowledged it.
        """
        if self.last_acknowledged < self.revision:
            suspended = {name for name, tenant in self.document.tenants.items() if tenant.suspended}
            if not suspended or not self.app.find("requests").has_pending_of(suspended):
                self.last_acknowledged = self.revision
        return self.last_acknowledged

    def accepts_work(self, row: OwnerRow) -> bool:
        """Return whether a node may receive slices and new requests."""
        return self.document.accepts_work(row.node, row.failure_domain)

    def has_route(self, service: str, region: str) -> bool:
        """Return whether a service has a route in a region."""
        route = self.document.routes.get(service)
        return route is not None and region in route.regions

    def slice_count(self, service: str) -> int:
        """Return the number of slices of a service's rings."""
        route = self.document.routes.get(service)
        return route.slices if route is not None else DEFAULT_SLICE_COUNT

    def on_rows(self, rows: list[Row]) -> None:
        """Apply a changed configuration row, and expect no acknowledgement from nodes without a lease row."""
        for row in rows:
            if row.key == CONFIG_KEY and row.value is not None:
                self.apply_row(row.value)
            elif row.key.startswith(LEASE_PREFIX) and row.value is None:
                for acceptance in self.acceptance_by_revision.values():
                    acceptance.on_lease_deleted(row.key[len(LEASE_PREFIX) :])

    def apply_row(self, value: Any) -> None:
        """Apply the document of the configuration row; a malformed one is logged and ignored."""
        try:
            document = decode_config_row(value)
        except InvalidArgument as error:
            log_events.emit(log_events.InvalidFrame(party="table", reason=error.name))
            return
        self.on_offer_result(self.state.offer_document(document))

    def on_offer_result(self, outcome: Any) -> None:
        """Log an applied revision and notify the listeners; other outcomes of an offer change nothing."""
        if not isinstance(outcome, Applied):
            return
        former, document = outcome.previous, outcome.document
        self.update_drained_at(document)
        log_events.emit(log_events.ConfigApplied(revision=document.revision, former=former.revision))
        self.record_ack(self.node, self.acknowledged)
        for listener in self.listeners:
            listener(document)

    def update_drained_at(self, document: Document) -> None:
        """Record since when the configuration has excluded this node from new requests."""
        if document.accepts_work(self.node, self.failure_domain):
            self.drained_at = None
        elif self.drained_at is None:
            self.drained_at = self.app.clock.monotonic()

    def drain_grace_expired(self) -> bool:
        """Return whether this node has been drained for longer than ``DRAIN_GRACE_SECONDS``.

        Until then it serves the keys that it still owns. Afterwards it refuses them, even if no other node
        can take them, because a drained failure domain must get no new requests after a few seconds.
        """
        if self.drained_at is None:
            return False
        return self.app.clock.monotonic() - self.drained_at > DRAIN_GRACE_SECONDS

    def on_config_change(self, message: ConfigChange) -> None:
        """Apply a configuration change from a peer and acknowledge the revision in force."""
        try:
            outcome = self.state.offer_change(message.revision, message.base_revision, message.content)
        except HibiscusdrumError as error:
            log_events.emit(log_events.InvalidFrame(party="peer", reason=error.code))
            return
        self.on_offer_result(outcome)
        address = self.membership.address_of(message.node)
        if isinstance(outcome, Behind):
            log_events.emit(log_events.ConfigBehind(revision=outcome.revision, offered=outcome.offered))
            self.request_document(message.node)
        elif address is not None and self.app.find("leases").holder is not None:
            # Before it has joined, this process must not acknowledge on behalf of an earlier incarnation of
            # its node name.
            self.peers.send_control(address, ConfigAck(node=self.node, revision=self.acknowledged))

    def on_peer_revision(self, node: str, revision: int) -> None:
        """Process the revision in a peer's renewal or grant, and request its document if it is newer."""
        if revision > self.revision:
            self.request_document(node)
        self.record_ack(node, revision)

    def request_document(self, node: str) -> None:
        """Request the configuration document from a peer."""
        address = self.membership.address_of(node)
        if address is not None:
            self.peers.send_control(address, ConfigRequest(node=self.node, revision=self.revision))

    def on_config_request(self, message: ConfigRequest) -> None:
        """Send the configuration document to a peer with a lower revision."""
        address = self.membership.address_of(message.node)
        if address is not None and message.revision < self.revision:
            self.peers.send_control(address, self.full_document_change())

    def full_document_change(self) -> ConfigChange:
        """Build a change message with the whole document."""
        return ConfigChange(
            node=self.node, revision=self.revision, base_revision=0, content=encode_document(self.document)
        )

    def on_committed(self, document: Document, base_revision: int, content: Any) -> None:
        """Apply a revision committed through this daemon and send the change to all nodes."""
        self.on_offer_result(self.state.offer_document(document))
        self.track_acceptance(document.revision)
        change = ConfigChange(
            node=self.node, revision=document.revision, base_revision=base_revision, content=content
        )
        self.membership.broadcast(change)

    def track_acceptance(self, revision: int) -> None:
        """Start tracking which nodes have acknowledged a revision."""
        if revision in self.acceptance_by_revision:
            return
        acceptance = Acceptance(revision, self.membership.map.leases)
        acceptance.on_ack(self.node, self.acknowledged)
        self.acceptance_by_revision[revision] = acceptance
        self.tracked_since[revision] = self.app.clock.monotonic()
        while len(self.acceptance_by_revision) > MAX_TRACKED_REVISIONS:
            oldest = min(self.acceptance_by_revision)
            del self.acceptance_by_revision[oldest], self.tracked_since[oldest]

    def acceptance(self, revision: int) -> Acceptance | None:
        """Return the acceptance state of a revision, or None if it is not tracked by this daemon."""
        return self.acceptance_by_revision.get(revision)

    def on_config_ack(self, message: ConfigAck) -> None:
        """Record a peer's acknowledgement."""
        self.record_ack(message.node, message.revision)

    def record_ack(self, node: str, revision: int) -> None:
        """Record that a node has a revision in force, and log tracked revisions that all nodes now have."""
        for tracked_revision, acceptance in self.acceptance_by_revision.items():
            state_before = acceptance.state
            acceptance.on_ack(node, revision)
            if state_before != ACCEPTED and acceptance.state == ACCEPTED:
                duration_ms = (self.app.clock.monotonic() - self.tracked_since[tracked_revision]) * 1000.0
                log_events.emit(log_events.ConfigAccepted(revision=tracked_revision, duration_ms=duration_ms))

    def resend_unacknowledged(self) -> None:
        """Resend the document to nodes that have not acknowledged the newest tracked revision."""
        if not self.acceptance_by_revision:
            return
        self.record_ack(self.node, self.acknowledged)
        for node in self.acceptance_by_revision[max(self.acceptance_by_revision)].missing:
            address = self.membership.address_of(node)
            if address is not None and node != self.node:
                self.peers.send_control(address, self.full_document_change())
