"""A caller that repeats a request that crashes its targets, and the check that it stops reaching them."""

from __future__ import annotations

import random
import threading
from typing import Any

from tools.router_system import RouterSystem

from soak.checks import Intervals, disturbed
from soak.stop_checks import CONTACT_SECONDS, STORE

# Share of the seeds with such a caller.
POISON_SHARE = 0.5
MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS = 0.3, 1.2
CRASHES_BEFORE_LIMIT = 3
MAX_LATE_RUNS = 3
# Host, path, key and body: a read, a read with a key, and a POST with the path of sound requests.
POISON_REQUESTS = (
    ("grants.example", "/r/poison/crash", None, None),
    ("keys.example", "/k/poison/crash", 12_345, None),
    ("grants.example", "/g/x", None, b"crash " * 500),
)


class PoisonCaller(threading.Thread):
    """Repeats one poison request at the routers of one service, on some seeds.

    Attributes
    ----------
    senders : dict of str to str
        VM to which each attempt was sent, by attempt id.
    """

    def __init__(self, system: RouterSystem, seed: int) -> None:
        super().__init__(daemon=True)
        self.system = system
        self.rng = random.Random(f"poison {seed}")
        self.active = self.rng.random() < POISON_SHARE
        self.request = self.rng.choice(POISON_REQUESTS)
        self.senders: dict[str, str] = {}
        self.stopped = threading.Event()

    def run(self) -> None:
        """Send the request again and again until stopped."""
        routers = [vm for vm in self.system.vms.values() if vm.service == "keyed"]
        host, path, key, body = self.request
        while self.active and not self.stopped.is_set():
            vm = self.rng.choice(routers)
            attempt = f"poison{len(self.senders)}"
            self.senders[attempt] = vm.name
            method = "GET" if body is None else "POST"
            self.system.send_request(vm, host, path, method, key, body, attempt=attempt)
            self.stopped.wait(self.rng.uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS))

    def stop_and_join(self) -> None:
        """Stop, and wait for the last answer."""
        self.stopped.set()
        if self.is_alive():
            self.join()


def runs_of(senders: dict[str, str], records: list[dict[str, Any]]) -> list[dict[str, Any]]:
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
