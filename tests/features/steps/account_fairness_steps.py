"""Steps with a full target that several client accounts use."""

import random
from collections import Counter

from behave import then, when
from tests.played_target import Target, maker
from tests.router_stubs import forward

from hibiscusdrum.internal.router.account_fairness import DRAWN_PRIORITY, AccountFairness

SMALL = [f"small{number}" for number in range(20)]
LARGE_SHARE = 0.7
PLAYED_SECONDS = 120.0


class FairTarget(Target):
    """A target whose node draws requests."""

    def __init__(self, slots, seconds):
        super().__init__(slots, seconds)
        self.fairness = AccountFairness(random.Random(3))
        self.drawn = 0

    def arrive(self, request, now):
        """Admit a request or refuse it, after the draw."""
        if self.fairness.draws(now):
            self.drawn += 1
            request.priority = DRAWN_PRIORITY
        super().arrive(request, now)

    def pump(self, now):
        """Start what the target has room for, and count it."""
        before = len(self.starts)
        super().pump(now)
        for _ in range(len(self.starts) - before):
            self.fairness.on_served(now)

    def end(self, request, outcome, now):
        """End a request, and count it if it was refused."""
        super().end(request, outcome, now)
        if outcome == "refused":
            self.fairness.on_refused(now)


def priority_of(account, case):
    """Return the priority of an account."""
    if case.startswith("each"):
        return 0 if account == "large" else 1 + SMALL.index(account) % 4
    if case.startswith("the large"):
        return 0 if account == "large" else 3
    if case.startswith("the small"):
        return 3 if account == "large" else 0
    return 1


@when("{times:g} times its capacity is asked for by a large account and 20 small ones, where {case}")
def accounts_ask(context, times, case):
    target = context.target = FairTarget(context.target.admission.slots, context.target.seconds)
    rate = times * target.capacity
    streams = [(rate * LARGE_SHARE, maker("large", priority=priority_of("large", case)))]
    each = rate * (1.0 - LARGE_SHARE) / len(SMALL)
    streams += [(each, maker(name, priority=priority_of(name, case))) for name in SMALL]
    target.play(streams, PLAYED_SECONDS)


@then("each account is served at least a quarter as often as all accounts")
def quarter(context):
    played = context.target.played
    asked = Counter(request.kind for request in played)
    served = Counter(request.kind for request in played if request.outcome == "answered")
    overall = served.total() / asked.total()
    shares = {name: round(served[name] / asked[name] / overall, 3) for name in asked}
    assert min(shares.values()) >= 0.25, (overall, shares)


@then("at least {share:d} in 100 of its capacity are used")
def capacity_used(context, share):
    target = context.target
    answered = sum(request.outcome == "answered" for request in target.played)
    assert answered >= share / 100 * target.capacity * PLAYED_SECONDS, answered


@then("no request was drawn")
def none_drawn(context):
    assert context.target.drawn == 0 and len(context.target.played) > 1000


@when("{count:d} requests without an account arrive")
def without_account(context, count):
    for number in range(count):
        context.receiver.on_forward(forward(number), b"", 0.0, lambda *_: None)


@then("the receiver has counted none for the draw, and orders them by their priority")
def none_counted(context):
    receiver = context.receiver
    assert receiver.fairness.refused == receiver.fairness.served == 0.0
    assert {entry.priority for _, _, entry in receiver.admission.heap} == {1}
