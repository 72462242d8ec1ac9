"""Attempts a second during and after a 30 s outage: retry budget with jitter against plain retries.

Callers have eight tenants. Plain retries are sent up to four times with a fixed delay; the budget allows a
tenth of the ordinary requests.

Usage: python -m bench.retry_storm [seed]
"""

from __future__ import annotations

import random
import sys
from collections import Counter
from collections.abc import Callable

from bench.load_model import SERVICE_SECONDS, SLOTS, Loop, Target, arrivals, percentile, print_command
from hibiscusdrum.internal.load.retry_budget import RetryBudget

TENANTS = 8
TARGETS = 5
LOAD = 0.6
OUTAGE_AT_SECONDS = 5.0
OUTAGE_SECONDS = 30.0
RUN_SECONDS = 60.0
PLAIN_ATTEMPTS = 5
PLAIN_DELAY_SECONDS = 0.5
REQUEST_RATE = LOAD * TARGETS * SLOTS / SERVICE_SECONDS / 4
BUCKET_SECONDS = 1.0
RATIO = 0.1
# A caller gives up an attempt after this time; the target still runs it.
TIMEOUT_SECONDS = 0.25


class World:
    """Targets that all fail together; during the outage attempts time out."""

    def __init__(self, seed: int) -> None:
        self.loop = Loop()
        self.rng = random.Random(seed)
        # A quarter of the slots keeps the run short at the same load.
        self.targets = [Target(self.loop, self.rng, f"n{i}", slots=SLOTS // 4) for i in range(TARGETS)]
        self.attempts: Counter[int] = Counter()
        self.answered: list[tuple[float, float]] = []
        self.requests: list[float] = []
        self.out = False
        self.loop.after(OUTAGE_AT_SECONDS, setattr, self, "out", True)
        self.loop.after(OUTAGE_AT_SECONDS + OUTAGE_SECONDS, setattr, self, "out", False)

    def attempt(self, done: Callable[[bool], None]) -> None:
        """Send one attempt; ``done(False)`` after the timeout, ``done(True)`` with an answer in time."""
        self.attempts[int(self.loop.now / BUCKET_SECONDS)] += 1
        state = {"open": True}

        def finish(ok: bool) -> None:
            if state["open"]:
                state["open"] = False
                done(ok)

        self.loop.after(TIMEOUT_SECONDS, finish, False)
        if not self.out:
            self.rng.choice(self.targets).send(finish)


class Caller:
    """Sends requests with retries."""

    def __init__(self, world: World, budgets: list[RetryBudget] | None) -> None:
        self.world = world
        self.budgets = budgets

    def request(self) -> None:
        """Send an ordinary request of a random tenant."""
        self.world.requests.append(self.world.loop.now)
        tenant = self.world.rng.randrange(TENANTS)
        if self.budgets is not None:
            self.budgets[tenant].on_request()
        self.attempt(tenant, 1, self.world.loop.now)

    def attempt(self, tenant: int, number: int, started: float) -> None:
        """Send an attempt and retry when it fails."""

        def done(ok: bool) -> None:
            if ok:
                self.world.answered.append((started, self.world.loop.now - started))
                return
            delay = self.retry_delay(tenant, number)
            if delay is not None:
                self.world.loop.after(delay, self.attempt, tenant, number + 1, started)

        self.world.attempt(done)

    def retry_delay(self, tenant: int, number: int) -> float | None:
        """Return the seconds until the next attempt, or None to give up."""
        if number >= PLAIN_ATTEMPTS:
            return None
        if self.budgets is None:
            return PLAIN_DELAY_SECONDS
        budget = self.budgets[tenant]
        if not budget.try_spend_retry(self.world.loop.now):
            return None
        return budget.backoff(number, self.world.rng)


def run(seed: int, with_budget: bool) -> World:
    """Run one kind of caller."""
    world = World(seed)
    caller = Caller(world, [RetryBudget(RATIO) for _ in range(TENANTS)] if with_budget else None)
    arrivals(world.loop, random.Random(seed + 1), REQUEST_RATE, RUN_SECONDS, caller.request)
    world.loop.run(RUN_SECONDS + 5.0)
    return world


def peak(world: World, start: float, end: float) -> float:
    """Return the most attempts a second in any bucket of an interval."""
    return max(
        world.attempts[bucket] / BUCKET_SECONDS
        for bucket in range(int(start / BUCKET_SECONDS), int(end / BUCKET_SECONDS))
    )


def main(arguments: list[str]) -> None:
    """Print attempts a second and recovery for both."""
    seed = int(arguments[0]) if arguments else 1
    print_command("retry_storm", seed)
    back = OUTAGE_AT_SECONDS + OUTAGE_SECONDS
    print(
        f"{REQUEST_RATE:.0f} requests/s, {LOAD:.0%} load, outage {OUTAGE_SECONDS:.0f} s; goal: "
        f"at most {1 + RATIO:.1f} attempts for each request after it"
    )
    peaks = {}
    for name, with_budget in (("plain retries", False), ("retry budget", True)):
        world = run(seed, with_budget)
        before = peak(world, 0.0, OUTAGE_AT_SECONDS)
        during = peak(world, OUTAGE_AT_SECONDS + 3.0, back)
        peaks[name] = after = peak(world, back, back + 5.0)
        waits = [latency for at, latency in world.answered if back <= at < back + 5.0]
        arrived = sum(back <= at < back + 5.0 for at in world.requests)
        print(
            f"  {name:14} attempts in the worst second before {before:5.0f}, during {during:5.0f}, "
            f"in the 5 s after {after:5.0f} ({after / REQUEST_RATE:.2f} of the request rate)"
        )
        print(
            f"  {'':14} requests of the 5 s after: answered {len(waits) / arrived:6.1%}, "
            f"p99 {percentile(waits, 0.99) * 1000:.0f} ms"
        )
    print(f"  peak after the outage, budget / plain: {peaks['retry budget'] / peaks['plain retries']:.2f}")


if __name__ == "__main__":
    main(sys.argv[1:])
