"""HTTP server of the daemon, for callers without the library, operators, the target and metrics scrapes."""

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
from hibiscusdrum.internal.daemon.metrics import PROMETHEUS_CONTENT_TYPE
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
FORWARD_TIMER_INTERVAL_SECONDS = 0.01
PLAN_ADVANCE_INTERVAL_SECONDS = 1.0
# Estimated bytes of a forwarded request besides its body, charged to the cross-region link budget.
FORWARD_OVERHEAD_BYTES = 300
# Errors that prove that a request did not run here and that another node may serve it.
FORWARDABLE_ERRORS = (Moved, NoOwner, Draining, LeaseLost, TargetUnreachable)


class HttpEndpoint(Service):
    """Serves the daemon's HTTP API and forwards requests to the owners of their keys.

    Parameters
    ----------
    settings : Settings
        Name and region of this node, HTTP address, body size limit and shared key.
    """

    service_name = "http"

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self.settings = settings

    def on_start(self) -> None:
        """Set up the operator API and the forwarding of requests, then listen.

        Raises
        ------
        AddressInUse
            If the HTTP address cannot be bound.
        """
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
        self.operator_api = self.build_operator_api()
        scheduler = self.app.scheduler
        self.forward_timer = scheduler.create_work_timer(
            FORWARD_TIMER_INTERVAL_SECONDS, self.run_forward_timers
        )
        scheduler.every(PLAN_ADVANCE_INTERVAL_SECONDS, self.operator_api.advance)
        host, _, port = self.settings.http_address.rpartition(":")
        try:
            self.server = HttpServer((host, int(port)), self.refuse_invalid_head, self.channel).register(self)
        except OSError as error:
            raise AddressInUse(address=self.settings.http_address) from error

    def send_forward(self, address: str, message: Message, body: bytes) -> bool:
        """Send a forwarded request; return False if it cannot be sent now.

        The cross-region link budget or a missing connection may prevent it.
        """
        size = len(body) + FORWARD_OVERHEAD_BYTES
        return self.link.try_spend_data(address, size) and self.peers.try_send_request(address, message, body)

    def build_operator_api(self) -> OperatorApi:
        """Return an operator API that uses this daemon's services."""
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

    @handler("request")
    def on_http_request(self, event: Any, req: Any, res: Any) -> Any:
        """Handle one HTTP request; the response is fired separately, at once or later."""
        event.stop()
        try:
            self.route(req, res)
        except HibiscusdrumError as error:
            self.respond_error(res, error)
        except Exception:
            logger.exception("unhandled exception in an HTTP request handler")
            self.respond_error(res, HibiscusdrumError())
        return True

    def refuse_invalid_head(self, req: Any, res: Any) -> bool:
        """Fill the response with an error and return True if the headers show that the request is refused."""
        try:
            self.check_head(req)
        except HibiscusdrumError as error:
            self.fill_error_response(res, error)
            return True
        return False

    def check_head(self, req: Any) -> None:
        """Validate a request by its headers, before the body is read.

        Raises
        ------
        InvalidArgument
            If a header is missing or malformed.
        BodyTooLarge
            If the declared body exceeds the limit.
        WrongRegion
            If the tenant's home regions do not include this region for the key.
        """
        length = req.headers.get("Content-Length", "0")
        limit = self.settings.max_body_bytes
        if not length.isdecimal():
            raise InvalidArgument(name="Content-Length", value=length, expected="a number")
        if int(length) > limit:
            raise BodyTooLarge(size=int(length), limit=limit)
        if req.path.startswith(SERVICES_PREFIX):
            self.check_region(self.parse_call(req))

    def check_region(self, call: Call) -> None:
        """Raise ``WrongRegion`` if a tenant with home regions has the key served in another region."""
        resolution = resolve(
            self.configuration.document, call.service, call.tenant, call.key, call.idempotent
        )
        if resolution.region != self.settings.region and resolution.tenant.home_regions:
            regions = tuple(resolution.tenant.home_regions)
            log_events.emit(log_events.RequestRefusedRegion(tenant=call.tenant, regions=regions))
            raise WrongRegion(tenant=call.tenant, here=self.settings.region, regions=regions)

    def route(self, req: Any, res: Any) -> None:
        """Dispatch a request by its path.

        Raises
        ------
        NotFound
            If the path is unknown.
        """
        path = req.path
        if path.startswith(SERVICES_PREFIX):
            self.on_service_request(req, res)
        elif path == "/v1/target/announce" and req.method == "POST":
            self.target.announce(req.body.read())
            self.respond_json(res, 200, {"node": self.settings.node})
        elif path.startswith(OPERATOR_PREFIX):
            self.on_operator_request(req, res)
        elif path == "/v1/status":
            self.respond_json(res, 200, status_view(self.app))
        elif path == "/v1/owner":
            self.respond_json(res, 200, owner_view(self.app, self.parse_query(req)))
        elif path == "/metrics":
            self.respond_bytes(
                res, 200, self.app.find("metrics").render_prometheus(), PROMETHEUS_CONTENT_TYPE
            )
        elif path == "/health":
            self.respond_json(res, 200, {"node": self.settings.node})
        else:
            raise NotFound(kind="path", name=path)

    def parse_query(self, req: Any) -> dict[str, str]:
        """Return the parameters of the query string; the last value of a repeated name wins."""
        return dict(parse_qsl(req.qs))

    def on_operator_request(self, req: Any, res: Any) -> None:
        """Check the shared key and pass the request to the operator API.

        Raises
        ------
        Unauthorized
            If the shared key is missing or wrong.
        """
        if not authorized(req.headers.get(KEY_HEADER, ""), self.settings.shared_key):
            log_events.emit(log_events.Unauthorized(party="operator"))
            raise Unauthorized(party="operator")
        self.operator_api.handle(
            req.method, req.path, req.body.read(), lambda status, value: self.respond_json(res, status, value)
        )

    def on_service_request(self, req: Any, res: Any) -> None:
        """Serve a request on this node if it may, otherwise forward it to the owner.

        A daemon that is closing refuses all requests, so that its forwarded requests can finish.

        Raises
        ------
        Draining
            If the daemon is closing.
        InvalidArgument, WrongRegion
            If the headers are invalid or the key is served in another region.
        """
        if self.app.find("stopping").closing:
            raise Draining(node=self.settings.node)
        call = self.parse_call(req)
        self.check_region(call)
        body = req.body.read()
        self.requests.submit(call, body, lambda outcome: self.on_local_outcome(res, call, body, outcome))

    def on_local_outcome(self, res: Any, call: Call, body: bytes, outcome: Outcome) -> None:
        """Respond with the local outcome, or forward the request if another node may serve it."""
        if isinstance(outcome, Success):
            answer = outcome.unwrap()
            reply = answer.reply
            self.respond_answer(res, reply.status, answer.body, reply.content_type, reply.target, reply.epoch)
        elif isinstance(outcome.failure(), FORWARDABLE_ERRORS):
            self.forward(res, call, body)
        else:
            self.respond_error(res, outcome.failure())

    def forward(self, res: Any, call: Call, body: bytes) -> None:
        """Forward a request to its owner's daemon and respond with the result."""
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

        def on_forwarded(result: Any) -> None:
            if isinstance(result, Success):
                answer = result.unwrap()
                self.respond_answer(
                    res, answer.status, answer.body, answer.content_type, answer.target, answer.epoch
                )
            else:
                self.respond_error(res, result.failure())

        self.forwarding_engine.submit(request, on_forwarded)
        self.forward_timer.wake()

    def run_forward_timers(self) -> bool:
        """Run the timers of forwarded calls; return whether any call is still open."""
        self.forwarding_engine.run_timers(time.monotonic())
        return bool(self.forwarding_engine.calls)

    def parse_call(self, req: Any) -> Call:
        """Build a call from the path and the headers.

        Raises
        ------
        InvalidArgument
            If a header is missing or malformed.
        """
        service, _, rest = req.path[len(SERVICES_PREFIX) :].partition("/")
        headers = req.headers
        method = req.method
        id_text = headers.get(HEADER_PREFIX + "request-id")
        idempotent = method in IDEMPOTENT_METHODS
        query = f"?{req.qs}" if req.qs else ""
        return Call(
            request_id=parse_request_id(id_text) if id_text else new_request_id(self.app.clock.wall()),
            tenant=required_header(headers, "tenant"),
            service=service,
            request_class=headers.get(HEADER_PREFIX + "class", "default"),
            key=required_header(headers, "key").encode("latin-1"),
            method=method,
            path=f"/{rest}{query}",
            timeout_ms=parse_timeout(headers.get(HEADER_PREFIX + "timeout-ms")),
            idempotent=idempotent,
            attempt=parse_attempt(headers.get(HEADER_PREFIX + "attempt"), bool(id_text)),
            content_type=headers.get("Content-Type", "application/octet-stream"),
        )

    def respond_json(self, res: Any, status: int, value: Any) -> None:
        """Send a JSON response."""
        self.respond_bytes(res, status, msgspec.json.encode(value, enc_hook=str), "application/json")

    def respond_error(self, res: Any, error: HibiscusdrumError) -> None:
        """Send an error response."""
        self.fill_error_response(res, error)
        self.fire(response(res), self.channel)

    def fill_error_response(self, res: Any, error: HibiscusdrumError) -> None:
        """Set the status and the JSON body of a response from an error."""
        value = {**error_body(error), "not_run": error.not_run}
        self.fill_response(
            res, error.http_status, msgspec.json.encode(value, enc_hook=str), "application/json"
        )

    def respond_answer(
        self, res: Any, status: int, body: bytes, content_type: str, target: str, epoch: int
    ) -> None:
        """Send a target's answer, with the target and the epoch in headers."""
        res.headers[HEADER_PREFIX + "target"] = target
        res.headers[HEADER_PREFIX + "epoch"] = str(epoch)
        self.respond_bytes(res, status, body, content_type)

    def respond_bytes(self, res: Any, status: int, body: bytes, content_type: str) -> None:
        """Send a response, unless the caller has disconnected."""
        if res.request.sock.fileno() < 0:
            return
        self.fill_response(res, status, body, content_type)
        self.fire(response(res), self.channel)

    def fill_response(self, res: Any, status: int, body: bytes, content_type: str) -> None:
        """Set the status, the content type and the body of a response."""
        res.status = status
        res.headers["Content-Type"] = content_type
        res.body = body


def required_header(headers: Any, name: str) -> str:
    """Return the value of a header; raise ``InvalidArgument`` if it is missing or empty."""
    value = headers.get(HEADER_PREFIX + name, "")
    if not value:
        raise InvalidArgument(name=HEADER_PREFIX + name, value=value, expected="a value")
    return value


def parse_request_id(text: str) -> bytes:
    """Parse a request id of 32 hexadecimal digits, with or without hyphens."""
    try:
        value = bytes.fromhex(text.replace("-", ""))
    except ValueError:
        value = b""
    if len(value) != 16:
        raise InvalidArgument(name=HEADER_PREFIX + "request-id", value=text, expected="a UUIDv7")
    return value


def parse_timeout(text: str | None) -> float:
    """Parse the timeout header, in milliseconds; return the default if it is missing."""
    if text is None:
        return DEFAULT_TIMEOUT_MS
    if not text.isdecimal() or not 0 < int(text) <= MAX_TIMEOUT_MS:
        raise InvalidArgument(name=HEADER_PREFIX + "timeout-ms", value=text, expected="1 to 3600000")
    return float(text)


def parse_attempt(text: str | None, has_request_id: bool) -> int:
    """Parse the attempt number.

    Without the header, a request that has an id gets 0, because it may be a retry, and any other gets 1.
    """
    if text is None:
        return 0 if has_request_id else 1
    if not text.isdecimal() or len(text) > 4:
        raise InvalidArgument(name=HEADER_PREFIX + "attempt", value=text, expected="a number below 10000")
    return int(text)
