"""Daemon behind the relay: it advertises ``--peer-address`` but listens on ``BOUND_PEER_ADDRESS``.

Its connections also pass the node's name to the relay in their identity. Only ``zmq.Socket.bind`` and the
choice of the identity are patched, so that the daemon itself needs no test hook.
"""

from __future__ import annotations

import os
import sys

import zmq

from hibiscusdrum.internal.cli.daemon import main
from hibiscusdrum.internal.transport import peers
from tests.history.relay import NODE_NAME_END


def listen_behind_relay(advertised: str, bound: str) -> None:
    """Patch ``zmq.Socket.bind`` to bind to ``bound`` in place of the advertised address."""
    bind = zmq.Socket.bind

    def bind_behind_relay(self: zmq.Socket, address: str):
        return bind(self, address.replace(advertised, bound))

    zmq.Socket.bind = bind_behind_relay


def set_identity(node: str) -> None:
    """Patch the identity of the daemon's connections to begin with the node's name."""
    identity = node.encode() + NODE_NAME_END + os.urandom(8).hex().encode()
    peers.random_identity = lambda: identity


def flag_value(name: str) -> str:
    """Return the value of a command-line flag."""
    return sys.argv[sys.argv.index(name) + 1]


if __name__ == "__main__":
    listen_behind_relay(flag_value("--peer-address"), os.environ["BOUND_PEER_ADDRESS"])
    set_identity(flag_value("--node"))
    main()
