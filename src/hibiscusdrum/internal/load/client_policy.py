"""Load control of a caller: combines balancer, outlier ejector, hedge policy and retry budgets."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Sequence

from hibiscusdrum.internal.clock import Clock
from hibiscusdrum.internal.load.balancer import Balancer
from hibiscusdrum.internal.load.ejection import OutlierEjector
from hibiscusdrum.internal.load.hedging import HedgePolicy
from hibiscusdrum.internal.load.retry_budget import RetryBudget, full_jitter


class ClientPolicy:
    """Selects nodes and decides about hedges and retries for one caller.

    Parameters
    ----------
    rng : random.Random
        Source of all random choices.
    clock : Clock
        Read once in each method that needs the time.

    Attributes
    ----------
    balancer, ejector, hedge_policy
        Components; they may be replaced before the first request.
    retry_budgets : dict of str to RetryBudget
        Retry budget of each tenant of this caller.
    """

    __slots__ = ("balancer", "clock", "ejector", "hedge_policy", "retry_budgets", "rng")

    def __init__(self, rng: random.Random, clock: Clock) -> None:
        self.rng = rng
        self.clock = clock
        self.balancer = Balancer(rng)
        self.ejector = OutlierEjector()
        self.hedge_policy = HedgePolicy()
        self.retry_budgets: dict[str, RetryBudget] = {}

    def set_nodes(self, nodes: Iterable[str]) -> None:
        """Replace the known nodes, for example after a change of the ownership map."""
        known = list(nodes)
        self.ejector.set_nodes(known, self.clock.monotonic())
        for node in set(self.balancer.nodes).difference(known):
            self.balancer.forget(node)

    def choose(self, candidates: Sequence[str], exclude: Collection[str] = ()) -> str | None:
        """Return the node for a request, or None if all candidates are excluded.

        Ejected nodes are used if no other candidate is left, so that ejection never turns a slow service into
        an unavailable one.
        """
        now = self.clock.monotonic()
        ejector = self.ejector
        if not ejector.unhealthy:
            return self.balancer.choose(candidates, now, exclude)
        probe = ejector.next_probe(candidates, exclude, now)
        if probe is not None:
            return probe
        ejected = ejector.excluded(now, self.rng.random())
        node = self.balancer.choose(candidates, now, (*exclude, *ejected))
        return node if node is not None else self.balancer.choose(candidates, now, exclude)

    def on_request(self, tenant: str) -> None:
        """Record the first attempt of a request, which earns hedge and retry tokens."""
        self.hedge_policy.on_request()
        budget = self.retry_budgets.get(tenant)
        if budget is None:
            budget = self.retry_budgets[tenant] = RetryBudget()
        budget.on_request()

    def on_sent(self, node: str) -> None:
        """Record an attempt sent to a node; must be followed by one ``on_done`` or ``on_cancelled``."""
        now = self.clock.monotonic()
        self.balancer.on_sent(node, now)
        if self.ejector.unhealthy:
            self.ejector.on_sent(node, now)

    def on_done(self, node: str, service: str, latency: float, ok: bool) -> None:
        """Record the end of an attempt and its latency in seconds."""
        now = self.clock.monotonic()
        self.balancer.on_done(node, latency, ok, now)
        if self.ejector.on_result(node, latency, ok, now):
            self.balancer.reset_latency(node)
        if ok:
            self.hedge_policy.observe(service, latency)

    def on_cancelled(self, node: str) -> None:
        """Record that an attempt is no longer awaited, for example because its hedge was answered first."""
        self.balancer.on_cancelled(node)
        self.ejector.on_cancelled(node)

    def on_report(self, node: str, in_flight: int, latency_ms: float, age_ms: float) -> None:
        """Record a node's load report."""
        self.balancer.on_report(node, in_flight, latency_ms, age_ms, self.clock.monotonic())

    def hedge_delay(self, service: str) -> float:
        """Return the seconds after which to hedge an unanswered request."""
        return self.hedge_policy.delay(service)

    def try_spend_hedge(self, node: str, idempotent: bool) -> bool:
        """Spend a hedge token for a request that ``node`` has not answered; False if it must not be hedged.

        Suits callers that have only one other candidate; ``hedge_node`` also selects the node.
        """
        now = self.clock.monotonic()
        self.ejector.on_overdue(node, now)
        return self.hedge_policy.try_spend_hedge(idempotent, now)

    def hedge_node(
        self, node: str, candidates: Sequence[str], idempotent: bool, exclude: Collection[str] = ()
    ) -> str | None:
        """Return the node for a hedge of a request that ``node`` has not answered, and spend a token.

        None if there is no other candidate, the request is not idempotent, the budget is spent, or the other
        candidate is more heavily loaded, since under high load a hedge would only add to it.
        """
        now = self.clock.monotonic()
        self.ejector.on_overdue(node, now)
        if not idempotent or self.hedge_policy.tokens < 1.0:
            return None
        other = self.choose(candidates, (*exclude, node))
        if other is None or self.balancer.cost(other, now) > self.balancer.cost(node, now):
            return None
        return other if self.hedge_policy.try_spend_hedge(idempotent, now) else None

    def try_spend_retry(self, tenant: str) -> bool:
        """Spend a retry token of a tenant; False if its budget is spent."""
        budget = self.retry_budgets.get(tenant)
        return budget is not None and budget.try_spend_retry(self.clock.monotonic())

    def backoff(self, attempt: int) -> float:
        """Return the delay in seconds before a retry, with full jitter."""
        return full_jitter(attempt, self.rng)
