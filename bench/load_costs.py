"""Cost of each call of the load policy on the request path.

Usage: python -m bench.load_costs
"""

from __future__ import annotations

import itertools
import random
import time
from collections.abc import Callable

from bench.load_model import print_command
from hibiscusdrum.internal.clock import SystemClock
from hibiscusdrum.internal.load.balancer import Balancer
from hibiscusdrum.internal.load.client_policy import ClientPolicy
from hibiscusdrum.internal.load.ejection import OutlierEjector
from hibiscusdrum.internal.load.fair_queue import FairQueue
from hibiscusdrum.internal.load.hedging import HedgePolicy
from hibiscusdrum.internal.load.hot_keys import HotKeyDetector
from hibiscusdrum.internal.load.limiter import ConcurrencyLimiter
from hibiscusdrum.internal.load.link_budget import CONTROL, DATA, LinkBudget
from hibiscusdrum.internal.load.retry_budget import RetryBudget

CALLS = 20_000
REPEATS = 5
REQUESTS_PER_SECOND = 6_000
NODES = [f"n{i}" for i in range(6)]
# A call costs few microseconds.
GOAL_MICROSECONDS = 5.0


def cost(action: Callable[[int], object]) -> float:
    """Return the microseconds of one call, best of several runs, without the loop's own time."""
    return (best(action) - best(lambda i: None)) / CALLS * 1e6


def best(action: Callable[[int], object]) -> float:
    """Return the shortest time of several runs in seconds."""
    times = []
    for _ in range(REPEATS):
        started = time.perf_counter()
        for i in range(CALLS):
            action(i)
        times.append(time.perf_counter() - started)
    return min(times)


def limiter_costs() -> dict[str, float]:
    """Measure the limiter in pairs of acquisition and completion."""
    limiter = ConcurrencyLimiter()

    def pair(i: int) -> None:
        limiter.try_acquire(i * 1e-4)
        limiter.on_complete(0.0015, True, i * 1e-4)

    return {"limiter: try_acquire + on_complete": cost(pair)}


def queue_costs() -> dict[str, float]:
    """Measure the queue with 40 flows and a backlog of 200 items."""
    queue = FairQueue(1000)
    classes = ("grant", "lineage", "conflict", "search")
    tenants = [f"t{i}" for i in range(10)]
    flows = itertools.cycle([(tenant, name) for tenant in tenants for name in classes])
    for i in range(200):
        tenant, name = next(flows)
        queue.push(i, tenant, name, 1e9, 0.0)

    def pair(i: int) -> None:
        tenant, name = next(flows)
        queue.push(i, tenant, name, 1e9, i * 1e-4)
        queue.pop(i * 1e-4)

    def slot(i: int) -> None:
        queue.may_run("grant")
        queue.on_started("grant")
        queue.on_finished("grant")

    return {
        "fair_queue: push + pop": cost(pair),
        "fair_queue: may_run + on_started + on_finished": cost(slot),
        "fair_queue: expire, nothing due": cost(lambda i: queue.expire(0.0)),
    }


def balancer_costs() -> dict[str, float]:
    """Measure the balancer with six nodes and fresh reports."""
    balancer = Balancer(random.Random(1))

    def request(i: int) -> None:
        now = i * 1e-4
        node = balancer.choose(NODES, now)
        balancer.on_sent(node, now)
        balancer.on_done(node, 0.002, True, now)

    plain = cost(request)
    for node in NODES:
        balancer.on_report(node, 3, 2.0, 0.0, 1.0)
    return {
        "balancer: choose + on_sent + on_done": plain,
        "balancer: choose, with reports, one excluded": cost(
            lambda i: balancer.choose(NODES, 1.0 + i * 1e-6, ("n1",))
        ),
        "balancer: on_report": cost(lambda i: balancer.on_report("n1", 3, 2.0, 100.0, i * 1e-4)),
    }


def small_costs() -> dict[str, float]:
    """Measure the ejector and the budgets."""
    ejector = OutlierEjector()
    ejector.set_nodes(NODES, 0.0)
    hedge, budget, link = HedgePolicy(), RetryBudget(), LinkBudget()
    rng = random.Random(1)
    return {
        "ejection: on_result": cost(lambda i: ejector.on_result(NODES[i % 6], 0.002, True, i * 1e-4)),
        "hedging: on_request + observe": cost(lambda i: (hedge.on_request(), hedge.observe("s", 0.002))),
        "hedging: delay + try_spend_hedge": cost(
            lambda i: (hedge.delay("s"), hedge.try_spend_hedge(True, 0.0))
        ),
        "retry_budget: on_request": cost(lambda i: budget.on_request()),
        "retry_budget: try_spend_retry + backoff": cost(
            lambda i: (budget.try_spend_retry(i * 1e-4), budget.backoff(2, rng))
        ),
        "link_budget: try_spend_bytes, data": cost(lambda i: link.try_spend_bytes(DATA, 300, i * 1e-4)),
        "link_budget: try_spend_bytes, control": cost(lambda i: link.try_spend_bytes(CONTROL, 300, i * 1e-4)),
    }


def hot_key_costs() -> dict[str, float]:
    """Measure the detector with a Zipf-like mix, in which most keys have no counter."""
    rng = random.Random(1)
    keys = [int(rng.paretovariate(0.3)) % (1 << 63) for _ in range(CALLS)]
    detector = HotKeyDetector()
    return {"hot_keys: observe": cost(lambda i: detector.observe(keys[i], i * 1e-4))}


def client_costs() -> dict[str, float]:
    """Measure a whole request through the client policy, without and with an ejected node."""
    policy = ClientPolicy(random.Random(1), SystemClock())
    policy.set_nodes(NODES)

    def request(i: int) -> None:
        policy.on_request("amt")
        node = policy.choose(NODES)
        policy.on_sent(node)
        policy.hedge_delay("wappensuche")
        policy.on_done(node, "wappensuche", 0.002, True)

    healthy = cost(request)
    policy.ejector.max_ejection_seconds = policy.ejector.base_ejection_seconds = 1e6
    for _ in range(20):
        policy.on_done("n0", "wappensuche", 1.0, True)
    return {
        "client_policy: whole request": healthy,
        "client_policy: whole request, one ejected": cost(request),
    }


def main() -> None:
    """Print the cost of each call."""
    print_command("load_costs")
    print(f"best of {REPEATS} runs of {CALLS} calls; share of one core at {REQUESTS_PER_SECOND} requests/s")
    for measure in (limiter_costs, queue_costs, balancer_costs, small_costs, hot_key_costs, client_costs):
        for name, microseconds in measure().items():
            share = microseconds * REQUESTS_PER_SECOND / 1e6
            print(f"{name:46} {microseconds:7.2f} us  {share:6.2%}  goal {GOAL_MICROSECONDS:.0f} us")
    detector = HotKeyDetector()
    for i in range(CALLS):
        detector.observe(i % 200, i * 1e-4)
    print(
        f"hot_keys: changes, once a second               {cost(lambda i: detector.changes((), 5.0)):7.2f} us"
    )


if __name__ == "__main__":
    main()
