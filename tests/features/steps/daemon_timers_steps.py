"""Steps for the timers of the daemon.

They guard against a daemon that wakes up hundreds of times a second without work, against a wait that nobody
ends because its timer has stopped, and against reads of the store and connections that only ever grow.
"""

from types import SimpleNamespace

from behave import given, then, when
from returns.result import Success
from tests.loopback import Loopback, free_address
from tests.router_stubs import Stub

from hibiscusdrum.internal.clock import ManualClock
from hibiscusdrum.internal.daemon.handover import STEP_INTERVAL_SECONDS, HandoverCoordinator
from hibiscusdrum.internal.daemon.membership import Membership
from hibiscusdrum.internal.daemon.owned import OwnedSlices
from hibiscusdrum.internal.daemon.requests import (
    QUEUE_EXPIRY_INTERVAL_SECONDS,
    PendingRequest,
    RequestPipeline,
)
from hibiscusdrum.internal.daemon.stopping import ShutdownCoordinator
from hibiscusdrum.internal.kernel import Application, Scheduler, Service
from hibiscusdrum.internal.messages import Call, ConfigAck
from hibiscusdrum.internal.ownership.ids import new_request_id
from hibiscusdrum.internal.platform.table import Changes, Row
from hibiscusdrum.internal.settings import load
from hibiscusdrum.internal.transport.peers import PeerTransport

LOOP_EVENT = SimpleNamespace(reduce_time_left=lambda _seconds: None)


class FakeTable(Service):
    """Serves empty changes, at once unless told to hold them back."""

    service_name = "table"

    def __init__(self):
        super().__init__()
        self.reads = 0
        self.held = []
        self.holding = False

    def changes(self, since, callback):
        """Answer a read, or keep its callback."""
        self.reads += 1
        if self.holding:
            self.held.append(callback)
        else:
            callback(Success(Changes(since, ())))


class FakePeers(Service):
    """Records which connections are closed."""

    service_name = "peers"

    def __init__(self):
        super().__init__()
        self.control_handlers = {}
        self.closed = []

    def disconnect_peer(self, address):
        """Record the address."""
        self.closed.append(address)


def pass_time(scheduler, clock, seconds, step=0.01):
    for _ in range(round(seconds / step)):
        clock.advance(step)
        scheduler.run_due(LOOP_EVENT)


def timers(context):
    return [timer for _due, _number, timer in context.loopback.app.scheduler.heap if not timer.cancelled]


@given('a work timer of {interval:d} ms whose callback gives "{results}"')
def make_work_timer(context, interval, results):
    context.calls = []
    script = results.split(", ")

    def callback():
        result = script[len(context.calls)] if len(context.calls) < len(script) else "done"
        context.calls.append(result)
        if result == "error":
            raise ValueError(result)
        return result == "more"

    context.clock = ManualClock()
    context.scheduler = Scheduler(context.clock)
    context.work_timer = context.scheduler.create_work_timer(interval / 1000.0, callback)


@when("the work timer is woken {times:d} times and {seconds:g} s passes")
def wake_work_timer(context, times, seconds):
    for _ in range(times):
        context.work_timer.wake()
    pass_time(context.scheduler, context.clock, seconds)


@then("the work timer has called back {calls:d} times")
def check_work_timer(context, calls):
    assert len(context.calls) == calls, context.calls


@given("a peer transport in a loop")
def make_transport(context):
    context.transport = PeerTransport(None, b"test-shared-key-0123456789")
    context.loopback = Loopback(context.transport)
    context.add_cleanup(context.loopback.stop)


@then("the peer transport's loop has no timers")
def check_no_timers(context):
    assert not timers(context)


@when("a control message is sent to an address where nobody listens")
def send_to_nobody(context):
    context.transport.send_control(free_address(), ConfigAck(node="a", revision=1))
    assert timers(context)


@then("the message is dropped and the loop has no timers again within {seconds:g} s")
def check_dropped(context, seconds):
    context.loopback.run_until(lambda: not timers(context), seconds)
    assert not any(peer.pending for peer in context.transport.peers.values())


@given("the request service of an idle daemon whose target has no free slot")
def make_requests(context):
    names = dict.fromkeys(("node", "region", "failure_domain", "service"), "a")
    addresses = ("peer_address", "http_address", "target_address", "store_address")
    flags = {**names, **{name: free_address() for name in addresses}, "slots": 1}
    key = {"HIBISCUSDRUM_SHARED_KEY": "test-shared-key-0123456789"}
    service = context.requests = RequestPipeline(load(flags, key))
    context.loopback = Loopback()
    context.add_cleanup(context.loopback.stop)
    service.app = context.loopback.app
    service.expiry_timer = service.app.scheduler.create_work_timer(
        QUEUE_EXPIRY_INTERVAL_SECONDS, service.expire_queued
    )
    service.metrics = SimpleNamespace(count_failure=lambda *_arguments: None)
    while service.limiter.try_acquire(service.app.clock.monotonic()):
        pass


@when("a request with a timeout of {timeout:d} ms is queued")
def queue_request(context, timeout):
    call = Call(new_request_id(0.0), "amt", "s", "default", b"k", "GET", "/", float(timeout), True)
    where = SimpleNamespace(owned=False)
    context.outcomes = []
    now = context.loopback.app.clock.monotonic()
    context.requests.enqueue(PendingRequest(call, b"", context.outcomes.append, where, now))


@then('the request ends with "{code}" within {seconds:g} s and the loop has no timers')
def check_expired(context, code, seconds):
    context.loopback.run_until(lambda: context.outcomes, seconds)
    assert context.outcomes[0].failure().code == code
    context.loopback.run_for(2 * QUEUE_EXPIRY_INTERVAL_SECONDS)
    assert not timers(context)


@given("a daemon's membership that polls the table each {seconds:g} s")
def make_membership(context, seconds):
    context.clock = ManualClock()
    app = Application(context.clock)
    context.scheduler = app.scheduler
    context.fake_table, context.peers = FakeTable(), FakePeers()
    context.membership = Membership("self", seconds)
    for service in (context.fake_table, context.peers, context.membership):
        app.add(service)
    context.membership.on_start()


@when("the membership is asked for {count:d} reads out of turn")
def ask_for_reads(context, count):
    for _ in range(count):
        pass_time(context.scheduler, context.clock, 0.03)
        context.membership.poll()


@when("{seconds:d} s pass for the membership")
def pass_membership_time(context, seconds):
    pass_time(context.scheduler, context.clock, seconds)


@then("the table has served between {least:d} and {most:d} reads")
def check_reads(context, least, most):
    assert least <= context.fake_table.reads <= most, context.fake_table.reads


@when("a read is asked for while one is under way")
def read_during_read(context):
    context.fake_table.holding = True
    context.membership.poll()
    context.membership.poll()
    context.reads = context.fake_table.reads


@then("another read begins as soon as the first has ended")
def check_second_read(context):
    context.fake_table.held.pop()(Success(Changes(1, ())))
    assert context.fake_table.reads == context.reads + 1


@when('the owner rows of node "{node}" give in turn "{addresses}"')
def change_addresses(context, node, addresses):
    fields = {
        "node": node,
        "service": "s",
        "region": "r",
        "failure_domain": "d",
        "http_address": "10.0.0.1:2",
    }
    for version, address in enumerate(addresses.split(", "), 1):
        value = None if address == "gone" else {**fields, "peer_address": address}
        context.membership.apply([Row(f"owner/{node}", version, value)], version)


@then('the membership has closed the connections "{closed}"')
def check_closed(context, closed):
    assert context.peers.closed == ([] if closed == "none" else closed.split(", ")), context.peers.closed


@given("the handover service of a node with slices that has nothing to move")
def make_handover(context):
    context.clock = ManualClock()
    app = Application(context.clock)
    context.accepts_work = True
    context.services = {
        "membership": SimpleNamespace(listeners=[]),
        "configuration": SimpleNamespace(listeners=[], accepts_work=lambda _row: context.accepts_work),
        "owned": SimpleNamespace(row=SimpleNamespace(slices=(1,), hot_keys=())),
        "target": SimpleNamespace(lost_listeners=[], available=True),
        "requests": None,
        "leases": SimpleNamespace(holder="the lease of this incarnation"),
    }
    app.services.update(context.services)
    context.scheduler = app.scheduler
    context.handover = HandoverCoordinator(SimpleNamespace(node="a", rebalance_interval_ms=60_000))
    app.add(context.handover)
    context.drains = []
    context.handover.start_drain_handover = lambda: context.drains.append(context.clock.monotonic())
    context.handover.on_start()
    pass_time(context.scheduler, context.clock, 1.0, STEP_INTERVAL_SECONDS / 2)
    assert len(context.scheduler.heap) == 1, "only the timer that claims slices without owner may run"


@when('a drain becomes necessary by "{cause}"')
def cause_drain(context, cause):
    services = context.services
    if cause == "a revision":
        context.accepts_work = False
        services["configuration"].listeners[0](None)
    elif cause == "a row":
        services["target"].available = False
        services["membership"].listeners[0]([])
    elif cause == "the loss of the target":
        services["target"].available = False
        services["target"].lost_listeners[0]()
    else:
        context.handover.leave()


@then("the handover service begins to drain within {milliseconds:d} ms")
def check_drain(context, milliseconds):
    pass_time(context.scheduler, context.clock, milliseconds / 1000.0, STEP_INTERVAL_SECONDS / 2)
    assert context.drains


@given("the row of the node belongs to an earlier incarnation")
def set_earlier_incarnation(context):
    context.services["leases"].holder = None


@then("the handover service moves nothing")
def check_no_drain(context):
    pass_time(context.scheduler, context.clock, 1.0, STEP_INTERVAL_SECONDS / 2)
    assert not context.drains


@when("two requests with one id and a timeout of {timeout:d} ms are queued on a slice")
def queue_twice(context, timeout):
    context.requests.owned = context.owned = OwnedSlices("a")
    call = Call(new_request_id(0.0), "amt", "s", "default", b"k", "GET", "/", float(timeout), True)
    where = SimpleNamespace(owned=True, hash_value=7, slice=3)
    context.outcomes = []
    now = context.loopback.app.clock.monotonic()
    for _ in range(2):
        context.requests.enqueue(PendingRequest(call, b"", context.outcomes.append, where, now))
    assert context.owned.busy_slices(frozenset({3}))


@then("both end within {seconds:g} s and the slice is not busy")
def check_both_ended(context, seconds):
    context.loopback.run_until(lambda: len(context.outcomes) == 2, seconds)
    assert not context.owned.busy_slices(frozenset({3}))
    assert not context.requests.pending


@given("a daemon without a lease whose target runs a request")
def daemon_without_lease(context):
    app = context.app = Application(ManualClock())
    app.add(Stub("leases", holder=None, disable_rejoin=lambda: None))
    app.add(Stub("handover", leave=lambda: None, busy=False, has_drain_receivers=lambda: False))
    app.add(Stub("guarding", guard_table=SimpleNamespace(lessees=())))
    app.add(Stub("requests", pending={"running"}))
    app.add(Stub("owned", row=None))
    app.add(Stub("membership"))
    app.add(Stub("http", forwarding_engine=SimpleNamespace(calls={})))
    context.exits = []
    app.shutdown = context.exits.append
    context.coordinator = app.add(ShutdownCoordinator(SimpleNamespace(stop_timeout_s=20, node="n1")))
    context.coordinator.on_start()


@when("the daemon is stopped, and {seconds:g} s pass")
def daemon_stopped(context, seconds):
    context.coordinator.begin()
    run_daemon_for(context, seconds)


def run_daemon_for(context, seconds):
    for _ in range(round(seconds / 0.02)):
        context.app.clock.advance(0.02)
        context.app.scheduler.run_due(LOOP_EVENT)


@then("it ends only after the request has")
def ends_after_request(context):
    assert not context.exits
    context.app.find("requests").pending.clear()
    run_daemon_for(context, 0.1)
    assert context.exits == [0]
