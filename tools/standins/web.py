"""Base class and helpers for stand-ins that serve JSON over HTTP with circuits.web."""

from __future__ import annotations

from typing import Any

import msgspec
from circuits import BaseComponent, handler
from circuits.net.events import close, write
from circuits.web import BaseServer
from circuits.web.events import response
from circuits.web.wrappers import Request, Response

from hibiscusdrum.errors import HibiscusdrumError, InvalidArgument
from hibiscusdrum.internal.kernel import Application, Service

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404


class JsonServer(Service):
    """Serves HTTP requests with JSON responses.

    Parameters
    ----------
    name : str
        Name of the service and of its channel; each server of one application needs its own.
    address : str
        ``ip:port`` to listen on.
    """

    def __init__(self, name: str, address: str) -> None:
        self.service_name = name
        super().__init__()
        self.address = address
        self.server = BaseServer(address, channel=name, display_banner=False).register(self)

    @handler("request", priority=1.0)
    def on_request(self, request: Request, reply: Response) -> bool:
        """Handle a request and convert its errors to error responses.

        Returning true keeps circuits.web from responding with status 404.
        """
        try:
            self.handle_request(request, reply)
        except HibiscusdrumError as error:
            self.send_json(reply, error.http_status, {"code": error.code, **error.values})
        return True

    def handle_request(self, request: Request, reply: Response) -> None:
        """Handle a request; subclasses respond at once or later with one of the send methods."""
        raise NotImplementedError

    def send_json(
        self, reply: Response, status: int, value: Any, headers: dict[str, str] | None = None
    ) -> None:
        """Send a response with a JSON body."""
        self.send_bytes(reply, status, msgspec.json.encode(value), "application/json", headers)

    def send_bytes(
        self,
        reply: Response,
        status: int,
        body: bytes,
        content_type: str,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send a response with a body of bytes, unless the caller has disconnected."""
        if reply.request.sock.fileno() < 0:
            return
        reply.status = status
        reply.headers["Content-Type"] = content_type
        for name, value in (headers or {}).items():
            reply.headers[name] = value
        reply.body = body
        self.fire(response(reply))

    def close_without_response(self, reply: Response) -> None:
        """Close the caller's connection without sending a response."""
        self.fire(close(reply.request.sock))

    def send_truncated_json(self, reply: Response, body: bytes, declared_length: int) -> None:
        """Send a body shorter than its declared length, then close the connection."""
        response_head = (
            f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {declared_length}\r\n\r\n"
        )
        self.fire(write(reply.request.sock, response_head.encode() + body))
        self.fire(close(reply.request.sock))


def read_json(request: Request, expected_type: Any) -> Any:
    """Decode a JSON request body as a type.

    Raises
    ------
    InvalidArgument
        If the body is not valid JSON of that type.
    """
    body = request.body.read()
    try:
        return msgspec.json.decode(body, type=expected_type)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        preview = body[:200].decode("utf-8", "replace")
        raise InvalidArgument(name="body", value=preview, expected=str(error)) from error


class StopOnSignal(BaseComponent):
    """Shuts the application down on SIGTERM or SIGINT."""

    channel = "*"

    def __init__(self, application: Application) -> None:
        super().__init__()
        self.application = application

    @handler("signal", channel="*")
    def on_signal(self, *_args: Any) -> None:
        """Stop the services and the event loop."""
        self.application.shutdown()


def run_services(*services: Service) -> int:
    """Run services in one application until a signal arrives, and return the exit code."""
    application = Application()
    StopOnSignal(application).register(application)
    for service in services:
        application.add(service)
    application.run()
    return application.exit_code
