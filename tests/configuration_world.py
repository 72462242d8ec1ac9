"""Nodes in one process that follow the operator's rows of a store and exchange messages on a manual clock."""

from __future__ import annotations

import random

from returns.result import Failure

from hibiscusdrum.internal.kernel import Application, Service
from hibiscusdrum.internal.router.config_gossip import ConfigGossip
from hibiscusdrum.internal.router.gateway import Gateway
from hibiscusdrum.internal.router.local_target import LocalTarget
from hibiscusdrum.internal.router.members import Members, NodeRow
from hibiscusdrum.internal.router.metrics import RouterMetrics
from hibiscusdrum.internal.router.routes import HeaderNames
from hibiscusdrum.internal.router.selection import NodeSelector
from hibiscusdrum.internal.router.settings import RouterSettings
from hibiscusdrum.internal.router.shared_clock import SharedClock
from hibiscusdrum.internal.transport.http_connection import FailureKind, HttpFailure
from hibiscusdrum.platform.operator import OperatorRows
from hibiscusdrum.platform.store import OPERATOR_TABLE, StoreClient
from tests.restorable_store import RestorableStore
from tests.router_stubs import Request, Stub, application

CLOSED = Failure(HttpFailure(True, FailureKind.CLOSED))
TIMED_OUT = Failure(HttpFailure(True, FailureKind.TIMEOUT))
CANCELLED = Failure(HttpFailure(True, FailureKind.CANCELLED))
STEP_SECONDS = 0.01
MESSAGE_SECONDS = 0.002
FIRST_VERSION = 10
ROUTE_COLUMNS = ["name", "host", "prefix", "kind", "service", "timeoutS", "attempts"]
SERVICE_COLUMNS = ["name", "healthPath", "maxConns"]


class Loop:
    """Stands in for the event that the poller hands to the scheduler."""

    def reduce_time_left(self, _seconds):
        """Ignore the wait: the world decides when time passes."""


def configuration(version, prefixes):
    """Return a configuration whose routes have some prefixes."""
    routes = [[f"r{prefix}", "h.example", prefix, "idempotent", "other", 2, 1] for prefix in prefixes]
    return {
        "version": f"r{version}",
        "routes": {"columns": ROUTE_COLUMNS, "records": routes},
        "services": {"columns": SERVICE_COLUMNS, "records": [["other", "/health", 9]]},
        "limits": {},
    }


class Exchange:
    """A call on its way, which ends once."""

    def __init__(self, callback):
        self.callback = callback
        self.done = False
        self.lost = False

    def end(self, result):
        """Report a result, unless the call has ended."""
        if not self.done:
            self.done = True
            self.callback(result)

    def cancel(self):
        """End the call without an answer."""
        self.end(CANCELLED)


class StoreAccess(Service):
    """One node's way to the shared store, which may be interrupted.

    Attributes
    ----------
    turned_away : bool
        Whether the store closes this node's connections without an answer.
    answer_delay : float
        Seconds by which answers arrive later.
    silent : bool
        Whether calls end only when they time out.
    pending : list of Exchange
        Calls that may still be answered.
    """

    service_name = "http_client"

    def __init__(self, store):
        super().__init__()
        self.store = store
        self.turned_away = False
        self.answer_delay = 0.0
        self.silent = False
        self.pending = []

    def lose_connections(self):
        """Let no answer of the calls that are on their way arrive, as after a break without a reset."""
        for exchange in self.pending:
            exchange.lost = True

    def connect_seconds(self, _address):
        """Return that connects took no time."""
        return 0.0

    def request(self, address, method, path, headers, body, timeout, callback, *rest, **options):
        """Send a call, or fail it."""
        exchange = Exchange(callback)
        if self.turned_away:
            self.app.scheduler.call_later(0.005, lambda: exchange.end(CLOSED))
            return exchange
        self.pending = [entry for entry in self.pending if not entry.done]
        self.pending.append(exchange)
        exchange.lost = self.silent

        def on_result(result):
            exchange.lost = exchange.lost or self.silent
            if self.turned_away:
                exchange.end(CLOSED)
            elif not exchange.lost:
                self.app.scheduler.call_later(self.answer_delay, lambda: exchange.end(result))

        def on_timeout():
            if exchange.lost or self.silent:
                exchange.end(TIMED_OUT)

        self.app.scheduler.call_later(timeout, on_timeout)
        self.store.request(address, method, path, headers, body, timeout, on_result, *rest, **options)
        return exchange


class Hop(Service):
    """Delivers messages to the nodes of the world that can be reached."""

    service_name = "hop"

    def __init__(self, world, node):
        super().__init__()
        self.world, self.node = world, node
        self.message_handlers = {}
        self.sent = []

    def send_message(self, node, message):
        """Deliver a message later, unless the path is cut."""
        self.sent.append((node, message))
        receiver = self.world.nodes.get(node)
        if receiver is None or not self.world.reaches(self.node, node):
            return

        def deliver():
            handler = receiver.app.find("hop").message_handlers.get(type(message))
            if handler is not None:
                handler(message)

        receiver.app.scheduler.call_later(MESSAGE_SECONDS, deliver)


class Node:
    """The services of one router that concern the configuration."""

    def __init__(self, world, name, region):
        self.app = app = Application(world.clock)
        settings = RouterSettings(
            name, region, f"{region}-1", "other", *(f"127.0.0.1:{port}" for port in range(1, 7))
        )
        self.access = app.add(StoreAccess(world.store))
        app.add(Stub("entry", limits=None, lost_counts={}))
        app.add(Stub("receiver", set_route_table=lambda _: None))
        app.add(Stub("range_owner", set_partitioned=lambda _: None))
        self.hop = app.add(Hop(world, name))
        self.client = app.add(StoreClient("127.0.0.1:1"))
        app.add(LocalTarget(settings))
        self.members = app.add(Members(settings))
        self.metrics = app.add(RouterMetrics(settings))
        self.gateway = app.add(
            Gateway(settings, HeaderNames(), NodeSelector(region, f"{region}-1", random.Random(1)))
        )
        for service in ("entry", "receiver", "range_owner", "metrics"):
            setattr(self.gateway, service, app.find(service))
        self.shared_clock = app.add(SharedClock())
        self.gossip = app.add(ConfigGossip(settings, random.Random(name)))
        self.operator_rows = app.add(OperatorRows())
        for service in (self.client, self.shared_clock, self.gossip, self.operator_rows):
            service.on_start()

    @property
    def version(self):
        """Version of the configuration in force."""
        return self.gateway.route_table.version

    def ask(self, path):
        """Send a request, and return its answer."""
        request = Request()
        request.target = path
        self.gateway.on_request(request)
        return request.answer


class ConfigurationWorld:
    """Nodes of some regions; the name of a node begins with that of its region.

    Attributes
    ----------
    cut : set of str
        Nodes that exchange no messages with others.
    """

    def __init__(self, names):
        first = application()
        self.clock = first.clock
        self.store = first.add(RestorableStore())
        self.store_app = first
        self.store.on_start()
        self.cut = set()
        self.nodes = {}
        self.regions = {}
        self.prefixes = ["/a/"]
        self.write_configuration(FIRST_VERSION)
        for name in names:
            self.regions[name] = name.partition("-")[0]
            self.nodes[name] = Node(self, name, self.regions[name])
        for node in self.nodes.values():
            node.members.nodes = {name: self.node_row(name) for name in names}
        self.run(0.5)

    def node_row(self, name):
        """Return the published row of a node."""
        region = self.regions[name]
        return NodeRow(name, region, f"{region}-1", "other", "127.0.0.1:9", f"i-{name}@1", True)

    def reaches(self, sender, receiver):
        """Return whether a message arrives."""
        return not {sender, receiver} & self.cut

    def write_configuration(self, version, prefix=None):
        """Write a configuration, with another route if a prefix is given; return its version in the store."""
        self.prefixes = [*self.prefixes, *([prefix] if prefix else [])]
        return self.store.put(OPERATOR_TABLE, "config", configuration(version, self.prefixes))

    def run(self, seconds):
        """Let time pass."""
        end = self.clock.monotonic() + seconds
        while self.clock.monotonic() < end:
            self.clock.advance(STEP_SECONDS)
            for app in (self.store_app, *(node.app for node in self.nodes.values())):
                app.scheduler.run_due(Loop())

    def run_until(self, condition, limit):
        """Let time pass until a condition holds, and return the seconds that took; fails after the limit."""
        start = self.clock.monotonic()
        while not condition():
            assert self.clock.monotonic() - start < limit, f"the condition did not hold within {limit} s"
            self.run(STEP_SECONDS)
        return self.clock.monotonic() - start
