"""Steps with requests that targets send for the ones that they are running.

They guard against runs that fail, after their slots were held, because a request of their own was refused.
"""

import msgspec
from behave import given, then, when
from tests.played_target import maker
from tests.router_stubs import SETTINGS, Request, forward

from hibiscusdrum.internal.messages import Declined

PLAYED_SECONDS = 20.0
NESTED = {"kind": "nested", "goal": 0.15, "deadline": 0.5, "nested": True}


@when("urgent requests arrive at twice its capacity, and nested ones of {seconds:g} s need a tenth of it")
def urgent_and_nested(context, seconds):
    target = context.target
    nested = maker(priority=1, seconds=seconds, **NESTED)
    rate = 0.1 * target.admission.slots / seconds
    target.play(
        [(2.0 * target.capacity, maker("urgent", goal=0.6, priority=0)), (rate, nested)], PLAYED_SECONDS
    )


@when("nested requests of {seconds:g} s arrive at twice its capacity")
def only_nested(context, seconds):
    target = context.target
    target.play([(2.0 * target.admission.slots / seconds, maker(seconds=seconds, **NESTED))], PLAYED_SECONDS)


@then("at least {share:d} in 100 of the nested requests are answered before their deadline")
def nested_answered(context, share):
    nested = [request for request in context.target.played if request.kind == "nested"]
    answered = sum(request.outcome == "answered" for request in nested)
    assert answered >= share / 100 * len(nested), (answered, len(nested))


@then("at least {share:d} in 100 of its capacity serve the urgent ones, on time")
def urgent_served(context, share):
    target = context.target
    on_time = sum(request.on_time for request in target.played if request.kind == "urgent")
    assert on_time >= share / 100 * target.capacity * PLAYED_SECONDS, on_time


@then("at least {share:d} in 100 of its capacity serve nested requests before their deadline")
def nested_capacity(context, share):
    target = context.target
    used = sum(request.seconds for request in target.played if request.outcome == "answered")
    assert used >= share / 100 * target.admission.slots * PLAYED_SECONDS, used


@given('its target runs the request "{attempt_id}"')
def runs(context, attempt_id):
    context.gateway.settings = msgspec.structs.replace(SETTINGS, nested_id_separator=".")
    context.gateway.receiver.is_running = lambda other: other == attempt_id


def send(context, attempt_id):
    """Send a request with an attempt id; return its answer, or None and how it was forwarded."""
    request = Request()
    request.headers.append((context.gateway.header_names.attempt_id, attempt_id))
    count = len(context.hop.sent)
    context.gateway.on_request(request)
    return request.answer, [sent[1].nested for sent in context.hop.sent[count:]]


@when("the service refuses all requests for {seconds:g} s")
def service_refuses(context, seconds):
    for _ in range(50):
        context.app.clock.advance(seconds / 50)
        count = len(context.hop.sent)
        send(context, "a0")
        for _node, sent, _body, reply in context.hop.sent[count:]:
            reply(Declined(sent.id, "overloaded", False, False, 0.1, (6, 9, 6, 0.1, True)), b"")


@then('the request "{attempt_id}" is forwarded as nested')
def forwarded_as_nested(context, attempt_id):
    for _ in range(20):
        answer, forwarded = send(context, attempt_id)
        assert answer is None and forwarded == [True], (answer, forwarded)


@then(
    'most of {count:d} requests with the ids "{one}" and "{other}" are refused at once, '
    "and none is forwarded as nested"
)
def others_throttled(context, count, one, other):
    outcomes = [send(context, one if number % 2 else other) for number in range(count)]
    refused = [answer[0] for answer, _ in outcomes if answer is not None]
    assert len(refused) > count / 2 and set(refused) == {503}, outcomes
    assert not any(any(forwarded) for _, forwarded in outcomes), outcomes


@given("all of its slots are taken, and {count:d} queued requests can meet their goals")
def slots_taken(context, count):
    receiver = context.receiver
    receiver.admission.running = receiver.admission.slots
    # Saturated for longer than a burst lasts.
    receiver.admission.idle_at = receiver.now - 5.0
    for number in range(count):
        submit(context, forward(number, priority=0))
    assert receiver.admission.queued == count and not context.replies


def submit(context, request):
    """Submit a request to the receiver."""
    context.receiver.on_forward(request, b"", 0.0, lambda answer, _body: context.replies.append(answer))


@when("a request with a goal of {goal:g} s arrives, and then a nested one with the same goal")
def both_arrive(context, goal):
    for number, nested in ((90, False), (91, True)):
        request = forward(number, deadline=0.5)
        submit(context, msgspec.structs.replace(request, goal_remaining_seconds=goal, nested=nested))


@then("the first is declined, and the nested one is the next to be sent")
def nested_next(context):
    assert [(answer.id, type(answer)) for answer in context.replies] == [(bytes([90]), Declined)]
    admission = context.receiver.admission
    admission.running -= 1
    assert admission.pop(context.receiver.now).item.forward.id == bytes([91])
