"""Quotas of client accounts over all nodes: the keeper's buckets, and the tokens of one node.

It handles accounts whose requests enter at any of about 84 nodes, each of which sees a small account once in
several seconds and a large one up to the whole quota, and demand that moves between nodes. Nothing here does
I/O; all times are monotonic seconds of the node.

Accounts are divided into groups, and each group has one keeper at a time. Two keepers never hand out one
quota twice, because a keeper's buckets fill in proportion to the nodes that support it, and a node supports
one keeper at a time. See docs/design/accounts.md.
"""

from __future__ import annotations

import hashlib
import itertools
import math
from bisect import bisect_right, insort
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

from hibiscusdrum.internal.messages import QuotaAsk, QuotaGrant
from hibiscusdrum.internal.router.accounts import Account

# Each group costs every node a message to its keeper in each refresh interval, and loses its keeper alone.
GROUPS = 2
# A keeper counts a node for this long after the time that the node returns to it. The node waits a little
# longer, since the two clocks may differ in speed.
SUPPORT_SECONDS = 2.0
SUPPORT_HOLD_SECONDS = 2.1
REFRESH_SECONDS = 0.8
# A keeper that has not answered for this long is replaced. Busy nodes answer a few hundred milliseconds late.
KEEPER_SILENCE_SECONDS = 0.7
PROBE_SECONDS = 2.0
# A message that could not be sent costs nothing. After a start, connections are made within this time or two.
RECONNECT_SECONDS = 0.3
# Longest wait of a request for an answer of the keeper: two round trips between regions take 0.12 s.
MAX_TOKEN_WAIT_SECONDS = 0.6
# Unused tokens end after LEASE_SECONDS at their node, which counts from its message, and later at the keeper.
LEASE_SECONDS = 1.0
LEASE_TRANSIT_SECONDS = 0.2
# A node with a demand from MIN_LEASE_DEMAND requests a second leases what it needs for LEASE_DEMAND_SECONDS.
MIN_LEASE_DEMAND = 2.0
LEASE_DEMAND_SECONDS = 0.25
DEMAND_SMOOTHING_SECONDS = 2.0
# Shares of the tolerance that may be in the bucket, and in leases. The rest is for requests that are queued
# for different times between their token and their run.
BUCKET_TOLERANCE_SHARE = 0.15
LEASE_TOLERANCE_SHARE = 0.35
# Refused callers may come back until this time after their Retry-After; less if the bucket holds less.
RESERVED_SECONDS = 1.0
MIN_RESERVED_SECONDS = 0.1
# Reservations are searched for each request that is refused.
MAX_RESERVATIONS = 300
RESERVATION_HORIZON_SECONDS = 5.0
# Retry-After while the bucket does not fill, or no keeper is known.
UNKNOWN_WAIT_SECONDS = 1.0
# A Retry-After is sent with milliseconds; its caller must not come back too early.
WAIT_MARGIN_SECONDS = 0.005
# Longest Retry-After; a node that is cut off has a small part of a quota, but not for long.
MAX_WAIT_SECONDS = 10.0
# Above this demand at a node, requests do not take the reservations of callers who come back.
MAX_CLAIMING_DEMAND = 0.3
# Refused callers that are remembered by their connections.
MAX_REFUSED_CONNECTIONS = 10_000
# Level from which a token counts as whole, despite rounding.
WHOLE_TOKEN = 1.0 - 1e-6
# Candidates for the keeper: the first of all nodes, and the first of the node's own region.
CANDIDATES = 2


def fraction_of(*parts: str) -> float:
    """Return a number from 0 to 1 that is the same at all nodes."""
    digest = hashlib.blake2b("\n".join(parts).encode("utf-8", "surrogatepass"), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2.0**64


def group_of(account: str) -> int:
    """Return the group of an account."""
    return int(fraction_of("group", account) * GROUPS)


def candidates(group: int, regions: dict[str, str], node: str) -> tuple[str, ...]:
    """Return the nodes that may keep a group, in the order in which a node tries them; the last is itself."""
    order = sorted(regions, key=lambda name: fraction_of("keeper", str(group), name), reverse=True)
    near = [name for name in order if regions[name] == regions.get(node)]
    return tuple(dict.fromkeys((*order[:CANDIDATES], *near[:CANDIDATES], node)))


class Tolerance:
    """How many requests beyond rate and burst may run: ``over`` of those of a window, and ``slack``."""

    __slots__ = ("over", "slack", "window")

    def __init__(self, window: float = 5.0, over: float = 0.1, slack: float = 20.0) -> None:
        self.window = window
        self.over = over
        self.slack = slack

    def requests(self, account: Account) -> float:
        """Return the number for an account."""
        return self.over * (account.rate * self.window + account.burst) + self.slack

    def capacity(self, account: Account) -> float:
        """Return how many tokens may be unused at all keepers of an account together."""
        return account.burst + BUCKET_TOLERANCE_SHARE * self.requests(account)

    def leases(self, account: Account) -> float:
        """Return how many tokens may be leased at a time."""
        return LEASE_TOLERANCE_SHARE * self.requests(account)


class Bucket:
    """Tokens of one account at its keeper, and the callers for whom the next ones are reserved.

    Attributes
    ----------
    level : float
        Tokens that are neither leased nor used.
    capacity, rate, lease_limit : float, float, int
        Highest level, tokens per second, and tokens that may be leased or kept for callers who come back, in
        proportion to the nodes that support the keeper.
    leases : dict of str to deque
        Ends and numbers of the tokens that were leased to each node and not reported as used.
    reservations : list of (float, str)
        Times at which tokens are reserved, in order, and the node for each.
    filled_to : float
        Time up to which it is filled, in seconds during which all nodes supported the keeper.
    full_capacity, full_rate, full_lease_limit : float
        The same of all keepers of the account together.
    """

    __slots__ = (
        "capacity",
        "filled_to",
        "full_capacity",
        "full_lease_limit",
        "full_rate",
        "lease_limit",
        "leased",
        "leases",
        "level",
        "rate",
        "reservations",
    )

    def __init__(self, filled_to: float) -> None:
        self.full_capacity = 0.0
        self.full_rate = 0.0
        self.full_lease_limit = 0.0
        self.lease_limit = 0
        self.level = 0.0
        self.capacity = 0.0
        self.rate = 0.0
        self.leases: dict[str, deque[list[float]]] = {}
        self.leased = 0
        self.reservations: list[tuple[float, str]] = []
        self.filled_to = filled_to

    def fill(self, filled_to: float, share: float, capacity: float, now: float) -> None:
        """Add the tokens since the last call.

        Those that are reserved and due may be kept beyond the capacity, as if they were leased.
        """
        former_rate, self.rate = self.rate, self.full_rate * share
        self.capacity = capacity
        self.lease_limit = int(self.full_lease_limit * share)
        kept = min(self.due_count(now), max(0, self.lease_limit - self.leased))
        self.level = min(capacity + kept, self.level + self.full_rate * (filled_to - self.filled_to))
        self.filled_to = filled_to
        if self.rate < former_rate:
            self.drop_unmet(now)

    def drop_unmet(self, now: float) -> None:
        """Drop the reservations that cannot be met when they are due, because the rate has fallen."""
        kept: list[tuple[float, str]] = []
        for due, node in self.reservations:
            if self.level + self.rate * max(0.0, due - now) >= len(kept) + WHOLE_TOKEN:
                kept.append((due, node))
        self.reservations = kept

    def due_count(self, now: float) -> int:
        """Return the number of reservations that are due."""
        return bisect_right(self.reservations, now, key=due_time)

    def drop_ended(self, now: float) -> None:
        """Drop the reservations that nobody used, and the leases that have ended."""
        kept = RESERVED_SECONDS
        if self.rate:
            room = self.capacity + self.lease_limit
            kept = max(MIN_RESERVED_SECONDS, min(kept, 0.5 * room / self.rate))
        ended = 0
        while ended < len(self.reservations) and self.reservations[ended][0] + kept < now:
            ended += 1
        del self.reservations[:ended]
        for node, leases in list(self.leases.items()):
            while leases and leases[0][0] <= now:
                self.leased -= leases.popleft()[1]
            if not leases:
                del self.leases[node]

    def report(self, node: str, used: int, returned: int) -> None:
        """Take a node's report on tokens that it was given."""
        self.level = max(self.level, min(self.capacity, self.level + returned))
        leases = self.leases.get(node, ())
        while used and leases:
            ended = min(used, leases[0][1])
            leases[0][1] -= ended
            self.leased -= ended
            used -= ended
            if not leases[0][1]:
                leases.popleft()

    def free(self, now: float) -> float:
        """Return how many tokens can be given away without a lack of reserved ones when they are due."""
        least = self.level
        for number, (due, _node) in enumerate(self.reservations, start=1):
            least = min(least, self.level + self.rate * max(0.0, due - now) - number)
        return least

    def ask(self, node: str, may_claim: bool, now: float) -> float:
        """Take a token; returns 0, or the seconds after which one is reserved for the node."""
        if self.free(now) >= WHOLE_TOKEN or (may_claim and self.claim(node, now)):
            self.level -= 1.0
            return 0.0
        return self.reserve(node, now)

    def claim(self, node: str, now: float) -> bool:
        """Give up the earliest reservation of a node that is due; returns whether there is one."""
        if self.level < WHOLE_TOKEN:
            return False
        for position, (due, owner) in enumerate(self.reservations):
            if due > now:
                return False
            if owner == node:
                del self.reservations[position]
                return True
        return False

    def reserve(self, node: str, now: float) -> float:
        """Reserve the next token that is not, and return the seconds until then."""
        if not self.rate or self.capacity < WHOLE_TOKEN:
            return UNKNOWN_WAIT_SECONDS
        due = now + max(0.0, 1.0 - self.level) / self.rate
        for number, (other, _node) in enumerate(self.reservations, start=1):
            if self.level + self.rate * max(0.0, other - now) < number + WHOLE_TOKEN:
                due = max(other, now + (number + 1 - self.level) / self.rate)
        wait = due - now + WAIT_MARGIN_SECONDS
        if wait <= RESERVATION_HORIZON_SECONDS and len(self.reservations) < MAX_RESERVATIONS:
            insort(self.reservations, (due, node))
        return min(wait, MAX_WAIT_SECONDS)

    def lease(self, node: str, wanted: int, now: float) -> int:
        """Take some tokens for later use; returns their number."""
        limit = self.lease_limit - self.due_count(now)
        count = max(0, min(wanted, limit - self.leased, int(self.free(now) / 2)))
        if count:
            self.level -= count
            self.leased += count
            until = now + LEASE_SECONDS + LEASE_TRANSIT_SECONDS
            self.leases.setdefault(node, deque()).append([until, count])
        return count


def due_time(reservation: tuple[float, str]) -> float:
    """Return the sort key of reservations."""
    return reservation[0]


class Keeper:
    """Buckets of the accounts of one group, at a node that may or may not be the one that others ask.

    Parameters
    ----------
    process : bytes
        Identifies this start of the process; times of former ones do not count.

    Attributes
    ----------
    supporters : dict of str to float
        Until when each node supports this one.
    filled : float
        Integral over time of the share of nodes that supported this one.
    """

    __slots__ = ("buckets", "filled", "filled_at", "node", "process", "supporters", "tolerance")

    def __init__(self, node: str, process: bytes, tolerance: Tolerance, now: float) -> None:
        self.node = node
        self.process = process
        self.tolerance = tolerance
        self.buckets: dict[str, Bucket] = {}
        self.supporters: dict[str, float] = {}
        self.filled = 0.0
        self.filled_at = now

    def set_accounts(self, accounts: dict[str, Account]) -> None:
        """Set the accounts with a quota; the bucket of a new one is empty."""
        self.buckets = {name: self.buckets.get(name) or Bucket(self.filled) for name in accounts}
        for name, bucket in self.buckets.items():
            bucket.full_rate = accounts[name].rate
            bucket.full_capacity = self.tolerance.capacity(accounts[name])
            bucket.full_lease_limit = self.tolerance.leases(accounts[name])

    def share(self, node_count: int) -> float:
        """Return the share of the nodes that support this one."""
        return min(1.0, len(self.supporters) / max(1, node_count))

    def capacity(self, name: str, share: float) -> float:
        """Return the capacity of a bucket here.

        A node that is cut off has a whole token or none, so that the sum over the nodes is the same.
        """
        capacity = self.buckets[name].full_capacity * share
        if capacity >= 1.0:
            return capacity
        return 1.0 if fraction_of("whole", name, self.node) < capacity else 0.0

    def advance(self, node_count: int, now: float) -> None:
        """Count the time since the last message, with the nodes that supported this one throughout.

        The buckets lose the part of the nodes that do not any more, and may support another keeper.
        """
        lost = [node for node, until in self.supporters.items() if until <= now]
        for node in lost:
            del self.supporters[node]
        share = self.share(node_count)
        self.filled += share * max(0.0, now - self.filled_at)
        self.filled_at = now
        for name, bucket in self.buckets.items() if lost else ():
            bucket.fill(self.filled, share, self.capacity(name, share), now)

    def on_ask(self, ask: QuotaAsk, node_count: int, now: float) -> QuotaGrant:
        """Answer a node; ``node_count`` is the number of known nodes."""
        self.advance(node_count, now)
        if ask.supports and ask.process == self.process and ask.stamp <= now:
            until = max(self.supporters.get(ask.node, 0.0), ask.stamp + SUPPORT_SECONDS)
            if until > now:
                self.supporters[ask.node] = until
        share = self.share(node_count)
        entries = tuple(self.serve(ask.node, entry, share, now) for entry in ask.entries)
        return QuotaGrant(self.node, ask.group, ask.number, entries, self.process, now)

    def serve(
        self, node: str, entry: tuple[str, int, int, int, int, int], share: float, now: float
    ) -> tuple[str, tuple[float, ...], int]:
        """Return an account, the seconds to wait for each request, and the leased tokens.

        A request whose wait is 0 may run.
        """
        name, claims, fresh, wanted, used, returned = entry
        bucket = self.buckets.get(name)
        if bucket is None:
            # The two nodes have different configurations.
            return name, (UNKNOWN_WAIT_SECONDS,) * (claims + fresh), 0
        bucket.fill(self.filled, share, self.capacity(name, share), now)
        bucket.drop_ended(now)
        bucket.report(node, used, returned)
        may_claim = itertools.chain(itertools.repeat(True, claims), itertools.repeat(False, fresh))
        waits = tuple(bucket.ask(node, claiming, now) for claiming in may_claim)
        return name, waits, bucket.lease(node, wanted, now) if wanted else 0


class Waiter:
    """A request that waits for a token; ``decide`` is called with 0 or the seconds of its Retry-After."""

    __slots__ = ("decide", "may_claim", "since")

    def __init__(self, decide: Callable[[float], None], may_claim: bool, since: float) -> None:
        self.decide = decide
        self.may_claim = may_claim
        self.since = since


class AccountShare:
    """Tokens of one account at one node, its demand, and the requests that wait for tokens.

    Attributes
    ----------
    leases : deque of [float, int]
        Ends and numbers of leased tokens.
    used, returned : int
        Leased tokens that were used, and tokens that were not needed, since the last report.
    demand : float
        Requests per second at this node.
    """

    __slots__ = ("demand", "demand_at", "leases", "returned", "used", "waiting")

    def __init__(self, now: float) -> None:
        self.leases: deque[list[float]] = deque()
        self.used = 0
        self.returned = 0
        self.demand = 0.0
        self.demand_at = now
        self.waiting: deque[Waiter] = deque()

    def record_demand(self, now: float) -> None:
        """Count a request."""
        self.demand = self.current_demand(now) + 1.0 / DEMAND_SMOOTHING_SECONDS
        self.demand_at = now

    def current_demand(self, now: float) -> float:
        """Return the demand, which decays while there are no requests."""
        return self.demand * math.exp((self.demand_at - now) / DEMAND_SMOOTHING_SECONDS)

    def held(self, now: float) -> int:
        """Return the number of leased tokens that have not ended."""
        while self.leases and self.leases[0][0] <= now:
            self.leases.popleft()
        return sum(count for _until, count in self.leases)

    def take(self, now: float) -> bool:
        """Use a leased token, if there is one."""
        if not self.held(now):
            return False
        self.leases[0][1] -= 1
        if not self.leases[0][1]:
            self.leases.popleft()
        self.used += 1
        return True

    def wanted(self, now: float) -> int:
        """Return how many tokens to lease."""
        demand = self.current_demand(now)
        if demand < MIN_LEASE_DEMAND:
            return 0
        target = math.ceil(demand * LEASE_DEMAND_SECONDS)
        held = self.held(now)
        return target - held if held <= target / 2 else 0


class SentAsk:
    """A message to a keeper without an answer."""

    __slots__ = ("keeper", "sent_at", "waiters")

    def __init__(self, keeper: str, sent_at: float, waiters: dict[str, list[Waiter]]) -> None:
        self.keeper = keeper
        self.sent_at = sent_at
        self.waiters = waiters


class GroupClient:
    """What one node asks the keeper of a group for.

    Attributes
    ----------
    keeper : str
        The node to support: the first candidate that answers.
    silent : dict of str to float
        Candidates that have not answered, and when to try each again.
    supported : str
        Keeper that may count this node until ``bound_until`` at most.
    stamp : tuple or None
        Keeper, its process, its last time, and when that was received.
    asks : dict of int to SentAsk
        Messages without an answer, by number.
    retired : bool
        Whether this node does not keep the group itself any more.
    """

    __slots__ = (
        "asks",
        "bound_until",
        "candidates",
        "group",
        "keeper",
        "last_sent_at",
        "node",
        "numbers",
        "retired",
        "shares",
        "silent",
        "stamp",
        "supported",
        "unsent",
    )

    def __init__(self, group: int, node: str, now: float) -> None:
        self.group = group
        self.node = node
        self.candidates: tuple[str, ...] = (node,)
        self.keeper = node
        self.silent: dict[str, float] = {}
        self.supported = ""
        # A former process of this node may have supported any keeper until now.
        self.bound_until = now + SUPPORT_HOLD_SECONDS
        self.stamp: tuple[str, bytes, float, float] | None = None
        self.asks: dict[int, SentAsk] = {}
        self.numbers = itertools.count(1)
        self.shares: dict[str, AccountShare] = {}
        self.unsent = False
        self.retired = False
        self.last_sent_at = -math.inf

    def set_candidates(self, names: tuple[str, ...]) -> None:
        """Set the nodes that may be the keeper, in order; the last is this one."""
        self.candidates = names
        self.silent = {name: until for name, until in self.silent.items() if name in names}
        self.choose()

    def choose(self) -> None:
        """Choose the first candidate that answers."""
        former = self.keeper
        names = [name for name in self.candidates if not (self.retired and name == self.node)]
        self.keeper = next((name for name in names if name not in self.silent), self.node)
        if self.keeper != former:
            self.last_sent_at = -math.inf

    def retire(self) -> None:
        """Choose another keeper than this node."""
        self.retired = True
        self.choose()

    def on_retired(self, keeper: str, now: float) -> None:
        """Take that a keeper has stopped for good, so that it counts on no node any more."""
        if keeper in self.candidates:
            self.mark_silent(keeper, now)
        if self.supported == keeper:
            self.supported = ""
            self.bound_until = min(self.bound_until, now)

    def acquire(self, account: str, returning: bool, decide: Callable[[float], None], now: float) -> bool:
        """Take a token for a request; if that is not possible at once, return False, and decide later.

        Parameters
        ----------
        returning : bool
            Whether its caller was refused before.
        """
        share = self.shares.get(account)
        if share is None:
            share = self.shares[account] = AccountShare(now)
        share.record_demand(now)
        if share.take(now):
            self.unsent = self.unsent or share.wanted(now) > 0
            return True
        may_claim = returning or share.current_demand(now) < MAX_CLAIMING_DEMAND
        share.waiting.append(Waiter(decide, may_claim, now))
        self.unsent = True
        return False

    def give_back(self, account: str) -> None:
        """Return a token whose request will not run."""
        share = self.shares.get(account)
        if share is not None:
            share.returned += 1
            self.unsent = True

    def token_source(self, now: float) -> str:
        """Return the keeper to ask for tokens: a former one as long as it may count this node."""
        former = self.supported
        if former and former != self.keeper and former not in self.silent and now < self.bound_until:
            return former
        return self.keeper

    def can_change_support(self, now: float) -> bool:
        """Return whether the next message to the keeper is the first that supports it."""
        known = self.stamp is not None and self.stamp[0] == self.keeper
        return known and self.supported != self.keeper and now >= self.bound_until

    def may_support(self, keeper: str, now: float) -> bool:
        """Return whether to support a keeper, which no other one may count on meanwhile."""
        if keeper != self.keeper or self.stamp is None or self.stamp[0] != keeper:
            return False
        if self.supported != keeper and not self.can_change_support(now):
            return False
        self.supported = keeper
        self.bound_until = max(self.bound_until, self.stamp[3] + SUPPORT_HOLD_SECONDS)
        return True

    def make_ask(self, keeper: str, with_tokens: bool, now: float) -> QuotaAsk:
        """Return the next message to a keeper."""
        waiters: dict[str, list[Waiter]] = {}
        entries = []
        for name, share in self.shares.items() if with_tokens else ():
            wanted = share.wanted(now)
            if not (share.waiting or wanted or share.used or share.returned):
                continue
            waiting = sorted(share.waiting, key=lambda waiter: not waiter.may_claim)
            claims = sum(waiter.may_claim for waiter in waiting)
            entries.append((name, claims, len(waiting) - claims, wanted, share.used, share.returned))
            share.used = share.returned = 0
            share.waiting.clear()
            waiters[name] = waiting
        number = next(self.numbers)
        self.asks[number] = SentAsk(keeper, now, waiters)
        process, stamp = (b"", 0.0)
        if self.stamp is not None and self.stamp[0] == keeper:
            process, stamp = self.stamp[1:3]
        supports = self.may_support(keeper, now)
        return QuotaAsk(self.node, self.group, number, tuple(entries), supports, process, stamp)

    def due_asks(self, now: float) -> list[tuple[str, QuotaAsk]]:
        """Return the messages to send now, and to which node each."""
        asks = []
        source = self.token_source(now)
        if self.unsent:
            self.unsent = False
            asks.append((source, self.make_ask(source, True, now)))
            if source == self.keeper:
                self.last_sent_at = now
        if now - self.last_sent_at >= REFRESH_SECONDS or self.can_change_support(now):
            self.last_sent_at = now
            asks.append((self.keeper, self.make_ask(self.keeper, self.keeper == source, now)))
        for name, retry_at in self.silent.items():
            if now >= retry_at:
                self.silent[name] = now + PROBE_SECONDS
                asks.append((name, self.make_ask(name, False, now)))
        return asks

    def on_grant(self, grant: QuotaGrant, now: float) -> list[tuple[Waiter, float]]:
        """Take an answer; returns the waiting requests that it decides on, with the seconds to wait."""
        ask = self.asks.pop(grant.number, None)
        if ask is None or ask.keeper != grant.node:
            return []
        if self.silent.pop(grant.node, None) is not None:
            self.choose()
        if grant.node == self.keeper:
            self.stamp = grant.node, grant.process, grant.stamp, now
        if now - ask.sent_at > LEASE_SECONDS:
            # The tokens are void: this process was paused, and the keeper has counted them as used.
            return self.refused(ask, now)
        decided = []
        for name, waits, leased in grant.entries:
            share = self.shares.get(name)
            if share is None:
                continue
            if leased:
                share.leases.append([ask.sent_at + LEASE_SECONDS, leased])
            waiters = ask.waiters.pop(name, [])
            decided += zip(waiters, waits, strict=False)
            # Tokens for requests that have been refused meanwhile.
            share.returned += sum(not wait for wait in waits[len(waiters) :])
        return decided

    def on_unsent(self, number: int, now: float) -> list[tuple[Waiter, float]]:
        """Take that a message could not be sent; returns the waiting requests to be refused."""
        ask = self.asks.pop(number, None)
        if ask is None:
            return []
        self.mark_silent(ask.keeper, now)
        if ask.keeper in self.silent:
            self.silent[ask.keeper] = now + RECONNECT_SECONDS
        return self.refused(ask, now)

    def mark_silent(self, keeper: str, now: float) -> None:
        """Choose another keeper than one that does not answer."""
        if keeper != self.node and keeper not in self.silent:
            self.silent[keeper] = now + PROBE_SECONDS
            self.choose()

    def refused(self, ask: SentAsk, now: float) -> list[tuple[Waiter, float]]:
        """Return the waiting requests of a message, with the time until another keeper may have tokens."""
        wait = max(UNKNOWN_WAIT_SECONDS, self.bound_until - now + REFRESH_SECONDS)
        return [(waiter, wait) for waiters in ask.waiters.values() for waiter in waiters]

    def expire(self, now: float, resumed_at: float) -> list[tuple[Waiter, float]]:
        """Give up messages without an answer; returns the waiting requests to be refused.

        ``resumed_at`` is when this process last went on after a pause, during which it read no answers.
        """
        decided = []
        for number, ask in list(self.asks.items()):
            age = now - max(ask.sent_at, resumed_at)
            if age > MAX_TOKEN_WAIT_SECONDS and ask.waiters:
                decided += self.refused(ask, now)
                ask.waiters = {}
            if age > KEEPER_SILENCE_SECONDS:
                del self.asks[number]
                self.mark_silent(ask.keeper, now)
        return decided

    def forget(self, accounts: Iterable[str]) -> list[tuple[Waiter, float]]:
        """Drop the shares of accounts without a quota; returns the requests that need no token any more."""
        freed: list[tuple[Waiter, float]] = []
        for name in self.shares.keys() - set(accounts):
            freed += [(waiter, 0.0) for waiter in self.shares.pop(name).waiting]
            for ask in self.asks.values():
                # Those of an ask under way have left the share.
                freed += [(waiter, 0.0) for waiter in ask.waiters.pop(name, ())]
        return freed


class RefusedConnections:
    """Connections on which a request was refused, so that the next one on them comes from that caller.

    A caller who comes back with the same deadline is known by it, one with a new deadline by its connection.

    Attributes
    ----------
    ends : dict of int to float
        Until when the caller of each connection may come back, in the order of the refusals.
    """

    __slots__ = ("ends",)

    def __init__(self) -> None:
        self.ends: dict[int, float] = {}

    def record(self, connection: object, wait: float, now: float) -> None:
        """Record a refusal with a Retry-After of some seconds."""
        self.ends.pop(id(connection), None)
        self.ends[id(connection)] = now + wait + RESERVED_SECONDS
        if len(self.ends) > MAX_REFUSED_CONNECTIONS:
            del self.ends[next(iter(self.ends))]

    def take(self, connection: object, now: float) -> bool:
        """Return whether the caller was refused and comes back in time, and forget the refusal."""
        return now < self.ends.pop(id(connection), now)


def limited_accounts(accounts: Any) -> dict[str, Account]:
    """Return the accounts of a configuration that have a quota, by name; none without accounts."""
    if accounts is None:
        return {}
    return {name: account for name, account in accounts.by_name.items() if account.rate}
