"""A process that answers other nodes until it is told to stop, and signals itself when its interpreter ends.

Usage: ``python -m tests.ending_process ADDRESS SIGNAL BYTES``.
"""

import os
import signal
import sys

from circuits import handler

from hibiscusdrum.internal.kernel import Application, Service
from hibiscusdrum.internal.messages import Answered
from hibiscusdrum.internal.transport.peers import PeerTransport

# Time for which the process waits until its replies are transmitted.
LINGER_SECONDS = 2.0
FREE = (0, 0, 6, 0.1, True)


class LastSignal:
    """Sends a signal to its own process when the interpreter deletes its modules."""

    def __init__(self, number):
        # Modules may be deleted before this object.
        self.send, self.process, self.number = os.kill, os.getpid(), number

    def __del__(self):
        self.send(self.process, self.number)


class Stopping(Service):
    """Ends the application at the first stop signal."""

    service_name = "stopping"

    @handler("signal", channel="*")
    def on_signal(self, event, number, _frame):
        """Take a signal."""
        event.stop()
        if number == signal.SIGTERM:
            self.app.shutdown(0)


def main(address, name, size):
    """Answer with ``size`` bytes until the process is told to stop."""
    app = Application()
    peers = PeerTransport(address, b"key")
    peers.close_linger = LINGER_SECONDS

    def answer(identity, message, _body):
        peers.reply(identity, Answered(message.id, 200, (), FREE), bytes(int(size)))
        print("answered", flush=True)

    peers.on_request = answer
    app.add(peers)
    app.add(Stopping())
    app.on_started.append(lambda: print("started", flush=True))
    app.run()
    return app.exit_code


last_signal = LastSignal(signal.Signals[sys.argv[2]])

if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
