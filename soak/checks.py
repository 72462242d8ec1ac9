"""The promises, checked on what callers were answered and on what targets recorded."""

from __future__ import annotations

from collections import defaultdict
from typing import Any

from soak.callers import Asked

NOT_RUN_STATUSES = (408, 421, 429, 503)
# A target counts its hold from a clock that this machine shares; records are rounded to milliseconds.
ROUNDING_SECONDS = 0.002
# An answer that the caller has waited for longer than its deadline, in seconds.
LATE_SECONDS = 0.5
DEADLINE_SECONDS = 2.0


Pauses = dict[str, list[tuple[float, float]]]


def broken_promises(asked: list[Asked], records: list[dict[str, Any]], pauses: Pauses) -> list[str]:
    """Return one line for each broken promise.

    Parameters
    ----------
    pauses : dict
        Times, by VM, in which the router that callers of the VM are connected to stood still.
    """
    runs: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for record in records:
        if record["event"] == "run":
            runs[record["id"]].append(record)
    lines = []
    for entry in asked:
        lines += wrong_answer(entry, runs[entry.attempt])
        waited = entry.ended - entry.began - paused(entry, pauses)
        if entry.status and waited > DEADLINE_SECONDS + LATE_SECONDS:
            lines.append(f"answered after {waited:.2f} s: {entry.attempt} {entry.path} on {entry.vm}")
    return lines + overlapping_holds(records)


def wrong_answer(entry: Asked, runs: list[dict[str, Any]]) -> list[str]:
    """Return what is wrong with the answer to one request, and with its runs."""
    lines = []
    what = f"{entry.attempt} {entry.path} on {entry.vm}: status {entry.status}"
    if entry.unsafe and len(runs) > 1:
        lines.append(f"ran {len(runs)} times: {what}")
    if entry.unsafe and entry.status in NOT_RUN_STATUSES and runs:
        lines.append(f"said not to have run, but ran at {runs[0]['at']}: {what}")
    if entry.status == 200:
        name = entry.signature.removeprefix("sig-")
        expected = f"{name} {entry.path} {entry.size}".encode()
        if not name or entry.body != expected:
            lines.append(f"wrong answer {entry.body[:60]!r}: {what}")
        if not any(run["target"] == f"i-{name}" for run in runs):
            lines.append(f"answered without a run: {what}")
    for run in runs:
        if run["body"] != entry.size:
            lines.append(f"ran with {run['body']} of {entry.size} bytes: {what}")
    return lines


def paused(entry: Asked, pauses: Pauses) -> float:
    """Return for how long the router of a request's VM stood still while the request waited."""
    return sum(
        max(0.0, min(entry.ended, end) - max(entry.began, begin)) for begin, end in pauses.get(entry.vm, ())
    )


def holds(records: list[dict[str, Any]]) -> list[tuple[int, int, int, float, float, str]]:
    """Return each hold: first key, last key, token, begin, end, and the start of the target."""
    found = []
    by_start: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for record in records:
        if record["event"] in ("hold", "until"):
            by_start[f"{record['target']}@{record['born']}"].append(record)
    for start, entries in by_start.items():
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
                found.append((*row, begin, min(end, entry["at"]), start))
            for row in rows - set(current):
                current[row] = [entry["at"], entry["until"]]
        found += [(*row, begin, end, start) for row, (begin, end) in current.items()]
    return found


def overlapping_holds(records: list[dict[str, Any]]) -> list[str]:
    """Return holds of the same keys by two targets at the same time, and tokens that did not grow."""
    ended = {
        f"{record['target']}@{record['born']}": record["at"]
        for record in records
        if record["event"] == "killed"
    }
    entries = sorted(
        (first, last, fence, begin, min(end, ended.get(start, end)), start)
        for first, last, fence, begin, end, start in holds(records)
    )
    lines = []
    for index, (first, last, fence, begin, end, start) in enumerate(entries):
        for other in entries[index + 1 :]:
            if other[0] > last:
                break
            if other[5] == start:
                continue
            if min(end, other[4]) - max(begin, other[3]) > ROUNDING_SECONDS:
                lines.append(f"two holders of {other[0]}..{min(last, other[1])}: {start} and {other[5]}")
            elif (begin < other[3]) != (fence < other[2]):
                lines.append(
                    f"token of {first}..{last} did not grow: {fence} at {start}, {other[2]} at {other[5]}"
                )
    return lines
