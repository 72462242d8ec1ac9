"""Rate limit of the link between two regions, with priority for control traffic."""

from __future__ import annotations

from hibiscusdrum.errors import InvalidArgument

CONTROL = "control"
DATA = "data"
# Seconds of traffic that may be sent as one burst after an idle period.
BURST_SECONDS = 0.25


class LinkBudget:
    """Rate limiter of two token buckets, one for control traffic and one for data.

    The control bucket is filled at its share of the rate; what overflows goes to the data bucket, which gets
    the rest of the rate. Control traffic may also spend data tokens, data spends only its own.

    Parameters
    ----------
    bytes_per_second : float
        Rate of the link; 30 Mbit/s by default.
    control_share : float
        Share of the rate reserved for control traffic.
    burst_seconds : float
        Combined capacity of both buckets, in seconds of traffic at the full rate.
    """

    __slots__ = (
        "bytes_per_second",
        "control_capacity",
        "control_rate",
        "control_tokens",
        "data_capacity",
        "data_tokens",
        "refilled_at",
    )

    def __init__(
        self,
        bytes_per_second: float = 3_750_000,
        control_share: float = 0.1,
        burst_seconds: float = BURST_SECONDS,
    ) -> None:
        if bytes_per_second <= 0:
            raise InvalidArgument(name="bytes_per_second", value=bytes_per_second, expected="above 0")
        if not 0.0 < control_share < 1.0:
            raise InvalidArgument(name="control_share", value=control_share, expected="between 0 and 1")
        self.bytes_per_second = float(bytes_per_second)
        self.control_rate = bytes_per_second * control_share
        self.control_capacity = self.control_rate * burst_seconds
        self.data_capacity = (bytes_per_second - self.control_rate) * burst_seconds
        self.control_tokens = self.control_capacity
        self.data_tokens = self.data_capacity
        self.refilled_at: float | None = None

    def try_spend_bytes(self, kind: str, size: int, now: float) -> bool:
        """Spend the tokens for a message; False if it must wait.

        A message larger than its bucket is allowed when the bucket is full, since it could never be sent
        otherwise. It leaves a negative balance, which delays the messages after it.

        Parameters
        ----------
        kind : str
            ``CONTROL`` or ``DATA``.
        size : int
            Bytes sent over the link.
        now : float
            Monotonic time in seconds.
        """
        self._refill(now)
        if kind == DATA:
            if self.data_tokens < size and self.data_tokens < self.data_capacity:
                return False
            self.data_tokens -= size
            return True
        if kind != CONTROL:
            raise InvalidArgument(name="kind", value=kind, expected=f"{CONTROL!r} or {DATA!r}")
        return self._try_spend_control(size)

    def seconds_until_allowed(self, kind: str, size: int, now: float) -> float:
        """Return the seconds until a message of this kind and size is allowed if nothing else is sent."""
        self._refill(now)
        if kind == DATA:
            missing = min(size, self.data_capacity) - self.data_tokens
            return max(0.0, missing / (self.bytes_per_second - self.control_rate))
        missing = min(size, self.control_capacity) - self.control_tokens
        return 0.0 if self.data_tokens >= size else max(0.0, missing / self.control_rate)

    def _try_spend_control(self, size: int) -> bool:
        if self.control_tokens >= size or self.control_tokens >= self.control_capacity:
            self.control_tokens -= size
            return True
        # Spends the control tokens that are left first, to take as few data tokens as possible.
        own = max(0.0, self.control_tokens)
        if self.data_tokens >= size - own:
            self.control_tokens -= own
            self.data_tokens -= size - own
            return True
        return False

    def _refill(self, now: float) -> None:
        refilled_at, self.refilled_at = self.refilled_at, now
        if refilled_at is None or now <= refilled_at:
            return
        seconds = now - refilled_at
        control = self.control_tokens + self.control_rate * seconds
        data = self.data_tokens + (self.bytes_per_second - self.control_rate) * seconds
        if control > self.control_capacity:
            data += control - self.control_capacity
            control = self.control_capacity
        self.control_tokens = control
        self.data_tokens = data if data < self.data_capacity else self.data_capacity
