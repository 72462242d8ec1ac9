"""A request that crashes its targets and is repeated, and the check that it stops reaching them."""

from __future__ import annotations

import random
from collections.abc import Container
from typing import Any

from tools.repeating_caller import CallerRequest, RepeatingCaller
from tools.router_system import RouterSystem

from soak.checks import Intervals, disturbed
from soak.stop_checks import CONTACT_SECONDS, STORE

# Share of the seeds with such a caller.
POISON_SHARE = 0.5
PAUSES_SECONDS = (0.3, 1.2)
CRASHES_BEFORE_LIMIT = 3
MAX_LATE_RUNS = 3
# A read, a read with a key, and a POST with the path of sound requests.
POISON_REQUESTS = (
    CallerRequest("grants.example", "/r/poison/crash"),
    CallerRequest("keys.example", "/k/poison/crash", key=12_345),
    CallerRequest("grants.example", "/g/x", "POST", body=b"crash " * 500),
)


def poison_caller(system: RouterSystem, seed: int) -> RepeatingCaller:
    """Return a caller that repeats one poison request; on some seeds it sends nothing."""
    rng = random.Random(f"poison {seed}")
    active, request = rng.random() < POISON_SHARE, rng.choice(POISON_REQUESTS)
    caller = RepeatingCaller(system, "poison", rng, lambda *_: request, PAUSES_SECONDS)
    if not active:
        caller.stopped.set()
    return caller


def runs_of(senders: Container[str], records: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the records of the runs of some attempts."""
    return [record for record in records if record["event"] == "run" and record["id"] in senders]


def poison_violations(senders: dict[str, str], records: list[dict[str, Any]], faults: Intervals) -> list[str]:
    """Return whether a poison request ran too often after its third crash, sent by undisturbed VMs."""
    runs = runs_of(senders, records)
    if len(runs) <= CRASHES_BEFORE_LIMIT:
        return []
    limit_at = runs[CRASHES_BEFORE_LIMIT - 1]["at"] + CONTACT_SECONDS
    late = [
        run["at"]
        for run in runs
        if run["at"] > limit_at
        and not any(
            disturbed(faults, name, run["at"] - CONTACT_SECONDS, run["at"])
            for name in (STORE, senders[run["id"]], run["target"].removeprefix("i-"))
        )
    ]
    if len(late) <= MAX_LATE_RUNS:
        return []
    return [f"a poison request ran {len(runs)} times, {len(late)} of them too late, the first at {late[0]}"]
