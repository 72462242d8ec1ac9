"""Tallies the client errors that routers answered themselves, from the logs of several nodes."""

from __future__ import annotations

import sys
from bisect import bisect_left
from collections import Counter, defaultdict

import msgspec

from hibiscusdrum.internal.cli.explain import EXIT_FOUND, EXIT_NOT_FOUND, EXIT_UNREADABLE
from hibiscusdrum.internal.decoding import DECODE_ERRORS

EVENT_NAME = b'"client_error_answered"'
# Upper bounds of the groups by age of the last confirmation of the configuration.
AGE_BOUNDS_SECONDS = (1.0, 2.0, 4.0, 8.0)
AGE_LABELS = ("<1s", "<2s", "<4s", "<8s", ">=8s")


class ClientError(msgspec.Struct, frozen=True):
    """Fields of a ``client_error_answered`` line that are tallied."""

    status: int
    reason: str
    version: int
    confirmed_age_s: float


class ErrorLine(msgspec.Struct, frozen=True):
    """The parts of a log line that are read."""

    node: str
    fields: ClientError


class ErrorGroup:
    """Client errors of one status, reason and version of the configuration.

    Attributes
    ----------
    ages : Counter of str
        Their number by time since the configuration was last known to be the newest.
    nodes : Counter of str
        Their number by node.
    """

    __slots__ = ("ages", "nodes")

    def __init__(self) -> None:
        self.ages: Counter[str] = Counter()
        self.nodes: Counter[str] = Counter()

    def add(self, node: str, confirmed_age_s: float) -> None:
        """Count an error."""
        self.ages[AGE_LABELS[bisect_left(AGE_BOUNDS_SECONDS, confirmed_age_s)]] += 1
        self.nodes[node] += 1

    def describe(self) -> str:
        """Return the counts as text, the node with most errors last."""
        ages = " ".join(f"{label}:{self.ages[label]}" for label in AGE_LABELS if self.ages[label])
        node, most = self.nodes.most_common(1)[0]
        return f"{self.nodes.total()}  confirmed {ages}  nodes {len(self.nodes)}, most {node}:{most}"


decoder = msgspec.json.Decoder(ErrorLine)


def client_errors(*files: str) -> int:
    """Print how many 4xx statuses the routers themselves answered, by status, reason and version.

    Each row also tells how long before the configuration was last known to be the newest, and how many nodes
    answered so.

    Parameters
    ----------
    files
        Logs of the nodes; standard input when none is given.
    """
    groups: defaultdict[tuple[int, str, int], ErrorGroup] = defaultdict(ErrorGroup)
    try:
        for name in files or ("-",):
            with open(name, "rb") if name != "-" else sys.stdin.buffer as stream:
                for raw_line in stream:
                    add_line(groups, raw_line)
    except OSError as error:
        print(f"hibiscusdrum: {error.filename}: {error.strerror}", file=sys.stderr)
        return EXIT_UNREADABLE
    if not groups:
        print("hibiscusdrum: no line names a client error", file=sys.stderr)
        return EXIT_NOT_FOUND
    for (status, reason, version), group in sorted(groups.items()):
        print(f"{status} {reason} version {version}: {group.describe()}")
    return EXIT_FOUND


def add_line(groups: defaultdict[tuple[int, str, int], ErrorGroup], raw_line: bytes) -> None:
    """Count a log line if it reports a client error; lines in another format are skipped."""
    if EVENT_NAME not in raw_line:
        return
    try:
        # A log collector may prefix each line with columns of its own.
        line = decoder.decode(raw_line[raw_line.index(b"{") :])
    except DECODE_ERRORS:
        return
    error = line.fields
    groups[error.status, error.reason, error.version].add(line.node, error.confirmed_age_s)
