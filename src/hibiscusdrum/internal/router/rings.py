"""The rings of all partitioned services as stored, and conditional writes of this node's own."""

from __future__ import annotations

from collections.abc import Callable

from returns.result import Result, Success

from hibiscusdrum.errors import HibiscusdrumError, InvalidArgument
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.daemon.operations import new_operation_id
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.platform.table import Row, Transaction
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router.ring import Ring
from hibiscusdrum.internal.router.ring_row import decode_ring, encode_ring
from hibiscusdrum.internal.router.settings import RouterSettings

# Shortest time between two reads of a ring that was found out of date: a row of 10 KB takes a link of
# 5 Mbit/s for 16 ms.
MIN_REFRESH_INTERVAL_SECONDS = 0.5
RING_PREFIX = "ring/"
# Reason of a store failure after which the write may still take effect.
REASON_OUTCOME_UNKNOWN = "unknown"


class Rings(Service):
    """Follows the rows of rings.

    Attributes
    ----------
    by_service : dict of str to Ring
        Newest known ring of each service.
    busy : bool
        Whether a write, or a read after one, is under way.
    uncertain : set of int
        Stripes of a change whose outcome is unknown: it may take effect until the ring is written again.
    on_written : list of callable
        Called when a change of this node is in the store.
    on_reread : callable
        Called when the ring has been read after a write that failed.
    changed_at : float
        Monotonic time in seconds at which a new version of the own ring was last seen.
    """

    service_name = "rings"

    def __init__(self, settings: RouterSettings) -> None:
        super().__init__()
        self.service = settings.service
        self.local_row_key = RING_PREFIX + settings.service
        self.by_service: dict[str, Ring] = {}
        self.row_versions: dict[str, int] = {}
        self.write_in_progress = False
        self.refresh_waiters: dict[str, list[Callable[[], None]]] = {}
        self.refreshed_at: dict[str, float] = {}
        self.local_ring_changed_at = float("-inf")
        self.uncertain_stripes: set[int] = set()
        self.on_written: list[Callable[[], None]] = []
        self.on_reread: Callable[[], None] = lambda: None

    def on_start(self) -> None:
        """Follow the rows."""
        self.table = self.app.find("table")
        self.app.find("members").row_listeners["ring"] = self.apply_row

    @property
    def local_ring(self) -> Ring | None:
        """The ring of this node's service."""
        return self.by_service.get(self.service)

    @property
    def local_version(self) -> int:
        """Version of the own ring's row; 0 when there is none."""
        return self.row_versions.get(self.local_row_key, 0) if self.local_ring is not None else 0

    def owner_node(self, service: str, key: int) -> str | None:
        """Return the node that owns a key, or None."""
        ring = self.by_service.get(service)
        owner = ring.owner_of(key) if ring is not None else None
        return owner.node if owner is not None else None

    def apply_row(self, row: Row) -> None:
        """Take over a changed ring."""
        if row.version <= self.row_versions.get(row.key, 0):
            return
        self.row_versions[row.key] = row.version
        service = row.key[len(RING_PREFIX) :]
        if service == self.service:
            self.uncertain_stripes.clear()
            self.local_ring_changed_at = self.app.clock.monotonic()
        if row.value is None:
            self.by_service.pop(service, None)
            return
        try:
            self.by_service[service] = decode_ring(row.value)
        except InvalidArgument as error:
            log_events.emit(events.RowUnreadable(what=row.key, reason=str(error)[:120]))

    def read_ring(self, done: Callable[[bool], None], service: str = "") -> None:
        """Read a ring, the own one by default; ``done`` is told whether the store answered."""
        key = RING_PREFIX + service if service else self.local_row_key

        def on_rows(result: Result[dict[str, Row], HibiscusdrumError]) -> None:
            row = result.unwrap().get(key) if isinstance(result, Success) else None
            if row is not None:
                self.apply_row(row)
            done(isinstance(result, Success))

        self.table.read((key,), on_rows)

    def refresh_ring(self, service: str, done: Callable[[], None]) -> None:
        """Read a ring that an answer has shown to be out of date; askers at the same time share one read."""
        waiting = self.refresh_waiters.get(service)
        if waiting is not None:
            waiting.append(done)
            return
        self.refresh_waiters[service] = [done]

        def on_read(_read: bool) -> None:
            self.refreshed_at[service] = self.app.clock.monotonic()
            for listener in self.refresh_waiters.pop(service):
                listener()

        since = self.app.clock.monotonic() - self.refreshed_at.get(service, float("-inf"))
        wait = max(0.0, MIN_REFRESH_INTERVAL_SECONDS - since)
        self.app.scheduler.call_later(wait, lambda: self.read_ring(on_read, service))

    def commit_ring(
        self, ring: Ring, checks: dict[str, int], deletes: tuple[str, ...], reason: str, count: int
    ) -> None:
        """Write the own ring under the version that it was made from.

        Parameters
        ----------
        checks : dict of str to int
            Versions that further rows must have.
        deletes : tuple of str
            Rows that are removed by the same write.
        reason, count
            Why, and the number of stripes, for the log.
        """
        version = self.local_version
        changed = self.changed_stripes(ring)
        value = encode_ring(ring)
        transaction = Transaction(
            new_operation_id(), {**checks, self.local_row_key: version}, {self.local_row_key: value}, deletes
        )
        self.write_in_progress = True

        def done(result: Result[int, HibiscusdrumError]) -> None:
            self.write_in_progress = False
            outcome = "written" if isinstance(result, Success) else result.failure().code
            log_events.emit(
                events.RingChanged(
                    reason=reason,
                    stripes=count,
                    base_version=version,
                    fence=ring.next_fencing_token - 1,
                    outcome=outcome,
                )
            )
            if isinstance(result, Success):
                self.apply_row(Row(self.local_row_key, result.unwrap(), value))
                for listener in self.on_written:
                    listener()
                return
            if getattr(result.failure(), "reason", "") == REASON_OUTCOME_UNKNOWN:
                self.uncertain_stripes |= changed
            self.write_in_progress = True
            self.read_ring(self.on_reread_done)

        self.table.commit(transaction, done)

    def on_reread_done(self, _read: bool) -> None:
        """Allow the next write after a conflict or an unknown outcome."""
        self.write_in_progress = False
        self.on_reread()

    def changed_stripes(self, ring: Ring) -> set[int]:
        """Return the stripes that a change would take from or give to someone."""
        if self.local_ring is None:
            return set()
        pairs = enumerate(zip(self.local_ring.stripes, ring.stripes, strict=True))
        return {
            index for index, (old, new) in pairs if old.fencing_token != new.fencing_token
        } | self.uncertain_stripes
