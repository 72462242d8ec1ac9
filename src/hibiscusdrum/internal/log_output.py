"""Output of log lines that never blocks the loop."""

from __future__ import annotations

import os

# Bytes of a line of which only a part could be written; more lines are dropped while they wait.
LARGEST_REST_BYTES = 65_536


class NonBlockingOutput:
    """Writes to a descriptor; lines that it cannot take at once are dropped and counted.

    Parameters
    ----------
    descriptor : int
        Put into non-blocking mode.
    """

    __slots__ = ("descriptor", "dropped", "rest")

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.dropped = 0
        self.rest = b""

    def write(self, text: str) -> None:
        """Write a line, or drop it when the reader is behind."""
        data = self.rest + text.encode()
        if len(data) > LARGEST_REST_BYTES:
            self.dropped += 1
            data = self.rest
        try:
            sent = os.write(self.descriptor, data) if data else 0
        except BlockingIOError:
            sent = 0
        except OSError:
            # Nobody reads any more; there is no other place to report it.
            self.dropped += 1
            self.rest = b""
            return
        self.rest = data[sent:]
