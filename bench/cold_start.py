"""Load on a cold target that joins under full load, and on one that becomes cold without warning.

A cold target bears one request at a time, and one more for each ``warm-up`` completions; with more in flight
than it bears, its service times grow in proportion.

Usage: python -m bench.cold_start [seed]
"""

from __future__ import annotations

import random
import sys

from bench.load_model import SERVICE_SECONDS, SLOTS, Loop, Target, percentile, print_command
from hibiscusdrum.internal.load.limiter import ConcurrencyLimiter

WARM_UPS = (30, 100, 300)
RUN_SECONDS = 12.0
COLD_AT_SECONDS = 6.0
# The load on a cold target should never exceed what it bears.
GOAL_PEAK = 1.0


class ColdTarget(Target):
    """Target that bears more the more requests it has completed."""

    def __init__(self, loop: Loop, rng: random.Random, warm_up: int, bears: float = 1.0) -> None:
        super().__init__(loop, rng, "cold", slots=10 * SLOTS)
        self.warm_up = warm_up
        self.bears = bears
        self.samples: list[tuple[float, float]] = []

    def send(self, done, factor=1.0) -> None:
        """Start a request, slowed by what is in flight beyond what the target bears."""
        load = (self.running + 1) / int(self.bears)
        self.samples.append((self.loop.now, load))

        def finish(ok: bool) -> None:
            self.bears = min(float(SLOTS), self.bears + 1.0 / self.warm_up)
            done(ok)

        super().send(finish, max(1.0, load))


class FixedLimit:
    """Limit that learns nothing."""

    def __init__(self) -> None:
        self.limit = float(SLOTS)
        self.in_flight = 0
        self.ramp_restarts = 0

    def try_acquire(self, now: float) -> bool:
        """Take a slot if one is free."""
        if self.in_flight >= SLOTS:
            return False
        self.in_flight += 1
        return True

    def on_complete(self, latency_seconds: float, ok: bool, now: float) -> None:
        """Return the slot."""
        self.in_flight -= 1


class Sender:
    """Keeps as many requests in flight as the limiter allows: a join under full load."""

    def __init__(self, loop: Loop, target: Target, limiter) -> None:
        self.loop = loop
        self.target = target
        self.limiter = limiter
        self.completed = 0
        self.latencies: list[tuple[float, float]] = []
        self.limits: list[tuple[float, float]] = []

    def fill(self) -> None:
        """Send until the limiter refuses."""
        while self.limiter.try_acquire(self.loop.now):
            self.target.send(self.on_answer(self.loop.now))

    def on_answer(self, sent: float):
        """Return the callback for a request sent at a time."""

        def done(ok: bool) -> None:
            now = self.loop.now
            self.limiter.on_complete(now - sent, ok, now)
            self.completed += 1
            self.latencies.append((now, now - sent))
            self.limits.append((now, self.limiter.limit))
            self.fill()

        return done


def run(limiter, seed: int, warm_up: int, falls_cold: bool) -> tuple[ColdTarget, Sender]:
    """Run one target; it starts cold, or starts warm and becomes cold."""
    loop = Loop()
    target = ColdTarget(loop, random.Random(seed), warm_up, float(SLOTS) if falls_cold else 1.0)
    sender = Sender(loop, target, limiter)
    loop.after(0.0, sender.fill)
    if falls_cold:
        loop.after(COLD_AT_SECONDS, setattr, target, "bears", 1.0)
    loop.run(RUN_SECONDS)
    return target, sender


def report(name: str, target: ColdTarget, sender: Sender, start: float) -> float:
    """Print the load since a time and return its peak."""
    loads = [load for at, load in target.samples if at >= start]
    peak = max(loads)
    over = sum(load > 1.0 for load in loads) / len(loads)
    full = next((at for at, limit in sender.limits if at > start + 0.05 and limit >= SLOTS), float("nan"))
    p99 = percentile([latency for at, latency in sender.latencies if at >= start], 0.99) * 1000
    print(
        f"  {name:14} peak load {peak:5.2f} of what it bears, {over:6.2%} of requests above it, "
        f"p99 {p99:6.2f} ms, full limit after {full - start:5.2f} s, completed {sender.completed}"
    )
    return peak


def detection(sender: Sender) -> float:
    """Return the milliseconds from becoming cold until the limit was back at 1."""
    later = (at for at, limit in sender.limits if at > COLD_AT_SECONDS and limit < 2.0)
    return (next(later, float("nan")) - COLD_AT_SECONDS) * 1000


def main(arguments: list[str]) -> None:
    """Print the peak load for both situations and both limits."""
    seed = int(arguments[0]) if arguments else 1
    print_command("cold_start", seed)
    print(f"{SLOTS} slots, service time {SERVICE_SECONDS * 1000:.0f} ms; goal: peak at most {GOAL_PEAK}")
    for falls_cold in (False, True):
        for warm_up in WARM_UPS:
            situation = "warm target becomes cold" if falls_cold else "cold target joins"
            print(f"{situation}, {warm_up} completions for each further request it bears")
            start = COLD_AT_SECONDS if falls_cold else 0.0
            target, sender = run(FixedLimit(), seed, warm_up, falls_cold)
            fixed = report("fixed limit", target, sender, start)
            target, sender = run(ConcurrencyLimiter(SLOTS), seed, warm_up, falls_cold)
            learned = report("learned limit", target, sender, start)
            print(f"  peak, learned / fixed: {learned / fixed:.2f}")
            if falls_cold:
                detected = detection(sender)
                after = max(load for at, load in target.samples if at > COLD_AT_SECONDS + detected / 1000)
                print(f"  detected after {detected:.1f} ms; peak load from then on {after:.2f}")
    report_nothing_wrong(seed)


def report_nothing_wrong(seed: int) -> None:
    """Print how often the ramp starts again for a warm target: healthy, stalled once, or straggling."""
    for name, slowness, seconds in (
        ("nothing wrong", 1.0, 0.0),
        ("one stall of 30 ms", 0.0, 0.03),
        ("slowed ten times for 2 s", 10.0, 2.0),
    ):
        loop = Loop()
        target = ColdTarget(loop, random.Random(seed), 100, float(SLOTS))
        limiter = ConcurrencyLimiter(SLOTS)
        sender = Sender(loop, target, limiter)
        loop.after(0.0, sender.fill)
        if slowness > 1.0:
            loop.after(COLD_AT_SECONDS, setattr, target, "slowness", slowness)
            loop.after(COLD_AT_SECONDS + seconds, setattr, target, "slowness", 1.0)
        elif seconds:
            loop.after(COLD_AT_SECONDS, stall, loop, seconds)
        loop.run(RUN_SECONDS)
        print(
            f"{name}: ramps started again {limiter.ramp_restarts}, limit at the end {limiter.limit:.0f}, "
            f"completed {sender.completed}"
        )


def stall(loop: Loop, seconds: float) -> None:
    """Delay all events by a time, as a pause of the target does for its requests in flight."""
    loop.events[:] = [(at + seconds, *rest) for at, *rest in loop.events]


if __name__ == "__main__":
    main(sys.argv[1:])
