"""Rows that the operator writes to the store: the configuration and the failure domains to evacuate."""

from __future__ import annotations

import base64
import random
from collections import deque

from returns.result import Result, Success

from hibiscusdrum.errors import HibiscusdrumError, InvalidArgument
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.decoding import refusing_malformed
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.load.retry_budget import full_jitter
from hibiscusdrum.internal.messages import ConfigRow, ConfigSnapshot
from hibiscusdrum.internal.platform.table import era_of, number_of
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router.config_gossip import ConfigGossip
from hibiscusdrum.internal.router.poll_hold import CHECK_INTERVAL_SECONDS, SHORT_HOLD_SECONDS, PollHold
from hibiscusdrum.internal.router.unreadable import unreadable_entries
from hibiscusdrum.platform.configuration import DecodedConfig, decode_config
from hibiscusdrum.platform.store import OPERATOR_TABLE, RowChanges, StoreClient, WireRow

CONFIG_KEY = "config"
EVACUATE_PREFIX = "evacuate/"
BASE_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 0.5
# After a restore of the store, the operator writes again what the copy lacks. For this time, evacuations that
# differ from what was last read before are taken as lost by the store, not as changed by the operator.
RESTORED_EVACUATION_SECONDS = 5.0
# Numbers of an evacuation's row that are remembered, and failure domains of which any are.
MAX_REMEMBERED_NUMBERS = 8
MAX_REMEMBERED_DOMAINS = 100


class Evacuations:
    """Failure domains that the operator evacuates, as far as the store can be believed.

    Attributes
    ----------
    stored : dict of str to int
        Version of the row of each failure domain that has one.
    numbers : dict of str to deque of int
        Numbers that the row of a failure domain has had in the store.
    unconfirmed : dict of str to (bool, float)
        Failure domains in whose state a restored store differs from what was known, whether they stay
        evacuated, and until when, in monotonic seconds.
    """

    def __init__(self) -> None:
        self.stored: dict[str, int] = {}
        self.numbers: dict[str, deque[int]] = {}
        self.unconfirmed: dict[str, tuple[bool, float]] = {}

    @property
    def in_force(self) -> frozenset[str]:
        """The evacuated failure domains."""
        kept = {domain for domain, (evacuated, _until) in self.unconfirmed.items() if evacuated}
        return frozenset(kept | (self.stored.keys() - self.unconfirmed.keys()))

    def apply(self, failure_domain: str, version: int, deleted: bool) -> None:
        """Apply a row that was written or deleted."""
        self.unconfirmed.pop(failure_domain, None)
        if deleted:
            self.stored.pop(failure_domain, None)
        else:
            self.stored[failure_domain] = version
            self.remember(failure_domain, version)

    def apply_all(self, versions: dict[str, int]) -> None:
        """Apply a complete listing of the rows of the same era."""
        self.unconfirmed = {
            failure_domain: state
            for failure_domain, state in self.unconfirmed.items()
            if self.stored.get(failure_domain) == versions.get(failure_domain)
        }
        self.stored = versions
        for failure_domain, version in versions.items():
            self.remember(failure_domain, version)

    def apply_restored(self, versions: dict[str, int], until: float) -> None:
        """Apply a complete listing of the rows of a new era.

        An evacuation that it lacks stays in force until a time, and one that was withdrawn before stays
        withdrawn if its row is one that was known.
        """
        former = self.in_force
        self.unconfirmed = dict.fromkeys(former - versions.keys(), (True, until))
        for failure_domain in versions.keys() - former:
            if number_of(versions[failure_domain]) in self.numbers.get(failure_domain, ()):
                self.unconfirmed[failure_domain] = (False, until)
        self.stored = versions
        for failure_domain, version in versions.items():
            self.remember(failure_domain, version)

    def remember(self, failure_domain: str, version: int) -> None:
        """Remember the number of a row."""
        numbers = self.numbers.pop(failure_domain, None) or deque(maxlen=MAX_REMEMBERED_NUMBERS)
        if number_of(version) not in numbers:
            numbers.append(number_of(version))
        self.numbers[failure_domain] = numbers
        if len(self.numbers) > MAX_REMEMBERED_DOMAINS:
            del self.numbers[next(iter(self.numbers))]

    def expire(self, now: float) -> None:
        """Follow the store in what nobody has written again by now."""
        self.unconfirmed = {
            failure_domain: state for failure_domain, state in self.unconfirmed.items() if now < state[1]
        }


class OperatorRows(Service):
    """Watches the operator's rows in the store and applies their changes.

    Attributes
    ----------
    last_version : int or None
        Version of the store up to which the rows are known; None before the first read.
    adopted_version : int
        ``last_version`` as adopted from a peer; 0 once the store has answered with a newer one.
    store_read : bool
        Whether the store has answered a read; until then the whole table is read.
    failures : int
        Number of consecutive failed polls.
    evacuations : Evacuations
    hold : PollHold
        Decides how long the store may hold a poll.
    """

    service_name = "operator_rows"

    def __init__(self) -> None:
        super().__init__()
        self.last_version: int | None = None
        self.adopted_version = 0
        self.store_read = False
        self.failures = 0
        self.evacuations = Evacuations()
        self.rng = random.Random()
        self.hold = PollHold(self.rng)

    def on_start(self) -> None:
        """Read the rows and begin to poll for changes."""
        self.store: StoreClient = self.app.find("table")
        self.gateway = self.app.find("gateway")
        self.members = self.app.find("members")
        self.gossip: ConfigGossip = self.app.find("config_gossip")
        self.gossip.on_snapshot = self.adopt_snapshot
        self.gossip.on_newer = lambda: self.hold.record_newer(self.app.clock.monotonic())
        self.app.scheduler.every(CHECK_INTERVAL_SECONDS, self.check_hold)
        self.gateway.confirmed_age = lambda: self.gossip.confirmed_age
        self.members.confirmed_age = lambda: self.gossip.confirmed_age
        self.poll()

    def poll(self) -> None:
        """Poll for changes; the first poll reads the whole table."""
        since = self.last_version if self.store_read else None
        seconds = SHORT_HOLD_SECONDS
        if since is not None:
            seconds = self.hold.begin(self.app.clock.monotonic(), self.gossip.operator_conditions())
        if seconds == SHORT_HOLD_SECONDS:
            self.store.poll_changes(OPERATOR_TABLE, since, self.on_changes)
        else:
            self.store.poll_changes(OPERATOR_TABLE, since, self.on_changes, seconds)

    def check_hold(self) -> None:
        """End a poll that the store holds when something casts doubt on the known rows, and poll again."""
        if not self.hold.long:
            return
        now = self.app.clock.monotonic()
        reason = self.hold.reason_to_end(now, self.gossip.operator_conditions())
        if reason and self.store.withdraw_poll(OPERATOR_TABLE):
            self.hold.end_early(now, reason)
            log_events.emit(events.StorePollWithdrawn(table=OPERATOR_TABLE, reason=reason))
            self.poll()

    def on_changes(self, result: Result[RowChanges, HibiscusdrumError]) -> None:
        """Apply the changed rows and poll again, after a failure with a delay."""
        if not isinstance(result, Success):
            self.hold.record_answer()
            self.failures += 1
            delay = full_jitter(self.failures, self.rng, BASE_RETRY_SECONDS, MAX_RETRY_SECONDS)
            self.app.scheduler.call_later(delay, self.poll)
            return
        answer = result.unwrap()
        refreshes = self.hold.record_answer(bool(answer.rows))
        self.failures = 0
        self.store_read = True
        # After an exception, the rows are read again.
        delay = MAX_RETRY_SECONDS
        try:
            self.apply_rows(answer)
            if refreshes:
                self.gossip.tell_refreshed()
            delay = 0.0
        finally:
            if delay:
                self.app.scheduler.call_later(delay, self.poll)
            else:
                self.poll()

    def apply_rows(self, answer: RowChanges) -> None:
        """Apply what the store has answered, unless the rows of a peer are newer, and pass it on to peers."""
        former_version = self.last_version or 0
        if answer.complete and self.is_older_than_adopted(answer.version):
            # Newer changes follow with the next poll. Should the store have lost them, the next read counts.
            self.adopted_version = 0
            return
        rows = answer.rows
        if not answer.complete:
            rows = tuple(row for row in rows if row.ver > former_version)
        self.apply_changes(RowChanges(rows, answer.version, answer.complete))
        self.last_version = answer.version if answer.complete else max(former_version, answer.version)
        self.adopted_version = 0
        self.gossip.record(
            self.last_version,
            [ConfigRow(row.key, row.ver, row.value) for row in rows if not row.deleted],
            [row.key for row in rows if row.deleted],
            answer.complete,
            answer.stamp,
        )

    def is_older_than_adopted(self, version: int) -> bool:
        """Return whether an answer of the store is older than the rows that were adopted from a peer."""
        return version < self.adopted_version and era_of(version) == era_of(self.adopted_version)

    def adopt_snapshot(self, snapshot: ConfigSnapshot) -> None:
        """Apply the rows of a peer, which are all rows of the operator as of a newer version."""
        rows = tuple(WireRow(row.key, row.version, row.value) for row in snapshot.rows)
        self.apply_changes(RowChanges(rows, snapshot.position, True))
        self.last_version = self.adopted_version = snapshot.position

    def apply_changes(self, changes: RowChanges) -> None:
        """Apply evacuations, and then the configuration."""
        if changes.complete:
            former = self.last_version
            restored = former is not None and era_of(former) < era_of(changes.version)
            self.apply_all_evacuations(changes.rows, restored)
        else:
            for row in changes.rows:
                if row.key.startswith(EVACUATE_PREFIX):
                    self.evacuations.apply(row.key[len(EVACUATE_PREFIX) :], row.ver, row.deleted)
        self.members.set_evacuated_domains(self.evacuations.in_force)
        for row in changes.rows:
            if row.key == CONFIG_KEY and not row.deleted:
                self.apply_config(row)

    def apply_all_evacuations(self, rows: tuple[WireRow, ...], restored: bool) -> None:
        """Apply the evacuations of a complete read, the first one in a new era with care."""
        versions = {
            row.key[len(EVACUATE_PREFIX) :]: row.ver for row in rows if row.key.startswith(EVACUATE_PREFIX)
        }
        if not restored:
            self.evacuations.apply_all(versions)
            return
        until = self.app.clock.monotonic() + RESTORED_EVACUATION_SECONDS
        self.evacuations.apply_restored(versions, until)
        unconfirmed = self.evacuations.unconfirmed
        if unconfirmed:
            log_events.emit(
                events.EvacuationUnconfirmed(
                    kept=tuple(sorted(name for name, state in unconfirmed.items() if state[0])),
                    ignored=tuple(sorted(name for name, state in unconfirmed.items() if not state[0])),
                )
            )
            self.app.scheduler.call_later(RESTORED_EVACUATION_SECONDS, self.expire_unconfirmed)

    def expire_unconfirmed(self) -> None:
        """Follow the store in the evacuations that the operator has not written again."""
        self.evacuations.expire(self.app.clock.monotonic())
        self.members.set_evacuated_domains(self.evacuations.in_force)

    def apply_config(self, row: WireRow) -> None:
        """Apply the configuration; one that cannot be decoded is logged and ignored."""
        try:
            # The value is not quoted, since it may contain keys of accounts.
            with refusing_malformed("configuration", f"{len(row.value)} characters"):
                decoded = decode_config(base64.b64decode(row.value), self.gateway.route_table)
        except InvalidArgument as error:
            unreadable_entries.record("configuration", error)
            return
        if decoded.table.version > self.gateway.route_table.version:
            self.report_faults(decoded)
        self.gateway.set_route_table(decoded.table)

    def report_faults(self, decoded: DecodedConfig) -> None:
        """Count and log the fields of a configuration that could not be used."""
        unreadable_entries.count += len(decoded.faults)
        for fault in decoded.faults:
            log_events.emit(
                events.ConfigurationFieldUnusable(
                    version=decoded.table.version,
                    entry=fault.entry,
                    field=fault.field,
                    effect=fault.effect.value,
                    reason=fault.reason,
                )
            )
