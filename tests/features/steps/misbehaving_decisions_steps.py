"""Steps on the decisions about clients that misbehave, and on an entry in this process.

They guard against costly input that delays other input, and against closing the wrong connection.
"""

import socket
from types import SimpleNamespace

from behave import given, then, when
from tests.loopback import Loopback, free_address

from hibiscusdrum.internal.load.input_schedule import InputSchedule, ParseDebt
from hibiscusdrum.internal.load.memory_relief import Holding, choose_refused
from hibiscusdrum.internal.router.overload import OverloadControl
from hibiscusdrum.internal.router.routes import CONTROL_LIMITS, EntryLimits
from hibiscusdrum.internal.transport.http_entry import EntryPolicy, HttpEntry

REPORT = b"PUT /instances/a HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\n{}"
HALF_HEAD = b"PUT /instances/a HTTP/1.1\r\nhost: h\r\n"
HALF_BODY = b"PUT /a HTTP/1.1\r\nhost: h\r\ncontent-length: 100\r\n\r\nhalf"


def numbers(text, kind=int):
    return [kind(part) for part in text.split(",") if part.strip()]


@given("waiting input of {costly:d} costly connections and of {others:d} others")
def waiting_input(context, costly, others):
    context.schedule = InputSchedule()
    for kind, count in (("costly", costly), ("cheap", others)):
        for _ in range(count):
            context.schedule.add(kind, kind == "costly")


@when("it is taken in turns of which each part uses a fifth")
def taken(context):
    context.order = []
    while context.schedule:
        context.order.append(context.schedule.take(len(context.order) % 5 / 5))


@then('the order is "{order}"')
def order_is(context, order):
    assert context.order == order.split(), context.order


@given("a connection whose input took {used:g} s, of which its share is {share:g}")
def a_debt(context, used, share):
    context.now, context.share = 100.0, share
    context.debt = ParseDebt(context.now)
    context.debt.add(used, share, context.now)


@when("{later:g} s later it takes {used:g} s")
def takes(context, later, used):
    context.now += later
    context.debt.add(used, context.share, context.now)


@then("its debt is {seconds:g} s")
def debt_is(context, seconds):
    assert abs(context.debt.seconds - seconds) < 1e-9, context.debt.seconds


@given("incomplete requests that hold {held} bytes and were idle for {idle} s")
def incomplete(context, held, idle):
    pairs = zip(numbers(held), numbers(idle, float), strict=True)
    context.holdings = [Holding(index, *pair) for index, pair in enumerate(pairs)]


@when("{excess:d} bytes are to be released")
def released(context, excess):
    context.refused = choose_refused(context.holdings, excess, stalled_seconds=3.0)


@then('those with the numbers "{refused}" are refused')
@then('those with the numbers "" are refused')
def are_refused(context, refused=""):
    assert context.refused == numbers(refused), context.refused


@given("a throttle that has seen {count:d} refusals in the last second")
def throttle_after_flood(context, count):
    # Each request is in the share to refuse.
    context.control = OverloadControl(SimpleNamespace(random=lambda: 0.0))
    route = SimpleNamespace(name="r")
    context.pending = SimpleNamespace(key=-1, nested=False, route=route, service="s", late_on_arrival=False)
    for _ in range(count):
        context.control.throttle_of(context.pending).record(False, 99.9)


@then("a request is forwarded at 0 s, not at 0.2 s, and again at 0.6 s")
def forwarded_at_intervals(context):
    found = [context.control.refuses(context.pending, 100.0 + at) for at in (0.0, 0.2, 0.6)]
    assert found == [False, True, False], found


def start_entry(context, policy, **listening):
    context.entry = HttpEntry(policy=policy)
    context.loopback = Loopback(context.entry)
    context.add_cleanup(context.loopback.stop)
    context.address = free_address()
    context.handled = []

    def handle(request):
        context.handled.append(request)
        request.respond(200, [])

    context.entry.listen(context.address, handle, **listening)


def connect(context):
    host, _, port = context.address.rpartition(":")
    caller = socket.create_connection((host, int(port)))
    caller.setblocking(False)
    context.add_cleanup(caller.close)
    return caller


def answer(context, caller):
    """Return the first line of the answer on a connection."""
    received = []

    def answered():
        try:
            received.append(caller.recv(65_536))
        except BlockingIOError:
            return False
        return True

    context.loopback.run_until(answered, 5.0)
    return received[0].partition(b"\r\n")[0]


@given("an entry with a control address for at most {count:d} connections")
def control_entry(context, count):
    start_entry(context, EntryPolicy(control_connections=count), limits=CONTROL_LIMITS)


@when("a target reports on a connection of its own")
def target_reports(context):
    context.target = connect(context)
    context.target.sendall(REPORT)
    assert answer(context, context.target).endswith(b"200 OK")


@when('{count:d} clients connect there and send "half a head"')
def crowd_connects(context, count):
    for _ in range(count):
        connect(context).sendall(HALF_HEAD)
    context.loopback.run_for(0.3)


@then("another report on the connection of the target is answered")
def another_report(context):
    context.target.sendall(REPORT)
    assert answer(context, context.target).endswith(b"200 OK")


@then("a report on a new connection is answered, while {count:d} connections are open")
def new_report(context, count):
    caller = connect(context)
    caller.sendall(REPORT)
    assert answer(context, caller).endswith(b"200 OK")
    assert context.entry.open_counts[context.address] <= count, context.entry.open_counts


@given("an entry for at most {count:d} callers of which {stalled:d} have stalled in a body")
def stalled_callers(context, count, stalled):
    start_entry(context, EntryPolicy(stalled_seconds=0.2), max_connections=count)
    context.entry.limits = EntryLimits()
    context.stalled = [connect(context) for _ in range(stalled)]
    for caller in context.stalled:
        caller.sendall(HALF_BODY)
        context.loopback.run_for(0.05)
    context.loopback.run_for(0.4)


@when("another caller sends a request")
def another_caller(context):
    context.another = connect(context)
    context.another.sendall(REPORT)


@then("it is answered with 200, and the first of them got 503")
def served_instead(context):
    assert answer(context, context.another).endswith(b"200 OK")
    assert answer(context, context.stalled[0]).startswith(b"HTTP/1.1 503"), "no refusal"
    assert len(context.handled) == 1, context.handled
