"""Rows that the operator writes to the store: the configuration and the failure domains to evacuate."""

from __future__ import annotations

import base64
import random
from collections import deque
from typing import Annotated, Any

import msgspec
from returns.result import Result, Success

from hibiscusdrum.errors import HibiscusdrumError, InvalidArgument
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.decoding import (
    MAX_INTEGER,
    MAX_INTEGER_DIGITS,
    Number,
    Text,
    refusing_malformed,
)
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.load.retry_budget import full_jitter
from hibiscusdrum.internal.platform.table import era_of, number_of
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router.routes import EntryLimits, RequestKind, Route, RouteTable, ServiceSpec
from hibiscusdrum.internal.router.unreadable import unreadable_entries
from hibiscusdrum.platform.store import OPERATOR_TABLE, RowChanges, StoreClient, WireRow

CONFIG_KEY = "config"
EVACUATE_PREFIX = "evacuate/"
BASE_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 0.5
DEFAULT_PRIORITY = 1
MAX_SECONDS = 1e6
MAX_NAME_CHARACTERS = 8192
# After a restore of the store, the operator writes again what the copy lacks. For this time, evacuations that
# differ from what was last read before are taken as lost by the store, not as changed by the operator.
RESTORED_EVACUATION_SECONDS = 5.0
# Numbers of an evacuation's row that are remembered, and failure domains of which any are.
MAX_REMEMBERED_NUMBERS = 8
MAX_REMEMBERED_DOMAINS = 100

# Counts may be written with a fraction of 0.
Count = Annotated[float, msgspec.Meta(ge=0, le=MAX_INTEGER)]
PositiveCount = Annotated[float, msgspec.Meta(ge=1, le=MAX_INTEGER)]
Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_SECONDS)]
PositiveSeconds = Annotated[float, msgspec.Meta(gt=0.0, le=MAX_SECONDS)]
Prefix = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]
Name = Annotated[Prefix, msgspec.Meta(min_length=1)]


class ColumnarRecords(msgspec.Struct, frozen=True):
    """Records that share one list of field names; each record is a list of values in that order."""

    columns: tuple[str, ...]
    records: tuple[tuple[Any, ...], ...]

    def to_dicts(self) -> list[dict[str, Any]]:
        """Return each record as a dict by field name, without the fields whose value is null."""
        return [
            {name: value for name, value in zip(self.columns, record, strict=False) if value is not None}
            for record in self.records
        ]


class WireLimits(msgspec.Struct, frozen=True):
    """Limits on callers' requests and connections; missing ones have their defaults."""

    maxHeaderBytes: PositiveCount | None = None  # noqa: N815 - name on the wire
    maxBodyBytes: Count | None = None  # noqa: N815 - name on the wire
    headerTimeoutS: PositiveSeconds | None = None  # noqa: N815 - name on the wire
    idleTimeoutS: PositiveSeconds | None = None  # noqa: N815 - name on the wire


class WireConfig(msgspec.Struct, frozen=True):
    """The configuration as the operator stores it; ``version`` is ``r`` followed by a number."""

    version: Text
    routes: ColumnarRecords
    services: ColumnarRecords
    limits: WireLimits | None = None


class WireBackend(msgspec.Struct, frozen=True):
    """A service to which a route sends requests, with its weight."""

    service: Name
    weight: Number


class WireRoute(msgspec.Struct, frozen=True):
    """A route; ``backends`` lists services with weights, not targets."""

    name: Name
    host: Name
    prefix: Prefix
    kind: RequestKind
    service: Prefix = ""
    backends: tuple[WireBackend, ...] = ()
    timeoutS: Seconds = 0.0  # noqa: N815 - name on the wire
    goalS: Seconds = 0.0  # noqa: N815 - name on the wire
    priority: Count = DEFAULT_PRIORITY
    attempts: Count = 1
    allowedRegions: tuple[Name, ...] = ()  # noqa: N815 - name on the wire


class WireService(msgspec.Struct, frozen=True):
    """A service."""

    name: Name
    healthPath: Prefix = "/healthz"  # noqa: N815 - name on the wire
    maxConns: PositiveCount = 64  # noqa: N815 - name on the wire
    warmupS: Seconds = 0.0  # noqa: N815 - name on the wire
    warmupPerS: Number = 0.0  # noqa: N815 - name on the wire
    partitioned: bool = False


def decode_config(data: bytes) -> RouteTable:
    """Decode the operator's configuration into a route table.

    Raises
    ------
    InvalidArgument
        If the configuration is malformed, or a value of it is out of range.
    """
    with refusing_malformed("configuration", data):
        wire = msgspec.json.decode(data, type=WireConfig)
        version = int(wire.version.removeprefix("r"))
        if not 0 <= version <= MAX_INTEGER:
            raise ValueError(f"a version from r0 to r{MAX_INTEGER}, got {wire.version[:MAX_INTEGER_DIGITS]}")
        return RouteTable.build(
            version,
            [decode_route(msgspec.convert(entry, WireRoute)) for entry in wire.routes.to_dicts()],
            [decode_service(msgspec.convert(entry, WireService)) for entry in wire.services.to_dicts()],
            decode_limits(wire.limits),
        )


def decode_route(wire: WireRoute) -> Route:
    """Convert a route.

    Raises
    ------
    ValueError
        If it names no service.
    """
    services = tuple((backend.service, backend.weight) for backend in wire.backends)
    if not services and not wire.service:
        raise ValueError(f"a service or backends in route {wire.name}")
    return Route(
        name=wire.name,
        host=wire.host,
        prefix=wire.prefix,
        kind=wire.kind,
        services=services or ((wire.service, 1.0),),
        timeout=wire.timeoutS,
        latency_goal=wire.goalS,
        priority=int(wire.priority),
        attempts=int(wire.attempts),
        regions=wire.allowedRegions,
    )


def decode_service(wire: WireService) -> ServiceSpec:
    """Convert a service."""
    return ServiceSpec(
        name=wire.name,
        health_path=wire.healthPath,
        max_connections=int(wire.maxConns),
        warmup=wire.warmupS,
        cold_rate=wire.warmupPerS,
        partitioned=wire.partitioned,
    )


def decode_limits(wire: WireLimits | None) -> EntryLimits:
    """Convert the limits on callers' requests and connections."""
    default = EntryLimits()
    wire = wire or WireLimits()
    return EntryLimits(
        max_head_bytes=int(value_or(wire.maxHeaderBytes, default.max_head_bytes)),
        max_body_bytes=int(value_or(wire.maxBodyBytes, default.max_body_bytes)),
        head_timeout=value_or(wire.headerTimeoutS, default.head_timeout),
        idle_timeout=value_or(wire.idleTimeoutS, default.idle_timeout),
    )


def value_or(value: float | None, default: float) -> float:
    """Return a value, or the default if it is missing."""
    return default if value is None else value


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
        Newest version of the store that was read; None before the first read.
    failures : int
        Number of consecutive failed polls.
    evacuations : Evacuations
    """

    service_name = "operator_rows"

    def __init__(self) -> None:
        super().__init__()
        self.last_version: int | None = None
        self.failures = 0
        self.evacuations = Evacuations()
        self.rng = random.Random()

    def on_start(self) -> None:
        """Read the rows and begin to poll for changes."""
        self.store: StoreClient = self.app.find("table")
        self.gateway = self.app.find("gateway")
        self.members = self.app.find("members")
        self.poll()

    def poll(self) -> None:
        """Poll for changes; the first poll reads the whole table."""
        self.store.poll_changes(OPERATOR_TABLE, self.last_version, self.on_changes)

    def on_changes(self, result: Result[RowChanges, HibiscusdrumError]) -> None:
        """Apply the changed rows and poll again, after a failure with a delay."""
        if not isinstance(result, Success):
            self.failures += 1
            delay = full_jitter(self.failures, self.rng, BASE_RETRY_SECONDS, MAX_RETRY_SECONDS)
            self.app.scheduler.call_later(delay, self.poll)
            return
        answer = result.unwrap()
        self.failures = 0
        # After an exception, the rows are read again.
        delay = MAX_RETRY_SECONDS
        try:
            self.apply_rows(answer)
            delay = 0.0
        finally:
            if delay:
                self.app.scheduler.call_later(delay, self.poll)
            else:
                self.poll()

    def apply_rows(self, answer: RowChanges) -> None:
        """Apply evacuations, and then the configuration."""
        former_version = self.last_version
        if answer.complete:
            restored = former_version is not None and era_of(former_version) < era_of(answer.version)
            self.apply_all_evacuations(answer.rows, restored)
        else:
            for row in answer.rows:
                if row.key.startswith(EVACUATE_PREFIX):
                    self.evacuations.apply(row.key[len(EVACUATE_PREFIX) :], row.ver, row.deleted)
        self.members.set_evacuated_domains(self.evacuations.in_force)
        for row in answer.rows:
            if row.key == CONFIG_KEY and not row.deleted:
                self.apply_config(row)
        self.last_version = answer.version if answer.complete else max(former_version or 0, answer.version)

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
            with refusing_malformed("configuration", row.value):
                table = decode_config(base64.b64decode(row.value))
        except InvalidArgument as error:
            unreadable_entries.record("configuration", error)
            return
        self.gateway.set_route_table(table)
