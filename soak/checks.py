"""Checks the guarantees of the router against the answers of callers and the records of targets."""

from __future__ import annotations

from collections import defaultdict
from typing import Any

from soak.callers import RequestRecord

NOT_RUN_STATUSES = (408, 421, 429, 503)
# All targets read the monotonic clock of this machine, and round the times in their records to milliseconds.
RECORD_ROUNDING_SECONDS = 0.002
# Time by which an answer may exceed the deadline of its request before it counts as late.
LATE_ANSWER_TOLERANCE_SECONDS = 0.5
DEADLINE_SECONDS = 2.0


RouterPauses = dict[str, list[tuple[float, float]]]


def find_violations(
    requests: list[RequestRecord], records: list[dict[str, Any]], pauses: RouterPauses
) -> list[str]:
    """Return one line for each violated guarantee.

    Parameters
    ----------
    pauses : dict
        Begin and end of each pause of a VM's router, by name of the VM. The time of a pause is not
        counted as waiting.
    """
    runs: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for record in records:
        if record["event"] == "run":
            runs[record["id"]].append(record)
    violations = []
    for entry in requests:
        violations += answer_violations(entry, runs[entry.attempt])
        waited = entry.ended_at - entry.started_at - router_pause_seconds(entry, pauses)
        if entry.status and waited > DEADLINE_SECONDS + LATE_ANSWER_TOLERANCE_SECONDS:
            violations.append(f"answered after {waited:.2f} s: {entry.attempt} {entry.path} on {entry.vm}")
    return violations + hold_violations(records)


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
        if not name or entry.body != expected:
            violations.append(f"wrong answer {entry.body[:60]!r}: {description}")
        if not any(run["target"] == f"i-{name}" for run in runs):
            violations.append(f"answered without a run: {description}")
    for run in runs:
        if run["body"] != entry.body_bytes:
            violations.append(f"ran with {run['body']} of {entry.body_bytes} bytes: {description}")
    return violations


def router_pause_seconds(entry: RequestRecord, pauses: RouterPauses) -> float:
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
    killed_at = {
        f"{record['target']}@{record['born']}": record["at"]
        for record in records
        if record["event"] == "killed"
    }
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
