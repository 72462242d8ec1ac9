"""Resolution of requests to regions and slices, shared by daemons and the client library."""

from __future__ import annotations

import msgspec

from hibiscusdrum.errors import Suspended, UnknownService, UnknownTenant
from hibiscusdrum.internal.config.document import Document, Route, Tenant
from hibiscusdrum.internal.ownership.keys import key_hash, region_of, slice_of
from hibiscusdrum.internal.ownership.rows import OwnerRow


class Resolution(msgspec.Struct, frozen=True):
    """Route, tenant, region and slice of a request.

    Attributes
    ----------
    region : str
        The only region that serves the key.
    hash_value : int
        Hash of the key.
    owned : bool
        Whether only the slice's owner may serve the request; otherwise any target of the region may.
    """

    route: Route
    tenant: Tenant
    region: str
    hash_value: int
    slice: int
    owned: bool


def resolve(document: Document, service: str, tenant_name: str, key: bytes, idempotent: bool) -> Resolution:
    """Resolve a request from the configuration alone.

    Raises
    ------
    UnknownService, UnknownTenant
        If the configuration has no such route or tenant.
    Suspended
        If the tenant's keys are being moved between regions.
    """
    route = document.routes.get(service)
    if route is None:
        raise UnknownService(service=service)
    tenant = document.tenants.get(tenant_name)
    if tenant is None:
        raise UnknownTenant(tenant=tenant_name)
    if tenant.suspended:
        raise Suspended(tenant=tenant_name)
    region = region_of(key, tenant.home_regions or route.regions)
    hash_value = key_hash(key)
    return Resolution(
        route=route,
        tenant=tenant,
        region=region,
        hash_value=hash_value,
        slice=slice_of(hash_value, route.slices),
        owned=route.divided or not idempotent,
    )


def may_take_work(document: Document, row: OwnerRow) -> bool:
    """Return whether the configuration allows a node to receive new requests and slices."""
    return row.failure_domain not in document.drained and row.node not in document.retired
