"""A stalled lineage class beside grants, a flooding tenant, and overload: fair queue against one FIFO.

Usage: python -m bench.fair_queue [seed]
"""

from __future__ import annotations

import random
import sys
from collections import deque
from typing import Any

import msgspec

from bench.load_model import SERVICE_SECONDS, SLOTS, Loop, arrivals, percentile, print_command
from hibiscusdrum.internal.load.fair_queue import FairQueue

RUN_SECONDS = 30.0
STALL_AT_SECONDS = 5.0
STALL_SECONDS = 15.0
# A stalled lineage check keeps its slot until its deadline.
LINEAGE_TIMEOUT_SECONDS = 5.0
GRANT_TIMEOUT_SECONDS = 5.0
SERVICE_RATE = SLOTS / SERVICE_SECONDS
QUEUE_CAPACITY = 1000


class Item(msgspec.Struct):
    """A request of the model."""

    tenant: str
    request_class: str
    arrived: float
    deadline: float


class Fifo:
    """One queue for everything, without shares, caps or shedding other than by capacity."""

    def __init__(self, capacity: int) -> None:
        self.items: deque[Any] = deque()
        self.capacity = capacity

    def push(self, item: Any, tenant: str, request_class: str, deadline: float, now: float) -> bool:
        """Append an item."""
        if len(self.items) >= self.capacity:
            return False
        self.items.append(item)
        return True

    def pop(self, now: float) -> Any | None:
        """Return the oldest item that has not expired."""
        while self.items:
            item = self.items.popleft()
            if item.deadline > now:
                return item
        return None

    def expire(self, now: float) -> list[Any]:
        """Keep expired items until they are popped."""
        return []

    def on_started(self, request_class: str) -> None:
        """Count nothing."""

    def on_finished(self, request_class: str) -> None:
        """Count nothing."""


class Server:
    """Slots behind a queue; records the wait of each request that ran."""

    def __init__(self, loop: Loop, rng: random.Random, queue: Any) -> None:
        self.loop = loop
        self.rng = rng
        self.queue = queue
        self.free = SLOTS
        self.stalled = False
        self.waits: dict[tuple[str, str], list[tuple[float, float]]] = {}
        self.late = 0
        self.shed = 0
        self.sweep()

    def sweep(self) -> None:
        """Expire items every 10 ms."""
        self.queue.expire(self.loop.now)
        self.loop.after(0.01, self.sweep)

    def request(self, tenant: str, request_class: str, timeout: float) -> None:
        """Queue a request and run what may run."""
        now = self.loop.now
        item = Item(tenant, request_class, now, now + timeout)
        if not self.queue.push(item, tenant, request_class, item.deadline, now):
            self.shed += 1
        self.run()

    def run(self) -> None:
        """Fill the free slots."""
        while self.free:
            item = self.queue.pop(self.loop.now)
            if item is None:
                return
            self.free -= 1
            self.queue.on_started(item.request_class)
            self.loop.after(self.service_time(item), self.finish, item, self.loop.now - item.arrived)

    def service_time(self, item: Item) -> float:
        """Draw a service time; a stalled check lasts until its deadline."""
        if self.stalled and item.request_class == "lineage":
            return item.deadline - self.loop.now
        return SERVICE_SECONDS * (0.5 + 0.5 * self.rng.expovariate(1.0))

    def finish(self, item: Item, wait: float) -> None:
        """Return the slot."""
        self.free += 1
        self.queue.on_finished(item.request_class)
        self.late += self.loop.now > item.deadline
        self.waits.setdefault((item.tenant, item.request_class), []).append((item.arrived, wait))
        self.run()


def show(name: str, samples: list[float], unit: str = "wait") -> tuple[float, float]:
    """Print percentiles in milliseconds and return p99 and maximum."""
    values = [percentile(samples, p) * 1000 for p in (0.5, 0.99, 1.0)]
    p50, p99, longest = (f"{value:8.2f} ms" for value in values)
    print(f"  {name:28} {unit} p50 {p50}  p99 {p99}  max {longest}  n {len(samples)}")
    return values[1], values[2]


def fair_queue() -> FairQueue:
    """Return a fair queue that knows the mean service time, as it learns it from the limiter."""
    queue = FairQueue(QUEUE_CAPACITY)
    queue.service_time_seconds = SERVICE_SECONDS
    return queue


def stalled_class(queue: Any, name: str, seed: int, stall: bool = True) -> float:
    """Measure the wait of grants while lineage checks stall."""
    loop = Loop()
    server = Server(loop, random.Random(seed), queue)
    loop.after(STALL_AT_SECONDS, setattr, server, "stalled", stall)
    loop.after(STALL_AT_SECONDS + STALL_SECONDS, setattr, server, "stalled", False)
    rng = random.Random(seed + 1)
    grants, checks = 0.3 * SERVICE_RATE, 0.1 * SERVICE_RATE
    arrivals(loop, rng, grants, RUN_SECONDS, lambda: server.request("amt", "grant", GRANT_TIMEOUT_SECONDS))
    arrivals(
        loop, rng, checks, RUN_SECONDS, lambda: server.request("amt", "lineage", LINEAGE_TIMEOUT_SECONDS)
    )
    loop.run(RUN_SECONDS + 10.0)
    window = (STALL_AT_SECONDS, STALL_AT_SECONDS + STALL_SECONDS)
    waits = [wait for at, wait in server.waits[("amt", "grant")] if window[0] <= at < window[1]]
    return show(f"{name}, grants", waits)[1]


def flooding_tenant(queue: Any, name: str, seed: int) -> float:
    """Measure a modest tenant beside one that offers three times the capacity."""
    loop = Loop()
    server = Server(loop, random.Random(seed), queue)
    rng = random.Random(seed + 1)
    seconds = 5.0
    arrivals(loop, rng, 3.0 * SERVICE_RATE, seconds, lambda: server.request("flood", "grant", 0.5))
    offered: list[float] = []

    def modest_request() -> None:
        offered.append(loop.now)
        server.request("modest", "grant", 0.5)

    arrivals(loop, rng, 0.2 * SERVICE_RATE, seconds, modest_request)
    loop.run(seconds + 2.0)
    waits = [wait for _, wait in server.waits.get(("modest", "grant"), [])]
    show(f"{name}, modest tenant", waits)
    return len(waits) / len(offered)


def overload(queue: Any, name: str, seed: int) -> float:
    """Measure the share of capacity that yields answers in time at twice the capacity."""
    loop = Loop()
    server = Server(loop, random.Random(seed), queue)
    seconds, timeout = 5.0, 0.05
    arrivals(
        loop,
        random.Random(seed + 1),
        2.0 * SERVICE_RATE,
        seconds,
        lambda: server.request("a", "grant", timeout),
    )
    loop.run(seconds + 1.0)
    ran = len(server.waits[("a", "grant")])
    share = (ran - server.late) / (SERVICE_RATE * seconds)
    print(f"  {name:26} answers in time {share:6.1%} of capacity, ran late {server.late / ran:6.2%}")
    return share


def main(arguments: list[str]) -> None:
    """Print all three situations for both queues."""
    seed = int(arguments[0]) if arguments else 1
    print_command("fair_queue", seed)
    service = SERVICE_SECONDS * 1000
    print(f"{SLOTS} slots, mean service {service:.0f} ms")
    print(f"lineage checks stall for {STALL_SECONDS:.0f} s; goal: a grant waits at most one service time")
    fifo = stalled_class(Fifo(QUEUE_CAPACITY), "one FIFO", seed)
    fair = stalled_class(fair_queue(), "fair queue", seed)
    usual = stalled_class(fair_queue(), "fair queue, no stall", seed, stall=False)
    print(f"  longest wait, fair / FIFO: {fair / fifo:.5f}")
    print(f"  added to the longest wait by the stall: {fair - usual:.2f} ms, mean service {service:.2f} ms")
    print("one tenant offers 300% and one 20% of the capacity; goal: the modest tenant gets all of its 20%")
    fifo = flooding_tenant(Fifo(QUEUE_CAPACITY), "one FIFO", seed)
    fair = flooding_tenant(fair_queue(), "fair queue", seed)
    print(f"  modest tenant served: FIFO {fifo:.1%}, fair {fair:.1%}, ratio {fair / fifo:.2f}")
    print("200% load with deadlines of 50 ms")
    fifo = overload(Fifo(QUEUE_CAPACITY), "one FIFO", seed)
    fair = overload(fair_queue(), "fair queue", seed)
    print(f"  answers in time, fair / FIFO: {fair / fifo:.2f}")


if __name__ == "__main__":
    main(sys.argv[1:])
