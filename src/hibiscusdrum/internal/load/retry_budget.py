"""Retry budget of one tenant: limits retries to a share of its ordinary requests."""

from __future__ import annotations

import random

from hibiscusdrum.errors import InvalidArgument

# The first delay is at most twice the base. The maximum exceeds the duration of a takeover, about 1.7 s.
BASE_DELAY_SECONDS = 0.025
MAX_DELAY_SECONDS = 2.0
MAX_EXPONENT = 30


class RetryBudget:
    """Token budget that allows ``ratio`` retries per ordinary request.

    Parameters
    ----------
    ratio : float
        Tokens earned by each first attempt; a retry costs one token.
    burst : float
        Maximum token balance, so that a quiet period does not allow a burst of retries after an outage.
    min_tokens_per_second : float
        Tokens earned per second regardless of traffic, so that a tenant with few requests can retry.
    base_delay_seconds, max_delay_seconds : float
        Half of the maximum first delay, and the maximum of all delays.
    """

    __slots__ = (
        "base_delay_seconds",
        "burst",
        "max_delay_seconds",
        "min_tokens_per_second",
        "ratio",
        "refilled_at",
        "tokens",
    )

    def __init__(
        self,
        ratio: float = 0.1,
        burst: float = 10.0,
        min_tokens_per_second: float = 0.2,
        base_delay_seconds: float = BASE_DELAY_SECONDS,
        max_delay_seconds: float = MAX_DELAY_SECONDS,
    ) -> None:
        if not 0.0 <= ratio <= 1.0:
            raise InvalidArgument(name="ratio", value=ratio, expected="between 0 and 1")
        self.ratio = ratio
        self.burst = burst
        self.min_tokens_per_second = min_tokens_per_second
        self.base_delay_seconds = base_delay_seconds
        self.max_delay_seconds = max_delay_seconds
        self.tokens = burst
        self.refilled_at: float | None = None

    def on_request(self) -> None:
        """Earn the tokens of one first attempt."""
        tokens = self.tokens + self.ratio
        self.tokens = tokens if tokens < self.burst else self.burst

    def try_spend_retry(self, now: float) -> bool:
        """Spend a token for a retry; False if the budget is spent."""
        if self.refilled_at is not None and now > self.refilled_at:
            self.tokens = min(self.burst, self.tokens + self.min_tokens_per_second * (now - self.refilled_at))
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def backoff(self, attempt: int, rng: random.Random) -> float:
        """Return the delay in seconds before a retry, with full jitter.

        Parameters
        ----------
        attempt : int
            Number of the attempt that failed; 1 for the first.
        rng : random.Random
            Source of the jitter.
        """
        return full_jitter(attempt, rng, self.base_delay_seconds, self.max_delay_seconds)


def full_jitter(
    attempt: int,
    rng: random.Random,
    base_delay_seconds: float = BASE_DELAY_SECONDS,
    max_delay_seconds: float = MAX_DELAY_SECONDS,
) -> float:
    """Return a random delay in seconds, uniform up to a maximum that doubles per attempt and is capped."""
    max_delay = base_delay_seconds * 2.0 ** (attempt if attempt < MAX_EXPONENT else MAX_EXPONENT)
    return rng.random() * (max_delay if max_delay < max_delay_seconds else max_delay_seconds)
