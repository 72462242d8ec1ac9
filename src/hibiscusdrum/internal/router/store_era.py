"""Eras of the store: when rings may change again after the store was restored from a copy.

A restored store lacks the newest lease rows, so for a whole lease term nobody can tell which leases run. Each
era therefore begins with a settling period, in which rings do not change: see ``range_owner``. Its begin is
recorded in a row, so that all nodes end it at the same time and a restarted process need not wait again.

The row of an era also fences writes: each write of a ring or lease requires that the row of the next era does
not exist. A write that was held up in an earlier era thus fails once the row exists, even if the store has
given out the version that it names again.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from returns.result import Result, Success

from hibiscusdrum.errors import HibiscusdrumError, InvalidArgument
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.daemon.operations import new_operation_id
from hibiscusdrum.internal.decoding import Number, refusing_malformed
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.platform.table import Row, Transaction, era_of
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router.members import Members
from hibiscusdrum.internal.router.range_lease import LEASE_TERM_SECONDS
from hibiscusdrum.internal.router.ring import FIRST_ERA
from hibiscusdrum.internal.router.unreadable import unreadable_entries

ERA_PREFIX = "era/"
# Leases of the former era end within their term from the restore; the rest covers clock rates and rounding.
SETTLING_SECONDS = LEASE_TERM_SECONDS + 1.0
CHECK_INTERVAL_SECONDS = 0.2
# Nodes try to write the row of an era one after the other, so that few of the writes conflict.
WRITE_DELAY_PER_RANK_SECONDS = 0.05
# A restored store may also lack the rows of this many eras before, which are written again with the newest.
REWRITTEN_ERAS = 2


class EraRow(msgspec.Struct, frozen=True):
    """Stored row of an era.

    Attributes
    ----------
    since : float
        Time in seconds on the store's clock, in this era and not after the row was written.
    """

    since: Number


def era_key(era: int) -> str:
    """Return the store key of the row of an era."""
    return f"{ERA_PREFIX}{era}"


class StoreEra(Service):
    """Records the begin of each era in the store, and tells when its settling period has ended.

    Attributes
    ----------
    writes_rows : bool
        Whether this node records eras; those without a ring only follow the rows.
    write_rank : callable
        Returns the position of this node among those that record eras.
    settled_at : dict of int to float
        Monotonic time in seconds at which the settling period of each recorded era ends.
    unreadable_versions : dict of str to int
        Versions of the rows that cannot be decoded, by key; they are replaced.
    recorded_at : float
        Monotonic time in seconds at which this node learned that the newest era is recorded.
    seen_at : float
        Monotonic time in seconds at which the newest era was first seen.
    on_settled : list of callable
        Called when the settling period has ended.
    """

    service_name = "store_era"

    def __init__(self) -> None:
        super().__init__()
        self.writes_rows = False
        self.write_rank: Callable[[], int] = lambda: 0
        self.settled_at: dict[int, float] = {}
        self.unreadable_versions: dict[str, int] = {}
        self.recorded_at = 0.0
        self.seen_at = 0.0
        self.write_in_progress = False
        self.was_settling = False
        self.on_settled: list[Callable[[], None]] = []

    def on_start(self) -> None:
        """Subscribe to the rows of eras, and check the settling period at intervals."""
        self.table = self.app.find("table")
        self.table.on_era_change.append(self.on_era_change)
        self.members: Members = self.app.find("members")
        self.members.row_listeners[ERA_PREFIX.rstrip("/")] = self.apply_row
        self.seen_at = self.now
        self.app.scheduler.every(CHECK_INTERVAL_SECONDS, self.check)

    @property
    def now(self) -> float:
        """Monotonic time in seconds."""
        return self.app.clock.monotonic()

    @property
    def current(self) -> int:
        """Newest era of the store that an answer named; 0 while none did."""
        return self.table.era

    @property
    def restored(self) -> bool:
        """Whether the store was ever restored from a copy."""
        return self.current > FIRST_ERA

    @property
    def recorded(self) -> bool:
        """Whether no write of an earlier era can take effect any more."""
        return not self.restored or self.current in self.settled_at

    @property
    def settling(self) -> bool:
        """Whether leases of an earlier era may still run, so that rings must not change."""
        return self.restored and self.now < self.settled_at.get(self.current, float("inf"))

    def on_era_change(self, _former: int, _era: int) -> None:
        """Begin a settling period."""
        self.seen_at = self.now
        self.begin_settling()

    def begin_settling(self) -> None:
        """Log the begin of a settling period."""
        self.was_settling = True
        log_events.emit(events.EraSettling(era=self.current, recorded=self.recorded))

    def fence(self) -> dict[str, int]:
        """Return the check that makes a write fail once the next era has been recorded."""
        return {era_key(self.current + 1): 0}

    def apply_row(self, row: Row) -> None:
        """Apply the row of an era."""
        try:
            with refusing_malformed("era row", row.value):
                era = int(row.key.removeprefix(ERA_PREFIX))
                if row.key != era_key(era):
                    raise ValueError(f"the key {era_key(era)}")
                value = msgspec.convert(row.value, EraRow) if row.value is not None else None
        except InvalidArgument as error:
            unreadable_entries.record(row.key, error)
            self.unreadable_versions[row.key] = row.version
            return
        if row.unreadable:
            self.unreadable_versions[row.key] = row.version
            return
        self.unreadable_versions.pop(row.key, None)
        if value is None:
            self.settled_at.pop(era, None)
            return
        if era in self.settled_at:
            # The row replaces an unreadable one, and is newer than the one that was known before.
            return
        if era == self.current:
            self.recorded_at = self.now
        # The newest time that was seen on the store's clock is not after the true one.
        left = value.since + SETTLING_SECONDS - self.table.store_time
        self.settled_at[era] = self.now + min(max(0.0, left), SETTLING_SECONDS)

    def check(self) -> None:
        """Record the era if it is due, and notify the listeners when its settling period has ended."""
        if self.settling:
            if not self.was_settling and self.members.loaded:
                self.begin_settling()
            if not self.recorded:
                self.record_if_due()
        elif self.was_settling and self.members.loaded:
            self.was_settling = False
            log_events.emit(events.EraSettled(era=self.current, seconds=round(self.now - self.seen_at, 3)))
            for listener in self.on_settled:
                listener()

    def record_if_due(self) -> None:
        """Write the row of the newest era, and missing or unreadable ones of the eras before."""
        if not self.writes_rows or self.write_in_progress or not self.members.loaded:
            return
        # The rows of this era have not been read yet, or tell no time.
        if era_of(self.members.last_seq) != self.current or not self.table.store_time:
            return
        if self.now - self.seen_at < WRITE_DELAY_PER_RANK_SECONDS * self.write_rank():
            return
        era = self.current
        row = EraRow(self.table.store_time)
        first = max(FIRST_ERA + 1, era - REWRITTEN_ERAS)
        keys = [era_key(entry) for entry in range(first, era + 1) if entry not in self.settled_at]
        puts = {key: msgspec.to_builtins(row) for key in keys}
        checks = {key: self.unreadable_versions.get(key, 0) for key in keys}
        transaction = Transaction(new_operation_id(), {**checks, **self.fence()}, puts)
        self.write_in_progress = True

        def on_committed(result: Result[int, HibiscusdrumError]) -> None:
            outcome = "written" if isinstance(result, Success) else result.failure().code
            log_events.emit(events.EraRecorded(era=era, since_s=row.since, outcome=outcome))
            if isinstance(result, Success):
                self.write_in_progress = False
                for key in keys:
                    self.members.apply_row(Row(key, result.unwrap(), puts[key]))
                return
            self.table.read(tuple(keys), on_rows)

        def on_rows(result: Result[dict[str, Row], HibiscusdrumError]) -> None:
            self.write_in_progress = False
            for found in result.unwrap().values() if isinstance(result, Success) else ():
                self.members.apply_row(found)

        self.table.commit(transaction, on_committed)
