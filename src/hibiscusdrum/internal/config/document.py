"""Configuration document: routes, tenants, drained failure domains and retired nodes."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal.ownership.keys import DEFAULT_SLICE_COUNT
from hibiscusdrum.internal.settings import NAME_EXPECTED, NAME_PATTERN

# A list of this many slices takes about 400 KB as JSON, the largest row value that daemons accept.
MAX_SLICES = 65_536
MAX_CLASS_WEIGHT = 1000.0


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """A service and the regions that serve it.

    Attributes
    ----------
    regions : tuple of str
        Regions with a ring of this service; non-empty and without duplicates.
    divided : bool
        Whether the service is partitioned by key, so that even idempotent requests must go to the owner.
    slices : int
        Number of slices in each ring; cannot be changed later.
    """

    name: str
    regions: tuple[str, ...]
    divided: bool
    slices: int = DEFAULT_SLICE_COUNT


class Tenant(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """A client account whose requests are admitted.

    Attributes
    ----------
    home_regions : tuple of str
        The only regions in which its requests may be served, sent or stored; empty for no restriction.
    suspended : bool
        Whether its requests are refused because its keys are moving between regions.
    suspended_at : int
        Revision that suspended the tenant, 0 if it is not suspended. A plan ends only the suspension that it
        has made itself.
    class_weights : dict of str to float
        Weight of each request class in the tenant's queue; 1.0 for classes that are absent.
    slot_caps : dict of str to int
        Maximum number of slots that the tenant may occupy at a service's target, by service.
    """

    name: str
    home_regions: tuple[str, ...] = ()
    suspended: bool = False
    suspended_at: int = 0
    class_weights: dict[str, float] = {}
    slot_caps: dict[str, int] = {}


class Release(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Permission to take over a node that was its own guard.

    It is valid for one version of the lease row. A node that has written its row since then is alive, and
    taking it over would give its keys two owners.
    """

    node: str
    lease_version: int


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Complete configuration of one revision.

    Attributes
    ----------
    drained : tuple of str
        Failure domains that accept no new work.
    retired : tuple of str
        Nodes whose targets accept no new work.
    released : tuple of Release
        Nodes that were their own guard and may be taken over.
    """

    revision: int
    routes: dict[str, Route] = {}
    tenants: dict[str, Tenant] = {}
    drained: tuple[str, ...] = ()
    retired: tuple[str, ...] = ()
    released: tuple[Release, ...] = ()

    def accepts_work(self, node: str, failure_domain: str) -> bool:
        """Return whether a node may receive slices and requests that any node can serve."""
        return failure_domain not in self.drained and node not in self.retired

    def allows_takeover(self, node: str, lease_version: int) -> bool:
        """Return whether an operator has allowed the takeover of a node at this version of its lease row."""
        return Release(node, lease_version) in self.released


def candidate_regions(route: Route, tenant: Tenant) -> tuple[str, ...]:
    """Return the regions over which a tenant's keys of a service are distributed, sorted.

    Home regions that have no ring of the service are omitted. If none remains, the result is empty and the
    service is unavailable to the tenant.
    """
    if not tenant.home_regions:
        return tuple(sorted(route.regions))
    return tuple(sorted(set(route.regions) & set(tenant.home_regions)))


def empty_document() -> Document:
    """Return the document of revision 0, in force until the first plan is confirmed."""
    return Document(revision=0)


def encode_document(document: Document) -> dict[str, Any]:
    """Return the JSON form of a document."""
    return msgspec.to_builtins(document)


def encode_config_row(document: Document, operation_id: str) -> dict[str, Any]:
    """Return the value to store in the row ``config/current``."""
    return {
        "revision": document.revision,
        "operation_id": operation_id,
        "document": encode_document(document),
    }


def decode_config_row(value: Any) -> Document:
    """Decode the value of the row ``config/current``; None, for an absent row, gives the empty document.

    Raises
    ------
    InvalidArgument
        If the row or its document is malformed.
    """
    if value is None:
        return empty_document()
    if not isinstance(value, Mapping) or "document" not in value:
        raise InvalidArgument(name="config/current", value=value, expected="an object with a document")
    document = decode_document(value["document"])
    check_equal("config/current.revision", value.get("revision"), document.revision)
    return document


def decode_document(value: Any) -> Document:
    """Decode and validate a document from its JSON form.

    Raises
    ------
    InvalidArgument
        If a field is unknown, missing, of the wrong type or out of range; names the field and its value.
    """
    if not isinstance(value, Mapping):
        raise InvalidArgument(name="document", value=value, expected="an object")
    fields = dict(value)
    for field, struct_type in (("routes", Route), ("tenants", Tenant)):
        entries = fields.get(field, {})
        if not isinstance(entries, Mapping):
            raise InvalidArgument(name=field, value=entries, expected="an object")
        fields[field] = {str(k): convert_value(v, struct_type, f"{field}.{k}") for k, v in entries.items()}
    document = convert_value(fields, Document, "document")
    check_document(document)
    return document


def convert_value(value: Any, struct_type: type, name: str) -> Any:
    """Convert a JSON value to a struct type.

    Raises
    ------
    InvalidArgument
        If the value does not match the type; names the field and its value.
    """
    try:
        return msgspec.convert(value, struct_type)
    except msgspec.ValidationError as error:
        reason, _, path = str(error).partition(" - at `$")
        raise _conversion_error(value, name, reason, path.rstrip("`")) from error


def _conversion_error(value: Any, name: str, reason: str, path: str) -> InvalidArgument:
    """Build the error for a failed conversion, with the name and value of the offending field."""
    unknown_field = reason.partition("unknown field `")[2].rstrip("`")
    field = unknown_field or path.lstrip(".").partition(".")[0].partition("[")[0]
    found = value.get(field) if isinstance(value, Mapping) and field else value
    expected = "no field of this name" if unknown_field else reason.removeprefix("Expected ")
    return InvalidArgument(name=f"{name}.{field}" if field else name, value=found, expected=expected)


def check_document(document: Document) -> None:
    """Validate the ranges of all fields, and that entries are stored under their own names.

    Raises
    ------
    InvalidArgument
        Names the first invalid field.
    """
    if document.revision < 0:
        raise InvalidArgument(name="revision", value=document.revision, expected="0 or more")
    for name, route in document.routes.items():
        check_equal(f"routes.{name}.name", route.name, name)
        check_route(route, f"routes.{name}.")
    for name, tenant in document.tenants.items():
        check_equal(f"tenants.{name}.name", tenant.name, name)
        check_tenant(tenant, f"tenants.{name}.")
    for release in document.released:
        check_name("released.node", release.node)
    check_unique_names("drained", document.drained)
    check_unique_names("retired", document.retired)


def check_equal(name: str, value: Any, expected: Any) -> None:
    """Raise an error unless a value equals the expected one."""
    if value != expected:
        raise InvalidArgument(name=name, value=value, expected=repr(expected))


def check_route(route: Route, prefix: str = "") -> None:
    """Validate the fields of a route."""
    check_name(prefix + "name", route.name)
    if not route.regions:
        raise InvalidArgument(name=prefix + "regions", value=route.regions, expected="at least one region")
    check_unique_names(prefix + "regions", route.regions)
    if not 1 <= route.slices <= MAX_SLICES:
        expected = f"an integer from 1 to {MAX_SLICES}"
        raise InvalidArgument(name=prefix + "slices", value=route.slices, expected=expected)


def check_tenant(tenant: Tenant, prefix: str = "") -> None:
    """Validate the fields of a tenant."""
    check_name(prefix + "name", tenant.name)
    check_unique_names(prefix + "home_regions", tenant.home_regions)
    for name, weight in tenant.class_weights.items():
        check_name(prefix + "class_weights", name)
        if not 0 < weight <= MAX_CLASS_WEIGHT:
            expected = f"a number above 0, at most {MAX_CLASS_WEIGHT}"
            raise InvalidArgument(name=f"{prefix}class_weights.{name}", value=weight, expected=expected)
    for name, cap in tenant.slot_caps.items():
        check_name(prefix + "slot_caps", name)
        if cap < 1:
            raise InvalidArgument(name=f"{prefix}slot_caps.{name}", value=cap, expected="1 or more")


def check_name(field: str, name: str) -> None:
    """Validate one name."""
    if not NAME_PATTERN.fullmatch(name):
        raise InvalidArgument(name=field, value=name, expected=NAME_EXPECTED)


def check_unique_names(field: str, names: tuple[str, ...]) -> None:
    """Validate names and check that they are unique."""
    for name in names:
        check_name(field, name)
    if len(set(names)) != len(names):
        raise InvalidArgument(name=field, value=names, expected="unique names")
