"""Small HTTP/1.1 messages on asyncio streams, as far as the stand-ins need them."""

from __future__ import annotations

import asyncio

MAX_HEAD_BYTES = 65_536


class Message:
    """A request or an answer.

    Attributes
    ----------
    first_line : str
        Request line or status line.
    headers : dict of str to str
        Lower-case names.
    body : bytes
    complete : bool
        Whether the whole body was received.
    """

    __slots__ = ("body", "complete", "first_line", "headers")

    def __init__(self, first_line: str, headers: dict[str, str]) -> None:
        self.first_line = first_line
        self.headers = headers
        self.body = b""
        self.complete = False

    @property
    def status(self) -> int:
        """Status code of an answer."""
        return int(self.first_line.split(" ")[1])

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.first_line.split(" ")[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.first_line.split(" ")[1]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message with a declared length; None if the connection ends before its head does."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    message = Message(lines[0], headers)
    try:
        message.body = await reader.readexactly(int(headers.get("content-length", "0")))
        message.complete = True
    except asyncio.IncompleteReadError as error:
        message.body = error.partial
    except OSError:
        pass
    return message


def encode_answer(status: int, headers: dict[str, str], body: bytes = b"", framed: bool = True) -> bytes:
    """Return the bytes of an answer, without a length unless it is ``framed``."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if framed:
        lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def encode_request(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a request."""
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    if body or method in ("POST", "PUT"):
        lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
