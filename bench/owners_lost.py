"""Time until all keys are held again when most owners of a service are lost at once, with real routers.

Run as ``python -m bench.owners_lost [OWNERS LOST]``; 60 owners and 40 lost by default. Each owner is a router
and a target, a process each; the stand-in of the store refuses what the platform's store refuses.
"""

from __future__ import annotations

import itertools
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import msgspec
from soak.checks import hold_intervals, hold_violations
from tools.router_system import RouterSystem

OWNERS, LOST = 60, 40
FAILURE_DOMAINS = [("east", "east-1"), ("west", "west-1"), ("east", "east-2"), ("west", "west-2")]
PROBED_KEYS = range(0, 65_536, 211)
# Limit that issue 37 sets, and time for which holds are recorded after the loss.
LIMIT_SECONDS = 12.0
RECORDED_SECONDS = 25.0


class Outcome(msgspec.Struct):
    """Figures of one run; times in seconds after the loss, None if a key was not held again.

    Attributes
    ----------
    unheld : int
        Probed keys that no surviving target held at the end.
    ring_writes : dict of str to int
        Outcomes of the changes of the ring after the loss.
    refused_calls : int
        Calls of the survivors that the store refused for another reason than a conflict.
    """

    probed: int
    lost_keys: int
    all_held_after: float | None
    unheld: int
    overlaps: list[str]
    ring_writes: dict[str, int]
    refused_calls: int


def kill_owners(system: RouterSystem, names: list[str]) -> float:
    """Kill routers and targets of some VMs at once; returns the monotonic time in seconds."""
    for name in names:
        for process in (system.vms[name].router, system.vms[name].target):
            process.send(signal.SIGKILL)
    at = time.monotonic()
    for name in names:
        with (system.folder / f"target-{name}.log").open("a") as log:
            born = {record["born"] for record in target_records(system.folder, name)}
            for value in born:
                record = {"at": round(at, 4), "target": f"i-{name}", "born": value, "event": "killed"}
                log.write(f"\n{msgspec.json.encode(record).decode()}\n")
    return at


def target_records(folder: Path, name: str) -> list[dict[str, Any]]:
    """Return the complete records of a target."""
    lines = (folder / f"target-{name}.log").read_bytes().splitlines()
    return [msgspec.json.decode(line) for line in lines if line.startswith(b'{"at"') and line.endswith(b"}")]


def measure(system: RouterSystem, lost_names: list[str]) -> Outcome:
    """Kill owners, and measure when the probed keys are held again."""
    before = {name: len(system.router_log(vm)) for name, vm in system.vms.items()}
    at = kill_owners(system, lost_names)
    time.sleep(RECORDED_SECONDS)
    lost = {f"i-{name}" for name in lost_names}
    records = system.target_records()
    intervals = hold_intervals(records)
    held_after: list[float | None] = []
    lost_keys = 0
    for key in PROBED_KEYS:
        begins = [
            begin - at
            for first, last, _token, begin, end, incarnation in intervals
            if first <= key <= last and incarnation.partition("@")[0] not in lost and end > at
        ]
        after = max(0.0, min(begins)) if begins else None
        lost_keys += after is None or after > 0.0
        held_after.append(after)
    lines = [
        line
        for name, vm in system.vms.items()
        if name not in lost_names
        for line in system.router_log(vm)[before[name] :]
    ]
    ring_writes: dict[str, int] = {}
    for line in lines:
        if line["name"] == "ring_changed":
            outcome = line["fields"]["outcome"]
            ring_writes[outcome] = ring_writes.get(outcome, 0) + 1
    return Outcome(
        probed=len(PROBED_KEYS),
        lost_keys=lost_keys,
        all_held_after=None if None in held_after else round(max(held_after), 2),
        unheld=held_after.count(None),
        overlaps=hold_violations(records),
        ring_writes=ring_writes,
        refused_calls=sum(line["name"] == "store_call_failed" for line in lines),
    )


def main(arguments: list[str]) -> int:
    """Run the measurement and print its figures; returns 0 if the limit was kept."""
    owners, lost = map(int, arguments) if arguments else (OWNERS, LOST)
    folder = Path(tempfile.mkdtemp(prefix="owners-lost-"))
    places = [(*domain, "keyed") for domain in itertools.islice(itertools.cycle(FAILURE_DOMAINS), owners)]
    places += [("east", "east-1", "shared"), ("west", "west-1", "shared")]
    system = RouterSystem(folder, places)
    try:
        system.start()
        time.sleep(LIMIT_SECONDS)
        outcome = measure(system, [f"vm{index}" for index in range(lost)])
    finally:
        system.stop()
    print(msgspec.json.format(msgspec.json.encode(outcome), indent=2).decode())
    kept = outcome.all_held_after is not None and outcome.all_held_after <= LIMIT_SECONDS
    if kept and not outcome.overlaps:
        shutil.rmtree(folder, ignore_errors=True)
        return 0
    print(f"logs: {folder}")
    return 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
