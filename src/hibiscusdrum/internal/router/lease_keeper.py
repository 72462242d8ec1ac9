"""Claims the lease of this node, renews it, and resolves writes whose outcome is unknown.

The first write of a lease also writes the *claim row* of the node, which renewals do not change. Each write
of a ring requires that the claim row is unchanged. A write that an earlier process of this node sent, and
that has not taken effect when this process claims the lease, therefore never does.
"""

from __future__ import annotations

import uuid
from collections.abc import Callable
from typing import Any

import msgspec
from returns.result import Result, Success

from hibiscusdrum.errors import HibiscusdrumError, InvalidArgument
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.daemon.operations import new_operation_id
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.platform.table import Row, Transaction, number_of
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router.key_load import OwnerLoad
from hibiscusdrum.internal.router.range_lease import LeaseRow, RangeLease, decode_lease
from hibiscusdrum.internal.router.settings import RouterSettings
from hibiscusdrum.internal.router.store_era import StoreEra
from hibiscusdrum.internal.router.unreadable import unreadable_entries

LEASE_PREFIX = "lease/"
CLAIM_PREFIX = "claim/"


def lease_key(service: str, node: str) -> str:
    """Return the store key of a node's lease row; with an empty node, the prefix of a service's leases."""
    return f"{LEASE_PREFIX}{service}/{node}"


def claim_key(service: str, node: str) -> str:
    """Return the store key of a node's claim row."""
    return f"{CLAIM_PREFIX}{service}/{node}"


def new_incarnation() -> str:
    """Return a random id of a claim."""
    return uuid.uuid4().hex[:12]


def readable_lease(node: str, row: Row, store_time: float) -> LeaseRow | None:
    """Return the lease in the row of a node, or None if the row is unreadable, which is logged.

    Parameters
    ----------
    node : str
    row : Row
    store_time : float
        Newest known time in seconds on the store's clock.
    """
    if row.unreadable:
        return None
    try:
        return decode_lease(node, row.value, store_time)
    except InvalidArgument as error:
        unreadable_entries.record(row.key, error)
        return None


class LeaseKeeper(Service):
    """Renews the lease under which this node owns keys.

    When the store is restored, the lease of the former era remains in use until it expires, or until a row
    has been written in the new era and the ring has been read after that.

    Attributes
    ----------
    request_in_flight : bool
        Whether a read or write of the lease row is in progress.
    row_read : bool
        Whether the row of an earlier incarnation has been looked up.
    claim_version : int
        Version of the claim row that the first write of the lease has written; 0 as long as there is none.
    ring_synced : bool
        Whether the ring has been read since the lease was first written in this era of the store. Until then
        the lease is not used, since the ring may have changed while there was no lease.
    attempted_at : float
        Monotonic time in seconds at which the lease was last sent to the store.
    former_expires_at : float
        Monotonic time in seconds at which the lease of the former era expires.
    on_first_write : callable
        Called while ``ring_synced`` is False and the lease is written; must read the ring and then set it.
    current_load : callable
        Returns the load that is published with the lease.
    """

    service_name = "lease_keeper"

    def __init__(self, settings: RouterSettings) -> None:
        super().__init__()
        self.row_key = lease_key(settings.service, settings.node)
        self.claim_key = claim_key(settings.service, settings.node)
        self.lease = RangeLease(settings.node, new_incarnation())
        self.claim_version = 0
        self.request_in_flight = False
        self.row_read = False
        self.attempted_at = 0.0
        self.ring_synced = False
        self.former_expires_at = 0.0
        self.on_first_write: Callable[[], None] = lambda: None
        self.current_load: Callable[[], OwnerLoad] = OwnerLoad

    def on_start(self) -> None:
        """Subscribe to the store's clock and era."""
        self.table = self.app.find("table")
        self.table.on_store_time.append(self.lease.store_clock.observe)
        self.table.on_era_change.append(self.on_era_change)
        self.store_era: StoreEra = self.app.find("store_era")

    @property
    def now(self) -> float:
        """Monotonic time in seconds."""
        return self.app.clock.monotonic()

    @property
    def remaining_seconds(self) -> float:
        """Remaining seconds of the lease; 0 when it may not be used."""
        if self.ring_synced:
            return self.lease.remaining_seconds(self.now)
        return max(0.0, self.former_expires_at - self.now)

    def on_era_change(self, _former: int, _era: int) -> None:
        """Keep the lease until it expires, and write it again: the copy has an older row or none.

        The clock of the restored store may differ.
        """
        self.former_expires_at = self.now + self.remaining_seconds
        self.discard_lease()
        self.lease.store_clock.reset()
        self.row_read = False

    def discard_lease(self) -> None:
        """Forget a lease that is no longer in the store; the next write claims it anew.

        A late renewal of the former claim must not be taken for one of the new claim, which has another row.
        """
        self.lease.record_lost()
        self.lease.incarnation = new_incarnation()
        self.claim_version = 0
        self.ring_synced = False

    def claim_check(self) -> dict[str, int]:
        """Return the check that makes a write fail once the next process of this node claims the lease."""
        return {self.claim_key: self.claim_version}

    def rewrite_claim(self) -> None:
        """Write the claim row with the next renewal, because a write that requires it has failed."""
        self.claim_version = 0

    def renew_if_due(self) -> None:
        """Write the lease if it is due, once the stored row has been read and the era is recorded."""
        if self.request_in_flight:
            return
        if self.lease.row_version == 0 and not self.row_read:
            self.read_lease()
        elif not self.store_era.recorded:
            # Until then, a late write of the former era may replace the row.
            return
        elif not (self.lease.expires_at and self.claim_version) or self.lease.is_renewal_due(self.now):
            self.write_lease()
        elif not self.ring_synced:
            self.on_first_write()

    def read_lease(self) -> None:
        """Read the row of an earlier incarnation, whose process has ended: this one holds its port."""
        self.request_in_flight = True
        era = self.table.era

        def on_rows(result: Result[dict[str, Row], HibiscusdrumError]) -> None:
            self.request_in_flight = False
            if isinstance(result, Success) and era == self.table.era:
                row = result.unwrap().get(self.row_key)
                self.lease.row_version = row.version if row is not None else 0
                self.row_read = True
                self.renew_if_due()

        self.table.read((self.row_key,), on_rows)

    def write_lease(self) -> None:
        """Write the lease row, provided that its stored version is still the known one."""
        sent_at, era = self.now, self.table.era
        row = self.lease.next_row(sent_at, self.current_load())
        version = self.lease.row_version
        self.request_in_flight = True
        self.attempted_at = sent_at
        puts: dict[str, Any] = {self.row_key: msgspec.to_builtins(row)}
        if not self.claim_version:
            puts[self.claim_key] = row.incarnation
        checks = {self.row_key: version, **self.store_era.fence()}
        transaction = Transaction(new_operation_id(), checks, puts)

        def on_committed(result: Result[int, HibiscusdrumError]) -> None:
            self.request_in_flight = False
            if era != self.table.era:
                return
            if isinstance(result, Success):
                self.record_written(row, result.unwrap(), sent_at)
                if not self.ring_synced:
                    self.on_first_write()
                return
            code = result.failure().code
            log_events.emit(
                events.LeaseNotRenewed(
                    reason=code,
                    version=number_of(version),
                    left_s=round(self.remaining_seconds, 3),
                )
            )
            self.resolve_write()

        self.table.commit(transaction, on_committed)

    def record_written(self, row: LeaseRow, version: int, sent_at: float) -> None:
        """Record that a row of this claim is in the store; its first write has also written the claim row."""
        self.lease.record_written(row, version, sent_at)
        self.claim_version = self.claim_version or version

    def resolve_write(self) -> None:
        """Read the stored row after a conflict or a lost answer.

        An unanswered write may still take effect later. The term of its row starts before the write was sent,
        so the row can be adopted safely whenever it appears.
        """
        self.request_in_flight = True
        era = self.table.era

        def on_rows(result: Result[dict[str, Row], HibiscusdrumError]) -> None:
            self.request_in_flight = False
            if not isinstance(result, Success) or era != self.table.era:
                return
            row = result.unwrap().get(self.row_key)
            value = readable_lease(self.lease.node, row, self.table.store_time) if row is not None else None
            if value is not None and value.incarnation == self.lease.incarnation:
                self.record_written(value, row.version, self.attempted_at)
            else:
                self.discard_lease()
                self.lease.row_version = row.version if row is not None else 0
                log_events.emit(events.LeaseTaken(version=number_of(self.lease.row_version)))

        self.table.read((self.row_key,), on_rows)
