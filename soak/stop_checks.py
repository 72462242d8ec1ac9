"""Checks that planned stops of routers cut no request that was read or run."""

from __future__ import annotations

import re
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from soak.callers import TARGET_FAULTS, RequestRecord
from soak.checks import DEADLINE_SECONDS, Intervals, disturbed

# Name under which disturbances of the store are noted.
STORE = "store"
# A fault excuses cut requests from its begin until this time after its end.
CONTACT_SECONDS = 4.0
# A request sent less than this before its connection ends may cross the close.
CROSSING_SECONDS = 0.2
LOGGED_ID = re.compile(rb'"id":"([^"]+)"')


def logged_ids(log: bytes) -> set[str]:
    """Return the ids of the requests that a router's log mentions."""
    return {attempt.decode() for attempt in LOGGED_ID.findall(log)}


def read_ids_by_vm(folder: Path, vms: Iterable[str]) -> dict[str, set[str]]:
    """Return the ids of the requests that each VM's router logged; it may not have been started."""
    logs = {vm: folder / f"router-{vm}.log" for vm in vms}
    return {vm: logged_ids(log.read_bytes()) if log.exists() else set() for vm, log in logs.items()}


def cut_requests(requests: list[RequestRecord], stops: Intervals, faults: Intervals) -> list[RequestRecord]:
    """Return the requests whose connections ended without an answer because of a planned stop.

    Requests are left out that asked for a fault of the target, reached their deadline, or were sent within
    ``CONTACT_SECONDS`` of a fault of their VM; requests with a key also within that time of one of the store.

    Parameters
    ----------
    stops : dict
        Planned stops of the VMs' routers, from the signal to the end of the process.
    faults : dict
        Kills, pauses, and faults of links and targets by VM, and those of the store under ``STORE``.
    """

    def excused(entry: RequestRecord) -> bool:
        names = (entry.vm, STORE) if entry.path.startswith("/k/") else (entry.vm,)
        return any(
            disturbed(faults, name, entry.started_at - CONTACT_SECONDS, entry.ended_at) for name in names
        )

    return [
        entry
        for entry in requests
        if not entry.status
        and entry.sent_at
        and entry.ended_at - entry.started_at < DEADLINE_SECONDS
        and entry.path.rpartition("/")[2] not in TARGET_FAULTS
        and disturbed(stops, entry.vm, entry.ended_at, entry.ended_at)
        and not excused(entry)
    ]


def cut_violations(
    cuts: list[RequestRecord], records: list[dict[str, Any]], read_ids: dict[str, set[str]]
) -> list[str]:
    """Return the cut requests that a target ran, or that a router had read in time to answer them.

    Parameters
    ----------
    read_ids : dict
        Ids of the requests that the VMs' routers logged.
    """
    runs = {record["id"]: record for record in records if record["event"] == "run"}
    violations = []
    for entry in cuts:
        run = runs.get(entry.attempt)
        description = f"{entry.attempt} {entry.path} on {entry.vm} at {entry.ended_at:.3f}"
        if run is not None:
            violations.append(f"cut after it ran at {run['at']} on {run['target']}: {description}")
        elif (
            not entry.pipelined
            and entry.ended_at - entry.sent_at > CROSSING_SECONDS
            and entry.attempt in read_ids.get(entry.vm, ())
        ):
            violations.append(
                f"cut {entry.ended_at - entry.sent_at:.2f} s after it was sent and read: {description}"
            )
    return violations
