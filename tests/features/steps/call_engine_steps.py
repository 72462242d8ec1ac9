"""Steps for the call engine: guards against calls that never end and against false "not run" outcomes."""

import random
import time
from types import SimpleNamespace

from behave import given, then, when

from hibiscusdrum.errors import from_wire
from hibiscusdrum.internal.caller.engine import CallEngine
from hibiscusdrum.internal.caller.types import Request
from hibiscusdrum.internal.config.document import Document, Route, Tenant
from hibiscusdrum.internal.messages import Call, Refusal, Reply
from hibiscusdrum.internal.ownership.ids import new_request_id
from hibiscusdrum.internal.ownership.ownership_map import OwnershipMap

VALUES = {
    "lease_lost": {"node": "n1"},
    "overloaded": {"tenant": "amt", "request_class": "default"},
    "no_owner": {"slice": 1},
    "outcome_unknown": {"request_id": "", "reason": "closed"},
    "incomplete_answer": {"received": 1, "declared": 2},
}


@given('a call engine whose key "adler" is owned by "n1"')
def make_engine(context):
    owner = {"node": "n1", "service": "s", "region": "ost", "failure_domain": "a"}
    owner |= {"peer_address": "10.0.0.1:1", "http_address": "10.0.0.1:2", "slices": [0], "epoch": 1}
    ring = {"service": "s", "region": "ost", "slice_count": 1}
    view = SimpleNamespace(map=OwnershipMap(), invalidate=lambda _now: None)
    view.map.apply([("ring/s@ost", 1, ring), ("owner/n1", 1, owner)], 1)
    routes = {"s": Route(name="s", regions=("ost",), divided=True, slices=1)}
    view.document = Document(revision=1, routes=routes, tenants={"amt": Tenant(name="amt")})
    context.sent, context.outcomes = [], []
    context.engine = CallEngine(view, lambda *message: context.sent.append(message) or True, random.Random(1))


def request(**values):
    return Request(tenant="amt", service="s", key=b"adler", **values)


def answer(call):
    return Reply(call.request_id, 200, "text/plain", 2, "n1", 1)


def refuse(context, code, node="n1"):
    call = context.sent[-1][1]
    assert from_wire(code, VALUES[code]).code == code
    context.engine.dispatch(Refusal(call.request_id, code, VALUES[code], node), b"")


def calls(context):
    return [message for _address, message, _body in context.sent if isinstance(message, Call)]


@when("two calls with one id are submitted")
def submit_twice(context):
    same = request(request_id=new_request_id(time.time()))
    for _ in range(2):
        context.engine.submit(same, context.outcomes.append)


@then('the second ends with "{code}" and the first is answered')
def check_second_call(context, code):
    assert [outcome.failure().code for outcome in context.outcomes] == [code]
    context.engine.dispatch(answer(calls(context)[0]), b"ok")
    assert context.outcomes[1].unwrap().body == b"ok"


@when('an idempotent call gets no answer, is repeated and then refused with "{code}" until its deadline')
def repeat_call(context, code):
    context.engine.submit(request(timeout=10.0), context.outcomes.append)
    now = time.monotonic()
    context.engine.run_timers(now + 0.6)
    assert len(calls(context)) == 2
    refuse(context, code)
    for later in range(1, 12):
        if context.outcomes:
            return
        context.engine.run_timers(now + later)
        if not context.outcomes and len(calls(context)) > 2:
            refuse(context, code)


@when('a non-idempotent call is refused with "{code}" and then answered')
def refuse_then_answer(context, code):
    context.engine.submit(request(idempotent=False, method="POST"), context.outcomes.append)
    refuse(context, code)
    context.engine.run_timers(time.monotonic() + 0.5)
    context.engine.dispatch(answer(calls(context)[-1]), b"ok")


@when('an idempotent call of 10 s is refused with "{code}" each time it is sent')
def refuse_each(context, code):
    context.engine.submit(request(timeout=10.0), context.outcomes.append)
    now = time.monotonic()
    refused = 0
    for later in range(24):
        if len(calls(context)) > refused:
            refused += 1
            refuse(context, code)
        context.engine.run_timers(now + later / 3)


@when("an idempotent call is sent, ends three targets that no longer own its key, and is answered after 3 s")
def ends_former_owners(context):
    context.engine.submit(request(timeout=10.0), context.outcomes.append)
    now = time.monotonic()
    for node in ("n2", "n3", "n4"):
        refuse(context, "outcome_unknown", node)
    for later in range(4):
        context.engine.run_timers(now + later)
    context.engine.dispatch(answer(calls(context)[0]), b"ok")


@then('it was sent {count:d} times, and the call ends with "{code}"')
def check_sent_and_code(context, count, code):
    assert len(calls(context)) == count, len(calls(context))
    check_call_code(context, code)


@then("it was sent once, and is answered")
def check_sent_once(context):
    assert len(calls(context)) == 1, len(calls(context))
    assert context.outcomes[0].unwrap().body == b"ok"


@then('the call ends with "{code}"')
def check_call_code(context, code):
    assert [outcome.failure().code for outcome in context.outcomes] == [code], context.outcomes


@then("the call was sent twice and is answered")
def check_sent_twice(context):
    assert len(calls(context)) == 2
    assert context.outcomes[0].unwrap().body == b"ok"
