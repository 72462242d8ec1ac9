"""Random histories that keep every rule, and a mutation per violation type that breaks only its rule."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

from msgspec.structs import replace

from tests.history import checker
from tests.history.model import (
    Effect,
    Event,
    History,
    Operation,
    OwnershipView,
    Placement,
    RevisionAccepted,
    RevisionObserved,
)

STEP_SECONDS = 0.2
STEP_COUNT = 160
END_SECONDS = STEP_COUNT * STEP_SECONDS
# Leaves room for a mutation to insert an epoch between two consecutive ones.
EPOCH_GAP = 10
LOSS = Event("loss", at=5.0, until=8.0, nodes=("ost-a2",))
DRAIN = Event("drain", at=10.0, until=20.0, failure_domain="ost-b")
STOP = Event("stop", at=22.0, until=22.5, nodes=("ost-b1",))
LEAVE = Event("leave", at=24.0, nodes=("ost-a1",))
EVENTS = (LOSS, DRAIN, STOP, LEAVE)
PLACEMENTS = tuple(
    Placement(f"{region}-{domain}{number}", region, f"{region}-{domain}")
    for region in ("ost", "west")
    for domain in "ab"
    for number in (1, 2)
)
# (tenant, service, region) of each key; only "lookup" is partitioned by key.
KEYS = tuple((f"tenant-{r}", service, r) for r in ("ost", "west") for service in ("lookup", "archive"))


def clean_history(random: Random) -> History:
    """Return a history in which ownership moves and nodes fail and leave, but no rule is broken."""
    operations, effects = [], []
    owners: dict[int, tuple[str, int]] = {}
    epoch = 0
    for step in range(STEP_COUNT):
        at, index = step * STEP_SECONDS, step % len(KEYS)
        available = [
            placement.node
            for placement in PLACEMENTS
            if placement.region == KEYS[index][2] and _available(placement, at)
        ]
        if owners.get(index, ("",))[0] not in available or random.random() < 0.2:
            epoch += EPOCH_GAP
            owners[index] = random.choice(available), epoch
        operation, effect = _request(random, step, owners[index])
        operations.append(operation)
        effects.extend(effect)
    return History(
        operations=tuple(operations),
        effects=tuple(effects),
        placements=PLACEMENTS,
        events=EVENTS,
        ownership=tuple(_view(random, at) for at in (1.0, 9.0, 30.0)),
        observed_revisions=tuple(
            RevisionObserved(placement.node, at, 1 + (at > 4) + (at > 12 + random.random()))
            for placement in PLACEMENTS
            for at in (1.0, 5.0, 12.5, 20.5, 30.0)
        ),
        accepted_revisions=(RevisionAccepted(2, 4.0), RevisionAccepted(3, 13.0)),
        home_regions={"tenant-ost": ("ost",)},
        partitioned=("lookup",),
        outputs={"ost-a1 log": "HD001 started", "west-a1 metrics": "requests_total 7"},
    )


def _available(placement: Placement, at: float) -> bool:
    affecting = [
        event
        for event in EVENTS
        if placement.node in event.nodes or placement.failure_domain == event.failure_domain
    ]
    return not any(event.at <= at <= event.until for event in affecting)


def _request(random: Random, step: int, owner: tuple[str, int]) -> tuple[Operation, Iterable[Effect]]:
    index, at = step % len(KEYS), step * STEP_SECONDS
    tenant, service, _ = KEYS[index]
    # No request fails soon after the loss or around the planned stop, where a failure would break a rule.
    without_failures = (LOSS.at, LOSS.at + checker.RECOVERY_SECONDS), (STOP.at - 1, STOP.until)
    may_fail = random.random() < 0.3 and not any(start <= at <= end for start, end in without_failures)
    outcome = random.choice(("ok", "not_run", "unknown")) if may_fail else "ok"
    executed = outcome == "ok" or (outcome == "unknown" and random.random() < 0.5)
    operation = Operation(
        request_id=f"{step:032x}",
        caller="c1",
        tenant=tenant,
        service=service,
        key=b"key-%d" % index,
        idempotent=random.random() < 0.5,
        invoked=at,
        completed=at + STEP_SECONDS * 0.9,
        outcome=outcome,
        target=owner[0] if outcome == "ok" else "",
        epoch=owner[1] if outcome == "ok" else 0,
        answer=f"digest-{step}" if outcome == "ok" else "",
        length=100 + step if outcome == "ok" else 0,
        error="" if outcome == "ok" else outcome,
        markers=(f"crest-{step:08x}",),
    )
    return operation, [_effect(operation, *owner)] if executed else []


def _effect(operation: Operation, target: str, epoch: int) -> Effect:
    step = int(operation.request_id, 16)
    return Effect(
        request_id=operation.request_id,
        target=target,
        service=operation.service,
        key=operation.key,
        epoch=epoch,
        started=operation.invoked + STEP_SECONDS * 0.3,
        ended=operation.invoked + STEP_SECONDS * 0.8,
        answer=f"digest-{step}",
        length=100 + step,
    )


def _view(random: Random, at: float) -> OwnershipView:
    holders = [random.choice(("ost-a1", "ost-b1", "")) for _ in range(16)]
    slices = {
        name: tuple(s for s, holder in enumerate(holders) if holder == name) for name in ("ost-a1", "ost-b1")
    }
    unowned = tuple(s for s, holder in enumerate(holders) if not holder)
    return OwnershipView(at, "lookup", "ost", 16, slices, unowned)


def mutate(history: History, kind: str, random: Random) -> History:
    """Return a copy of the history that breaks the rule of violation type ``kind``."""
    return MUTATIONS[getattr(checker, kind)](history, random)


def _replace_record(records: tuple, old, *new) -> tuple:
    at = records.index(old)
    return (*records[:at], *new, *records[at + 1 :])


def _choose_answered(
    history: History, random: Random, *, idempotent: bool | None = None, **values
) -> Operation:
    """Choose an answered request with these attribute values, invoked outside the recovery from the loss."""
    return random.choice(
        [
            operation
            for operation in history.operations
            if operation.outcome == "ok"
            and not LOSS.at <= operation.invoked <= LOSS.at + checker.RECOVERY_SECONDS
            and (idempotent is None or operation.idempotent is idempotent)
            and all(getattr(operation, name) == value for name, value in values.items())
        ]
    )


def _effect_of(history: History, operation: Operation) -> Effect:
    return next(effect for effect in history.effects if effect.request_id == operation.request_id)


def _execute_at_other_target(history: History, shift: float, epoch_change: int) -> History:
    """Add a request of unknown outcome for the last executed key, executed at another target."""
    last = max((e for e in history.effects if e.service == "lookup"), key=lambda effect: effect.started)
    region = next(placement.region for placement in PLACEMENTS if placement.node == last.target)
    target = next(
        p.node
        for p in PLACEMENTS
        if p.region == region and p.node != last.target and _available(p, END_SECONDS)
    )
    base = next(operation for operation in history.operations if operation.request_id == last.request_id)
    name = f"{STEP_COUNT:032x}"
    operation = replace(base, request_id=name, idempotent=True, outcome="unknown", target="", error="unknown")
    moved = {"started": last.started + shift, "ended": last.ended + shift, "epoch": last.epoch + epoch_change}
    effect = replace(last, request_id=name, target=target, **moved)
    return replace(history, operations=(*history.operations, operation), effects=(*history.effects, effect))


def _overlap_execution(history: History, random: Random) -> History:
    return _execute_at_other_target(history, random.uniform(0.01, 0.09), EPOCH_GAP // 2)


def _lower_epoch(history: History, random: Random) -> History:
    return _execute_at_other_target(history, random.uniform(0.11, 5.0), random.choice((0, -EPOCH_GAP // 2)))


def _change_view(history: History, random: Random, assigned_twice: bool) -> History:
    view = random.choice([v for v in history.ownership if any(v.owners.values())])
    owner = random.choice([name for name, slices in view.owners.items() if slices])
    lost = random.choice(view.owners[owner])
    if assigned_twice:
        changed = replace(view, unowned=(*view.unowned, lost))
    else:
        kept = tuple(s for s in view.owners[owner] if s != lost)
        changed = replace(view, owners={**view.owners, owner: kept})
    return replace(history, ownership=_replace_record(history.ownership, view, changed))


def _execute_twice(history: History, random: Random) -> History:
    effect = _effect_of(history, _choose_answered(history, random, idempotent=False))
    return replace(history, effects=(*history.effects, effect))


def _report_not_run(history: History, random: Random) -> History:
    operation = _choose_answered(history, random)
    denied = replace(operation, outcome="not_run", target="", error="overloaded")
    return replace(history, operations=_replace_record(history.operations, operation, denied))


def _remove_effect(history: History, random: Random) -> History:
    effect = _effect_of(history, _choose_answered(history, random))
    return replace(history, effects=_replace_record(history.effects, effect))


def _change_answer(history: History, random: Random) -> History:
    operation, other = _choose_answered(history, random), {"answer": "digest-of-another"}
    changed = replace(operation, **random.choice((other, {"length": operation.length - 1})))
    return replace(history, operations=_replace_record(history.operations, operation, changed))


def _execute_outside_home(history: History, random: Random) -> History:
    operation = _choose_answered(history, random, idempotent=True, tenant="tenant-ost", service="archive")
    effect, target = _effect_of(history, operation), random.choice(("west-a1", "west-b2"))
    return replace(
        history,
        operations=_replace_record(history.operations, operation, replace(operation, target=target)),
        effects=_replace_record(history.effects, effect, replace(effect, target=target)),
    )


def _expose_content(history: History, random: Random) -> History:
    operation = random.choice([o for o in history.operations if o.tenant in history.home_regions])
    source = random.choice(sorted(history.outputs))
    text = f"{history.outputs[source]} {operation.markers[0]}"
    return replace(history, outputs={**history.outputs, source: text})


def _execute_while_leaving(history: History, random: Random) -> History:
    target, start, end = random.choice((("ost-b1", DRAIN.at, DRAIN.until), ("ost-a1", LEAVE.at, END_SECONDS)))
    at = random.uniform(start + checker.DRAIN_SECONDS + 0.01, end - 0.1)
    operation = _choose_answered(history, random, idempotent=True, tenant="tenant-ost", service="archive")
    added = replace(operation, request_id=f"{STEP_COUNT:032x}", target=target)
    effect = replace(_effect_of(history, operation), request_id=added.request_id, target=target)
    effect = replace(effect, started=at, ended=at + 0.01)
    return replace(history, operations=(*history.operations, added), effects=(*history.effects, effect))


def _interrupt_at_stop(history: History, random: Random) -> History:
    stopped = [o for o in history.operations if o.completed >= STOP.at and o.invoked <= STOP.until]
    operation = random.choice(stopped)
    cut = replace(operation, outcome="unknown", error="outcome_unknown", target="")
    return replace(history, operations=_replace_record(history.operations, operation, cut))


def _revert_revision(history: History, random: Random) -> History:
    process, last = random.choice(PLACEMENTS).node, history.accepted_revisions[-1].revision
    added = (
        RevisionObserved(process, END_SECONDS, last + 2),
        RevisionObserved(process, END_SECONDS + 1, last + random.choice((0, 1))),
    )
    return replace(history, observed_revisions=(*history.observed_revisions, *added))


def _delay_revision(history: History, random: Random) -> History:
    process, last = random.choice(PLACEMENTS).node, history.accepted_revisions[-1].revision
    seen = tuple(
        replace(s, revision=min(s.revision, last - 1)) if s.process == process else s
        for s in history.observed_revisions
    )
    return replace(history, observed_revisions=seen)


def _delay_recovery(history: History, random: Random) -> History:
    key = b"key-%d" % random.choice([i for i, (_, service, _) in enumerate(KEYS) if service == "lookup"])
    limit = random.choice((LOSS.at + checker.RECOVERY_SECONDS, STOP.at - 1))
    operations = tuple(
        replace(o, outcome="unknown", target="", error="outcome_unknown")
        if o.key == key and LOSS.at <= o.invoked <= limit
        else o
        for o in history.operations
    )
    return replace(history, operations=operations)


MUTATIONS: dict[type[checker.Violation], Callable[[History, Random], History]] = {
    checker.OverlappingOwners: _overlap_execution,
    checker.EpochWentBack: _lower_epoch,
    checker.SliceOwnedTwice: lambda history, random: _change_view(history, random, assigned_twice=True),
    checker.AssignmentLost: lambda history, random: _change_view(history, random, assigned_twice=False),
    checker.ExecutedTwice: _execute_twice,
    checker.NotRunButExecuted: _report_not_run,
    checker.AnswerWithoutEffect: _remove_effect,
    checker.WrongAnswer: _change_answer,
    checker.ServedOutsideHome: _execute_outside_home,
    checker.ContentExposed: _expose_content,
    checker.NewWorkAfterDrain: _execute_while_leaving,
    checker.RequestCut: _interrupt_at_stop,
    checker.RevisionReverted: _revert_revision,
    checker.RevisionLate: _delay_revision,
    checker.NotServedAgain: _delay_recovery,
}
