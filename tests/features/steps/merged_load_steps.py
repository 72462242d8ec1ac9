"""Steps for faults that only the merged parts showed."""

from __future__ import annotations

from behave import given, then, when

from hibiscusdrum.internal.load.egress import EgressQueue, Lane, Outgoing
from hibiscusdrum.internal.router.quota import GroupClient

NOW = 100.0


@given("a node that has asked the keeper of an account for a token")
def asked(context):
    context.client = GroupClient(0, "n1", NOW - 10.0)
    context.client.set_candidates(("keeper", "n1"))
    context.decided = []
    context.client.acquire("a", False, context.decided.append, NOW)
    assert context.client.due_asks(NOW)


@when("the quota of the account is lifted")
def lifted(context):
    context.freed = context.client.forget({})


@then("the waiting request is sent without a token")
def sent_without_token(context):
    assert [wait for _, wait in context.freed] == [0.0], context.freed


@given("a link that was idle for {seconds:g} s and has just sent a small answer")
def idle_link(context, seconds):
    context.egress = EgressQueue(1_250_000.0)
    context.egress.charge(400, NOW + seconds)
    context.now = NOW + seconds


@when("a large answer is queued")
def large_queued(context):
    context.egress.push(Outgoing(b"1", Lane.BULK, 90_000, context.now + 9.0, None), context.now)


@then("the link has been busy for less than {seconds:g} s")
def busy_for(context, seconds):
    assert context.egress.busy_seconds(context.now) < seconds
