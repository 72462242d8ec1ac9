"""Steps on leases over a simulated month, in which the clocks of a node and of the store drift apart."""

import random

from behave import given, then, when

from hibiscusdrum.internal.router.range_lease import (
    LEASE_RENEWAL_INTERVAL_SECONDS,
    RangeLease,
    is_expired,
)

MONTH_SECONDS = 30 * 86_400.0
# Of each period a few renewals in a row are played; the clocks drift on in between.
PERIOD_SECONDS = 3600.0
RENEWALS_PER_PERIOD = 20
PERIODS_PER_WEEK = 7 * 24
# Answers take from the first to the second; each period ends with an outage until the lease has expired.
FASTEST_ANSWER_SECONDS, SLOWEST_ANSWER_SECONDS = 0.004, 0.4
CHECK_STEP_SECONDS = 0.01


class Clocks:
    """True time, and the clocks of a node and of the store."""

    def __init__(self, ppm):
        self.rate = 1.0 + ppm * 1e-6
        self.true_time = 0.0
        self.store_offset = 500.0

    @property
    def node(self):
        """Local monotonic time of the node in seconds."""
        return self.true_time * self.rate

    @property
    def store(self):
        """Time on the store's clock in seconds."""
        return self.true_time + self.store_offset


@given("a node whose clock runs {ppm:d} millionths faster than the store's")
def drifting_node(context, ppm):
    context.clocks, context.rng = Clocks(ppm), random.Random(ppm)
    context.in_time = context.renewals = 0
    context.outlasted = []


def renew(clocks, lease, seconds):
    """Renew a lease by a write whose answer takes some seconds."""
    sent_at = clocks.node
    row = lease.next_row(sent_at)
    clocks.true_time += seconds / 2.0
    stamp = clocks.store
    clocks.true_time += seconds / 2.0
    lease.store_clock.observe(sent_at, stamp)
    lease.record_written(row, 1, sent_at)
    return row


def check_end(context, lease, row):
    """Note whether the lease still counts at its node when others may take it over."""
    clocks, began_at = context.clocks, context.clocks.true_time
    while not is_expired(row, clocks.store):
        clocks.true_time += CHECK_STEP_SECONDS
    left = lease.remaining_seconds(clocks.node)
    if left > 0.0:
        context.outlasted.append((began_at, left))


@when("it renews its lease for a month, through outages, slow answers and a new clock of the store each week")
def renews(context):
    clocks, rng = context.clocks, context.rng
    lease = RangeLease("n1", "1")
    for period in range(int(MONTH_SECONDS / PERIOD_SECONDS)):
        if period and period % PERIODS_PER_WEEK == 0:
            clocks.store_offset += rng.uniform(-400.0, 400.0)
            lease.store_clock.reset()
        # The node goes on hearing from the store between the renewals that are played.
        lease.store_clock.observe(clocks.node, clocks.store + FASTEST_ANSWER_SECONDS)
        row = renew(clocks, lease, FASTEST_ANSWER_SECONDS)
        for _ in range(RENEWALS_PER_PERIOD):
            clocks.true_time += LEASE_RENEWAL_INTERVAL_SECONDS
            context.renewals += 1
            context.in_time += lease.remaining_seconds(clocks.node) > 0.0
            row = renew(clocks, lease, rng.uniform(FASTEST_ANSWER_SECONDS, SLOWEST_ANSWER_SECONDS))
        check_end(context, lease, row)
        clocks.true_time = (period + 1) * PERIOD_SECONDS


@then(
    "its lease never ends after another node may take over, and at least {share:g} of the renewals are in "
    "time"
)
def ends_in_time(context, share):
    assert not context.outlasted, (len(context.outlasted), context.outlasted[-1])
    assert context.in_time >= share * context.renewals, (context.in_time, context.renewals)
