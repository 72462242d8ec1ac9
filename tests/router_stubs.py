"""Stand-ins for the services around a gateway or a receiver, shared by several steps."""

import random

from hibiscusdrum.internal.clock import ManualClock
from hibiscusdrum.internal.kernel import Application, Service
from hibiscusdrum.internal.messages import Forward
from hibiscusdrum.internal.router.config_gossip import ConfigGossip
from hibiscusdrum.internal.router.settings import RouterSettings
from hibiscusdrum.internal.router.shared_clock import SharedClock

SETTINGS = RouterSettings(
    "own", "east", "east-1", "other", *(f"127.0.0.1:{port}" for port in range(1, 7))
)  # fmt: skip
FREE = (0, 0, 6, 0.1, True)


class Stub(Service):
    """Stands in for a service that a test does not look at: every method does nothing."""

    def __init__(self, name, **attributes):
        self.service_name = name
        super().__init__()
        self.__dict__.update(attributes)


def receiver_application():
    """Return an application with stubs of the services that a receiver uses."""
    app = application()
    app.add(Stub("members", evacuated_domains=frozenset(), on_change=[], region_of=lambda _: SETTINGS.region))
    app.add(Stub("range_owner", on_granted=[]))
    app.add(Stub("hop", link_congested=False))
    app.add(Stub("rings", owner_node=lambda *_: None))
    app.add(Stub("metrics", count_declined=lambda *_: None, count_run=lambda *_: None))
    return app


def lone_hop():
    """Return a stand-in for the exchange of messages of a node without peers."""
    return Stub("hop", message_handlers={}, send_message=lambda *_: None)


def lone_gossip(app):
    """Add the exchange of the operator's rows, of a node without peers, to an application."""
    if "hop" not in app.services:
        app.add(lone_hop())
    if "shared_clock" not in app.services:
        app.add(SharedClock())
    gossip = app.add(ConfigGossip(SETTINGS, random.Random(1)))
    gossip.on_start()
    return gossip


def application():
    app = Application(ManualClock())
    app.clock.advance(100.0)
    return app


class Request:
    """A caller's request with its answer."""

    def __init__(self, body=b""):
        self.method, self.target, self.body = b"POST", "/a/x", body
        self.headers = [("host", "h.example")]
        self.answer = None
        self.on_closed = None
        self.connection = object()

    def header(self, name):
        """Return a header's value."""
        return dict(self.headers).get(name)

    def respond(self, status, headers, body=b"", close=False):
        """Take the answer."""
        self.answer = status, headers, body, close


class SentHop(Service):
    """Notes what is sent to other nodes."""

    service_name = "hop"

    def __init__(self):
        super().__init__()
        self.sent = []
        self.unsent = set()
        self.has_queued = False
        self.link_seconds = 0.0
        self.cancelled = []

    def has_unsent_body(self, request_id):
        """Return whether the body of a request was not asked for."""
        return request_id in self.unsent

    def cancel(self, request_id):
        """Note a cancelled request."""
        self.cancelled.append(request_id)

    def announce_end(self):
        """Take the end of the process."""

    def fit_queue(self, seconds):
        """Take the time that is left for the link."""

    def seconds_for_callers(self, _further):
        """Return the seconds that responses to callers take on the link."""
        return self.link_seconds

    def next_request_id(self):
        """Return a new id."""
        return len(self.sent).to_bytes(4, "big")

    def send(self, node, forward, body, reply):
        """Note a request."""
        self.sent.append((node, forward, body, reply))
        return True


def forward(number, size=0, deadline=5.0, priority=1):
    return Forward(
        id=bytes([number]), origin="peer", sent_at=0.0, remaining_seconds=deadline,
        goal_remaining_seconds=1.0, service="other",
        method="POST", target="/a/x", headers=(), attempt_id=f"a{number}", key=-1, priority=priority,
        repeatable=False, cost_class="upload", caller="c", offered_bytes=size,
    )  # fmt: skip
