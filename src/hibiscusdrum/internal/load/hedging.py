"""Hedged requests: when to send a second copy of an idempotent request, within a budget."""

from __future__ import annotations

from hibiscusdrum.errors import InvalidArgument

HEDGE_QUANTILE = 0.95
# Relative step of the quantile estimate. Stationary noise is about 6% for exponential latencies.
QUANTILE_STEP = 0.02
STEP_UP = 1.0 + QUANTILE_STEP * HEDGE_QUANTILE
STEP_DOWN = 1.0 - QUANTILE_STEP * (1.0 - HEDGE_QUANTILE)
# Delay of a service without samples, in seconds.
INITIAL_DELAY_SECONDS = 0.05
MIN_DELAY_SECONDS = 0.0005


class HedgePolicy:
    """Decides after which delay a hedge is sent, and whether the budget allows it.

    Parameters
    ----------
    budget : float
        Hedges for each ordinary request, at most.
    burst : float
        Largest balance of tokens; a hedge costs one.
    """

    __slots__ = ("budget", "burst", "delays", "tokens")

    def __init__(self, budget: float = 0.05, burst: float = 20.0) -> None:
        if not 0.0 <= budget <= 1.0:
            raise InvalidArgument(name="budget", value=budget, expected="between 0 and 1")
        self.budget = budget
        self.burst = burst
        self.tokens = 0.0
        self.delays: dict[str, float] = {}

    def on_request(self) -> None:
        """Earn the share of a token that an ordinary request brings."""
        tokens = self.tokens + self.budget
        self.tokens = tokens if tokens < self.burst else self.burst

    def observe(self, service: str, latency: float) -> None:
        """Learn the 95th percentile of a service's latency from one first attempt, in seconds.

        A hedged first attempt whose answer is no longer awaited is observed with the time it has waited.
        """
        delay = self.delays.get(service)
        if delay is None:
            self.delays[service] = 3.0 * latency
        elif latency > delay:
            self.delays[service] = delay * STEP_UP
        else:
            self.delays[service] = delay * STEP_DOWN

    def delay(self, service: str) -> float:
        """Return the seconds after which an unanswered request should be hedged."""
        delay = self.delays.get(service, INITIAL_DELAY_SECONDS)
        return delay if delay > MIN_DELAY_SECONDS else MIN_DELAY_SECONDS

    def try_spend_hedge(self, idempotent: bool, now: float) -> bool:
        """Spend a token for a hedge; False for requests that must run at most once or without budget."""
        if not idempotent or self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
