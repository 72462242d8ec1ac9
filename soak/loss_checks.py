"""Checks that no request ends unanswered, and that no answer is given in place of a target's success."""

from __future__ import annotations

from collections import defaultdict
from typing import Any

from tools.router_system import ROUTES

from soak.callers import TARGET_FAULTS, RequestRecord
from soak.checks import DEADLINE_SECONDS, LATE_ANSWER_TOLERANCE_SECONDS, Intervals, disturbed
from soak.stop_checks import CONTACT_SECONDS, STORE

# Of the settings that the platform gives to routers.
GRACE_SECONDS = 6.0
# Within the last sixth of the grace period a run may be broken off if its request was sent early in it.
RUN_END_SECONDS = GRACE_SECONDS * 5 / 6
SENT_EARLY_SECONDS = 3.0
OWN_FAILURES = (502, 504)
# So many requests without an answer are reported, if they are more than half of those that reach their time.
MIN_SILENT_REQUESTS = 8
TIME_LIMITS = {row[2]: min(DEADLINE_SECONDS, row[4]) for row in ROUTES}


def time_limit(entry: RequestRecord) -> float:
    """Return the seconds after which a request reaches its deadline or the timeout of its route."""
    return TIME_LIMITS.get(entry.path[: entry.path.rfind("/") + 1], DEADLINE_SECONDS)


def excused_by_fault(entry: RequestRecord, vms: set[str], faults: Intervals, until: float) -> bool:
    """Return whether a fault of the VMs, or of the store if the request has a key, excuses the request."""
    names = vms | ({STORE} if entry.path.startswith("/k/") else set())
    return any(disturbed(faults, name, entry.started_at - CONTACT_SECONDS, until) for name in names)


def lost_violations(
    requests: list[RequestRecord],
    records: list[dict[str, Any]],
    stops: Intervals,
    faults: Intervals,
    read_ids: dict[str, set[str]],
) -> list[str]:
    """Return the requests that were read or run, and whose connection ended without a complete answer.

    Rule LOST, at any time. Not reported are requests

    - that were not sent completely, or sent behind another one and not run: they may cross a close;
    - that had reached their deadline or the timeout of their route;
    - whose path asked the target to break off;
    - with a fault of the VM of their caller or of the target that ran them from ``CONTACT_SECONDS`` before
      the request to its end: the rule is about machines in touch and sound instances. The store excuses only
      requests with a key;
    - that ended in a planned stop of the caller's VM, which ``stop_checks`` judges.

    Parameters
    ----------
    stops, faults, read_ids : dict
        As for ``stop_checks.cut_requests`` and ``stop_checks.cut_violations``.
    """
    runs: dict[str, set[str]] = defaultdict(set)
    for record in records:
        if record["event"] == "run":
            runs[record["id"]].add(record["target"].removeprefix("i-"))
    violations = []
    for entry in requests:
        if entry.status or not entry.sent_at or entry.ended_at - entry.started_at >= time_limit(entry):
            continue
        targets = runs.get(entry.attempt, set())
        read = not entry.pipelined and entry.attempt in read_ids.get(entry.vm, ())
        if (
            not (targets or read)
            or entry.path.rpartition("/")[2] in TARGET_FAULTS
            or disturbed(stops, entry.vm, entry.ended_at, entry.ended_at)
            or excused_by_fault(entry, {entry.vm} | targets, faults, entry.ended_at)
        ):
            continue
        how = f"ran on {', '.join(sorted(targets))}" if targets else "was read"
        violations.append(
            f"no answer though it {how}: {entry.attempt} {entry.path} on {entry.vm}, "
            f"sent {entry.sent_at:.3f}, ended {entry.ended_at:.3f}"
        )
    return violations


def replaced_violations(
    requests: list[RequestRecord], records: list[dict[str, Any]], stops: Intervals, faults: Intervals
) -> list[str]:
    """Return the failures that a stopping router gave in place of a target that was at work and succeeded.

    Rule LOST, after a SIGTERM. Not reported are answers

    - that bear the signature of a target;
    - at the deadline or the timeout of the route;
    - to requests sent no later than ``SENT_EARLY_SECONDS`` after the signal whose run ended in the last sixth
      of the grace period;
    - with a fault of the VM of the caller or of the target from ``CONTACT_SECONDS`` before the request to
      the end of the run. The store excuses only requests with a key.
    """
    ends: dict[str, list[dict[str, Any]]] = defaultdict(list)
    begins: dict[tuple[str, str, int], float] = {}
    for record in records:
        if record["event"] == "run":
            begins.setdefault((record["id"], record["target"], record["born"]), record["at"])
        elif record["event"] == "success":
            ends[record["id"]].append(record)
    violations = []
    for entry in requests:
        if (
            entry.status not in OWN_FAILURES
            or entry.signature
            or entry.ended_at - entry.started_at >= time_limit(entry)
        ):
            continue
        for stopped_at, exited_at in stops.get(entry.vm, ()):
            if not stopped_at <= entry.ended_at <= exited_at:
                continue
            for end in ends[entry.attempt]:
                begin = begins.get((entry.attempt, end["target"], end["born"]), float("inf"))
                early = entry.sent_at <= stopped_at + SENT_EARLY_SECONDS
                vms = {entry.vm, end["target"].removeprefix("i-")}
                if (
                    begin <= entry.ended_at < end["at"]
                    and not (early and end["at"] > stopped_at + RUN_END_SECONDS)
                    and not excused_by_fault(entry, vms, faults, end["at"])
                ):
                    violations.append(
                        f"{entry.status} in place of the success of {end['target']} at {end['at']}: "
                        f"{entry.attempt} {entry.path} on {entry.vm} at {entry.ended_at:.3f}"
                    )
    return violations


def silent_violations(requests: list[RequestRecord], disturbances: Intervals) -> list[str]:
    """Return the VMs that gave no answer to most of the requests that reached their time.

    Rule CONFIG, for machines in touch: of the requests that are still unanswered at their deadline or the
    timeout of their route, more than half have no answer ``LATE_ANSWER_TOLERANCE_SECONDS`` later. Not counted
    are requests with a fault or a planned stop of their VM around them, and those that the caller did not
    wait for so long.
    """
    silent: dict[str, list[RequestRecord]] = defaultdict(list)
    counts: dict[str, int] = defaultdict(int)
    for entry in requests:
        waited = entry.ended_at - entry.started_at
        if (
            not entry.sent_at
            or waited < time_limit(entry)
            or disturbed(disturbances, entry.vm, entry.started_at - CONTACT_SECONDS, entry.ended_at)
        ):
            continue
        counts[entry.vm] += 1
        if not entry.status and waited > time_limit(entry) + LATE_ANSWER_TOLERANCE_SECONDS:
            silent[entry.vm].append(entry)
    return [
        f"no answer in time to {len(entries)} of {counts[vm]} requests on {vm}: first {entries[0].attempt}"
        f" {entries[0].path} at {entries[0].started_at:.3f}"
        for vm, entries in silent.items()
        if len(entries) >= MIN_SILENT_REQUESTS and len(entries) > counts[vm] / 2
    ]
