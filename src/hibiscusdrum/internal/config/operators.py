"""Operator API: plans, their confirmation and history, stored in the table service.

A plan is confirmed by one transaction that is conditional on the versions of ``config/current`` and of the
plan. If two operators confirm plans based on the same revision, exactly one succeeds.
"""

from __future__ import annotations

import hmac
import uuid
from collections.abc import Callable, Iterable, Mapping
from contextlib import suppress
from typing import Any

import msgspec
from returns.result import Success

from hibiscusdrum.errors import (
    HibiscusdrumError,
    InvalidArgument,
    NotFound,
    OutcomeUnknown,
    RevisionConflict,
    StoreConflict,
    StoreUnavailable,
)
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.clock import Clock, SystemClock
from hibiscusdrum.internal.config.document import (
    Document,
    decode_config_row,
    encode_config_row,
    encode_document,
)
from hibiscusdrum.internal.config.intents import (
    ActivateHomeRegions,
    Intent,
    apply,
    decode_intent,
    decode_step,
    encode_step,
    intent_kind,
)
from hibiscusdrum.internal.config.planner import Estimate, Plan, make_plan
from hibiscusdrum.internal.config.revisions import ACCEPTED, COMMITTED, WHOLE_DOCUMENT_BASE, Acceptance
from hibiscusdrum.internal.decoding import convert
from hibiscusdrum.internal.ownership.rows import CONFIG_KEY, PLAN_PREFIX, OwnerRow
from hibiscusdrum.internal.platform.table import Changes, Row, Table, Transaction
from hibiscusdrum.internal.settings import NAME_PATTERN

PATH_PREFIX = "/v1/operator/"
KEY_HEADER = "x-hibiscusdrum-key"
# Reason given by the table client if a write may have taken effect.
UNKNOWN_OUTCOME_REASON = "unknown"
# Attempts before a transaction is abandoned. Each conflict means that another write succeeded.
MAX_COMMIT_ATTEMPTS = 4
# About one day of plans at 420 changes a day. Every daemon reads all stored plans when it joins.
MAX_STORED_PLANS = 400
# Maximum number of rows deleted by one pruning transaction, which bounds its size.
MAX_PRUNED_PLANS = 50

PLANNED = "planned"
SUSPENDED = "suspended"
CANCELLED = "cancelled"
VOID = "void"
# States that never change again. Only plans in these states and unconfirmed plans are pruned.
FINAL_STATES = (ACCEPTED, CANCELLED)

ResponseCallback = Callable[[int, dict[str, Any]], None]


class PlanRow(msgspec.Struct, frozen=True):
    """Value of the row ``plan/<id>``.

    Attributes
    ----------
    state : str
        ``planned``: not confirmed. ``suspended``: the first of two steps is committed. ``committed``: the
        last step is committed. ``accepted``: every node has acknowledged the last step. ``cancelled``:
        another plan ended the suspension, so that the second step cannot follow. API responses also use
        ``void``, for an unconfirmed plan whose base revision is no longer in force.
    steps_done : int
        Number of committed steps.
    revision : int
        Revision of the last committed step, 0 if there is none.
    created_at, confirmed_at : float
        Wall-clock time in seconds since the Unix epoch; 0 if it has not happened.
    """

    plan: Plan
    base_revision: int
    state: str = PLANNED
    operation_id: str = ""
    steps_done: int = 0
    revision: int = 0
    created_at: float = 0.0
    confirmed_at: float = 0.0

    @property
    def is_finished(self) -> bool:
        """Whether no further step will be committed."""
        return self.steps_done >= len(self.plan.steps) or self.state in FINAL_STATES


class PlanSnapshot(msgspec.Struct, frozen=True):
    """A plan and the configuration, read together, with the versions of their rows."""

    row: PlanRow
    plan_version: int
    document: Document
    config_version: int


def authorized(presented: str, shared_key: bytes) -> bool:
    """Compare the header ``x-hibiscusdrum-key`` with the shared key in constant time."""
    return hmac.compare_digest(presented.encode("utf-8", "replace"), shared_key)


def plan_key(plan_id: str) -> str:
    """Return the key of a plan's row in the table.

    Raises
    ------
    NotFound
        If the id is not a valid plan id.
    """
    if not NAME_PATTERN.fullmatch(plan_id):
        raise NotFound(kind="plan", name=plan_id)
    return PLAN_PREFIX + plan_id


def decode_plan_row(value: Any) -> PlanRow:
    """Decode the value of a plan's row.

    Raises
    ------
    InvalidArgument
        If the row is malformed.
    """
    return convert(value, PlanRow, "plan row")


class OperatorApi:
    """Handles operator requests.

    Parameters
    ----------
    table : Table
        Client of the table service.
    current_config : callable
        Returns the document in force and the version of ``config/current``.
    owners : callable
        Returns the current owner rows.
    on_committed : callable
        Called with a committed document, its base revision and the content of the ``ConfigChange`` message.
        The daemon must send this message to all nodes and track the revision in an ``Acceptance``. Called
        again with the whole document and base 0 if a confirmation is repeated at a daemon that does not
        track the plan.
    acceptance : callable
        Returns the ``Acceptance`` of a revision, or None if this daemon does not track it.
    lease_versions : callable, optional
        Returns the version of each node's lease row.
    estimate : callable, optional
        Returns the current ``Estimate``.
    clock : Clock, optional
        Source of the creation and confirmation times.
    new_id : callable, optional
        Returns a new unique id.
    """

    __slots__ = (
        "acceptance",
        "advancing",
        "clock",
        "current_config",
        "estimate",
        "lease_versions",
        "new_id",
        "on_committed",
        "owners",
        "pending_revisions",
        "table",
    )

    def __init__(
        self,
        table: Table,
        current_config: Callable[[], tuple[Document, int]],
        owners: Callable[[], Iterable[OwnerRow]],
        on_committed: Callable[[Document, int, Any], None],
        acceptance: Callable[[int], Acceptance | None],
        lease_versions: Callable[[], Mapping[str, int]] = dict,
        estimate: Callable[[], Estimate] = Estimate,
        clock: Clock | None = None,
        new_id: Callable[[], str] = lambda: uuid.uuid4().hex[:12],
    ) -> None:
        self.table = table
        self.current_config = current_config
        self.owners = owners
        self.on_committed = on_committed
        self.acceptance = acceptance
        self.lease_versions = lease_versions
        self.estimate = estimate
        self.clock = clock or SystemClock()
        self.new_id = new_id
        # By plan id, the revision that all nodes must accept before the plan continues: that of the plan's
        # last committed step or a later one.
        self.pending_revisions: dict[str, int] = {}
        # Plans with a store operation of ``advance`` in flight. Without this, operations would accumulate at
        # a rate of one a second while the store is slow.
        self.advancing: set[str] = set()

    def handle(self, method: str, path: str, body: bytes, callback: ResponseCallback) -> None:
        """Handle one HTTP request; ``callback`` is called once with the status and the JSON response.

        The caller must have checked the shared key with ``authorized``.
        """
        parts = path.partition("?")[0].removeprefix(PATH_PREFIX).split("/")
        try:
            self._route(method, parts, body, callback)
        except HibiscusdrumError as error:
            respond_error(error, callback)

    def _route(self, method: str, parts: list[str], body: bytes, callback: ResponseCallback) -> None:
        match (method, parts):
            case ("POST", ["plan"]):
                self.create_plan(decode_intent(body), callback)
            case ("POST", ["confirm", plan_id]):
                self.confirm_plan(plan_id, callback)
            case ("GET", ["plans"]):
                self.list_plans(callback)
            case ("GET", ["history"]):
                self.list_history(callback)
            case ("GET", ["plan", plan_id]):
                self.show_plan(plan_id, callback)
            case _:
                raise NotFound(kind="operation", name=f"{method} {PATH_PREFIX}{'/'.join(parts)}")

    def create_plan(self, intent: Intent, callback: ResponseCallback) -> None:
        """Create a plan for an intent and store it."""
        document, _version = self.current_config()
        plan = make_plan(
            intent, document, self.owners(), self.new_id(), self.estimate(), self.lease_versions()
        )
        row = PlanRow(plan, plan.base_revision, created_at=self.clock.wall())
        key = plan_key(plan.id)
        transaction = Transaction(self._operation_id(plan.id), {key: 0}, {key: msgspec.to_builtins(row)})

        def stored(result: Any) -> None:
            if not isinstance(result, Success):
                respond_error(_write_error(plan.id, result.failure()), callback)
                return
            log_events.emit(log_events.PlanCreated(plan.id, intent_kind(intent), plan.base_revision))
            callback(201, self.plan_response(row))

        self.table.commit(transaction, stored)

    def confirm_plan(self, plan_id: str, callback: ResponseCallback) -> None:
        """Commit the next step of a plan, or report the plan if all its steps are committed.

        Repeating a confirmation is safe, and is the way to find out about one whose outcome is unknown.
        """
        self._try_confirm(plan_id, callback, MAX_COMMIT_ATTEMPTS)

    def _try_confirm(self, plan_id: str, callback: ResponseCallback, attempts: int) -> None:
        def answer(snapshot: PlanSnapshot) -> None:
            self._confirm_snapshot(plan_id, snapshot, callback, attempts)

        self._read_plan(plan_id, answer, callback)

    def _confirm_snapshot(
        self, plan_id: str, snapshot: PlanSnapshot, callback: ResponseCallback, attempts: int
    ) -> None:
        row = snapshot.row
        if row.is_finished or (row.steps_done and not self._is_accepted(self._tracked_revision(row))):
            self._report_confirmed_plan(snapshot, callback)
            return
        if row.steps_done == 0 and snapshot.document.revision != row.base_revision:
            self._respond_revision_conflict(plan_id, snapshot, callback)
            return
        if attempts == 0:
            respond_error(StoreConflict(keys=(CONFIG_KEY, plan_key(plan_id))), callback)
            return
        self._commit_step(plan_id, snapshot, callback, attempts)

    def _commit_step(
        self, plan_id: str, snapshot: PlanSnapshot, callback: ResponseCallback, attempts: int
    ) -> None:
        step = _next_step(snapshot.row)
        try:
            document = apply(step, snapshot.document)
        except InvalidArgument as error:
            if snapshot.row.steps_done:
                self._store_state(snapshot, CANCELLED)
            respond_error(error, callback)
            return
        operation_id = self._operation_id(plan_id)
        row = self._row_after_step(snapshot.row, document.revision, operation_id)
        transaction = Transaction(
            operation_id,
            {CONFIG_KEY: snapshot.config_version, plan_key(plan_id): snapshot.plan_version},
            {
                CONFIG_KEY: encode_config_row(document, operation_id),
                plan_key(plan_id): msgspec.to_builtins(row),
            },
        )

        def committed(result: Any) -> None:
            if isinstance(result, Success):
                self._on_step_committed(row, document, encode_step(step), callback)
            elif isinstance(result.failure(), StoreConflict):
                # Another confirmation, of this plan or another one, came first; reading the rows shows which.
                self._try_confirm(plan_id, callback, attempts - 1)
            else:
                respond_error(_write_error(plan_id, result.failure()), callback)

        self.table.commit(transaction, committed)

    def _row_after_step(self, row: PlanRow, revision: int, operation_id: str) -> PlanRow:
        done = row.steps_done + 1
        return msgspec.structs.replace(
            row,
            state=COMMITTED if done == len(row.plan.steps) else SUSPENDED,
            operation_id=operation_id,
            steps_done=done,
            revision=revision,
            confirmed_at=self.clock.wall(),
        )

    def _on_step_committed(
        self, row: PlanRow, document: Document, change: dict[str, Any], callback: ResponseCallback
    ) -> None:
        log_events.emit(log_events.PlanConfirmed(row.plan.id, row.steps_done, row.revision))
        self.pending_revisions[row.plan.id] = row.revision
        base = document.revision - 1
        # A change based on revision 0 is sent as a whole document, since base 0 in ``ConfigChange`` stands
        # for that.
        self.on_committed(
            document, base, encode_document(document) if base == WHOLE_DOCUMENT_BASE else change
        )
        callback(200, self.plan_response(row))
        self._prune_plans()

    def _report_confirmed_plan(self, snapshot: PlanSnapshot, callback: ResponseCallback) -> None:
        """Report a confirmed plan; if it is not yet accepted, track it at this daemon as well."""
        row = snapshot.row
        if row.state not in FINAL_STATES and row.plan.id not in self.pending_revisions:
            self.pending_revisions[row.plan.id] = snapshot.document.revision
            self.on_committed(snapshot.document, WHOLE_DOCUMENT_BASE, encode_document(snapshot.document))
        callback(200, self.plan_response(row))

    def _respond_revision_conflict(
        self, plan_id: str, snapshot: PlanSnapshot, callback: ResponseCallback
    ) -> None:
        base, current = snapshot.row.base_revision, snapshot.document.revision
        log_events.emit(log_events.PlanConflict(plan_id, base, current))
        respond_error(RevisionConflict(plan=plan_id, base=base, current=current), callback)

    def advance(self) -> None:
        """Continue the plans whose last committed step is accepted; to be called about once a second.

        Operations that failed during a store outage are retried by the next call.
        """
        for plan_id, revision in list(self.pending_revisions.items()):
            if self._is_accepted(revision) and plan_id not in self.advancing:
                self.advancing.add(plan_id)
                self._advance_plan(plan_id)

    def _advance_plan(self, plan_id: str) -> None:
        def answer(snapshot: PlanSnapshot) -> None:
            if snapshot.row.is_finished:
                self._store_state(snapshot, ACCEPTED)
            else:
                self._confirm_snapshot(plan_id, snapshot, done, MAX_COMMIT_ATTEMPTS)

        def done(status: int, _answer: dict[str, Any]) -> None:
            self.advancing.discard(plan_id)
            if status == NotFound.http_status:
                self.pending_revisions.pop(plan_id, None)

        self._read_plan(plan_id, answer, done)

    def _store_state(self, snapshot: PlanSnapshot, state: str) -> None:
        """Store the final state of a plan, so that all daemons report it."""
        plan_id = snapshot.row.plan.id
        key = plan_key(plan_id)
        row = msgspec.structs.replace(snapshot.row, state=state)
        transaction = Transaction(
            self._operation_id(plan_id), {key: snapshot.plan_version}, {key: msgspec.to_builtins(row)}
        )

        def stored(result: Any) -> None:
            self.advancing.discard(plan_id)
            if isinstance(result, Success):
                self.pending_revisions.pop(plan_id, None)

        if snapshot.row.state in FINAL_STATES:
            stored(Success(snapshot.plan_version))
        else:
            self.table.commit(transaction, stored)

    def show_plan(self, plan_id: str, callback: ResponseCallback) -> None:
        """Respond with one plan."""
        self._read_plan(plan_id, lambda snapshot: callback(200, self.plan_response(snapshot.row)), callback)

    def list_plans(self, callback: ResponseCallback) -> None:
        """Respond with the unconfirmed plans, oldest first."""
        self._respond_plan_list(lambda row: _stored_state(row) == PLANNED, "plans", callback)

    def list_history(self, callback: ResponseCallback) -> None:
        """Respond with the confirmed plans, oldest first."""
        self._respond_plan_list(lambda row: _stored_state(row) != PLANNED, "history", callback)

    def _respond_plan_list(
        self, wanted: Callable[[Row], bool], name: str, callback: ResponseCallback
    ) -> None:
        def answer(result: Any) -> None:
            if not isinstance(result, Success):
                respond_error(result.failure(), callback)
                return
            rows = _decode_plan_rows(filter(wanted, _plan_rows(result.unwrap())))
            rows.sort(key=lambda row: (row.revision, row.created_at))
            callback(200, {name: [self.plan_response(row) for row in rows]})

        self.table.changes(0, answer)

    def plan_response(self, row: PlanRow) -> dict[str, Any]:
        """Return the JSON form of a plan, with the nodes that have yet to acknowledge it.

        ``missing`` is null if this daemon does not track the plan.
        """
        acceptance = self.acceptance(self._tracked_revision(row)) if row.revision else None
        state = row.state
        if state == COMMITTED and acceptance is not None:
            state = acceptance.state
        if state == PLANNED and row.base_revision < self.current_config()[0].revision:
            state = VOID
        return {
            "plan": msgspec.to_builtins(row.plan),
            "state": state,
            "steps_done": row.steps_done,
            "revision": row.revision,
            "created_at": row.created_at,
            "confirmed_at": row.confirmed_at,
            "missing": None if acceptance is None else sorted(acceptance.missing),
        }

    def _tracked_revision(self, row: PlanRow) -> int:
        return self.pending_revisions.get(row.plan.id, row.revision)

    def _is_accepted(self, revision: int) -> bool:
        acceptance = self.acceptance(revision)
        return acceptance is not None and acceptance.state == ACCEPTED

    def _operation_id(self, plan_id: str) -> str:
        return f"{plan_id}-{self.new_id()}"

    def _read_plan(
        self, plan_id: str, answer: Callable[[PlanSnapshot], None], callback: ResponseCallback
    ) -> None:
        """Read a plan and the configuration and pass them to ``answer``; errors go to ``callback``."""

        def done(result: Any) -> None:
            try:
                if not isinstance(result, Success):
                    raise result.failure()
                answer(_decode_snapshot(plan_id, result.unwrap()))
            except HibiscusdrumError as error:
                respond_error(error, callback)

        self.table.read((CONFIG_KEY, plan_key(plan_id)), done)

    def _prune_plans(self) -> None:
        """Delete the oldest plans above the limit; after a failure the next confirmation tries again."""

        def listed(result: Any) -> None:
            if isinstance(result, Success):
                self._delete_oldest(_plan_rows(result.unwrap()))

        self.table.changes(0, listed)

    def _delete_oldest(self, rows: list[Row]) -> None:
        done = [(row.version, row.key) for row in rows if _stored_state(row) in (PLANNED, *FINAL_STATES)]
        excess = min(len(rows) - MAX_STORED_PLANS, MAX_PRUNED_PLANS)
        oldest = sorted(done)[: max(0, excess)]
        if oldest:
            checks = {key: version for version, key in oldest}
            transaction = Transaction(self._operation_id("prune"), checks, {}, tuple(checks))
            self.table.commit(transaction, lambda _result: None)


def respond_error(error: HibiscusdrumError, callback: ResponseCallback) -> None:
    """Respond with an error."""
    callback(error.http_status, error_body(error))


def error_body(error: HibiscusdrumError) -> dict[str, Any]:
    """Return the JSON form of an error."""
    values = msgspec.to_builtins(error.values, enc_hook=str)
    return {"code": error.code, "message": str(error), "values": values}


def _next_step(row: PlanRow) -> Intent:
    step = decode_step(row.plan.steps[row.steps_done])
    if isinstance(step, ActivateHomeRegions):
        return msgspec.structs.replace(step, suspended_at=row.revision)
    return step


def _write_error(plan_id: str, error: HibiscusdrumError) -> HibiscusdrumError:
    """Return ``OutcomeUnknown`` if the write may have taken effect, else the store's own error."""
    if isinstance(error, StoreUnavailable) and error.reason == UNKNOWN_OUTCOME_REASON:
        return OutcomeUnknown(
            request_id=plan_id, reason="the store did not respond; read the plan to find out"
        )
    return error


def _decode_snapshot(plan_id: str, rows: Mapping[str, Row]) -> PlanSnapshot:
    row = rows.get(plan_key(plan_id))
    if row is None or row.value is None:
        raise NotFound(kind="plan", name=plan_id)
    config = rows.get(CONFIG_KEY)
    document = decode_config_row(config.value if config else None)
    return PlanSnapshot(decode_plan_row(row.value), row.version, document, _checked_version(config))


def _checked_version(row: Row | None) -> int:
    """Return the version for a transaction's check; 0 for an absent or deleted row."""
    return 0 if row is None or row.value is None else row.version


def _plan_rows(changes: Changes) -> list[Row]:
    return [row for row in changes.rows if row.key.startswith(PLAN_PREFIX) and row.value is not None]


def _decode_plan_rows(rows: Iterable[Row]) -> list[PlanRow]:
    """Decode plans, skipping rows in the format of another release, so that lists stay usable."""
    decoded = []
    for row in rows:
        with suppress(InvalidArgument):
            decoded.append(decode_plan_row(row.value))
    return decoded


def _stored_state(row: Row) -> str:
    """Return the state stored in a plan's row; ``accepted`` for a malformed row, which nothing can use."""
    return row.value.get("state", ACCEPTED) if isinstance(row.value, Mapping) else ACCEPTED
