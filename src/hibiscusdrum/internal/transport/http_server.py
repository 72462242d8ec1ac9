"""HTTP server of circuits.web, without its banner and its own reaction to signals."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from circuits import Timer, handler
from circuits.net.events import close
from circuits.web.events import response
from circuits.web.servers import BaseServer

# Time in which the rest of a rejected request is read and dropped.
DISCARD_SECONDS = 1.0

# Answers a request whose head is enough to refuse it; returns False when the body may be read.
HeadCheck = Callable[[Any, Any], bool]


class HttpServer(BaseServer):
    """Server that leaves the end of the process to the application.

    Parameters
    ----------
    bind : tuple of (str, int)
        Address to listen on.
    check_head : callable
        Called with request and response while the body is still arriving. When it returns True, it has filled
        the response; the answer is sent, and the rest of the request is dropped unread.
    channel : str
        Channel of the server's events.
    """

    def __init__(self, bind: tuple[str, int], check_head: HeadCheck, channel: str) -> None:
        super().__init__(bind, channel=channel)
        self.check_head = check_head
        self.rejected_sockets: set[Any] = set()

    @handler("ready", override=True)
    def _on_ready(self, *_args: Any) -> None:
        """Print nothing: standard error carries log events only."""

    @handler("signal", override=True)
    def _on_signal(self, *_args: Any) -> None:
        """Keep listening: a planned stop still answers requests."""

    @handler("read", priority=-1)
    def reject_early(self, sock: Any, _data: bytes) -> None:
        """Check the head of a request whose body has not arrived completely.

        circuits.web hands a request over only when its body is complete, and keeps what has arrived until
        then; the head is taken from the parser's table of open requests.
        """
        http = self.http
        if sock not in http._buffers or sock not in http._clients:
            return
        request, reply = http._clients[sock]
        if self.check_head(request, reply):
            del http._buffers[sock], http._clients[sock]
            self.rejected_sockets.add(sock)
            reply.headers["Connection"] = "close"
            self.fire(response(reply), self.channel)
            Timer(DISCARD_SECONDS, close(sock), self.channel).register(self)

    @handler("read", priority=1)
    def discard_remaining_body(self, event: Any, sock: Any, _data: bytes) -> None:
        """Drop what follows a rejected head.

        Closing at once would reset the connection while the client still sends, and the client could lose the
        answer.
        """
        if sock in self.rejected_sockets:
            event.stop()

    @handler("disconnect")
    def forget_connection(self, sock: Any) -> None:
        """Forget a closed connection."""
        self.rejected_sockets.discard(sock)
