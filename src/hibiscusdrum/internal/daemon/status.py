"""JSON views of the daemon's state and of the ownership map, for the HTTP API."""

from __future__ import annotations

from typing import Any

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal.kernel import Application
from hibiscusdrum.internal.ownership.rows import lease_key
from hibiscusdrum.internal.routing import resolve


def status_view(app: Application) -> dict[str, Any]:
    """Return the response body of ``GET /v1/status``."""
    membership, leases, requests = app.find("membership"), app.find("leases"), app.find("requests")
    target = app.find("target")
    return {
        "node": leases.node,
        "revision": app.find("configuration").revision,
        "table_seq": membership.map.seq,
        "store_reachable": membership.store_reachable,
        "lease_valid": leases.valid(),
        "guard": leases.guard,
        "targets": [
            {
                "address": target.settings.target_address,
                "service": target.settings.service,
                "available": target.available,
                "limit": requests.limiter.limit,
                "in_flight": requests.limiter.in_flight,
                "queued": len(requests.queue),
            }
        ],
        "owners": owners_view(app),
    }


def owners_view(app: Application) -> list[dict[str, Any]]:
    """Return one entry for each node in the ownership map, sorted by name."""
    ownership_map = app.find("membership").map
    entries = []
    for node, row in sorted(ownership_map.owners.items()):
        lease = ownership_map.leases.get(node)
        entries.append(
            {
                "node": node,
                "service": row.service,
                "region": row.region,
                "failure_domain": row.failure_domain,
                "slices": len(row.slices),
                "hot_keys": len(row.hot_keys),
                "guard": lease.guard if lease is not None else "",
                "lease_version": ownership_map.version(lease_key(node)),
                "state": lease.state if lease is not None else "",
                "epoch": row.epoch,
                "peer_address": row.peer_address,
                "http_address": row.http_address,
            }
        )
    return entries


def owner_view(app: Application, query: dict[str, str]) -> dict[str, Any]:
    """Return the response body of ``GET /v1/owner``.

    Raises
    ------
    InvalidArgument
        If a parameter is missing or empty.
    UnknownService, UnknownTenant, Suspended
        If the configuration does not let the request be resolved.
    """
    for name in ("service", "tenant", "key"):
        if not query.get(name):
            raise InvalidArgument(name=name, value=query.get(name, ""), expected="a value")
    document = app.find("configuration").document
    resolution = resolve(document, query["service"], query["tenant"], query["key"].encode(), idempotent=False)
    owner = app.find("membership").map.owner(query["service"], resolution.region, resolution.hash_value)
    return {
        "slice": resolution.slice,
        "region": resolution.region,
        "owner": owner.node if owner is not None else None,
        "epoch": owner.epoch if owner is not None else 0,
    }
