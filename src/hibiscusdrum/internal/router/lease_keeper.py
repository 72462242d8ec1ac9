"""Keeps the lease row of this node: reads it at start, renews it, and settles writes without an answer."""

from __future__ import annotations

import uuid
from collections.abc import Callable

import msgspec
from returns.result import Result, Success

from hibiscusdrum.errors import HibiscusdrumError
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.daemon.operations import new_operation_id
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.platform.table import Row, Transaction
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router.key_load import OwnerLoad
from hibiscusdrum.internal.router.range_lease import LeaseRow, RangeLease
from hibiscusdrum.internal.router.settings import RouterSettings

LEASE_PREFIX = "lease/"


def lease_key(service: str, node: str) -> str:
    """Return the key of a node's lease row."""
    return f"{LEASE_PREFIX}{service}/{node}"


class LeaseKeeper(Service):
    """Keeps the lease under which this node's target holds keys.

    Attributes
    ----------
    synced : bool
        Whether the ring has been read since the lease was first written; before that it may have been changed
        while there was no lease.
    on_first_write : callable
        Called after the first write of a lease; sets ``synced`` when it has read the ring.
    load : callable
        Returns the load that is published with the lease.
    """

    service_name = "lease_keeper"

    def __init__(self, settings: RouterSettings) -> None:
        super().__init__()
        self.row_key = lease_key(settings.service, settings.node)
        self.lease = RangeLease(settings.node, uuid.uuid4().hex[:12])
        self.request_in_flight = False
        self.row_read = False
        self.ring_synced = False
        self.on_first_write: Callable[[], None] = lambda: None
        self.current_load: Callable[[], OwnerLoad] = OwnerLoad

    def on_start(self) -> None:
        """Follow the store's clock."""
        self.table = self.app.find("table")
        self.table.on_stamp = self.lease.store_clock.observe

    @property
    def now(self) -> float:
        """Steady time in seconds."""
        return self.app.clock.monotonic()

    @property
    def remaining_seconds(self) -> float:
        """Seconds that are left of the lease; 0 when it may not be used."""
        return self.lease.remaining_seconds(self.now) if self.ring_synced else 0.0

    def renew_if_due(self) -> None:
        """Write the lease when it is due."""
        if self.request_in_flight:
            return
        if self.lease.row_version == 0 and not self.row_read:
            self.read_lease()
        elif self.lease.row_version == 0 or not self.ring_synced or self.lease.is_renewal_due(self.now):
            self.write_lease()

    def read_lease(self) -> None:
        """Read the row of an earlier incarnation, whose process has ended: this one has its port."""
        self.request_in_flight = True

        def done(result: Result[dict[str, Row], HibiscusdrumError]) -> None:
            self.request_in_flight = False
            if isinstance(result, Success):
                row = result.unwrap().get(self.row_key)
                self.lease.row_version = row.version if row is not None else 0
                self.row_read = True
                self.renew_if_due()

        self.table.read((self.row_key,), done)

    def write_lease(self) -> None:
        """Write the lease row under its known version."""
        row = self.lease.next_row(self.now, self.current_load())
        version = self.lease.row_version
        self.request_in_flight = True
        puts = {self.row_key: msgspec.to_builtins(row)}
        transaction = Transaction(new_operation_id(), {self.row_key: version}, puts)

        def done(result: Result[int, HibiscusdrumError]) -> None:
            self.request_in_flight = False
            if isinstance(result, Success):
                self.lease.record_written(row, result.unwrap())
                if not self.ring_synced:
                    self.on_first_write()
                return
            code = result.failure().code
            log_events.emit(
                events.LeaseNotRenewed(
                    reason=code, version=version, left_s=round(self.lease.remaining_seconds(self.now), 3)
                )
            )
            self.resolve_write()

        self.table.commit(transaction, done)

    def resolve_write(self) -> None:
        """Learn which row the store holds after a conflict or a lost answer.

        An unanswered write may still take effect later. Its row names an end that was counted from before it
        was sent, so that adopting it is safe whenever it appears.
        """
        self.request_in_flight = True

        def done(result: Result[dict[str, Row], HibiscusdrumError]) -> None:
            self.request_in_flight = False
            if not isinstance(result, Success):
                return
            row = result.unwrap().get(self.row_key)
            value = msgspec.convert(row.value, LeaseRow) if row is not None else None
            if value is not None and value.incarnation == self.lease.incarnation:
                self.lease.record_written(value, row.version)
            else:
                self.lease.record_lost()
                self.ring_synced = False
                self.lease.row_version = row.version if row is not None else 0
                log_events.emit(events.LeaseTaken(version=self.lease.row_version))

        self.table.read((self.row_key,), done)
