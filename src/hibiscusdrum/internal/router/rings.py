"""Known rings of all partitioned services, and conditional writes of the ring of this node's service.

A store that was restored from a copy may have an older ring than the nodes know. Contents of a ring are
ordered by *stamp*: era and number of the write that made them. While the era settles, a node keeps a known
ring with a greater stamp than the stored one, and a node of the service writes it again, with its stamp.
After that, the stored ring counts, whatever a node remembers.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from returns.result import Result, Success

from hibiscusdrum.errors import HibiscusdrumError, InvalidArgument, StoreConflict
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.daemon.operations import new_operation_id
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.platform.table import Row, Transaction, era_of, make_version, number_of
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router.lease_keeper import LeaseKeeper
from hibiscusdrum.internal.router.ring import Ring
from hibiscusdrum.internal.router.ring_row import decode_ring, encode_ring
from hibiscusdrum.internal.router.settings import RouterSettings
from hibiscusdrum.internal.router.store_era import StoreEra
from hibiscusdrum.internal.router.unreadable import unreadable_entries

# Limits how often a stale ring is read again: a row of 10 KB occupies a link of 5 Mbit/s for 16 ms.
MIN_REFRESH_INTERVAL_SECONDS = 0.5
# Nodes restore an older ring one after the other, so that few of the writes conflict.
RESTORE_DELAY_PER_RANK_SECONDS = 0.05
RING_PREFIX = "ring/"
# The row of this key is written with each ring, and is watched in place of it.
NOTICE_PREFIX = "ring-version/"
NOTICE_VALUE = 1
# Reason in a store failure after which the write may still take effect.
REASON_OUTCOME_UNKNOWN = "unknown"


def ring_stamp(version: int, ring: Ring) -> int:
    """Return the stamp of a row's content: the version that the row had when it was first written."""
    return ring.basis or make_version(ring.era, number_of(version))


class Rings(Service):
    """Keeps the newest known ring of each partitioned service, and writes that of this node's service.

    Attributes
    ----------
    by_service : dict of str to Ring
        Newest known ring of each service.
    missing_rows : set of str
        Keys of the rows that the store lacked when they were last read.
    unreadable_rows : set of str
        Keys of the rows that cannot be decoded; the ring known before remains in use.
    rows : dict of str to Row
        Newest readable row of each ring as stored, by key.
    row_versions : dict of str to int
        Version of the newest known row of each ring, by key.
    stamps : dict of str to int
        Stamp of each ring in ``by_service``, by key.
    outdated_rows : dict of str to Row
        Newest rows that are not applied since their contents are older than the known ring, by key.
    write_in_progress : bool
        Whether a write, or the read after a failed one, is in progress.
    refresh_waiters : dict of str to list of callable
        Callbacks of the refresh in progress, by service.
    changing_stripes : set of int
        Stripes whose owner the write in progress changes.
    uncertain_stripes : set of int
        Stripes of a write whose outcome is unknown; it may take effect until the ring is written again.
    on_written : list of callable
        Called when a write of this node has succeeded.
    on_row : list of callable
        Called with the service after a newer row of its ring has been read.
    on_reread : callable
        Called when the ring is known again after a failed write.
    local_ring_changed_at : float
        Monotonic time in seconds at which a new version of the ring of this node's service was last seen.
    """

    service_name = "rings"

    def __init__(self, settings: RouterSettings) -> None:
        super().__init__()
        self.service = settings.service
        self.local_row_key = RING_PREFIX + settings.service
        self.by_service: dict[str, Ring] = {}
        self.rows: dict[str, Row] = {}
        self.row_versions: dict[str, int] = {}
        self.unreadable_rows: set[str] = set()
        self.missing_rows: set[str] = set()
        self.stamps: dict[str, int] = {}
        self.outdated_rows: dict[str, Row] = {}
        self.write_in_progress = False
        self.refresh_waiters: dict[str, list[Callable[[], None]]] = {}
        self.refreshed_at: dict[str, float] = {}
        self.local_ring_changed_at = float("-inf")
        self.changing_stripes: set[int] = set()
        self.uncertain_stripes: set[int] = set()
        self.on_written: list[Callable[[], None]] = []
        self.on_row: list[Callable[[str], None]] = []
        self.on_reread: Callable[[], None] = lambda: None

    def on_start(self) -> None:
        """Subscribe to rows in conflicts and to eras of the store."""
        self.table = self.app.find("table")
        self.table.on_era_change.append(self.on_era_change)
        self.store_era: StoreEra = self.app.find("store_era")
        self.store_era.on_settled.append(self.apply_outdated_rows)
        self.keeper: LeaseKeeper = self.app.find("lease_keeper")
        self.table.on_current_row = self.apply_current_row

    @property
    def local_ring(self) -> Ring | None:
        """The ring of this node's service."""
        return self.by_service.get(self.service)

    @property
    def local_version(self) -> int:
        """Version of the row of this node's ring; 0 when there is none."""
        outdated = self.outdated_rows.get(self.local_row_key)
        missing = outdated.value is None if outdated is not None else self.local_ring is None
        return 0 if missing else self.row_versions.get(self.local_row_key, 0)

    @property
    def local_outdated(self) -> bool:
        """Whether the stored row of this node's ring is older than the known ring."""
        return self.local_row_key in self.outdated_rows

    @property
    def local_current(self) -> bool:
        """Whether the known ring of this node's service, or that there is none, is from this era's store."""
        if self.local_ring is None:
            return True
        read_in = era_of(self.row_versions.get(self.local_row_key, 0))
        return read_in == self.table.era and not self.local_outdated

    def on_era_change(self, _former: int, _era: int) -> None:
        """Forget uncertain stripes: no target holds them, and only writes of the new era grant them again."""
        self.uncertain_stripes.clear()

    def owner_node(self, service: str, key: int) -> str | None:
        """Return the node that owns a key, or None if none is known."""
        ring = self.by_service.get(service)
        owner = ring.owner_of(key) if ring is not None else None
        return owner.node if owner is not None else None

    def apply_row(self, row: Row) -> None:
        """Apply a ring row if it is newer than the known one and, while the era settles, its content too."""
        if row.version <= self.row_versions.get(row.key, 0):
            return
        self.row_versions[row.key] = row.version
        self.rows.pop(row.key, None)
        self.unreadable_rows.discard(row.key)
        try:
            self.decode_row(row)
        finally:
            for listener in self.on_row:
                listener(row.key[len(RING_PREFIX) :])

    def decode_row(self, row: Row) -> None:
        """Decode a newer row, and apply it unless its content is older while the era settles."""
        if row.unreadable:
            self.unreadable_rows.add(row.key)
            return
        ring: Ring | None = None
        if row.value is not None:
            try:
                ring = decode_ring(row.value)
            except InvalidArgument as error:
                self.unreadable_rows.add(row.key)
                unreadable_entries.record(row.key, error)
                return
            self.rows[row.key] = row
        stamp = ring_stamp(row.version, ring) if ring is not None else 0
        known_stamp = self.stamps.get(row.key, 0)
        if stamp < known_stamp and self.store_era.settling:
            self.outdated_rows[row.key] = row
            log_events.emit(
                events.RingOutdated(
                    row=row.key,
                    version=number_of(row.version),
                    stamp=(era_of(stamp), number_of(stamp)),
                    known_stamp=(era_of(known_stamp), number_of(known_stamp)),
                )
            )
            return
        self.outdated_rows.pop(row.key, None)
        self.set_ring(row.key, ring, stamp)

    def apply_current_row(self, row: Row) -> None:
        """Apply a row that the answer to a conflicting write contained, if it is a ring."""
        if row.key.startswith(RING_PREFIX):
            self.apply_row(row)

    def set_ring(self, key: str, ring: Ring | None, stamp: int) -> None:
        """Set the known ring of a service, or that it has none."""
        service = key[len(RING_PREFIX) :]
        if service == self.service:
            self.uncertain_stripes.clear()
            self.local_ring_changed_at = self.app.clock.monotonic()
        if ring is None:
            self.by_service.pop(service, None)
            self.stamps.pop(key, None)
        else:
            self.by_service[service] = ring
            self.stamps[key] = stamp

    def apply_outdated_rows(self) -> None:
        """Apply the stored rings, now that the era has settled."""
        for key, row in self.outdated_rows.items():
            ring = decode_ring(row.value) if row.value is not None else None
            self.set_ring(key, ring, ring_stamp(row.version, ring) if ring is not None else 0)
        self.outdated_rows.clear()

    def restore_if_due(self, rank: int) -> None:
        """Write the known ring of this node's service in place of an older one of a restored store.

        Parameters
        ----------
        rank : int
            Position of this node among those that may do so.
        """
        if not self.local_outdated or not self.store_era.recorded:
            return
        delay = RESTORE_DELAY_PER_RANK_SECONDS * rank
        if self.app.clock.monotonic() - self.store_era.recorded_at < delay:
            return
        ring = msgspec.structs.replace(self.local_ring, basis=self.stamps[self.local_row_key])
        self.commit_ring(ring, {}, (), "restored", len(ring.stripes))

    def read_ring(self, done: Callable[[bool], None], service: str = "") -> None:
        """Read the ring of a service, by default this node's.

        Parameters
        ----------
        done : callable
            Called with whether the store answered.
        service : str, optional
        """
        key = RING_PREFIX + service if service else self.local_row_key

        def on_rows(result: Result[dict[str, Row], HibiscusdrumError]) -> None:
            row = result.unwrap().get(key) if isinstance(result, Success) else None
            if row is not None:
                self.missing_rows.discard(key)
            elif isinstance(result, Success):
                self.missing_rows.add(key)
            try:
                if row is not None:
                    self.apply_row(row)
            finally:
                done(isinstance(result, Success))

        self.table.read((key,), on_rows)

    def refresh_ring(self, service: str, done: Callable[[], None]) -> None:
        """Read a ring that is known to be stale; concurrent callers share one read."""
        waiting = self.refresh_waiters.get(service)
        if waiting is not None:
            waiting.append(done)
            return
        self.refresh_waiters[service] = [done]

        def on_read(_succeeded: bool) -> None:
            self.refreshed_at[service] = self.app.clock.monotonic()
            for listener in self.refresh_waiters.pop(service):
                listener()

        since = self.app.clock.monotonic() - self.refreshed_at.get(service, float("-inf"))
        wait = max(0.0, MIN_REFRESH_INTERVAL_SECONDS - since)
        self.app.scheduler.call_later(wait, lambda: self.read_ring(on_read, service))

    def commit_ring(
        self, ring: Ring, checks: dict[str, int], deletes: tuple[str, ...], reason: str, stripe_count: int
    ) -> None:
        """Write this node's ring, provided that the stored version is still the one it was derived from.

        The lease must have been claimed: the write fails once the next process of this node claims it.

        Parameters
        ----------
        ring : Ring
        checks : dict of str to int
            Versions that other rows must have, by row key.
        deletes : tuple of str
            Keys of rows that the same write deletes.
        reason : str
            Reason for the change, for the log.
        stripe_count : int
            Number of changed stripes, for the log.
        """
        version = self.local_version
        changed = self.changed_stripes(ring)
        value = encode_ring(ring)
        transaction = Transaction(
            new_operation_id(),
            {
                **checks,
                self.local_row_key: version,
                **self.keeper.claim_check(),
                **self.store_era.fence(),
            },
            {self.local_row_key: value, NOTICE_PREFIX + self.service: NOTICE_VALUE},
            deletes,
        )
        self.write_in_progress = True
        self.changing_stripes = changed

        def on_committed(result: Result[int, HibiscusdrumError]) -> None:
            self.write_in_progress = False
            self.changing_stripes = set()
            outcome = "written" if isinstance(result, Success) else result.failure().code
            log_events.emit(
                events.RingChanged(
                    reason=reason,
                    stripes=stripe_count,
                    base_version=number_of(version),
                    fence=ring.next_fencing_token - 1,
                    outcome=outcome,
                )
            )
            if isinstance(result, Success):
                self.apply_row(Row(self.local_row_key, result.unwrap(), value))
                for listener in self.on_written:
                    listener()
                return
            failure = result.failure()
            if getattr(failure, "reason", "") == REASON_OUTCOME_UNKNOWN:
                self.uncertain_stripes |= changed
            self.write_in_progress = True
            if isinstance(failure, StoreConflict) and self.local_version > version:
                # The answer contained the newer ring.
                self.on_reread_done(True)
                return
            if isinstance(failure, StoreConflict):
                # Another row has changed, perhaps the claim row.
                self.keeper.rewrite_claim()
            self.read_ring(self.on_reread_done)

        self.table.commit(transaction, on_committed)

    def on_reread_done(self, _succeeded: bool) -> None:
        """Allow the next write after a conflict or an unknown outcome."""
        self.write_in_progress = False
        self.on_reread()

    def changed_stripes(self, ring: Ring) -> set[int]:
        """Return the stripes whose owner a new ring changes, and those of earlier uncertain writes."""
        if self.local_ring is None:
            return set()
        pairs = enumerate(zip(self.local_ring.stripes, ring.stripes, strict=True))
        return {
            index for index, (old, new) in pairs if old.fencing_token != new.fencing_token
        } | self.uncertain_stripes
