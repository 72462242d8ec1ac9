"""Rows that the operator writes to the store: the configuration and the failure domains to evacuate."""

from __future__ import annotations

import base64
import random
from typing import Any

import msgspec
from returns.result import Result, Success

from hibiscusdrum.errors import HibiscusdrumError, InvalidArgument
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.load.retry_budget import full_jitter
from hibiscusdrum.internal.router import events
from hibiscusdrum.internal.router.routes import EntryLimits, RequestKind, Route, RouteTable, ServiceSpec
from hibiscusdrum.platform.store import OPERATOR_TABLE, RowChanges, StoreClient, WireRow

CONFIG_KEY = "config"
EVACUATE_PREFIX = "evacuate/"
BASE_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 0.5
DEFAULT_PRIORITY = 1


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


class WireConfig(msgspec.Struct, frozen=True):
    """The configuration as the operator stores it; ``version`` is ``r`` followed by a number."""

    version: str
    routes: ColumnarRecords
    services: ColumnarRecords
    limits: dict[str, Any] = {}


def decode_config(data: bytes) -> RouteTable:
    """Decode the operator's configuration into a route table.

    Raises
    ------
    InvalidArgument
        If the configuration is malformed.
    """
    try:
        wire = msgspec.json.decode(data, type=WireConfig)
        return RouteTable.build(
            int(wire.version.removeprefix("r")),
            [decode_route(entry) for entry in wire.routes.to_dicts()],
            [decode_service(entry) for entry in wire.services.to_dicts()],
            decode_limits(wire.limits),
        )
    except (msgspec.DecodeError, ValueError, KeyError, TypeError) as error:
        raise InvalidArgument(name="configuration", value=data[:64], expected=str(error)) from error


def decode_route(entry: dict[str, Any]) -> Route:
    """Convert a route; ``backends`` lists services with weights, not targets."""
    backends = entry.get("backends") or [{"service": entry["service"], "weight": 1}]
    return Route(
        name=entry["name"],
        host=entry["host"],
        prefix=entry["prefix"],
        kind=RequestKind(entry["kind"]),
        services=tuple((backend["service"], float(backend["weight"])) for backend in backends),
        timeout=float(entry.get("timeoutS", 0.0)),
        latency_goal=float(entry.get("goalS", 0.0)),
        priority=int(entry.get("priority", DEFAULT_PRIORITY)),
        attempts=int(entry.get("attempts", 1)),
        regions=tuple(entry.get("allowedRegions", ())),
    )


def decode_service(entry: dict[str, Any]) -> ServiceSpec:
    """Convert a service."""
    return ServiceSpec(
        name=entry["name"],
        health_path=entry.get("healthPath", "/healthz"),
        max_connections=int(entry.get("maxConns", 64)),
        warmup=float(entry.get("warmupS", 0.0)),
        cold_rate=float(entry.get("warmupPerS", 0.0)),
        partitioned=bool(entry.get("partitioned", False)),
    )


def decode_limits(entry: dict[str, Any]) -> EntryLimits:
    """Convert the limits on callers' requests and connections."""
    default = EntryLimits()
    return EntryLimits(
        max_head_bytes=int(entry.get("maxHeaderBytes", default.max_head_bytes)),
        max_body_bytes=int(entry.get("maxBodyBytes", default.max_body_bytes)),
        head_timeout=float(entry.get("headerTimeoutS", default.head_timeout)),
        idle_timeout=float(entry.get("idleTimeoutS", default.idle_timeout)),
    )


class OperatorRows(Service):
    """Watches the operator's rows in the store and applies their changes.

    Attributes
    ----------
    last_version : int or None
        Newest version of the store that was read; None before the first read.
    failures : int
        Number of consecutive failed polls.
    evacuated_domains : set of str
        Failure domains that the operator evacuates.
    """

    service_name = "operator_rows"

    def __init__(self) -> None:
        super().__init__()
        self.last_version: int | None = None
        self.failures = 0
        self.evacuated_domains: set[str] = set()
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
        self.last_version = answer.version if answer.complete else max(self.last_version or 0, answer.version)
        if answer.complete:
            self.evacuated_domains.clear()
        for row in answer.rows:
            self.apply_row(row)
        self.members.set_evacuated_domains(frozenset(self.evacuated_domains))
        self.poll()

    def apply_row(self, row: WireRow) -> None:
        """Apply a row; a configuration that cannot be decoded is logged and ignored."""
        if row.key.startswith(EVACUATE_PREFIX):
            failure_domain = row.key[len(EVACUATE_PREFIX) :]
            (self.evacuated_domains.discard if row.deleted else self.evacuated_domains.add)(failure_domain)
        elif row.key == CONFIG_KEY and not row.deleted:
            try:
                self.gateway.set_route_table(decode_config(base64.b64decode(row.value)))
            except (ValueError, InvalidArgument) as error:
                log_events.emit(events.RowUnreadable(what="configuration", reason=str(error)[:200]))
