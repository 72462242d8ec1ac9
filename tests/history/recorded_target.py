"""Stand-in target that also appends its effects to a file, so that they survive SIGKILL.

Takes the arguments of ``tools.standins.target``; the environment variable ``EFFECTS_FILE`` names the file.
"""

from __future__ import annotations

import os
import sys

import defopt
import msgspec
from tools.standins import target


class EffectsFile(list):
    """List of effects that appends each one to a file before the target answers."""

    def __init__(self, path: str) -> None:
        super().__init__()
        self.file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        # Marks a restart: a new process counts the answers for each key from one again.
        os.write(self.file, b'{"start": true}\n')

    def append(self, effect: target.Effect) -> None:
        """Append the effect, and write it to the file as one JSON line."""
        os.write(self.file, msgspec.json.encode(effect) + b"\n")
        super().append(effect)


class RecordedTarget(target.TargetStandIn):
    """Stand-in target that records its effects in ``EFFECTS_FILE``."""

    def __init__(self, options: target.TargetOptions) -> None:
        super().__init__(options)
        self.effects = EffectsFile(os.environ["EFFECTS_FILE"])


if __name__ == "__main__":
    target.TargetStandIn = RecordedTarget
    sys.exit(defopt.run(target.main))
