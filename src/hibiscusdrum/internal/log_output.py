"""Output of log lines that never blocks the event loop."""

from __future__ import annotations

import os

# Most bytes written at once, with those pending from earlier lines; a line that would exceed it is dropped.
MAX_PENDING_BYTES = 65_536


class NonBlockingOutput:
    """Writes lines to a file descriptor; drops and counts lines when the reader is too slow.

    Parameters
    ----------
    descriptor : int
        File descriptor, which is set to non-blocking mode.
    """

    __slots__ = ("descriptor", "dropped", "pending")

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.dropped = 0
        self.pending = b""

    def write(self, text: str) -> None:
        """Write a line, or drop it if too many bytes are pending."""
        data = self.pending + text.encode()
        if len(data) > MAX_PENDING_BYTES:
            self.dropped += 1
            data = self.pending
        try:
            written = os.write(self.descriptor, data) if data else 0
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader is gone, and there is no other output on which to report it.
            self.dropped += 1
            self.pending = b""
            return
        self.pending = data[written:]
