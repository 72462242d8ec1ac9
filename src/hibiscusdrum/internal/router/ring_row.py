"""The stored form of a ring: columns instead of stripes, compressed.

Every node reads the row at each change, and a row has a largest size. A list of stripes would take about 30
bytes for each; as columns, a ring that was just dealt out takes a few hundred bytes in all, and one whose
stripes have all moved about 4 for each.
"""

from __future__ import annotations

import base64
import zlib

import msgspec

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal.router.ring import UNOWNED, Owner, Ring, Stripe

COMPRESSION_LEVEL = 6
# Handover tokens that are kept, the newest first: an owner needs one only when it is first given the stripe.
# They do not compress, and take 12 bytes each.
MAX_STORED_HANDOVER_TOKENS = 400
MAX_DECOMPRESSED_BYTES = 1_000_000


class RingColumns(msgspec.Struct, frozen=True, array_like=True):
    """A ring as columns; ``tokens`` holds those of single stripes by index."""

    owners: tuple[Owner, ...]
    next_fencing_token: int
    owner_indexes: tuple[int, ...]
    fencing_tokens: tuple[int, ...]
    handover_tokens: dict[int, str]


decoder = msgspec.json.Decoder(RingColumns)


def encode_ring(ring: Ring) -> str:
    """Return a ring as it is stored."""
    with_token = [index for index, stripe in enumerate(ring.stripes) if stripe.handover_token]
    with_token.sort(key=lambda index: -ring.stripes[index].fencing_token)
    columns = RingColumns(
        ring.owners,
        ring.next_fencing_token,
        tuple(stripe.owner_index for stripe in ring.stripes),
        tuple(stripe.fencing_token for stripe in ring.stripes),
        {index: ring.stripes[index].handover_token for index in with_token[:MAX_STORED_HANDOVER_TOKENS]},
    )
    plain = msgspec.json.encode(columns)
    return base64.b64encode(zlib.compress(plain, COMPRESSION_LEVEL)).decode()


def decode_ring(value: object) -> Ring:
    """Return the ring that a row holds.

    Raises
    ------
    InvalidArgument
        If it cannot be read.
    """
    try:
        unpacker = zlib.decompressobj()
        plain = unpacker.decompress(base64.b64decode(value, validate=True), MAX_DECOMPRESSED_BYTES)
        columns = decoder.decode(plain)
        validate_columns(columns)
    except (TypeError, ValueError, zlib.error) as error:
        raise InvalidArgument(name="ring", value=str(value)[:64], expected=str(error)) from error
    tokens = columns.handover_tokens
    stripes = tuple(
        Stripe(position, fence, tokens.get(index, ""))
        for index, (position, fence) in enumerate(
            zip(columns.owner_indexes, columns.fencing_tokens, strict=True)
        )
    )
    return Ring(columns.owners, stripes, columns.next_fencing_token)


def validate_columns(columns: RingColumns) -> None:
    """Raise ValueError if the columns do not make a ring."""
    if not columns.owner_indexes or len(columns.owner_indexes) != len(columns.fencing_tokens):
        raise ValueError("as many owners as fencing tokens")
    if not UNOWNED <= min(columns.owner_indexes) <= max(columns.owner_indexes) < len(columns.owners):
        raise ValueError("positions of known owners")
