"""Reads the records that processes leave: table rows, executions at targets and outcomes at callers."""

from __future__ import annotations

import hashlib
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec

from tests.history import model

NANOSECONDS_PER_SECOND = 1e9


def read_operations(path: Path) -> list[model.Operation]:
    """Return the outcomes that a caller has written so far, without an incomplete last line."""
    lines = path.read_bytes().split(b"\n")[:-1] if path.exists() else []
    return [msgspec.json.decode(line, type=model.Operation) for line in lines]


def ownership_views(rows: dict[str, Any], at: float) -> list[model.OwnershipView]:
    """Return one view for each ring row, combined with the owner rows of that ring."""
    views = []
    for ring in (value for key, value in rows.items() if key.startswith("ring/")):
        ring_id = ring["service"], ring["region"]
        owners = {
            value["node"]: tuple(value["slices"])
            for key, value in rows.items()
            if key.startswith("owner/") and (value["service"], value["region"]) == ring_id
        }
        views.append(model.OwnershipView(at, *ring_id, ring["slice_count"], owners, tuple(ring["unowned"])))
    return views


def read_effects(path: Path, node: str, services: dict[str, str]) -> list[model.Effect]:
    """Return the effects in a target's file, each with the answer that the stand-in target must give."""
    effects, counts = [], Counter()
    lines = path.read_bytes().splitlines() if path.exists() else []
    for line in lines:
        record = msgspec.json.decode(line)
        if "start" in record:
            counts.clear()
            continue
        counts[record["key"]] += 1
        answer = {
            "service": services[node],
            "key": record["key"],
            "request_id": record["request_id"],
            "count": counts[record["key"]],
        }
        body = msgspec.json.encode(answer)
        effects.append(
            model.Effect(
                request_id=record["request_id"].replace("-", "").lower(),
                target=node,
                service=services[node],
                key=record["key"].encode(),
                epoch=record["epoch"],
                started=record["start_ns"] / NANOSECONDS_PER_SECOND,
                ended=record["end_ns"] / NANOSECONDS_PER_SECOND,
                answer=body_digest(body),
                length=len(body),
            )
        )
    return effects


def body_digest(body: bytes) -> str:
    """Return a truncated SHA-256 digest, used to compare answer bodies."""
    return hashlib.sha256(body).hexdigest()[:16]
