"""TCP proxy on loopback whose connections can be delayed, stalled or reset, one fault per link."""

from __future__ import annotations

import asyncio
import socket
import struct
import threading

CHUNK_BYTES = 65_536
# Interval at which a stalled direction checks whether its fault has ended.
POLL_INTERVAL_SECONDS = 0.05
PASS, DELAY, SILENT, SILENT_ANSWERS, RESET = "pass", "delay", "silent", "silent_answers", "reset"
MODES = (DELAY, SILENT, SILENT_ANSWERS, RESET)
ZERO_LINGER = struct.pack("ii", 1, 0)


class Link:
    """A proxied address and its current fault; ``delay`` is in seconds."""

    __slots__ = ("delay", "mode", "port", "server", "upstream_address", "writers")

    def __init__(self, port: int, upstream_address: str) -> None:
        self.port = port
        self.upstream_address = upstream_address
        self.mode = PASS
        self.delay = 0.0
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None


class LinkProxy:
    """Proxies all links on an event loop in a background thread."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.links: dict[str, Link] = {}
        self.tasks: set[asyncio.Task] = set()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def add(self, name: str, port: int, upstream_address: str) -> None:
        """Listen on a port and forward its connections to an address."""
        link = self.links[name] = Link(port, upstream_address)
        asyncio.run_coroutine_threadsafe(self.listen(link), self.loop).result(5.0)

    async def listen(self, link: Link) -> None:
        """Accept the connections of a link."""
        link.server = await asyncio.start_server(
            lambda r, w: self.accept_connection(link, r, w), "127.0.0.1", link.port
        )

    async def refuse_until_reachable(self, link: Link) -> None:
        """Refuse connections, as the port behind the link does, until something listens there again."""
        server, link.server = link.server, None
        if server is None:
            return
        server.close()
        host, _, port = link.upstream_address.rpartition(":")
        while True:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            try:
                _reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                continue
            writer.close()
            await self.listen(link)
            return

    def set_fault(self, name: str, mode: str, delay: float = 0.0) -> None:
        """Set the fault of a link; ``RESET`` also resets its open connections at once."""
        link = self.links[name]
        link.mode, link.delay = mode, delay
        if mode == RESET:
            self.loop.call_soon_threadsafe(self.reset_connections, link)

    def reset_connections(self, link: Link) -> None:
        """Close the open connections of a link with a TCP reset."""
        for writer in list(link.writers):
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
            writer.transport.abort()

    async def accept_connection(self, link: Link, reader, writer) -> None:
        """Connect to the address behind the link and forward both directions."""
        host, _, port = link.upstream_address.rpartition(":")
        if link.mode == RESET:
            writer.transport.abort()
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            task = self.loop.create_task(self.refuse_until_reachable(link))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            return
        link.writers |= {writer, upstream_writer}
        for direction in (
            self.forward(link, reader, upstream_writer, (SILENT,)),
            self.forward(link, upstream_reader, writer, (SILENT, SILENT_ANSWERS)),
        ):
            task = self.loop.create_task(direction)
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def forward(self, link: Link, reader, writer, blocking_modes: tuple[str, ...]) -> None:
        """Forward one direction; bytes of a stalled link arrive when the fault ends, as after a partition."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                while link.mode in blocking_modes:
                    await asyncio.sleep(POLL_INTERVAL_SECONDS)
                if link.mode == DELAY:
                    await asyncio.sleep(link.delay)
                writer.write(data)
                await writer.drain()
        except OSError:
            # The peer has closed the connection, which ends the task of the other direction too.
            pass
        finally:
            link.writers.discard(writer)
            writer.close()
