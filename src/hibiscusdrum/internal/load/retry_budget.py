"""Retry budget of one tenant: retries are a bounded share of ordinary requests."""

from __future__ import annotations

import random

from hibiscusdrum.errors import InvalidArgument

# Bound of the first delay is twice the base. A takeover lasts about 1.7 s, so the cap spans one.
BASE_DELAY_SECONDS = 0.025
MAX_DELAY_SECONDS = 2.0
MAX_EXPONENT = 30


class RetryBudget:
    """Token budget that allows ``ratio`` retries for each ordinary request.

    Parameters
    ----------
    ratio : float
        Tokens earned by each first attempt; a retry costs one token.
    burst : float
        Largest balance, so that a quiet time doesn't pay for a burst of retries after an outage.
    minimum_rate : float
        Tokens a second earned regardless of traffic, so that a tenant with few requests can retry.
    base_seconds, cap_seconds : float
        Bounds of the back-off.
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
        """Earn the share of a token that an ordinary first attempt brings."""
        tokens = self.tokens + self.ratio
        self.tokens = tokens if tokens < self.burst else self.burst

    def try_spend_retry(self, now: float) -> bool:
        """Spend a token for a retry; False when the budget is spent."""
        if self.refilled_at is not None and now > self.refilled_at:
            self.tokens = min(self.burst, self.tokens + self.min_tokens_per_second * (now - self.refilled_at))
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def backoff(self, attempt: int, rng: random.Random) -> float:
        """Return the seconds to wait before a retry, with full jitter.

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
    """Return a uniform random delay in seconds below a bound that doubles with each attempt up to a cap."""
    max_delay = base_delay_seconds * 2.0 ** (attempt if attempt < MAX_EXPONENT else MAX_EXPONENT)
    return rng.random() * (max_delay if max_delay < max_delay_seconds else max_delay_seconds)
