"""HTTP for callers without the library, for operators, for the target and for metrics."""

from __future__ import annotations

import random
import time
from typing import Any
from urllib.parse import parse_qsl

import msgspec
from circuits import handler
from circuits.web.events import response
from loguru import logger
from returns.result import Success

from hibiscusdrum.errors import (
    AddressInUse,
    BodyTooLarge,
    Draining,
    HibiscusdrumError,
    InvalidArgument,
    LeaseLost,
    Moved,
    NoOwner,
    NotFound,
    TargetUnreachable,
    Unauthorized,
    WrongRegion,
)
from hibiscusdrum.internal import log_events
from hibiscusdrum.internal.caller.engine import CallEngine
from hibiscusdrum.internal.caller.types import Request
from hibiscusdrum.internal.config.operators import KEY_HEADER, OperatorApi, authorized, error_body
from hibiscusdrum.internal.daemon.metrics import CONTENT_TYPE
from hibiscusdrum.internal.daemon.requests import HEADER_PREFIX, Outcome
from hibiscusdrum.internal.daemon.status import owner_view, status_view
from hibiscusdrum.internal.kernel import Service
from hibiscusdrum.internal.messages import Call, Message
from hibiscusdrum.internal.ownership.ids import new_request_id
from hibiscusdrum.internal.routing import resolve
from hibiscusdrum.internal.settings import Settings
from hibiscusdrum.internal.transport.http_server import HttpServer

SERVICES_PREFIX = "/v1/services/"
OPERATOR_PREFIX = "/v1/operator/"
DEFAULT_TIMEOUT_MS = 2000.0
MAX_TIMEOUT_MS = 3_600_000.0
IDEMPOTENT_METHODS = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE")
TIMER_SECONDS = 0.01
ADVANCE_SECONDS = 1.0
# Bytes of a forwarded request besides its body, for the budget of the link between regions.
FORWARD_HEAD_BYTES = 300
# Failures that prove that a request did not run, and after which another node may serve it.
SERVED_ELSEWHERE = (Moved, NoOwner, Draining, LeaseLost, TargetUnreachable)


class HttpEndpoint(Service):
    """The daemon's HTTP server.

    Parameters
    ----------
    settings : Settings
        Address, limits and shared key.
    """

    service_name = "http"

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self.settings = settings

    def on_start(self) -> None:
        """Listen, and prepare the operators' API and the forwarding of requests."""
        find = self.app.find
        self.membership = find("membership")
        self.configuration = find("configuration")
        self.requests = find("requests")
        self.target = find("target")
        peers = find("peers")
        self.peers, self.link = peers, find("link")
        self.forwarding_engine = CallEngine(
            self.membership, self.send_forward, random.Random(self.settings.node), forwarded=True
        )
        peers.on_reply = self.forwarding_engine.dispatch
        self.membership.listeners.append(lambda _rows: self.forwarding_engine.retry_waiting(time.monotonic()))
        self.operators = self.operator_api()
        scheduler = self.app.scheduler
        self.forward_timer = scheduler.while_needed(TIMER_SECONDS, self.run_forward_timers)
        scheduler.every(ADVANCE_SECONDS, self.operators.advance)
        host, _, port = self.settings.http_address.rpartition(":")
        try:
            self.server = HttpServer((host, int(port)), self.refuse_head, self.channel).register(self)
        except OSError as error:
            raise AddressInUse(address=self.settings.http_address) from error

    def send_forward(self, address: str, message: Message, body: bytes) -> bool:
        """Send a forwarded request within the budget of the link between regions."""
        size = len(body) + FORWARD_HEAD_BYTES
        return self.link.allow_data(address, size) and self.peers.try_send_request(address, message, body)

    def operator_api(self) -> OperatorApi:
        """Build the operators' API on this daemon's services."""
        membership, configuration = self.membership, self.configuration
        return OperatorApi(
            membership,
            current_config=lambda: (configuration.document, membership.config_version()),
            owners=lambda: membership.map.owners.values(),
            on_committed=configuration.on_committed,
            acceptance=configuration.acceptance,
            lease_versions=membership.lease_versions,
            clock=self.app.clock,
        )

    # Server

    @handler("request")
    def on_http_request(self, event: Any, req: Any, res: Any) -> Any:
        """Route one HTTP request; the answer is sent later by ``respond``."""
        event.stop()
        try:
            self.route(req, res)
        except HibiscusdrumError as error:
            self.respond_error(res, error)
        except Exception:
            logger.exception("HTTP request failed")
            self.respond_error(res, HibiscusdrumError())
        return True

    def refuse_head(self, req: Any, res: Any) -> bool:
        """Refuse a request by its head: too large a body, or a tenant that is not served in this region."""
        try:
            self.check_head(req)
        except HibiscusdrumError as error:
            self.fill_error(res, error)
            return True
        return False

    def check_head(self, req: Any) -> None:
        """Raise the error that the head of a request calls for."""
        length = req.headers.get("Content-Length", "0")
        limit = self.settings.max_body_bytes
        if not length.isdecimal():
            raise InvalidArgument(name="Content-Length", value=length, expected="a number")
        if int(length) > limit:
            raise BodyTooLarge(size=int(length), limit=limit)
        if req.path.startswith(SERVICES_PREFIX):
            self.check_region(self.parse_call(req))

    def check_region(self, call: Call) -> None:
        """Refuse a request with home regions whose key is served in another region."""
        where = resolve(self.configuration.document, call.service, call.tenant, call.key, call.idempotent)
        if where.region != self.settings.region and where.tenant.home_regions:
            regions = tuple(where.tenant.home_regions)
            log_events.emit(log_events.RequestRefusedRegion(tenant=call.tenant, regions=regions))
            raise WrongRegion(tenant=call.tenant, here=self.settings.region, regions=regions)

    def route(self, req: Any, res: Any) -> None:
        """Pass a request to the part that answers it."""
        path = req.path
        if path.startswith(SERVICES_PREFIX):
            self.on_service_request(req, res)
        elif path == "/v1/target/announce" and req.method == "POST":
            self.target.announce(req.body.read())
            self.respond(res, 200, {"node": self.settings.node})
        elif path.startswith(OPERATOR_PREFIX):
            self.on_operator_request(req, res)
        elif path == "/v1/status":
            self.respond(res, 200, status_view(self.app))
        elif path == "/v1/owner":
            self.respond(res, 200, owner_view(self.app, self.query(req)))
        elif path == "/metrics":
            self.respond_bytes(res, 200, self.app.find("metrics").render(), CONTENT_TYPE)
        elif path == "/health":
            self.respond(res, 200, {"node": self.settings.node})
        else:
            raise NotFound(kind="path", name=path)

    def query(self, req: Any) -> dict[str, str]:
        """Return the parameters of the query string; the last one of a name counts."""
        return dict(parse_qsl(req.qs))

    def on_operator_request(self, req: Any, res: Any) -> None:
        """Check the shared key and pass an operator's request on."""
        if not authorized(req.headers.get(KEY_HEADER, ""), self.settings.shared_key):
            log_events.emit(log_events.Unauthorized(party="operator"))
            raise Unauthorized(party="operator")
        self.operators.handle(
            req.method, req.path, req.body.read(), lambda status, value: self.respond(res, status, value)
        )

    # Requests to services

    def on_service_request(self, req: Any, res: Any) -> None:
        """Serve a request here when this node may, else forward it to the owner.

        A daemon that has left takes none, so that its forwarded requests come to an end before it ends.
        """
        if self.app.find("stopping").closing:
            raise Draining(node=self.settings.node)
        call = self.parse_call(req)
        self.check_region(call)
        body = req.body.read()
        self.requests.submit(call, body, lambda outcome: self.on_local_outcome(res, call, body, outcome))

    def on_local_outcome(self, res: Any, call: Call, body: bytes, outcome: Outcome) -> None:
        """Answer, or forward a request that belongs to another node."""
        if isinstance(outcome, Success):
            answer = outcome.unwrap()
            reply = answer.reply
            self.respond_answer(res, reply.status, answer.body, reply.content_type, reply.target, reply.epoch)
        elif isinstance(outcome.failure(), SERVED_ELSEWHERE):
            self.forward(res, call, body)
        else:
            self.respond_error(res, outcome.failure())

    def forward(self, res: Any, call: Call, body: bytes) -> None:
        """Send a request to its owner's daemon and answer with what comes back."""
        request = Request(
            tenant=call.tenant,
            service=call.service,
            key=call.key,
            method=call.method,
            path=call.path,
            body=body,
            content_type=call.content_type,
            idempotent=call.idempotent,
            timeout=call.timeout_ms / 1000.0,
            request_class=call.request_class,
            request_id=call.request_id,
            attempt=call.attempt,
        )

        def done(result: Any) -> None:
            if isinstance(result, Success):
                answer = result.unwrap()
                self.respond_answer(
                    res, answer.status, answer.body, answer.content_type, answer.target, answer.epoch
                )
            else:
                self.respond_error(res, result.failure())

        self.forwarding_engine.submit(request, done)
        self.forward_timer.wake()

    def run_forward_timers(self) -> bool:
        """Run the timers of forwarded calls; True while there are such calls."""
        self.forwarding_engine.run_timers(time.monotonic())
        return bool(self.forwarding_engine.calls)

    def parse_call(self, req: Any) -> Call:
        """Build a call from the path and the headers.

        Raises
        ------
        InvalidArgument
            Names the header that is missing or malformed.
        """
        service, _, rest = req.path[len(SERVICES_PREFIX) :].partition("/")
        headers = req.headers
        method = req.method
        given_id = headers.get(HEADER_PREFIX + "request-id")
        idempotent = method in IDEMPOTENT_METHODS
        query = f"?{req.qs}" if req.qs else ""
        return Call(
            request_id=parse_id(given_id) if given_id else new_request_id(self.app.clock.wall()),
            tenant=required(headers, "tenant"),
            service=service,
            request_class=headers.get(HEADER_PREFIX + "class", "default"),
            key=required(headers, "key").encode("latin-1"),
            method=method,
            path=f"/{rest}{query}",
            timeout_ms=parse_timeout(headers.get(HEADER_PREFIX + "timeout-ms")),
            idempotent=idempotent,
            attempt=parse_attempt(headers.get(HEADER_PREFIX + "attempt"), bool(given_id)),
            content_type=headers.get("Content-Type", "application/octet-stream"),
        )

    # Answers

    def respond(self, res: Any, status: int, value: Any) -> None:
        """Answer with JSON."""
        self.respond_bytes(res, status, msgspec.json.encode(value, enc_hook=str), "application/json")

    def respond_error(self, res: Any, error: HibiscusdrumError) -> None:
        """Answer with a typed error."""
        self.fill_error(res, error)
        self.fire(response(res), self.channel)

    def fill_error(self, res: Any, error: HibiscusdrumError) -> None:
        """Put a typed error into a response."""
        value = {**error_body(error), "not_run": error.not_run}
        self.fill(res, error.http_status, msgspec.json.encode(value, enc_hook=str), "application/json")

    def respond_answer(
        self, res: Any, status: int, body: bytes, content_type: str, target: str, epoch: int
    ) -> None:
        """Answer with what a target answered."""
        res.headers[HEADER_PREFIX + "target"] = target
        res.headers[HEADER_PREFIX + "epoch"] = str(epoch)
        self.respond_bytes(res, status, body, content_type)

    def respond_bytes(self, res: Any, status: int, body: bytes, content_type: str) -> None:
        """Send a complete answer, unless the caller is gone."""
        if res.request.sock.fileno() < 0:
            return
        self.fill(res, status, body, content_type)
        self.fire(response(res), self.channel)

    def fill(self, res: Any, status: int, body: bytes, content_type: str) -> None:
        """Put a complete answer into a response."""
        res.status = status
        res.headers["Content-Type"] = content_type
        res.body = body


def required(headers: Any, name: str) -> str:
    """Return a header that must be present and not empty."""
    value = headers.get(HEADER_PREFIX + name, "")
    if not value:
        raise InvalidArgument(name=HEADER_PREFIX + name, value=value, expected="a value")
    return value


def parse_id(text: str) -> bytes:
    """Parse a request id in hexadecimal form."""
    try:
        value = bytes.fromhex(text.replace("-", ""))
    except ValueError:
        value = b""
    if len(value) != 16:
        raise InvalidArgument(name=HEADER_PREFIX + "request-id", value=text, expected="a UUIDv7")
    return value


def parse_timeout(text: str | None) -> float:
    """Parse the timeout in milliseconds."""
    if text is None:
        return DEFAULT_TIMEOUT_MS
    if not text.isdecimal() or not 0 < int(text) <= MAX_TIMEOUT_MS:
        raise InvalidArgument(name=HEADER_PREFIX + "timeout-ms", value=text, expected="1 to 3600000")
    return float(text)


def parse_attempt(text: str | None, given_id: bool) -> int:
    """Parse the attempt number; a given id without one may be a retry."""
    if text is None:
        return 0 if given_id else 1
    if not text.isdecimal() or len(text) > 4:
        raise InvalidArgument(name=HEADER_PREFIX + "attempt", value=text, expected="a number below 10000")
    return int(text)
