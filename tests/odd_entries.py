"""Odd entries as another writer may leave them: odd values for each field of a sound entry."""

from __future__ import annotations

import base64
import copy
import zlib
from collections.abc import Iterator
from typing import Any

import msgspec

MISSING = object()
# Placeholder for text that is inserted into the encoded entry, since the encoder refuses such values itself.
VERBATIM = "verbatim-value"
NESTED = b"[" * 5_000 + b"]" * 5_000
# Nested less deeply than the decoder's limit, so that only later steps can fail on it.
LESS_NESTED = b"[" * 900 + b"]" * 900

UNDECODABLE = {
    "nothing": b"",
    "cut short": b'{"a": 1',
    "not UTF-8": b"\xff\xfe\x00",
    "null": b"null",
    "a list": b"[]",
    "a text": b'"text"',
    "nested 5,000 deep": NESTED,
    "nested 5,000 deep in an object": b'{"a":' * 5_000 + b"1" + b"}" * 5_000,
    "nested 900 deep": LESS_NESTED,
    "a number of 5,000 digits": b"1" * 5_000,
    "a number of 400 digits": b"1" * 400,
    "an infinite number": b"1e999",
    "NaN": b"NaN",
    "a megabyte of text": b'"' + b"x" * 1_000_000 + b'"',
}

ANY_KIND = {
    "missing": MISSING,
    "null": None,
    "an object": {"a": 1},
    "a list": [None],
    "nested 5,000 deep": NESTED,
    "nested 900 deep": LESS_NESTED,
    "infinite": b"1e999",
    "a number of 400 digits": b"1" * 400,
}
TEXT = ANY_KIND | {"a number": 5, "empty": "", "100,000 characters": "x" * 100_000}
WHOLE_NUMBER = ANY_KIND | {"negative": -1, "10^30": 10**30, "a fraction": 1.5, "a text": "7", "true": True}
NUMBER = ANY_KIND | {"negative": -1, "1e300": 1e300, "a text": "nan", "true": True}
ADDRESS = TEXT | {
    "without a port": "127.0.0.1",
    "without a host": ":80",
    "a host name": "nowhere:80",
    "unspecified": "0.0.0.0:80",
    "port 0": "127.0.0.1:0",
    "port -1": "127.0.0.1:-1",
    "port 99999": "127.0.0.1:99999",
    "port in words": "127.0.0.1:http",
    "two words": "127.0.0.1 x:80",
}


def ranges(token: object, odd_tokens: dict[str, object]) -> dict[str, object]:
    """Return the odd values of a list of key ranges whose third member is ``token``."""
    return {
        "a number": 5,
        "a list of numbers": [5],
        "a range of two members": [[0, 4]],
        "nested 5,000 deep": NESTED,
        "turned round": [[5, 4, token]],
        "negative": [[-1, 4, token]],
        "above the key space": [[0, 65_536, token]],
        "ending at 10^30": [[0, 10**30, token]],
        "a text as the first key": [["0", 4, token]],
    } | {f"{name} as its token": [[0, 4, odd]] for name, odd in odd_tokens.items()}


HEARTBEAT = {
    "addr": "127.0.0.1:7001",
    "born": 1_790_000_000_000,
    "info": {"service": "keyed", "version": "v1", "zone": "east-1", "slots": 9},
    "status": {"state": "ready", "seq": 5, "warmupS_time": 0.5},
    "holdCount": [[0, 4095, 7]],
    "released": [[4096, 8191, "5c0e7a21d94b36f8"]],
}
NODE = {
    "node": "n2",
    "region": "east",
    "failure_domain": "east-1",
    "service": "keyed",
    "peer_address": "127.0.0.1:7005",
    "life": "i-2@1790000000000",
    "accepting": True,
    "leaving": False,
}
LEASE = {
    "node": "n2",
    "incarnation": "0123456789ab",
    "ends": 109.0,
    "load": {"demand": 1.0, "capacity": 2.0},
}
# Owners, next fencing token, indexes of owners, fencing tokens, and handover tokens by stripe.
RING = [[["n2", "i-2@1790000000000"]], 3, [0, 0, -1], [1, 2, 1], {"1": "5c0e7a21d94b36f8"}]
CONFIG = {
    "version": "r12",
    "routes": {
        "columns": ["name", "host", "prefix", "kind", "timeoutS", "goalS", "priority", "attempts", "backends",
                    "allowedRegions"],
        "records": [["r", "h.example", "/a/", "idempotent", 2, 1, 3, 2, [{"service": "s", "weight": 90}],
                     ["east"]],
                    ["q", "h.example", "/b/", "idempotent", 2, 1, 3, 2, [{"service": "t", "weight": 1}],
                     None]],
    },
    "services": {
        "columns": ["name", "healthPath", "maxConns", "warmupS", "warmupPerS", "partitioned"],
        "records": [["s", "/healthz", 74, 3.0, 8.8, True], ["t", "/healthz", 74, 3.0, 8.8, False]],
    },
    "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 200_000, "headerTimeoutS": 2, "idleTimeoutS": 10},
}  # fmt: skip
STORE_ANSWER = {"records": [{"key": "node/n2", "ver": 5, "value": "e30="}], "ver": 7, "serverTimeS": 100.0}

TOKEN = {"10^30": 10**30, "a negative number": -1, "a text": "7", "null": None}
TEXT_TOKEN = {"a number": 7, "null": None, "100,000 characters": "x" * 100_000}
SOUND: dict[str, Any] = {
    "a heartbeat": HEARTBEAT,
    "a notice of departure": {"born": 1_790_000_000_000},
    "a node row": NODE,
    "a lease row": LEASE,
    "a ring row": RING,
    "a configuration": CONFIG,
    "an answer of the store": STORE_ANSWER,
}
# Odd values of each field, by the path of the field. A field that may be missing or null lists neither.
OPTIONAL_TEXT = {name: odd for name, odd in TEXT.items() if name not in ("missing", "empty")}
OPTIONAL_NUMBER = {name: odd for name, odd in NUMBER.items() if name not in ("missing",)}
OPTIONAL_WHOLE = {name: odd for name, odd in WHOLE_NUMBER.items() if name not in ("missing",)}
# A time that is left may have passed.
REMAINING = {name: odd for name, odd in OPTIONAL_NUMBER.items() if name != "negative"}
# Numbers of a configuration may be written with a fraction, as long as it is 0.
NOT_A_LIST = {name: odd for name, odd in ANY_KIND.items() if name not in ("a list", "nested 900 deep")}
FLAG = {"a number": 5, "a text": "true", "nested 5,000 deep": NESTED}
ODD_FIELDS: dict[str, dict[tuple[str | int, ...], dict[str, object]]] = {
    "a heartbeat": {
        ("addr",): ADDRESS,
        ("born",): WHOLE_NUMBER | {"0": 0, "in the year 9999": 253_000_000_000_000},
        ("info",): ANY_KIND,
        ("info", "service"): TEXT,
        ("info", "slots"): WHOLE_NUMBER | {"0": 0},
        ("info", "zone"): TEXT,
        ("info", "version"): TEXT,
        ("status",): ANY_KIND,
        ("status", "state"): TEXT | {"unknown": "asleep"},
        ("status", "seq"): WHOLE_NUMBER | {"2^53 - 1": 2**53 - 1},
        ("status", "warmupS_time"): REMAINING | {"missing": MISSING},
        ("holdCount",): ranges(7, TOKEN),
        ("released",): ranges("5c0e7a21d94b36f8", TEXT_TOKEN),
        ("ignored",): {"nested 5,000 deep": NESTED},
    },
    "a notice of departure": {("born",): OPTIONAL_WHOLE, ("ignored",): {"nested 5,000 deep": NESTED}},
    "a node row": {
        ("node",): TEXT | {"another node": "n3"},
        ("region",): TEXT,
        ("failure_domain",): TEXT,
        ("service",): TEXT,
        ("peer_address",): ADDRESS,
        ("life",): OPTIONAL_TEXT | {"start of 5,000 digits": "i-2@" + "9" * 5_000},
        ("accepting",): FLAG,
        ("leaving",): FLAG,
        ("ignored",): {"nested 5,000 deep": NESTED},
    },
    "a lease row": {
        ("node",): TEXT | {"another node": "n3"},
        ("incarnation",): TEXT,
        ("ends",): NUMBER | {"a year away": 31_536_000.0},
        ("load",): {name: odd for name, odd in ANY_KIND.items() if name not in ("missing", "an object")},
        ("load", "demand"): OPTIONAL_NUMBER,
        ("load", "capacity"): OPTIONAL_NUMBER,
        ("ignored",): {"nested 5,000 deep": NESTED},
    },
    "a ring row": {
        (0,): ANY_KIND | {"empty": [], "100,000 owners": [["n", "i@1"]] * 100_000},
        (0, 0, 0): TEXT,
        (0, 0, 1): TEXT | {"start of 5,000 digits": "i-2@" + "9" * 5_000},
        (1,): WHOLE_NUMBER | {"less than a token in use": 2},
        (2,): ANY_KIND | {"empty": [], "shorter": [0, 0], "an unknown owner": [0, 0, 1],
                          "below -1": [0, 0, -2]},
        (3,): ANY_KIND | {"empty": [], "shorter": [1, 2], "negative": [-1, 2, 1], "10^30": [10**30, 2, 1]},
        (4,): {"a list": [1], "null": None, "nested 5,000 deep": NESTED, "a number as token": {"1": 5}},
        (5,): {"nested 5,000 deep": NESTED},
    },
    "a configuration": {
        ("version",): TEXT | {"a word": "twelve", "negative": "r-1", "5,000 digits": "r" + "9" * 5_000,
                              "10^30": f"r{10**30}"},
        **{
            (part, *field): NOT_A_LIST
            for part in ("routes", "services") for field in ((), ("columns",), ("records",))
        },
        ("routes", "records", 0, 1): {"nested 5,000 deep": NESTED},
        ("ignored",): {"nested 5,000 deep": NESTED},
    },
    "an answer of the store": {
        ("records",): {"a number": 5, "null": None, "a list of numbers": [5], "nested 5,000 deep": NESTED},
        ("ver",): OPTIONAL_WHOLE,
        ("serverTimeS",): OPTIONAL_NUMBER,
        ("ignored",): {"nested 5,000 deep": NESTED},
    },
}  # fmt: skip

# Odd values of single fields of a configuration that is in force all the same, and what becomes of the
# requests on the route that they concern.
SINGLE = {name: odd for name, odd in ANY_KIND.items() if name not in ("missing", "null", "nested 5,000 deep")}
SINGLE_TEXT = SINGLE | {"a number": 5, "100,000 characters": "x" * 100_000}
SINGLE_NUMBER = SINGLE | {"negative": -1, "1e300": 1e300, "a text": "nan", "true": True}
SINGLE_FLAG = SINGLE | {"a number": 5, "a text": "true"}
REFUSED, NOT_REPEATED, SERVED = "are refused", "are never repeated", "are served"
ODD_CONFIGURATION_FIELDS: dict[tuple[str | int, ...], tuple[str, dict[str, object]]] = {
    ("routes", "records", 0): (REFUSED, {"a number": 5, "null": None, "an object": {"a": 1}, "empty": []}),
    ("routes", "records", 0, 0): (SERVED, SINGLE_TEXT | {"null": None}),
    ("routes", "records", 0, 1): (REFUSED, SINGLE_TEXT | {"null": None}),
    ("routes", "records", 0, 2): (REFUSED, SINGLE_TEXT | {"null": None}),
    ("routes", "records", 0, 3): (NOT_REPEATED, SINGLE_TEXT | {"null": None, "unknown": "sometimes"}),
    ("routes", "records", 0, 4): (SERVED, SINGLE_NUMBER),
    ("routes", "records", 0, 5): (SERVED, SINGLE_NUMBER),
    ("routes", "records", 0, 6): (SERVED, SINGLE_NUMBER),
    ("routes", "records", 0, 7): (SERVED, SINGLE_NUMBER),
    ("routes", "records", 0, 8): (REFUSED, SINGLE | {"null": None, "a text": "s", "a list of texts": ["s"]}),
    ("routes", "records", 0, 8, 0, "service"): (REFUSED, SINGLE_TEXT | {"missing": MISSING, "empty": ""}),
    ("routes", "records", 0, 8, 0, "weight"): (REFUSED, SINGLE_NUMBER | {"missing": MISSING}),
    ("routes", "records", 0, 9): (REFUSED, SINGLE | {"a text": "east", "a list of numbers": [5]}),
    ("services", "records", 0): (REFUSED, {"a number": 5, "null": None, "an object": {"a": 1}, "empty": []}),
    ("services", "records", 0, 0): (REFUSED, SINGLE_TEXT | {"null": None}),
    ("services", "records", 0, 1): (SERVED, SINGLE_TEXT),
    ("services", "records", 0, 2): (SERVED, SINGLE_NUMBER | {"0": 0}),
    ("services", "records", 0, 3): (SERVED, SINGLE_NUMBER),
    ("services", "records", 0, 4): (SERVED, SINGLE_NUMBER),
    ("services", "records", 0, 5): (REFUSED, SINGLE_FLAG),
    ("limits",): (SERVED, {"a number": 5, "a list": [1], "a text": "none", "nested 900 deep": LESS_NESTED}),
    ("limits", "maxHeaderBytes"): (SERVED, SINGLE_NUMBER | {"0": 0}),
    ("limits", "maxBodyBytes"): (SERVED, SINGLE_NUMBER),
    ("limits", "headerTimeoutS"): (SERVED, SINGLE_NUMBER | {"0": 0}),
    ("limits", "idleTimeoutS"): (SERVED, SINGLE_NUMBER | {"0": 0}),
}


def encode(value: object) -> bytes:
    """Encode an entry as JSON, with the bytes that it contains as they are."""
    verbatim: list[bytes] = []

    def placeholder(part: object) -> str:
        verbatim.append(part)
        return f"{VERBATIM}-{len(verbatim)}"

    encoded = msgspec.json.encode(substitute(value, placeholder))
    for number, part in enumerate(verbatim, start=1):
        encoded = encoded.replace(f'"{VERBATIM}-{number}"'.encode(), part)
    return encoded


def substitute(value: object, placeholder) -> object:
    """Return a copy of an entry in which bytes and integers beyond 64 bits are replaced by placeholders."""
    if isinstance(value, dict):
        return {name: substitute(part, placeholder) for name, part in value.items()}
    if isinstance(value, list):
        return [substitute(part, placeholder) for part in value]
    if isinstance(value, bytes):
        return placeholder(value)
    if isinstance(value, int) and abs(value) >= 1 << 63:
        return placeholder(str(value).encode())
    return value


def with_field(sound: Any, path: tuple[str | int, ...], odd: object) -> Any:
    """Return a copy of a sound entry in which one field is replaced by an odd value, or missing."""
    entry = copy.deepcopy(sound)
    parent = entry
    for part in path[:-1]:
        parent = parent[part]
    if odd is MISSING:
        del parent[path[-1]]
    elif isinstance(parent, list) and path[-1] == len(parent):
        parent.append(odd)
    else:
        parent[path[-1]] = odd
    return entry


def variants(kind: str) -> Iterator[tuple[str, bytes]]:
    """Yield the name and the encoded form of each odd variant of an entry of a kind."""
    for name, body in UNDECODABLE.items():
        # A notice of departure need not have a body.
        if not (kind == "a notice of departure" and name == "nothing"):
            yield name, body
    for path, odd_values in ODD_FIELDS[kind].items():
        field = ".".join(map(str, path))
        for name, odd in odd_values.items():
            yield f"{field}: {name}", encode(with_field(SOUND[kind], path, odd))


def configuration_variants() -> Iterator[tuple[str, str, bytes]]:
    """Yield the outcome, the name and the encoded form of each configuration with one odd field."""
    for path, (outcome, odd_values) in ODD_CONFIGURATION_FIELDS.items():
        field = ".".join(map(str, path))
        for name, odd in odd_values.items():
            yield outcome, f"{field}: {name}", encode(with_field(SOUND["a configuration"], path, odd))


def packed(plain: bytes) -> str:
    """Return the value of a ring row with this content."""
    return base64.b64encode(zlib.compress(plain)).decode()
