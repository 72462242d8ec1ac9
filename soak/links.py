"""Loopback proxy in front of single addresses, whose connections can be delayed, silenced or reset."""

from __future__ import annotations

import asyncio
import socket
import struct
import threading

CHUNK_BYTES = 65_536
# Wait between looks at a silenced link, in seconds.
LOOK_SECONDS = 0.05
PASS, DELAY, SILENT, SILENT_ANSWERS, RESET = "pass", "delay", "silent", "silent_answers", "reset"
MODES = (DELAY, SILENT, SILENT_ANSWERS, RESET)
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Link:
    """One proxied address and its present fault; ``delay`` is in seconds."""

    __slots__ = ("delay", "mode", "port", "to", "writers")

    def __init__(self, port: int, to: str) -> None:
        self.port = port
        self.to = to
        self.mode = PASS
        self.delay = 0.0
        self.writers: set[asyncio.StreamWriter] = set()


class Links:
    """Serves all links from a thread of its own."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.links: dict[str, Link] = {}
        self.tasks: set[asyncio.Task] = set()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def add(self, name: str, port: int, to: str) -> None:
        """Listen on a port and pass connections on to an address."""
        link = self.links[name] = Link(port, to)
        server = asyncio.start_server(lambda r, w: self.connect(link, r, w), "127.0.0.1", port)
        asyncio.run_coroutine_threadsafe(server, self.loop).result(5.0)

    def set(self, name: str, mode: str, delay: float = 0.0) -> None:
        """Change the fault of a link; a reset ends its open connections at once."""
        link = self.links[name]
        link.mode, link.delay = mode, delay
        if mode == RESET:
            self.loop.call_soon_threadsafe(self.reset, link)

    def reset(self, link: Link) -> None:
        """Reset the open connections of a link."""
        for writer in list(link.writers):
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()

    async def connect(self, link: Link, reader, writer) -> None:
        """Join a connection with one to the address behind the link."""
        host, _, port = link.to.rpartition(":")
        if link.mode == RESET:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        link.writers |= {writer, far_writer}
        for pump in (
            self.pump(link, reader, far_writer, (SILENT,)),
            self.pump(link, far_reader, writer, (SILENT, SILENT_ANSWERS)),
        ):
            task = self.loop.create_task(pump)
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def pump(self, link: Link, reader, writer, held: tuple[str, ...]) -> None:
        """Pass one direction on; silenced bytes arrive when the fault ends, as after a real partition."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                while link.mode in held:
                    await asyncio.sleep(LOOK_SECONDS)
                if link.mode == DELAY:
                    await asyncio.sleep(link.delay)
                writer.write(data)
                await writer.drain()
        except OSError:
            # The other side has ended the connection; its own pump ends too.
            pass
        finally:
            link.writers.discard(writer)
            writer.close()
