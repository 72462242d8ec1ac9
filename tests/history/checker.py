"""Checks a recorded history against the guarantees of the design page, section 1.2.

Each rule is a function that yields violations of its own types, so that a report names the broken
guarantee and the records that prove it.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from itertools import combinations, pairwise

import msgspec

from tests.history.model import UNPLANNED_EVENT_KINDS, Effect, Event, History, Operation, OwnershipView

# Stated targets of the design page: guarantees 4 and 9 ("a few seconds"), section 1.6 (5 s and 7 s).
DRAIN_SECONDS = 5.0
RECOVERY_SECONDS = 5.0
CONFIGURATION_SECONDS = 7.0


class Violation(msgspec.Struct, frozen=True):
    """A broken guarantee; each subclass names the guarantee, and its fields hold the evidence."""


class OverlappingOwners(Violation, frozen=True):
    """Two targets executed requests of one key at overlapping times."""

    first: Effect
    second: Effect


class EpochWentBack(Violation, frozen=True):
    """A later execution of a key at another target does not carry a higher epoch."""

    first: Effect
    second: Effect


class SliceOwnedTwice(Violation, frozen=True):
    """The acknowledged rows assign a slice to more than one owner, or to an owner and the unowned set."""

    at: float
    ring: str
    slices: tuple[int, ...]


class AssignmentLost(Violation, frozen=True):
    """A slice is neither in an owner row nor in the unowned set of its ring row."""

    at: float
    ring: str
    slices: tuple[int, ...]


class ExecutedTwice(Violation, frozen=True):
    """A non-idempotent request was executed more than once."""

    request_id: str
    targets: tuple[str, ...]


class NotRunButExecuted(Violation, frozen=True):
    """A request was reported as not run, but a target executed it."""

    operation: Operation
    target: str


class AnswerWithoutEffect(Violation, frozen=True):
    """A request was answered, but the target named in the answer recorded no execution of it."""

    operation: Operation


class WrongAnswer(Violation, frozen=True):
    """The answer that the caller received differs from the one that the target sent."""

    operation: Operation


class ServedOutsideHome(Violation, frozen=True):
    """A request with home regions was executed in another region."""

    request_id: str
    target: str
    region: str


class ContentExposed(Violation, frozen=True):
    """A log, metric or store contains the key or body of a request with home regions."""

    request_id: str
    source: str


class NewWorkAfterDrain(Violation, frozen=True):
    """A drained failure domain or a leaving target still started requests after ``DRAIN_SECONDS``."""

    effect: Effect
    seconds: float


class RequestCut(Violation, frozen=True):
    """A planned stop interrupted a request."""

    operation: Operation
    nodes: tuple[str, ...]


class RevisionReverted(Violation, frozen=True):
    """The configuration revision applied by a process decreased."""

    process: str
    before: int
    after: int


class RevisionLate(Violation, frozen=True):
    """A serving process had not applied an accepted revision after ``CONFIGURATION_SECONDS``."""

    process: str
    revision: int
    seconds: float


class NotServedAgain(Violation, frozen=True):
    """A key was not served within ``RECOVERY_SECONDS`` of a loss."""

    service: str
    key: bytes
    lost: float


def check(history: History) -> list[Violation]:
    """Return every violation in the history; the list is empty if all guarantees hold."""
    return [violation for rule in RULES for violation in rule(history)]


def check_single_owner(history: History) -> Iterator[Violation]:
    """Check that executions of a key at different targets do not overlap and have increasing epochs.

    Covers only requests that need the owner of their key.
    """
    owner_only = {o.request_id for o in history.operations if needs_owner(history, o)}
    by_key: dict[tuple[str, bytes], list[Effect]] = defaultdict(list)
    for effect in history.effects:
        if effect.service in history.partitioned or effect.request_id in owner_only:
            by_key[effect.service, effect.key].append(effect)
    for effects in by_key.values():
        effects.sort(key=lambda effect: effect.started)
        yield from _compare_executions(effects)


def _compare_executions(effects: list[Effect]) -> Iterator[Violation]:
    """Compare each execution with the latest end and the highest epoch at every other target."""
    latest_end: dict[str, Effect] = {}
    highest_epoch: dict[str, Effect] = {}
    for effect in effects:
        for target, other in latest_end.items():
            if target != effect.target and effect.started < other.ended:
                yield OverlappingOwners(other, effect)
        for target, other in highest_epoch.items():
            if target != effect.target and effect.epoch <= other.epoch:
                yield EpochWentBack(other, effect)
        latest_end[effect.target] = max(latest_end.get(effect.target, effect), effect, key=lambda e: e.ended)
        highest_epoch[effect.target] = max(
            highest_epoch.get(effect.target, effect), effect, key=lambda e: e.epoch
        )


def check_assignments(history: History) -> Iterator[Violation]:
    """Check that each view of the table assigns every slice of a ring exactly once."""
    for view in history.ownership:
        holders = [frozenset(slices) for slices in (*view.owners.values(), view.unowned)]
        twice = set().union(*(one & other for one, other in combinations(holders, 2)))
        missing = set(range(view.slice_count)).difference(*holders)
        if twice:
            yield SliceOwnedTwice(view.at, _ring_name(view), tuple(sorted(twice)))
        if missing:
            yield AssignmentLost(view.at, _ring_name(view), tuple(sorted(missing)))


def _ring_name(view: OwnershipView) -> str:
    return f"{view.service}@{view.region}"


def check_outcomes(history: History) -> Iterator[Violation]:
    """Compare the outcome reported to each caller with the executions that the targets recorded."""
    effects: dict[str, list[Effect]] = defaultdict(list)
    for effect in history.effects:
        effects[effect.request_id].append(effect)
    for operation in history.operations:
        own = effects[operation.request_id]
        if not operation.idempotent and len(own) > 1:
            yield ExecutedTwice(operation.request_id, tuple(effect.target for effect in own))
        if operation.outcome == "not_run" and own:
            yield NotRunButExecuted(operation, own[0].target)
        if operation.outcome == "ok":
            yield from _check_answer(operation, own)


def _check_answer(operation: Operation, effects: list[Effect]) -> Iterator[Violation]:
    own = [effect for effect in effects if effect.target == operation.target]
    if not own:
        yield AnswerWithoutEffect(operation)
    elif (operation.answer, operation.length) not in {(effect.answer, effect.length) for effect in own}:
        yield WrongAnswer(operation)


def check_home_regions(history: History) -> Iterator[Violation]:
    """Check that requests with home regions stay within them, and out of logs, metrics and stores."""
    regions = {placement.node: placement.region for placement in history.placements}
    operations = {o.request_id: o for o in history.operations if o.tenant in history.home_regions}
    for effect in history.effects:
        operation = operations.get(effect.request_id)
        if operation and regions[effect.target] not in history.home_regions[operation.tenant]:
            yield ServedOutsideHome(effect.request_id, effect.target, regions[effect.target])
    for operation in operations.values():
        for source, text in history.outputs.items():
            if any(marker in text for marker in operation.markers):
                yield ContentExposed(operation.request_id, source)


def check_drained_targets(history: History) -> Iterator[Violation]:
    """Check that draining and leaving targets start no request after ``DRAIN_SECONDS``."""
    domains = {placement.node: placement.failure_domain for placement in history.placements}
    for event in history.events:
        if event.kind not in ("drain", "leave"):
            continue
        for effect in history.effects:
            affected = effect.target in event.nodes or domains[effect.target] == event.failure_domain
            if affected and event.at + DRAIN_SECONDS < effect.started < event.until:
                yield NewWorkAfterDrain(effect, effect.started - event.at)


def check_planned_stops(history: History) -> Iterator[Violation]:
    """Check that a planned stop leaves no request with an unknown outcome unless a fault explains it."""
    faults = [event for event in history.events if event.kind in UNPLANNED_EVENT_KINDS]
    for stop in history.events:
        if stop.kind != "stop":
            continue
        for operation in history.operations:
            if operation.outcome != "unknown" or not _overlaps(operation, stop):
                continue
            if not any(_overlaps(operation, fault) for fault in faults):
                yield RequestCut(operation, stop.nodes)


def _overlaps(operation: Operation, event: Event) -> bool:
    return operation.invoked <= event.until and event.at <= operation.completed


def check_revisions(history: History) -> Iterator[Violation]:
    """Check that each process applies accepted revisions in time and never reverts to an older one."""
    processes = defaultdict(list)
    for observed in sorted(history.observed_revisions, key=lambda observed: observed.at):
        processes[observed.process].append(observed)
    for process, sequence in processes.items():
        for before, after in pairwise(sequence):
            if after.revision < before.revision:
                yield RevisionReverted(process, before.revision, after.revision)
        for accepted in history.accepted_revisions:
            limit = accepted.at + CONFIGURATION_SECONDS
            late = [s for s in sequence if s.serving and s.at > limit and s.revision < accepted.revision]
            if late:
                yield RevisionLate(process, accepted.revision, late[0].at - accepted.at)


def check_recovery(history: History) -> Iterator[Violation]:
    """Check that each key requested soon after a loss is answered within ``RECOVERY_SECONDS`` of it."""
    for loss in (event for event in history.events if event.kind == "loss"):
        for (service, key), seconds in recovery_seconds(history, loss).items():
            if seconds > RECOVERY_SECONDS:
                yield NotServedAgain(service, key, loss.at)


def recovery_seconds(history: History, event: Event) -> dict[tuple[str, bytes], float]:
    """Return the time from an event to the first answer of each key requested soon after it.

    Only requests that need the key's owner count, since any target may answer the others. The value
    is infinity for a key without an answer.
    """
    after = [o for o in history.operations if o.invoked >= event.at and needs_owner(history, o)]
    soon = [o for o in after if o.invoked <= event.at + RECOVERY_SECONDS]
    found = {(o.service, o.key): float("inf") for o in soon}
    for operation in after:
        name = operation.service, operation.key
        if operation.outcome == "ok" and name in found:
            found[name] = min(found[name], operation.completed - event.at)
    return found


def needs_owner(history: History, operation: Operation) -> bool:
    """Return whether only the owner of the key may serve the request."""
    return operation.service in history.partitioned or not operation.idempotent


RULES = (
    check_single_owner,
    check_assignments,
    check_outcomes,
    check_home_regions,
    check_drained_targets,
    check_planned_stops,
    check_revisions,
    check_recovery,
)
