"""Daemon behind the relay: it advertises ``--peer-address`` but listens on ``BOUND_PEER_ADDRESS``.

Its sockets also pass the node's name to the relay in their routing id. Only ZeroMQ sockets are patched, so
that the daemon itself needs no test hook.
"""

from __future__ import annotations

import os
import sys

import zmq

from hibiscusdrum.internal.cli.daemon import main
from tests.history.relay import NODE_NAME_END


def listen_behind_relay(advertised: str, bound: str) -> None:
    """Patch ``zmq.Socket.bind`` to bind to ``bound`` in place of the advertised address."""
    bind = zmq.Socket.bind

    def bind_behind_relay(self: zmq.Socket, address: str):
        return bind(self, address.replace(advertised, bound))

    zmq.Socket.bind = bind_behind_relay


def set_routing_ids(node: str) -> None:
    """Patch ``zmq.Context.socket`` to give DEALER sockets a routing id that begins with the node's name."""
    create = zmq.Context.socket

    def create_with_routing_id(self: zmq.Context, kind: int, *arguments, **options) -> zmq.Socket:
        socket = create(self, kind, *arguments, **options)
        if kind == zmq.DEALER:
            # The suffix is random, since a ROUTER rejects the routing id of a connection that is still open.
            socket.setsockopt(zmq.ROUTING_ID, node.encode() + NODE_NAME_END + os.urandom(8).hex().encode())
        return socket

    zmq.Context.socket = create_with_routing_id


def flag_value(name: str) -> str:
    """Return the value of a command-line flag."""
    return sys.argv[sys.argv.index(name) + 1]


if __name__ == "__main__":
    listen_behind_relay(flag_value("--peer-address"), os.environ["BOUND_PEER_ADDRESS"])
    set_routing_ids(flag_value("--node"))
    main()
