"""Decoding of the operator's configuration, in which one unusable field costs no more than its own entry."""

from __future__ import annotations

import enum
from typing import Annotated, Any, TypeVar

import msgspec

from hibiscusdrum.internal.decoding import (
    DECODE_ERRORS,
    MAX_INTEGER,
    MAX_INTEGER_DIGITS,
    MAX_REASON_CHARACTERS,
    Number,
    Text,
    excerpt,
    refusing_malformed,
)
from hibiscusdrum.internal.router.accounts import Account, AccountTable, header_form, key_digest
from hibiscusdrum.internal.router.routes import (
    ANY_HOST,
    EMPTY_TABLE,
    EntryLimits,
    RequestKind,
    Route,
    RouteTable,
    ServiceSpec,
)

MAX_SECONDS = 1e6
MAX_NAME_CHARACTERS = 8192
DEFAULT_PRIORITY = 1
# Requests per second to a cold target of a service whose own rate cannot be decoded.
CAUTIOUS_COLD_RATE = 1.0
# Fields of a route that decide which targets may run its requests.
TARGET_FIELDS = ("service", "backends", "allowedRegions")
MISSING = "the field is missing"
NO_KEY_LIST = "a list of texts is expected"
# Longest name of an account: it is sent in a header of each request.
MAX_ACCOUNT_CHARACTERS = 256

# Counts may be written with a fraction of 0.
Count = Annotated[float, msgspec.Meta(ge=0, le=MAX_INTEGER)]
PositiveCount = Annotated[float, msgspec.Meta(ge=1, le=MAX_INTEGER)]
Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_SECONDS)]
PositiveSeconds = Annotated[float, msgspec.Meta(gt=0.0, le=MAX_SECONDS)]
Prefix = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]
Name = Annotated[Prefix, msgspec.Meta(min_length=1)]

T = TypeVar("T", bound=msgspec.Struct)


class ColumnarRecords(msgspec.Struct, frozen=True):
    """Records that share one list of field names; each record is a list of values in that order."""

    columns: tuple[Any, ...]
    records: tuple[msgspec.Raw, ...]


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
    limits: msgspec.Raw = msgspec.Raw(b"null")
    tenants: msgspec.Raw = msgspec.Raw(b"null")


class WireBackend(msgspec.Struct, frozen=True):
    """A service to which a route sends requests, with its weight."""

    service: Name
    weight: Number


class WireRoute(msgspec.Struct, frozen=True):
    """A route; ``backends`` lists services with weights, not targets. None stands for a required field."""

    name: Name | None = None
    host: Name | None = None
    prefix: Prefix | None = None
    kind: RequestKind | None = None
    service: Prefix = ""
    backends: tuple[WireBackend, ...] = ()
    timeoutS: Seconds = 0.0  # noqa: N815 - name on the wire
    goalS: Seconds = 0.0  # noqa: N815 - name on the wire
    priority: Count = DEFAULT_PRIORITY
    attempts: Count = 1
    allowedRegions: tuple[Name, ...] = ()  # noqa: N815 - name on the wire
    public: bool = False


class WireTenant(msgspec.Struct, frozen=True):
    """A client account. None stands for a required field.

    Keys are decoded apart, so that they appear in no reason of a fault.
    """

    name: Name | None = None
    apiKeys: Any = ()  # noqa: N815 - name on the wire
    priority: Count | None = None
    ratePerS: Number = 0.0  # noqa: N815 - name on the wire
    burst: Number = 0.0
    allowedRegions: tuple[Name, ...] = ()  # noqa: N815 - name on the wire


class WireService(msgspec.Struct, frozen=True):
    """A service. None stands for a required field."""

    name: Name | None = None
    healthPath: Prefix = "/healthz"  # noqa: N815 - name on the wire
    maxConns: PositiveCount = 64  # noqa: N815 - name on the wire
    warmupS: Seconds = 0.0  # noqa: N815 - name on the wire
    warmupPerS: Number = 0.0  # noqa: N815 - name on the wire
    partitioned: bool = False


UNKNOWN_ROUTE = Route("", ANY_HOST, "", RequestKind.NON_IDEMPOTENT, ())


class FaultEffect(enum.Enum):
    """What a field that cannot be used means for requests."""

    REFUSED = "requests_refused"
    NOT_REPEATED = "never_repeated"
    KEY_REQUIRED = "key_required"
    KEY_IGNORED = "key_ignored"
    NO_REQUESTS = "account_without_requests"
    FORMER_OR_DEFAULT = "former_value_or_default"


class FieldFault(msgspec.Struct, frozen=True):
    """A field that is missing or cannot be decoded."""

    entry: str
    field: str
    effect: FaultEffect
    reason: str


class DecodedConfig(msgspec.Struct, frozen=True):
    """A configuration and the faults in its entries."""

    table: RouteTable
    faults: tuple[FieldFault, ...]


class FieldFaults:
    """The faults found so far while a configuration is decoded."""

    __slots__ = ("found",)

    def __init__(self) -> None:
        self.found: list[FieldFault] = []

    def add(self, entry: str, field: str, effect: FaultEffect, reason: str) -> None:
        """Record a fault."""
        self.found.append(
            FieldFault(entry[:MAX_REASON_CHARACTERS], field, effect, reason[:MAX_REASON_CHARACTERS])
        )


def decode_config(data: bytes, former: RouteTable = EMPTY_TABLE) -> DecodedConfig:
    """Decode the operator's configuration into a route table.

    Parameters
    ----------
    former : RouteTable
        The configuration in force, whose values stand in for some of those that cannot be decoded.

    Raises
    ------
    InvalidArgument
        If the JSON, the version, or one of the lists of routes and services cannot be decoded.
    """
    faults = FieldFaults()
    # The beginning of the configuration is not quoted, since it may contain keys of accounts.
    with refusing_malformed("configuration", f"{len(data)} bytes"):
        wire = msgspec.json.decode(data, type=WireConfig)
        version = int(wire.version.removeprefix("r"))
        if not 0 <= version <= MAX_INTEGER:
            raise ValueError(f"a version from r0 to r{MAX_INTEGER}, got {wire.version[:MAX_INTEGER_DIGITS]}")
        routes = decode_routes(wire.routes, former, faults)
        services, unusable = decode_services(wire.services, routes, former, faults)
        limits = decode_limits(wire.limits, former.limits, faults)
        accounts = decode_accounts(wire.tenants, former.accounts, faults)
    table = RouteTable.build(version, routes, services, limits, unusable, accounts)
    return DecodedConfig(table, tuple(faults.found))


def decode_fields(fields: dict[str, msgspec.Raw], type_: type[T]) -> tuple[T, dict[str, str]]:
    """Decode the fields of an entry one by one.

    Returns
    -------
    tuple
        The entry without the fields that cannot be decoded, and the reason for each of these.
    """
    values: dict[str, Any] = {}
    reasons: dict[str, str] = {}
    for field in msgspec.structs.fields(type_):
        raw = fields.get(field.name)
        if raw is None or bytes(raw) == b"null":
            continue
        try:
            values[field.name] = msgspec.json.decode(raw, type=field.type)
        except DECODE_ERRORS as error:
            reasons[field.name] = f"{error}, got {excerpt(bytes(raw))!r}"
    return type_(**values), reasons


def decode_record(record: msgspec.Raw, columns: tuple[Any, ...], type_: type[T]) -> tuple[T, dict[str, str]]:
    """Decode a record of a list; see ``decode_fields``.

    Raises
    ------
    msgspec.DecodeError
        If it is not a list of values.
    """
    try:
        values = zip(columns, msgspec.json.decode(record, type=list), strict=False)
        entry = {name: value for name, value in values if value is not None and isinstance(name, str)}
        return msgspec.convert(entry, type_), {}
    except DECODE_ERRORS:
        # At least one value is malformed.
        raws = msgspec.json.decode(record, type=list[msgspec.Raw])
        return decode_fields(
            {name: raw for name, raw in zip(columns, raws, strict=False) if isinstance(name, str)}, type_
        )


def decode_routes(wire: ColumnarRecords, former: RouteTable, faults: FieldFaults) -> list[Route]:
    """Decode all routes; one that cannot be used stays in the table without a service."""
    known = {route.name: route for entries in former.by_host.values() for route in entries}
    routes = []
    for position, record in enumerate(wire.records):
        entry = f"route {position}"
        try:
            fields, reasons = decode_record(record, wire.columns, WireRoute)
        except DECODE_ERRORS as error:
            faults.add(entry, "", FaultEffect.REFUSED, str(error))
            routes.append(UNKNOWN_ROUTE)
            continue
        entry = f"route {fields.name or position}"
        routes.append(decode_route(entry, fields, reasons, known.get(fields.name or ""), faults))
    return routes


def decode_route(
    entry: str, wire: WireRoute, reasons: dict[str, str], former: Route | None, faults: FieldFaults
) -> Route:
    """Convert a route, and record its faults.

    A route is without a service if it is not known which requests it applies to or who may run them. Its host
    or prefix is then that of the former route of the same name, or else any.
    """
    fallback = former or UNKNOWN_ROUTE
    services = tuple((backend.service, backend.weight) for backend in wire.backends)
    if not services and wire.service:
        services = ((wire.service, 1.0),)
    refused = {name: reasons[name] for name in TARGET_FIELDS if name in reasons}
    if not services and not refused:
        refused["service"] = MISSING
    for name, value in (("host", wire.host), ("prefix", wire.prefix)):
        if value is None:
            refused[name] = reasons.get(name, MISSING)
    for name, reason in refused.items():
        faults.add(entry, name, FaultEffect.REFUSED, reason)
    if wire.kind is None:
        faults.add(entry, "kind", FaultEffect.NOT_REPEATED, reasons.get("kind", MISSING))
    if "attempts" in reasons:
        faults.add(entry, "attempts", FaultEffect.NOT_REPEATED, reasons["attempts"])
    if wire.name is None:
        faults.add(entry, "name", FaultEffect.FORMER_OR_DEFAULT, reasons.get("name", MISSING))
    for name in ("timeoutS", "goalS", "priority"):
        if name in reasons:
            faults.add(entry, name, FaultEffect.FORMER_OR_DEFAULT, reasons[name])
    if "public" in reasons:
        faults.add(entry, "public", FaultEffect.KEY_REQUIRED, reasons["public"])
    host = fallback.host if wire.host is None else wire.host
    prefix = fallback.prefix if wire.prefix is None else wire.prefix
    return Route(
        name=wire.name or f"{host}{prefix}",
        host=host,
        prefix=prefix,
        kind=wire.kind or RequestKind.NON_IDEMPOTENT,
        services=() if refused else services,
        timeout=fallback.timeout if "timeoutS" in reasons else wire.timeoutS,
        latency_goal=fallback.latency_goal if "goalS" in reasons else wire.goalS,
        priority=fallback.priority if "priority" in reasons else int(wire.priority),
        attempts=int(wire.attempts),
        regions=wire.allowedRegions,
        public=wire.public,
    )


def decode_accounts(
    raw: msgspec.Raw, former: AccountTable | None, faults: FieldFaults
) -> AccountTable | None:
    """Decode the client accounts; None if the configuration has none.

    If the list cannot be decoded, the former accounts stay in force.
    """
    if bytes(raw) == b"null":
        return None
    try:
        wire = msgspec.json.decode(raw, type=ColumnarRecords)
    except DECODE_ERRORS as error:
        faults.add("tenants", "", FaultEffect.FORMER_OR_DEFAULT, str(error))
        return former or AccountTable(usable=False)
    accounts: list[Account] = []
    names: set[str] = set()
    for position, record in enumerate(wire.records):
        try:
            fields, reasons = decode_record(record, wire.columns, WireTenant)
        except DECODE_ERRORS as error:
            faults.add(f"tenant {position}", "", FaultEffect.REFUSED, str(error))
            continue
        account = decode_account(position, fields, reasons, former, faults)
        if account.usable and account.name in names:
            faults.add(f"tenant {account.name}", "name", FaultEffect.REFUSED, "an earlier entry has the name")
            account.usable = False
        elif account.usable:
            names.add(account.name)
        accounts.append(account)
    accounts.sort(key=lambda account: not account.usable)
    owners: dict[bytes, Account] = {}
    for account in accounts:
        shared = {owner.name for digest in account.digests if (owner := owners.get(digest)) is not None}
        for name in sorted(shared):
            reason = f"a key is also one of tenant {name}, which comes first and has it"
            faults.add(f"tenant {account.name}", "apiKeys", FaultEffect.KEY_IGNORED, reason)
        for digest in account.digests:
            owners.setdefault(digest, account)
    return AccountTable(accounts)


def decode_account(
    position: int,
    wire: WireTenant,
    reasons: dict[str, str],
    former_table: AccountTable | None,
    faults: FieldFaults,
) -> Account:
    """Convert an account, and record its faults.

    It is unusable if it is not known how it is named, which keys it has, or where its requests may be served.
    """
    entry = f"tenant {wire.name or position}"
    name, refused = wire.name or "", {}
    if wire.name is None:
        refused["name"] = reasons.get("name", MISSING)
    elif not is_header_text(wire.name):
        refused["name"] = f"up to {MAX_ACCOUNT_CHARACTERS} characters that a header can have"
    if "allowedRegions" in reasons:
        refused["allowedRegions"] = reasons["allowedRegions"]
    former = former_table.by_name.get(name) if former_table is not None else None
    keys = wire.apiKeys
    if "apiKeys" in reasons or not isinstance(keys, list | tuple):
        refused["apiKeys"] = NO_KEY_LIST
        # The former keys may have been removed; requests with them are refused as long as that is not known.
        digests = former.digests if former is not None else frozenset()
    else:
        digests = frozenset(key_digest(header_form(key)) for key in keys if is_key(key))
        if odd := sum(not is_key(key) for key in keys):
            reason = f"{odd} of {len(keys)} keys are no texts that a header can have"
            faults.add(entry, "apiKeys", FaultEffect.KEY_IGNORED, reason)
    for field, reason in refused.items():
        faults.add(entry, field, FaultEffect.REFUSED, reason)
    if not digests and not refused:
        faults.add(entry, "apiKeys", FaultEffect.NO_REQUESTS, "the account has no key")
    for field in ("ratePerS", "burst"):
        if field not in reasons and getattr(wire, field) < 0:
            reasons[field] = "a number from 0"
    for field in ("priority", "ratePerS", "burst"):
        if field in reasons:
            faults.add(entry, field, FaultEffect.FORMER_OR_DEFAULT, reasons[field])
    fallback = former or Account("")
    return Account(
        name=name,
        digests=digests,
        priority=fallback.priority if "priority" in reasons else as_priority(wire.priority),
        rate=fallback.rate if "ratePerS" in reasons else wire.ratePerS,
        burst=fallback.burst if "burst" in reasons else wire.burst,
        regions=wire.allowedRegions,
        usable=not refused,
    )


def as_priority(value: float | None) -> int | None:
    """Return a priority as a whole number, or None if there is none."""
    return None if value is None else int(value)


def is_header_text(text: str) -> bool:
    """Return whether an account's name can be sent in a header without a change."""
    return (
        len(text) <= MAX_ACCOUNT_CHARACTERS and text.isascii() and text.isprintable() and text == text.strip()
    )


def is_key(value: object) -> bool:
    """Return whether a caller can send a configured key in a header."""
    return (
        isinstance(value, str)
        and 0 < len(value) <= MAX_NAME_CHARACTERS
        and value == value.strip()
        and not any(ord(character) < 32 or ord(character) == 127 for character in value)
    )


def decode_services(
    wire: ColumnarRecords, routes: list[Route], former: RouteTable, faults: FieldFaults
) -> tuple[list[ServiceSpec], frozenset[str]]:
    """Decode all services.

    Returns
    -------
    tuple
        The services, and the names of those to which no request may be sent, because it is not known whether
        their targets own keys.
    """
    specs: dict[str, ServiceSpec] = {}
    unusable: set[str] = set()
    unnamed = False
    for position, record in enumerate(wire.records):
        try:
            fields, reasons = decode_record(record, wire.columns, WireService)
        except DECODE_ERRORS as error:
            fields, reasons = WireService(), {"name": str(error)}
        if fields.name is None:
            unnamed = True
            reason = reasons.get("name", MISSING)
            faults.add(f"service {position}", "name", FaultEffect.FORMER_OR_DEFAULT, reason)
            continue
        spec = decode_service(fields, reasons, former.services.get(fields.name), faults)
        if spec is None:
            unusable.add(fields.name)
        else:
            specs[fields.name] = spec
    if unnamed:
        # A service that routes name and the list lacks may be the one whose name cannot be decoded.
        for name in {name for route in routes for name, _weight in route.services} - specs.keys():
            if name in former.services:
                specs[name] = former.services[name]
            else:
                unusable.add(name)
    return list(specs.values()), frozenset(unusable)


def decode_service(
    wire: WireService, reasons: dict[str, str], former: ServiceSpec | None, faults: FieldFaults
) -> ServiceSpec | None:
    """Convert a service, and record its faults; None if it is not known whether its targets own keys."""
    entry = f"service {wire.name}"
    usable = former is not None or "partitioned" not in reasons
    for name, reason in reasons.items():
        refused = name == "partitioned" and not usable
        faults.add(entry, name, FaultEffect.REFUSED if refused else FaultEffect.FORMER_OR_DEFAULT, reason)
    if not usable:
        return None
    fallback = former or ServiceSpec(wire.name or "", cold_rate=CAUTIOUS_COLD_RATE)
    return ServiceSpec(
        name=wire.name or "",
        health_path=fallback.health_path if "healthPath" in reasons else wire.healthPath,
        max_connections=fallback.max_connections if "maxConns" in reasons else int(wire.maxConns),
        warmup=fallback.warmup if "warmupS" in reasons else wire.warmupS,
        cold_rate=fallback.cold_rate if "warmupPerS" in reasons else wire.warmupPerS,
        partitioned=fallback.partitioned if "partitioned" in reasons else wire.partitioned,
    )


def decode_limits(raw: msgspec.Raw, former: EntryLimits, faults: FieldFaults) -> EntryLimits:
    """Convert the limits on callers' requests and connections, and record their faults."""
    try:
        fields = msgspec.json.decode(raw, type=dict[str, msgspec.Raw] | None) or {}
    except DECODE_ERRORS as error:
        faults.add("limits", "", FaultEffect.FORMER_OR_DEFAULT, str(error))
        return former
    wire, reasons = decode_fields(fields, WireLimits)
    for name, reason in reasons.items():
        faults.add("limits", name, FaultEffect.FORMER_OR_DEFAULT, reason)
    default = EntryLimits()

    def value(name: str, attribute: str) -> float:
        if name in reasons:
            return getattr(former, attribute)
        stated = getattr(wire, name)
        return getattr(default, attribute) if stated is None else stated

    return EntryLimits(
        max_head_bytes=int(value("maxHeaderBytes", "max_head_bytes")),
        max_body_bytes=int(value("maxBodyBytes", "max_body_bytes")),
        head_timeout=value("headerTimeoutS", "head_timeout"),
        idle_timeout=value("idleTimeoutS", "idle_timeout"),
    )
