"""Operator intents, and how each one changes the configuration document."""

from __future__ import annotations

from collections.abc import Mapping
from functools import singledispatch
from typing import Any

import msgspec

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal.config.document import (
    Document,
    Release,
    Route,
    Tenant,
    check_name,
    check_route,
    check_tenant,
    check_unique_names,
    convert_value,
)
from hibiscusdrum.internal.decoding import DECODE_ERRORS
from hibiscusdrum.internal.ownership.keys import DEFAULT_SLICE_COUNT

# Intents are short lists of names, so a larger body must be a mistake.
MAX_INTENT_BYTES = 65_536
# Maximum length of the excerpt of a malformed body that is quoted in an error.
MAX_EXCERPT_CHARACTERS = 64


class Intent(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="kind"):
    """Base class of all intents; the field ``kind`` identifies the type in JSON."""


class CreateRoute(Intent, frozen=True, tag="create_route"):
    """Adds a route; the fields are those of ``Route``."""

    name: str
    regions: tuple[str, ...]
    divided: bool
    slices: int = DEFAULT_SLICE_COUNT


class CreateTenant(Intent, frozen=True, tag="create_tenant"):
    """Adds a tenant; the fields are those of ``Tenant``."""

    name: str
    home_regions: tuple[str, ...] = ()
    class_weights: dict[str, float] = {}
    slot_caps: dict[str, int] = {}


class SetHomeRegions(Intent, frozen=True, tag="set_home_regions"):
    """Restricts a tenant to the given regions; an empty list removes the restriction.

    For a suspended tenant the current regions may be given, which ends the suspension without a move.
    """

    tenant: str
    home_regions: tuple[str, ...]


class DrainFailureDomain(Intent, frozen=True, tag="drain_failure_domain"):
    """Drains a failure domain: its nodes hand over their slices and accept no new work."""

    failure_domain: str


class ReturnFailureDomain(Intent, frozen=True, tag="return_failure_domain"):
    """Returns a drained failure domain to service."""

    failure_domain: str


class RetireTarget(Intent, frozen=True, tag="retire_target"):
    """Permanently takes the target of one node out of service."""

    node: str


class ReleaseNodes(Intent, frozen=True, tag="release_nodes"):
    """Allows the takeover of nodes that were lost while they were their own guard.

    Attributes
    ----------
    lease_versions : dict of str to int
        Version of each node's lease row, filled in when the plan is created, so that the release does not
        apply to a node that has recovered since.
    """

    nodes: tuple[str, ...]
    lease_versions: dict[str, int] = {}


class SuspendTenant(Intent, frozen=True, tag="suspend_tenant"):
    """First step of a move between regions: requests of the tenant are refused without being run.

    A node acknowledges this step only after its requests in flight for the tenant have ended, since the keys
    may get an owner in the other region once every node has acknowledged it.
    """

    tenant: str


class ActivateHomeRegions(Intent, frozen=True, tag="activate_home_regions"):
    """Second step of a move between regions; valid only for the suspension made by the first step."""

    tenant: str
    home_regions: tuple[str, ...]
    suspended_at: int


OPERATOR_INTENTS: tuple[type[Intent], ...] = (
    CreateRoute,
    CreateTenant,
    SetHomeRegions,
    DrainFailureDomain,
    ReturnFailureDomain,
    RetireTarget,
    ReleaseNodes,
)
STEP_INTENTS: tuple[type[Intent], ...] = (*OPERATOR_INTENTS, SuspendTenant, ActivateHomeRegions)


def intent_kind(intent: Intent | type[Intent]) -> str:
    """Return the value of ``kind`` that identifies an intent in JSON."""
    return intent.__struct_config__.tag


def encode_step(step: Intent) -> dict[str, Any]:
    """Return the JSON form of an intent or step."""
    return msgspec.to_builtins(step)


def decode_intent(body: bytes) -> Intent:
    """Decode an intent sent by an operator.

    Raises
    ------
    InvalidArgument
        If the body is not JSON, the kind is unknown, or a field is unknown, missing or of the wrong type.
    """
    if len(body) > MAX_INTENT_BYTES:
        expected = f"at most {MAX_INTENT_BYTES} bytes"
        raise InvalidArgument(name="body", value=f"{len(body)} bytes", expected=expected)
    try:
        value = msgspec.json.decode(body)
    except DECODE_ERRORS as error:
        excerpt = body[:MAX_EXCERPT_CHARACTERS].decode("utf-8", "replace")
        raise InvalidArgument(name="body", value=excerpt, expected="a JSON object") from error
    intent = _decode(value, OPERATOR_INTENTS)
    if isinstance(intent, ReleaseNodes) and intent.lease_versions:
        expected = "no value; it is set when the plan is created"
        raise InvalidArgument(name="lease_versions", value=intent.lease_versions, expected=expected)
    return intent


def decode_step(value: Any) -> Intent:
    """Decode a step that a daemon has committed, possibly another one.

    Raises
    ------
    InvalidArgument
        If the step is malformed.
    """
    return _decode(value, STEP_INTENTS)


def _decode(value: Any, accepted: tuple[type[Intent], ...]) -> Intent:
    if not isinstance(value, Mapping):
        raise InvalidArgument(name="intent", value=value, expected="a JSON object")
    kinds = {intent_kind(cls): cls for cls in accepted}
    kind = value.get("kind")
    if not isinstance(kind, str) or kind not in kinds:
        raise InvalidArgument(name="kind", value=kind, expected="one of " + ", ".join(sorted(kinds)))
    return convert_value(value, kinds[kind], kind)


@singledispatch
def apply(intent: Intent, document: Document) -> Document:
    """Apply an intent to a document and return the document of the next revision.

    Raises
    ------
    InvalidArgument
        If the intent is not valid for the document; names the field and its value.
    """
    raise InvalidArgument(name="intent", value=type(intent).__name__, expected="a known intent")


@apply.register
def _(intent: CreateRoute, document: Document) -> Document:
    if intent.name in document.routes:
        raise InvalidArgument(name="name", value=intent.name, expected="the name of a new route")
    route = Route(intent.name, tuple(sorted(intent.regions)), intent.divided, intent.slices)
    check_route(route)
    return _next_revision(document, routes={**document.routes, route.name: route})


@apply.register
def _(intent: CreateTenant, document: Document) -> Document:
    if intent.name in document.tenants:
        raise InvalidArgument(name="name", value=intent.name, expected="the name of a new tenant")
    tenant = Tenant(
        name=intent.name,
        home_regions=tuple(sorted(intent.home_regions)),
        class_weights=intent.class_weights,
        slot_caps=intent.slot_caps,
    )
    check_tenant(tenant)
    _check_regions_served(tenant.home_regions, document)
    for service in tenant.slot_caps:
        if service not in document.routes:
            raise InvalidArgument(name="slot_caps", value=service, expected="the name of a route")
    return _replace_tenant(document, tenant)


@apply.register
def _(intent: SetHomeRegions, document: Document) -> Document:
    tenant = _require_tenant(intent.tenant, document)
    regions = _validated_home_regions(intent.home_regions, document)
    if regions == tenant.home_regions and not tenant.suspended:
        raise InvalidArgument(
            name="home_regions", value=regions, expected="regions that differ from the current ones"
        )
    changed = msgspec.structs.replace(tenant, home_regions=regions, suspended=False, suspended_at=0)
    return _replace_tenant(document, changed)


@apply.register
def _(intent: SuspendTenant, document: Document) -> Document:
    tenant = _require_tenant(intent.tenant, document)
    if tenant.suspended:
        raise InvalidArgument(name="tenant", value=tenant.name, expected="a tenant that is not suspended")
    revision = document.revision + 1
    return _replace_tenant(document, msgspec.structs.replace(tenant, suspended=True, suspended_at=revision))


@apply.register
def _(intent: ActivateHomeRegions, document: Document) -> Document:
    tenant = _require_tenant(intent.tenant, document)
    if not tenant.suspended or tenant.suspended_at != intent.suspended_at:
        expected = f"the revision of the current suspension, {tenant.suspended_at}"
        raise InvalidArgument(name="suspended_at", value=intent.suspended_at, expected=expected)
    regions = _validated_home_regions(intent.home_regions, document)
    changed = msgspec.structs.replace(tenant, home_regions=regions, suspended=False, suspended_at=0)
    return _replace_tenant(document, changed)


@apply.register
def _(intent: DrainFailureDomain, document: Document) -> Document:
    name = intent.failure_domain
    check_name("failure_domain", name)
    if name in document.drained:
        expected = "a failure domain that is not drained"
        raise InvalidArgument(name="failure_domain", value=name, expected=expected)
    return _next_revision(document, drained=tuple(sorted((*document.drained, name))))


@apply.register
def _(intent: ReturnFailureDomain, document: Document) -> Document:
    name = intent.failure_domain
    if name not in document.drained:
        raise InvalidArgument(name="failure_domain", value=name, expected="a drained failure domain")
    return _next_revision(document, drained=tuple(drained for drained in document.drained if drained != name))


@apply.register
def _(intent: RetireTarget, document: Document) -> Document:
    check_name("node", intent.node)
    if intent.node in document.retired:
        raise InvalidArgument(name="node", value=intent.node, expected="a node that is not retired")
    return _next_revision(document, retired=tuple(sorted((*document.retired, intent.node))))


@apply.register
def _(intent: ReleaseNodes, document: Document) -> Document:
    if not intent.nodes:
        raise InvalidArgument(name="nodes", value=intent.nodes, expected="at least one node")
    check_unique_names("nodes", intent.nodes)
    if set(intent.lease_versions) != set(intent.nodes):
        expected = "nodes that have a lease row"
        raise InvalidArgument(name="nodes", value=intent.nodes, expected=expected)
    kept = [release for release in document.released if release.node not in intent.nodes]
    added = [Release(node, intent.lease_versions[node]) for node in intent.nodes]
    return _next_revision(document, released=tuple(sorted((*kept, *added), key=lambda release: release.node)))


def _next_revision(document: Document, **changes: Any) -> Document:
    return msgspec.structs.replace(document, revision=document.revision + 1, **changes)


def _replace_tenant(document: Document, tenant: Tenant) -> Document:
    return _next_revision(document, tenants={**document.tenants, tenant.name: tenant})


def _require_tenant(name: str, document: Document) -> Tenant:
    tenant = document.tenants.get(name)
    if tenant is None:
        raise InvalidArgument(name="tenant", value=name, expected="the name of a tenant")
    return tenant


def _validated_home_regions(regions: tuple[str, ...], document: Document) -> tuple[str, ...]:
    check_unique_names("home_regions", regions)
    _check_regions_served(regions, document)
    return tuple(sorted(regions))


def _check_regions_served(regions: tuple[str, ...], document: Document) -> None:
    """Check that each home region has a ring, so that a misspelt region is rejected before keys move."""
    known = {region for route in document.routes.values() for region in route.regions}
    for region in regions:
        if region not in known:
            expected = "regions of a route: " + (", ".join(sorted(known)) or "none exist")
            raise InvalidArgument(name="home_regions", value=region, expected=expected)
