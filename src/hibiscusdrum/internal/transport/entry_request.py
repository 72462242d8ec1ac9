"""Requests of the HTTP server for callers."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hibiscusdrum.internal.transport.entry_connection import EntryConnection

REASON_PHRASES = {
    100: b"Continue",
    200: b"OK",
    204: b"No Content",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
BODILESS_STATUSES = (204, 304)


class EntryRequest:
    """An HTTP request of a caller, with the means to respond to it.

    Attributes
    ----------
    method : bytes
    target : str
        Path and query, undecoded.
    headers : list of (str, str)
        Lower-case names with their values, in the order received.
    body : bytes
    arrived_at : float
        Monotonic time in seconds at which the request was complete.
    response_head, response_content : bytes
        The response once there is one, without the header on the connection; the head is empty before.
    response_closes : bool
        Whether the connection is closed after the response unless further requests have been received.
    link_deadline : float or None
        Monotonic time in seconds from which the response is useless, if it crosses the link of this VM.
    http_version : str
    held_bytes : int
        Memory that the request and its response take.
    on_closed : callable or None
        Called with ``CALLER_GONE`` or ``CLOSED_UNANSWERED`` when the connection ends before the request has
        a response.
    """

    __slots__ = (
        "answered",
        "arrived_at",
        "body",
        "connection",
        "dispatched",
        "headers",
        "held_bytes",
        "http_version",
        "keep_alive",
        "link_deadline",
        "listen_address",
        "method",
        "on_closed",
        "response_closes",
        "response_content",
        "response_head",
        "target",
    )

    def __init__(self, connection: EntryConnection, listen_address: str) -> None:
        self.connection = connection
        self.listen_address = listen_address
        self.method = b""
        self.target = ""
        self.headers: list[tuple[str, str]] = []
        self.body = b""
        self.arrived_at = 0.0
        self.held_bytes = 0
        self.http_version = ""
        self.keep_alive = True
        self.dispatched = False
        self.answered = False
        self.response_head = b""
        self.response_content = b""
        self.response_closes = False
        self.link_deadline: float | None = None
        self.on_closed: Callable[[str], None] | None = None

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or None.

        Parameters
        ----------
        name : str
            Name in lower case.
        """
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def respond(
        self, status: int, headers: list[tuple[str, str]], body: bytes = b"", close: bool = False
    ) -> None:
        """Send the response once all earlier requests of the connection have theirs.

        Further calls have no effect.

        Parameters
        ----------
        headers : list of (str, str)
            Without ``content-length`` and ``connection``, which are added here.
        close : bool
            Whether the connection is closed after this response, or after those to further requests that have
            been received on it by then.
        """
        if self.answered:
            return
        self.answered = True
        self.on_closed = None
        self.response_closes = close
        reason = REASON_PHRASES.get(status, b"Status")
        lines = [b"HTTP/1.1 %d %b" % (status, reason)]
        lines += [f"{name}: {value}".encode("latin-1") for name, value in headers]
        if status not in BODILESS_STATUSES:
            lines.append(b"content-length: %d" % len(body))
        self.response_head = b"\r\n".join(lines) + b"\r\n"
        self.response_content = b"" if self.method == b"HEAD" or status in BODILESS_STATUSES else body
        self.held_bytes += len(self.response_content)
        self.connection.flush_responses()

    def release(self) -> None:
        """Drop the bodies: whoever keeps the request for a while must not keep them."""
        self.body = b""
        self.response_head = self.response_content = b""

    def encode_response(self, closes: bool) -> bytes:
        """Return the response, which announces whether the connection is closed after it."""
        return b"%b%b\r\n%b" % (
            self.response_head,
            b"connection: close\r\n" if closes else b"",
            self.response_content,
        )
