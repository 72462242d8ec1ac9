"""Callers with keys of client accounts, and the checks of what their requests may run."""

from __future__ import annotations

import itertools
import random
import threading
import time
from bisect import bisect_left
from typing import Any

from tools.router_system import HEADER_PREFIX, ROUTES, RouterSystem, Vm

from soak.checks import Intervals, disturbed

# The requests of all other callers are on public routes, so that they need no key.
PUBLIC_ROUTES = [[*row, True] for row in ROUTES]
HOST, PATH = "accounts.example", "/m/x"
# One attempt, so that each run has a token of its own.
ACCOUNT_ROUTE = ["metered", HOST, "/m/", "idempotent", 2.0, 0.5, 1, "shared", 1, [], None, False]
ACCOUNT, KEY = "metered", "soak-key"
RATE, BURST = 10.0, 5.0
TENANTS = [[ACCOUNT, [KEY], None, RATE, BURST, None], ["other", ["other-key"], None, None, None, None]]
# The stated tolerance of a quota.
WINDOW_SECONDS, OVER, SLACK = 5.0, 0.1, 20.0
# Five times the rate, with the callers of five VMs.
MEAN_PAUSE_SECONDS = 0.1
WRONG_KEY_SHARE = 0.1
ATTEMPT_NUMBERS = itertools.count()


class AccountCaller(threading.Thread):
    """Sends requests with the key of an account, and some with a wrong one, to the router of one VM.

    Attributes
    ----------
    attempts : dict of str to bool
        Whether the request with an attempt id had the right key.
    """

    def __init__(self, system: RouterSystem, vm: Vm, seed: str) -> None:
        super().__init__(daemon=True)
        self.system = system
        self.vm = vm
        self.rng = random.Random(seed)
        self.attempts: dict[str, bool] = {}
        self.statuses: dict[int, int] = {}
        self.stopping = False

    def run(self) -> None:
        """Send requests until stopped."""
        while not self.stopping:
            attempt = f"m{next(ATTEMPT_NUMBERS)}"
            right = self.attempts[attempt] = self.rng.random() >= WRONG_KEY_SHARE
            headers = {HEADER_PREFIX + "key": KEY if right else "wrong-key"}
            status, *_ = self.system.send_request(self.vm, HOST, PATH, attempt=attempt, headers=headers)
            self.statuses[status] = self.statuses.get(status, 0) + 1
            time.sleep(MEAN_PAUSE_SECONDS * self.rng.random() * 2)

    def stop_and_join(self) -> None:
        """Stop sending, and wait until the current request has ended."""
        self.stopping = True
        self.join(5.0)


def account_violations(
    attempts: dict[str, bool], records: list[dict[str, Any]], disturbances: Intervals
) -> list[str]:
    """Return runs with a wrong key or account, and windows with more runs than the quota allows.

    Runs at a target whose VM was disturbed are not counted: after a pause it runs at once what it was sent
    before.
    """
    runs = [record for record in records if record["event"] == "run" and record["id"] in attempts]
    violations = [f"ran with a wrong key: {run['id']}" for run in runs if not attempts[run["id"]]]
    violations += [
        f"ran for the account {run['tenant']!r}, key {run['key']!r}: {run['id']}"
        for run in runs
        if attempts[run["id"]] and (run["tenant"], run["key"]) != (ACCOUNT, None)
    ]
    times = [
        run["at"]
        for run in runs
        if not disturbed(
            disturbances, run["target"].removeprefix("i-"), run["at"] - WINDOW_SECONDS, run["at"]
        )
    ]
    allowed = (RATE * WINDOW_SECONDS + BURST) * (1.0 + OVER) + SLACK
    for index, at in enumerate(times):
        count = bisect_left(times, at + WINDOW_SECONDS) - index
        if count > allowed:
            violations.append(f"{count} requests of an account ran within 5 s from {at}, allowed {allowed}")
            break
    return violations
