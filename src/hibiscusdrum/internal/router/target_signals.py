"""What a target states in the headers of its answers: a rate limit, that it leaves, or a refusal."""

from __future__ import annotations

import math
from collections.abc import Mapping

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal.router.routes import HeaderNames

MISDIRECTED_STATUS = 421
RETRY_AFTER_HEADER = "retry-after"
# Position of the optional figure in a load report that says how long work takes, in percent of usual.
SLOWDOWN_FIELD = 3


def is_refusal(status: int, headers: Mapping[str, str], names: HeaderNames) -> bool:
    """Return whether an answer says that its request did not run."""
    return names.not_run in headers or status == MISDIRECTED_STATUS


def parse_number(headers: Mapping[str, str], name: str, unit: str) -> float | None:
    """Return the decimal number in a header; None if the header is missing.

    Raises
    ------
    InvalidArgument
        If the header is not a decimal number from 0.
    """
    text = headers.get(name)
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if not 0.0 <= number < math.inf:
        raise InvalidArgument(name=name, value=text, expected=f"{unit} from 0")
    return number


def parse_rate_limit(headers: Mapping[str, str], names: HeaderNames) -> float | None:
    """Return the requests per second that the target accepts from all nodes together; None if unlimited.

    Raises
    ------
    InvalidArgument
        If the header is not a decimal number from 0.
    """
    return parse_number(headers, names.rate_limit, "requests per second")


def parse_retry_after(headers: Mapping[str, str]) -> float:
    """Return the seconds after which the target may accept a request that it has refused; 0 if not stated.

    Raises
    ------
    InvalidArgument
        If the header is not a decimal number from 0. A date is not accepted, since clocks differ.
    """
    return parse_number(headers, RETRY_AFTER_HEADER, "seconds") or 0.0


def parse_slowdown(headers: Mapping[str, str], names: HeaderNames) -> float | None:
    """Return how long work takes at the target now, 1 as usual; None if the target does not state it.

    Raises
    ------
    InvalidArgument
        If the figure is not a decimal number above 0.
    """
    text = headers.get(names.load_report, "")
    figures = text.split(",")
    if len(figures) <= SLOWDOWN_FIELD:
        return None
    try:
        percent = float(figures[SLOWDOWN_FIELD])
    except ValueError:
        percent = math.nan
    if not 0.0 < percent < math.inf:
        raise InvalidArgument(name=names.load_report, value=text, expected="a percentage above 0")
    return percent / 100.0


def is_leaving(headers: Mapping[str, str], names: HeaderNames) -> bool:
    """Return whether the target is leaving: any value but 0 says so, since work sent to it may be lost."""
    return headers.get(names.leaving, "0").strip() != "0"


class RateLimitState:
    """The rate limit that a target states in its answers.

    Answers to concurrent requests may be read in another order than they were made. An answer without a limit
    therefore ends it only if its request was sent after the limit was last stated.

    Attributes
    ----------
    rate : float or None
        Requests per second; None if unlimited.
    stated_at, changed_at : float
        Monotonic times in seconds of the last answer that stated a limit, and of the last change of it.
    """

    __slots__ = ("changed_at", "rate", "stated_at")

    def __init__(self) -> None:
        self.rate: float | None = None
        self.stated_at = float("-inf")
        self.changed_at = float("-inf")

    def observe(self, rate: float | None, sent_at: float, now: float) -> bool:
        """Record the limit of an answer, and return whether the limit has changed.

        Parameters
        ----------
        rate : float or None
            Limit in the answer; None if it states none.
        sent_at : float
            Monotonic time in seconds at which the answered request was sent.
        """
        if rate is None and sent_at <= self.stated_at:
            return False
        if rate is not None:
            self.stated_at = now
        if rate == self.rate:
            return False
        self.rate, self.changed_at = rate, now
        return True
