"""TCP relay in front of the daemons' peer addresses that can block or delay traffic between two nodes.

Run as ``python -m tests.history.relay LISTEN=UPSTREAM=NODE ...``. Each line on standard input is a JSON
object that replaces the ``Rules``; the relay exits at the end of standard input. Held bytes are sent once the
rule is removed, as TCP retransmits after a real partition.
"""

from __future__ import annotations

import asyncio
import re
import sys

import msgspec

CHUNK_BYTES = 65_536
# Separates the node's name from the random suffix in a routing id.
NODE_NAME_END = b"#"
# Property of the READY command in which a ZeroMQ socket sends its routing id (ZMTP 3.1).
IDENTITY_PROPERTY = re.compile(rb"\x08Identity\x00\x00\x00(.)", re.DOTALL)


class Rules(msgspec.Struct):
    """Rules for traffic between nodes, each for one direction given as (source, destination).

    Attributes
    ----------
    held : list of tuple
        Pairs of nodes for which all traffic is held back.
    delays : list of tuple
        Pairs of nodes with a delay in seconds.
    """

    held: list[tuple[str, str]] = []
    delays: list[tuple[str, str, float]] = []

    def delay(self, source: str, destination: str) -> float:
        """Return the delay between two nodes in seconds."""
        return next((d for s, t, d in self.delays if (s, t) == (source, destination)), 0.0)


class Relay:
    """Relays the connections of all routes in one event loop."""

    __slots__ = ("new_rules", "rules", "tasks")

    def __init__(self) -> None:
        self.rules = Rules()
        self.new_rules = asyncio.Event()
        self.tasks: set[asyncio.Task] = set()

    async def run(self, routes: list[str]) -> None:
        """Accept connections and apply new rules until the end of standard input."""
        for route in routes:
            listen, upstream, node = route.split("=")
            host, port = listen.rsplit(":", 1)
            await asyncio.start_server(
                lambda r, w, upstream=upstream, node=node: self.connect(r, w, upstream, node), host, port
            )
        print("ready", flush=True)
        reader = asyncio.StreamReader()
        await asyncio.get_running_loop().connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
        )
        while line := await reader.readline():
            self.rules = msgspec.json.decode(line, type=Rules)
            self.new_rules.set()
            self.new_rules = asyncio.Event()
            print("applied", flush=True)

    async def connect(self, reader, writer, upstream: str, node: str) -> None:
        """Relay an accepted connection to the upstream address in both directions."""
        host, port = upstream.rsplit(":", 1)
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        names = {"peer": ""}
        for pump in (
            self.pump(reader, upstream_writer, lambda: (names["peer"], node), names),
            self.pump(upstream_reader, writer, lambda: (node, names["peer"]), None),
        ):
            task = asyncio.create_task(pump)
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def pump(self, reader, writer, endpoints, names: dict[str, str] | None) -> None:
        """Read one direction of a connection and queue each chunk with the time at which to send it."""
        queue: asyncio.Queue = asyncio.Queue()
        sender = asyncio.create_task(self.send(queue, writer, endpoints))
        handshake = b""
        try:
            while data := await reader.read(CHUNK_BYTES):
                if names is not None and not names["peer"] and len(handshake) < CHUNK_BYTES:
                    handshake += data
                    names["peer"] = peer_name(handshake)
                due = asyncio.get_running_loop().time() + self.rules.delay(*endpoints())
                queue.put_nowait((due, data))
        except OSError:
            pass
        queue.put_nowait((0.0, b""))
        await sender

    async def send(self, queue: asyncio.Queue, writer, endpoints) -> None:
        """Write the chunks of one direction in order, each once it is due and not held."""
        try:
            while True:
                due, data = await queue.get()
                while endpoints() in self.rules.held:
                    await self.new_rules.wait()
                if not data:
                    break
                await asyncio.sleep(max(0.0, due - asyncio.get_running_loop().time()))
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()


def peer_name(handshake: bytes) -> str:
    """Return the node's name from a ZeroMQ handshake, or an empty string if it has no routing id yet."""
    match = IDENTITY_PROPERTY.search(handshake)
    if match is None:
        return ""
    routing_id = handshake[match.end() : match.end() + match.group(1)[0]]
    return routing_id.partition(NODE_NAME_END)[0].decode("utf-8", "replace")


if __name__ == "__main__":
    asyncio.run(Relay().run(sys.argv[1:]))
