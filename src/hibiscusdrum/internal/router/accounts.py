"""Client accounts of the active configuration: lookup of keys, and the account of a request.

It handles any number of wrong keys at the cost of one digest each. Nothing here does I/O.
"""

from __future__ import annotations

import enum
import hashlib
import os
from collections import deque
from collections.abc import Iterable

DIGEST_BYTES = 16
# Key of the digests. It is drawn for each process, so that nobody can compute which digests are similar.
DIGEST_KEY = os.urandom(32)
# A run is remembered for this long after its end at this node: its target may still be at it, and targets are
# given at most the 10 s of the longest deadline.
ENDED_RUN_SECONDS = 10.0
# Runs that are remembered after their end: more than one target ends in that time.
MAX_ENDED_RUNS = 20_000


def key_digest(key: str) -> bytes:
    """Return the digest by which a key is looked up; the key has one character for each of its bytes."""
    return hashlib.blake2b(
        key.encode("latin-1", "replace"), key=DIGEST_KEY, digest_size=DIGEST_BYTES
    ).digest()


def header_form(key: str) -> str:
    """Return a configured key as it is decoded from a header, with one character for each byte."""
    return key.encode("utf-8", "surrogatepass").decode("latin-1")


class Account:
    """A customer of the operator.

    Attributes
    ----------
    digests : frozenset of bytes
        Digests of its keys.
    priority : int or None
        Takes precedence over the priority of the route; None if the route decides.
    rate, burst : float
        Requests per second over all nodes, and how many more may come at once; a rate of 0 means no limit.
    regions : tuple of str
        Regions in which its requests may be served; all if empty.
    usable : bool
        Whether its entry could be decoded; if not, its requests are refused.
    """

    __slots__ = ("burst", "digests", "name", "priority", "rate", "regions", "usable")

    def __init__(
        self,
        name: str,
        digests: Iterable[bytes] = (),
        priority: int | None = None,
        rate: float = 0.0,
        burst: float = 0.0,
        regions: tuple[str, ...] = (),
        usable: bool = True,
    ) -> None:
        self.name = name
        self.digests = frozenset(digests)
        self.priority = priority
        self.rate = rate
        self.burst = burst
        self.regions = regions
        self.usable = usable


class AccountTable:
    """The accounts of one configuration.

    Attributes
    ----------
    by_name : dict of str to Account
        Accounts that can be used.
    by_digest : dict of bytes to Account
        The account of each key; the first account that lists a key has it.
    usable : bool
        Whether the list of accounts could be decoded; if not, no key is known to be wrong.
    """

    __slots__ = ("by_digest", "by_name", "usable")

    def __init__(self, accounts: Iterable[Account] = (), usable: bool = True) -> None:
        self.by_name: dict[str, Account] = {}
        self.by_digest: dict[bytes, Account] = {}
        self.usable = usable
        for account in accounts:
            if account.usable:
                self.by_name.setdefault(account.name, account)
            for digest in account.digests:
                self.by_digest.setdefault(digest, account)

    def find(self, key: str) -> Account | None:
        """Return the account of a key, or None if the key is unknown."""
        return self.by_digest.get(key_digest(key)) if key else None


class Verdict(enum.Enum):
    """What follows from the key of a request."""

    ADMITTED = "admitted"
    UNAUTHORIZED = "unauthorized"
    UNUSABLE = "account_unusable"
    UNKNOWN_RUN = "run_unknown"


class Admission:
    """Whether a request is admitted, and for which account.

    Attributes
    ----------
    account : Account or None
        None if the request has no account.
    nested : bool
        Whether it is admitted as nested, so that it does not count against the quota.
    """

    __slots__ = ("account", "nested", "verdict")

    def __init__(self, verdict: Verdict, account: Account | None = None, nested: bool = False) -> None:
        self.verdict = verdict
        self.account = account
        self.nested = nested


NO_ACCOUNT = Admission(Verdict.ADMITTED)


def only_key(headers: Iterable[tuple[str, str]], name: str) -> str | None:
    """Return the key in a request's headers, or None without one; of several, none is valid."""
    found = [value.strip() for header, value in headers if header == name]
    if len(found) > 1:
        return ""
    return found[0] if found else None


def authenticate(
    table: AccountTable, public: bool, key: str | None, run_account: str | None, restarted: bool
) -> Admission:
    """Decide on a request from its key, or from the run that sent it.

    Parameters
    ----------
    public : bool
        Whether its route needs no key.
    key : str or None
        The key that it carries, if any.
    run_account : str or None
        Name of the account of the run that sent it; empty if the run has none, None if no run is known.
    restarted : bool
        Whether it may be nested in a run that this process does not know because it was restarted.
    """
    account = table.find(key) if key else None
    if account is not None and account.usable:
        return Admission(Verdict.ADMITTED, account)
    if key is None and run_account is not None:
        if not run_account:
            return Admission(Verdict.ADMITTED, None, True)
        # An account that was removed meanwhile is still named: its run was admitted.
        return Admission(Verdict.ADMITTED, table.by_name.get(run_account) or Account(run_account), True)
    if public:
        return NO_ACCOUNT
    if account is not None or not table.usable:
        return Admission(Verdict.UNUSABLE)
    if key is None and restarted:
        return Admission(Verdict.UNKNOWN_RUN)
    return Admission(Verdict.UNAUTHORIZED)


def common_regions(one: tuple[str, ...], other: tuple[str, ...]) -> tuple[str, ...] | None:
    """Return the regions that two lists allow, of which an empty one allows all; None if there is none."""
    if not one or not other:
        return one or other
    return tuple(region for region in one if region in other) or None


class EndedRuns:
    """Accounts of the runs that have ended at this node, by attempt id, for a while."""

    __slots__ = ("accounts", "ends")

    def __init__(self) -> None:
        self.accounts: dict[str, tuple[str, float]] = {}
        self.ends: deque[tuple[float, str]] = deque()

    def record(self, attempt_id: str, account: str, now: float) -> None:
        """Remember a run that has ended or was cancelled."""
        until = now + ENDED_RUN_SECONDS
        self.accounts[attempt_id] = account, until
        self.ends.append((until, attempt_id))
        while self.ends and (self.ends[0][0] <= now or len(self.ends) > MAX_ENDED_RUNS):
            ended, former_id = self.ends.popleft()
            if self.accounts.get(former_id, ("", 0.0))[1] == ended:
                del self.accounts[former_id]

    def find(self, attempt_id: str, now: float) -> str | None:
        """Return the account of a run that ended a short time ago; None if there is none."""
        account, until = self.accounts.get(attempt_id, ("", 0.0))
        return account if now < until else None
