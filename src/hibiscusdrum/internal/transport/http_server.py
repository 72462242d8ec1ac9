"""The ``circuits.web`` HTTP server, without its banner and signal handling."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from circuits import Event, Timer, handler
from circuits.net.events import close
from circuits.web.events import response
from circuits.web.servers import BaseServer

# Time for which the rest of a rejected request is read and dropped.
DISCARD_SECONDS = 1.0

# Takes request and response. Returns True if it has rejected the request by its head and filled the response,
# False if the body may be read.
HeadCheck = Callable[[Any, Any], bool]


class InputEnded(Event):
    """A caller has closed its sending direction; fired after the events of all that it sent before."""

    name = "input_ended"


class HttpServer(BaseServer):
    """HTTP server that can reject a request by its head and leaves process shutdown to the application.

    Parameters
    ----------
    bind : tuple of (str, int)
        Address to listen on.
    check_head : callable
        Called with request and response while the body is still arriving, possibly more than once. If it
        returns True, it has filled the response, which is sent; the rest of the request is dropped.
    channel : str
        Channel of the server's events.
    """

    def __init__(self, bind: tuple[str, int], check_head: HeadCheck, channel: str) -> None:
        super().__init__(bind, channel=channel)
        self.check_head = check_head
        self.rejected_sockets: set[Any] = set()

    @handler("ready", override=True)
    def _on_ready(self, *_args: Any) -> None:
        """Replace the startup banner: standard error carries log events only."""

    @handler("signal", override=True)
    def _on_signal(self, *_args: Any) -> None:
        """Ignore signals: the server keeps serving requests during a graceful shutdown."""

    @handler("read", priority=-1)
    def reject_early(self, sock: Any, _data: bytes) -> None:
        """Check the head of a request whose body is incomplete, and send the response if it is rejected.

        circuits.web buffers a request until its body is complete and only then dispatches it, so the head is
        read from its private tables of incomplete requests.
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
        """Drop input that follows a rejected head.

        Closing the connection at once would reset it while the client is still sending, and the client could
        lose the response.
        """
        if sock in self.rejected_sockets:
            event.stop()

    @handler("read", priority=2)
    def drop_input_of_reset_connection(self, event: Any, sock: Any, _data: bytes) -> None:
        """Drop input whose caller has reset the connection since it was read.

        circuits.web would fail on it, since it asks for the address of the caller.
        """
        try:
            sock.getpeername()
        except OSError:
            event.stop()

    @handler("_read", priority=2)
    def detect_end_of_input(self, event: Any, sock: Any) -> None:
        """Stop reading from a caller that has closed its sending direction, and keep its connection open.

        circuits.net would close the connection, though the caller may still wait for an answer.
        """
        if sock not in self.server._clients:
            return
        try:
            ended = not sock.recv(1, socket.MSG_PEEK)
        except OSError:
            return
        if not ended:
            return
        event.stop()
        if self.server._poller.isReading(sock):
            self.server._poller.removeReader(sock)
            self.fire(InputEnded(sock), self.channel)

    @handler("input_ended")
    def close_after_answer(self, sock: Any) -> None:
        """Close the connection, but after the answer if a complete request waits for one."""
        http = self.http
        parser = http._buffers.get(sock)
        complete = parser is None or parser.is_message_complete()
        if sock in http._clients and complete:
            http._clients[sock][1].close = True
        else:
            self.fire(close(sock), self.channel)

    @handler("response", priority=-1)
    def finish_head_response(self, reply: Any) -> None:
        """End the exchange of a HEAD request.

        circuits.web leaves it open, and would answer the next request on the connection as the same one.
        """
        sock = reply.request.sock
        if reply.request.method == "HEAD" and self.http._clients.pop(sock, None) and reply.close:
            self.fire(close(sock), self.channel)

    @handler("disconnect")
    def forget_connection(self, sock: Any) -> None:
        """Drop the state of a closed connection, with the incomplete request that circuits.web would keep."""
        self.rejected_sockets.discard(sock)
        self.http._buffers.pop(sock, None)
