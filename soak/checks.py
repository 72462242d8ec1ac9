"""Checks the guarantees of the router against the answers of callers and the records of targets."""

from __future__ import annotations

from collections import defaultdict
from typing import Any

from tools.standins.holding_target import LARGE_BODY

from soak.callers import RequestRecord

NOT_RUN_STATUSES = (408, 421, 429, 503)
# All targets read the monotonic clock of this machine, and round the times in their records to milliseconds.
RECORD_ROUNDING_SECONDS = 0.002
# Time by which an answer may exceed the deadline of its request before it counts as late.
LATE_ANSWER_TOLERANCE_SECONDS = 0.5
DEADLINE_SECONDS = 2.0


# Begin and end of each pause or disturbance in monotonic seconds, by name of the VM.
Intervals = dict[str, list[tuple[float, float]]]
# A target may get 1.5 times its limit and 5 requests in any 4 s, from 4 s after it first stated the limit.
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK_REQUESTS = 5
# A request that a caller sent later than this after an answer that said so must not reach a leaving target.
DRAIN_SECONDS = 2.5


def find_violations(
    requests: list[RequestRecord],
    records: list[dict[str, Any]],
    pauses: Intervals,
    disturbances: Intervals,
) -> list[str]:
    """Return one line for each violated guarantee.

    Parameters
    ----------
    pauses : dict
        Pauses of the VMs' routers. The time of a pause is not counted as waiting.
    disturbances : dict
        Faults of the VMs' routers, targets and links. The limit of a target is not checked within
        ``LIMIT_WINDOW_SECONDS`` of one on its VM, nor a departure after one on its VM or that of the caller.
    """
    runs: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for record in records:
        if record["event"] == "run":
            runs[record["id"]].append(record)
    violations = []
    for entry in requests:
        violations += answer_violations(entry, runs[entry.attempt])
        answered_at = entry.ended_at - entry.reading_seconds
        waited = answered_at - entry.started_at - router_pause_seconds(entry, pauses)
        if entry.status and waited > DEADLINE_SECONDS + LATE_ANSWER_TOLERANCE_SECONDS:
            where = f"{entry.path} on {entry.vm} at {answered_at:.3f}"
            violations.append(f"answered after {waited:.2f} s: {entry.attempt} {where}")
    violations += limit_violations(records, disturbances)
    violations += leaving_violations(requests, records, disturbances)
    return violations + hold_violations(records)


def disturbed(disturbances: Intervals, vm: str, since: float, until: float) -> bool:
    """Return whether a VM was disturbed at some time between two monotonic times."""
    return any(begin <= until and end >= since for begin, end in disturbances.get(vm, ()))


def limit_violations(records: list[dict[str, Any]], disturbances: Intervals) -> list[str]:
    """Return the targets that got more requests than the limit that they stated tolerates."""
    violations = []
    for index, statement in enumerate(records):
        if statement["event"] != "limit" or statement["rate"] is None:
            continue
        target, rate = statement["target"], statement["rate"]
        later = [record for record in records[index + 1 :] if record["target"] == target]
        ended_at = next(
            (record["at"] for record in later if record["event"] in ("limit", "killed")), float("inf")
        )
        runs = [record["at"] for record in later if record["event"] == "run" and record["at"] < ended_at]
        tolerated = LIMIT_FACTOR * rate * LIMIT_WINDOW_SECONDS + LIMIT_SLACK_REQUESTS
        for first in runs:
            last = first + LIMIT_WINDOW_SECONDS
            count = sum(first <= at < last for at in runs)
            if first < statement["at"] + LIMIT_WINDOW_SECONDS or count <= tolerated:
                continue
            if not disturbed(disturbances, target.removeprefix("i-"), first - LIMIT_WINDOW_SECONDS, last):
                violations.append(
                    f"got {count} requests in 4 s, {tolerated:g} tolerated: {target} at {first}"
                )
                break
    return violations


def leaving_violations(
    requests: list[RequestRecord], records: list[dict[str, Any]], disturbances: Intervals
) -> list[str]:
    """Return the requests that reached a target after an answer had said on their VM that it leaves."""
    by_attempt = {entry.attempt: entry for entry in requests}
    violations = []
    for statement in (record for record in records if record["event"] == "leaving"):
        target, incarnation = statement["target"], (statement["target"], statement["born"])
        runs = [
            (by_attempt[record["id"]], record["at"])
            for record in records
            if record["event"] == "run"
            and (record["target"], record["born"]) == incarnation
            and record["at"] > statement["at"]
            and record["id"] in by_attempt
        ]
        known_at: dict[str, float] = {}
        for entry, _ in runs:
            if entry.status == 200:
                known_at[entry.vm] = min(known_at.get(entry.vm, float("inf")), entry.ended_at)
        for entry, at in runs:
            known = known_at.get(entry.vm, float("inf"))
            vms = (entry.vm, target.removeprefix("i-"))
            if entry.started_at > known + DRAIN_SECONDS and not any(
                disturbed(disturbances, vm, known - DRAIN_SECONDS, at) for vm in vms
            ):
                violations.append(f"reached a leaving target: {entry.attempt} {entry.path} at {target}")
    return violations


def answer_violations(entry: RequestRecord, runs: list[dict[str, Any]]) -> list[str]:
    """Return the violations in the answer to one request and in its runs on targets."""
    violations = []
    description = f"{entry.attempt} {entry.path} on {entry.vm}: status {entry.status}"
    if entry.non_idempotent and len(runs) > 1:
        violations.append(f"ran {len(runs)} times: {description}")
    if entry.non_idempotent and entry.status in NOT_RUN_STATUSES and runs:
        violations.append(f"said not to have run, but ran at {runs[0]['at']}: {description}")
    if entry.status == 200:
        name = entry.signature.removeprefix("sig-")
        expected = f"{name} {entry.path} {entry.body_bytes}".encode()
        if entry.path.endswith("/large"):
            expected = LARGE_BODY
        if not name or entry.body != expected:
            violations.append(f"wrong answer {entry.body[:60]!r}: {description}")
        if not any(run["target"] == f"i-{name}" for run in runs):
            violations.append(f"answered without a run: {description}")
    for run in runs:
        if run["body"] != entry.body_bytes:
            violations.append(f"ran with {run['body']} of {entry.body_bytes} bytes: {description}")
    return violations


def router_pause_seconds(entry: RequestRecord, pauses: Intervals) -> float:
    """Return for how many seconds the router of a request's VM was paused during the request."""
    return sum(
        max(0.0, min(entry.ended_at, end) - max(entry.started_at, begin))
        for begin, end in pauses.get(entry.vm, ())
    )


def hold_intervals(records: list[dict[str, Any]]) -> list[tuple[int, int, int, float, float, str]]:
    """Return each hold of a key range: first key, last key, token, begin, end, incarnation of the target."""
    intervals = []
    by_incarnation: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for record in records:
        if record["event"] in ("hold", "until"):
            by_incarnation[f"{record['target']}@{record['born']}"].append(record)
    for incarnation, entries in by_incarnation.items():
        current: dict[tuple[int, int, int], list[float]] = {}
        for entry in entries:
            if entry["event"] == "until":
                for times in current.values():
                    if entry["at"] > times[1]:
                        times[0] = entry["at"]
                    times[1] = entry["until"]
                continue
            rows = {tuple(row) for row in entry["rows"]}
            for row in set(current) - rows:
                begin, end = current.pop(row)
                intervals.append((*row, begin, min(end, entry["at"]), incarnation))
            for row in rows - set(current):
                current[row] = [entry["at"], entry["until"]]
        intervals += [(*row, begin, end, incarnation) for row, (begin, end) in current.items()]
    return intervals


def hold_violations(records: list[dict[str, Any]]) -> list[str]:
    """Return overlapping holds of a key by two targets, and fencing tokens that did not grow."""
    killed_at: dict[str, float] = {}
    for record in records:
        if record["event"] == "killed":
            # A target that crashed is recorded by itself, and later by whoever replaces it.
            killed_at.setdefault(f"{record['target']}@{record['born']}", record["at"])
    entries = sorted(
        (first, last, token, begin, min(end, killed_at.get(incarnation, end)), incarnation)
        for first, last, token, begin, end, incarnation in hold_intervals(records)
    )
    violations = []
    for index, (first, last, token, begin, end, incarnation) in enumerate(entries):
        for other in entries[index + 1 :]:
            if other[0] > last:
                break
            if other[5] == incarnation:
                continue
            if min(end, other[4]) - max(begin, other[3]) > RECORD_ROUNDING_SECONDS:
                violations.append(
                    f"two holders of {other[0]}..{min(last, other[1])}: {incarnation} and {other[5]}"
                )
            elif (begin < other[3]) != (token < other[2]):
                violations.append(
                    f"token of {first}..{last} did not grow: "
                    f"{token} at {incarnation}, {other[2]} at {other[5]}"
                )
    return violations
