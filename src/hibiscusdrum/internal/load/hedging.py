"""Hedging policy: when to send a second copy of an idempotent request, within a budget."""

from __future__ import annotations

from hibiscusdrum.errors import InvalidArgument

HEDGE_QUANTILE = 0.95
# Relative step of the quantile estimate. It leaves noise of about 6% in steady state for exponentially
# distributed latencies.
QUANTILE_STEP = 0.02
STEP_UP = 1.0 + QUANTILE_STEP * HEDGE_QUANTILE
STEP_DOWN = 1.0 - QUANTILE_STEP * (1.0 - HEDGE_QUANTILE)
# Hedge delay of a service that has no samples yet.
INITIAL_DELAY_SECONDS = 0.05
MIN_DELAY_SECONDS = 0.0005


class HedgePolicy:
    """Determines the hedge delay of each service and limits hedges to a budget.

    Parameters
    ----------
    budget : float
        Maximum number of hedges per ordinary request.
    burst : float
        Maximum token balance; a hedge costs one token.
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
        """Earn the tokens of one ordinary request."""
        tokens = self.tokens + self.budget
        self.tokens = tokens if tokens < self.burst else self.burst

    def observe(self, service: str, latency: float) -> None:
        """Update the estimated 95th percentile of a service's latency from a first attempt, in seconds.

        For a first attempt that was cancelled because its hedge was answered, pass the time it has waited.
        """
        delay = self.delays.get(service)
        if delay is None:
            self.delays[service] = 3.0 * latency
        elif latency > delay:
            self.delays[service] = delay * STEP_UP
        else:
            self.delays[service] = delay * STEP_DOWN

    def delay(self, service: str) -> float:
        """Return the seconds after which to hedge an unanswered request."""
        delay = self.delays.get(service, INITIAL_DELAY_SECONDS)
        return delay if delay > MIN_DELAY_SECONDS else MIN_DELAY_SECONDS

    def try_spend_hedge(self, idempotent: bool, now: float) -> bool:
        """Spend a token for a hedge; False if the request is not idempotent or the budget is spent."""
        if not idempotent or self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
