"""Plans: which slices or keys an intent moves and at what cost, computed before the operator confirms it."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from functools import singledispatch
from typing import Any

import msgspec

from hibiscusdrum.internal.config.document import Document, candidate_regions
from hibiscusdrum.internal.config.intents import (
    ActivateHomeRegions,
    DrainFailureDomain,
    Intent,
    ReleaseNodes,
    RetireTarget,
    ReturnFailureDomain,
    SetHomeRegions,
    SuspendTenant,
    apply,
    encode_step,
)
from hibiscusdrum.internal.ownership.rows import OwnerRow

# Time within which a configuration change must be in force on all nodes, at the size the system is built for.
ACCEPTANCE_SECONDS = 7.0
# Intended duration of one handover, and of one takeover including the wait for the lease term to end.
HANDOVER_SECONDS = 0.2
TAKEOVER_SECONDS = 1.7


class Estimate(msgspec.Struct, frozen=True):
    """Size estimates available to the planner; 0 or empty if unknown.

    Attributes
    ----------
    keys_per_slice : float
        Mean number of keys per slice.
    tenant_keys : dict of str to int
        Number of keys of each tenant.
    bytes_per_key : float
        Bytes that a target transfers for each key that moves to another region.
    cross_region_bytes_per_second : float
        Byte rate available on the link between regions.
    """

    keys_per_slice: float = 0.0
    tenant_keys: dict[str, int] = {}
    bytes_per_key: float = 0.0
    cross_region_bytes_per_second: float = 3_750_000.0


class Move(msgspec.Struct, frozen=True):
    """Change of owner for slices of one ring, aggregated over the nodes of a failure domain.

    Nodes are not listed individually. At 490 nodes a plan that named the receivers of each node took 18 KB,
    and every daemon reads all plans when it joins.

    Attributes
    ----------
    region : str
        Region of the ring; empty if keys move between regions.
    source : str
        Failure domains or regions that give up the slices, separated by commas.
    receivers : tuple of str
        Failure domains or regions that receive the slices.
    nodes : int
        Number of nodes that give up slices.
    """

    service: str
    region: str
    source: str
    receivers: tuple[str, ...]
    nodes: int
    slices: int


class Cost(msgspec.Struct, frozen=True):
    """Estimated cost of a plan.

    Attributes
    ----------
    keys : int
        Number of keys that change their owner.
    cross_region_bytes : int
        Bytes transferred over the link between regions.
    expected_seconds : float
        Time until the change is complete.
    """

    slices: int = 0
    keys: int = 0
    cross_region_bytes: int = 0
    expected_seconds: float = ACCEPTANCE_SECONDS


class Plan(msgspec.Struct, frozen=True):
    """An intent with its effects, based on one revision of the configuration.

    Attributes
    ----------
    steps : tuple of dict
        Changes to commit in order, each one after the previous one has been accepted by all nodes.
    warnings : tuple of str
        Effects that the operator should know before confirming.
    """

    id: str
    intent: dict[str, Any]
    base_revision: int
    steps: tuple[dict[str, Any], ...]
    moves: tuple[Move, ...] = ()
    cost: Cost = Cost()
    warnings: tuple[str, ...] = ()


class Effects(msgspec.Struct, frozen=True):
    """Steps of an intent with their moves, cost and warnings."""

    steps: tuple[Intent, ...]
    moves: tuple[Move, ...] = ()
    cost: Cost = Cost()
    warnings: tuple[str, ...] = ()


class PlanInputs(msgspec.Struct, frozen=True):
    """Configuration, owners and estimates that a plan is computed from."""

    document: Document
    owners: tuple[OwnerRow, ...]
    estimate: Estimate


def make_plan(
    intent: Intent,
    document: Document,
    owners: Iterable[OwnerRow],
    plan_id: str,
    estimate: Estimate | None = None,
    lease_versions: Mapping[str, int] | None = None,
) -> Plan:
    """Validate an intent against the document and compute its steps, moves and cost.

    Parameters
    ----------
    owners : iterable of OwnerRow
        Current owners.
    lease_versions : mapping of str to int, optional
        Version of each node's lease row, for ``ReleaseNodes``.

    Raises
    ------
    InvalidArgument
        If the intent is not valid for the document.
    """
    bound_intent = _bind_lease_versions(intent, lease_versions or {})
    inputs = PlanInputs(document, tuple(owners), estimate or Estimate())
    effects = _effects(bound_intent, inputs)
    # Only the first step can be validated now; a later one depends on the revision of the previous one.
    apply(effects.steps[0], document)
    return Plan(
        id=plan_id,
        intent=encode_step(bound_intent),
        base_revision=document.revision,
        steps=tuple(encode_step(step) for step in effects.steps),
        moves=effects.moves,
        cost=effects.cost,
        warnings=effects.warnings,
    )


def _bind_lease_versions(intent: Intent, lease_versions: Mapping[str, int]) -> Intent:
    if not isinstance(intent, ReleaseNodes):
        return intent
    versions = {node: lease_versions[node] for node in intent.nodes if node in lease_versions}
    return msgspec.structs.replace(intent, lease_versions=versions)


@singledispatch
def _effects(intent: Intent, inputs: PlanInputs) -> Effects:
    """Return the effects of an intent; by default a single step that moves nothing."""
    return Effects((intent,))


@_effects.register
def _(intent: SetHomeRegions, inputs: PlanInputs) -> Effects:
    # Validates the arguments before steps are derived from them.
    after = apply(intent, inputs.document).tenants[intent.tenant]
    before = inputs.document.tenants[intent.tenant]
    moves, share = [], 0.0
    for route in inputs.document.routes.values():
        old, new = candidate_regions(route, before), candidate_regions(route, after)
        if old == new:
            continue
        moves.append(Move(route.name, "", ",".join(old), new, 0, 0))
        share = max(share, moved_key_share(old, new))
    if not moves:
        return Effects((intent,))
    warnings = tuple(
        f"service {m.service} is not available in the new regions" for m in moves if not m.receivers
    )
    steps = (SuspendTenant(intent.tenant), ActivateHomeRegions(intent.tenant, after.home_regions, 0))
    return Effects(steps, tuple(moves), _cross_region_cost(intent.tenant, share, inputs.estimate), warnings)


def moved_key_share(old: tuple[str, ...], new: tuple[str, ...]) -> float:
    """Return the share of keys that change their region when the candidate regions change.

    With rendezvous hashing a key stays exactly if the region that wins among all old and new candidates is in
    both sets.
    """
    union = set(old) | set(new)
    return 1.0 - len(set(old) & set(new)) / len(union) if union else 0.0


def _cross_region_cost(tenant: str, share: float, estimate: Estimate) -> Cost:
    keys = round(estimate.tenant_keys.get(tenant, 0) * share)
    traffic = round(keys * estimate.bytes_per_key)
    seconds = 2 * ACCEPTANCE_SECONDS + traffic / estimate.cross_region_bytes_per_second
    return Cost(0, keys, traffic, round(seconds, 1))


@_effects.register
def _(intent: DrainFailureDomain, inputs: PlanInputs) -> Effects:
    def is_leaving(row: OwnerRow) -> bool:
        return row.failure_domain == intent.failure_domain

    return _leaving_effects(
        intent, inputs, is_leaving, f"failure domain {intent.failure_domain}", HANDOVER_SECONDS
    )


@_effects.register
def _(intent: RetireTarget, inputs: PlanInputs) -> Effects:
    return _leaving_effects(
        intent, inputs, lambda row: row.node == intent.node, f"node {intent.node}", HANDOVER_SECONDS
    )


@_effects.register
def _(intent: ReleaseNodes, inputs: PlanInputs) -> Effects:
    name = "nodes " + ", ".join(intent.nodes)
    return _leaving_effects(intent, inputs, lambda row: row.node in intent.nodes, name, TAKEOVER_SECONDS)


def _leaving_effects(
    intent: Intent, inputs: PlanInputs, is_leaving: Callable[[OwnerRow], bool], name: str, seconds: float
) -> Effects:
    """Return the effects of owners that hand over all their slices to the remaining owners of their rings."""
    leaving = [row for row in inputs.owners if is_leaving(row)]
    remaining = _accepting_owners_by_ring(inputs, is_leaving)
    moves, warnings, handovers = [], [], 0
    if not leaving:
        warnings.append(f"{name} has no owners at present")
    for (service, region, failure_domain), group in sorted(_by_failure_domain(leaving).items()):
        receivers = remaining.get((service, region), ())
        slices = sum(len(row.slices) for row in group)
        receiving_domains = tuple(sorted({row.failure_domain for row in receivers}))
        moves.append(Move(service, region, failure_domain, receiving_domains, len(group), slices))
        # A node hands over to one receiver at a time, while nodes work in parallel.
        handovers = max(handovers, *(min(len(receivers), len(row.slices)) for row in group))
        if slices and not receivers:
            warnings.append(f"ring {service}@{region} keeps no owner that takes work")
    cost = _intra_region_cost(moves, inputs, handovers * seconds)
    return Effects((intent,), tuple(moves), cost, tuple(dict.fromkeys(warnings)))


def _by_failure_domain(rows: Iterable[OwnerRow]) -> dict[tuple[str, str, str], list[OwnerRow]]:
    groups: dict[tuple[str, str, str], list[OwnerRow]] = {}
    for row in rows:
        groups.setdefault((row.service, row.region, row.failure_domain), []).append(row)
    return groups


def _accepting_owners_by_ring(
    inputs: PlanInputs, is_leaving: Callable[[OwnerRow], bool]
) -> dict[tuple[str, str], list[OwnerRow]]:
    rings: dict[tuple[str, str], list[OwnerRow]] = {}
    for row in inputs.owners:
        if not is_leaving(row) and inputs.document.accepts_work(row.node, row.failure_domain):
            rings.setdefault((row.service, row.region), []).append(row)
    return rings


@_effects.register
def _(intent: ReturnFailureDomain, inputs: PlanInputs) -> Effects:
    """Return the effects of returning owners that receive their share of each ring by capacity."""
    failure_domain = intent.failure_domain
    returning = [row for row in inputs.owners if row.failure_domain == failure_domain]
    accepting = _accepting_owners_by_ring(inputs, lambda row: row.failure_domain == failure_domain)
    moves, handovers = [], 0
    for (service, region, _domain), group in sorted(_by_failure_domain(returning).items()):
        donors = accepting.get((service, region), [])
        slices = _slices_to_receive(group, donors)
        sources = ",".join(sorted({row.failure_domain for row in donors}))
        moves.append(Move(service, region, sources, (failure_domain,), len(donors), slices))
        if donors:
            handovers = max(handovers, min(len(group), -(-slices // len(donors))))
    warnings = () if moves else (f"failure domain {failure_domain} has no owners at present",)
    return Effects(
        (intent,), tuple(moves), _intra_region_cost(moves, inputs, handovers * HANDOVER_SECONDS), warnings
    )


def _slices_to_receive(returning: list[OwnerRow], accepting: list[OwnerRow]) -> int:
    """Return the number of slices by which returning owners are below their share by capacity."""
    capacity = sum(row.capacity for row in (*returning, *accepting))
    total = sum(len(row.slices) for row in (*returning, *accepting))
    held = sum(len(row.slices) for row in returning)
    share = sum(row.capacity for row in returning) / capacity if capacity else 0.0
    return max(0, round(total * share) - held)


def _intra_region_cost(moves: Iterable[Move], inputs: PlanInputs, moving_seconds: float) -> Cost:
    """Return the cost of moves within regions, in which nodes move their slices in parallel."""
    slices = sum(move.slices for move in moves)
    expected = round(ACCEPTANCE_SECONDS + moving_seconds, 1)
    return Cost(slices, round(slices * inputs.estimate.keys_per_slice), 0, expected)
