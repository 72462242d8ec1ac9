"""Encoding of a ring as a row of the store: compressed columns.

Every node reads the row at each change, and the size of a row is limited. A list of stripes would take about
30 bytes per stripe. As columns, a new ring takes a few hundred bytes in all, and one whose stripes have all
moved takes about 4 bytes per stripe.
"""

from __future__ import annotations

import base64
import zlib
from typing import Annotated

import msgspec

from hibiscusdrum.internal.decoding import Text, Version, Whole, refusing_malformed
from hibiscusdrum.internal.router.ring import UNOWNED, Owner, Ring, Stripe
from hibiscusdrum.internal.router.routes import KEY_SPACE

COMPRESSION_LEVEL = 6
# Only the newest handover tokens are stored: an owner needs one only when it first gets the stripe, and they
# do not compress and take 12 bytes each.
MAX_STORED_HANDOVER_TOKENS = 400
MAX_DECOMPRESSED_BYTES = 1_000_000


class RingColumns(msgspec.Struct, frozen=True, array_like=True):
    """A ring as columns, with one entry per stripe; handover tokens are mapped by stripe index.

    The fields that have defaults are missing in rows that earlier releases wrote.
    """

    owners: tuple[Owner, ...]
    next_fencing_token: Whole
    owner_indexes: Annotated[tuple[int, ...], msgspec.Meta(max_length=KEY_SPACE)]
    fencing_tokens: tuple[Whole, ...]
    handover_tokens: dict[int, Text]
    era: Whole = 0
    era_fencing_token: Whole = 1
    basis: Version = 0


decoder = msgspec.json.Decoder(RingColumns)


def encode_ring(ring: Ring) -> str:
    """Return the row value of a ring."""
    with_token = [index for index, stripe in enumerate(ring.stripes) if stripe.handover_token]
    with_token.sort(key=lambda index: -ring.stripes[index].fencing_token)
    columns = RingColumns(
        ring.owners,
        ring.next_fencing_token,
        tuple(stripe.owner_index for stripe in ring.stripes),
        tuple(stripe.fencing_token for stripe in ring.stripes),
        {index: ring.stripes[index].handover_token for index in with_token[:MAX_STORED_HANDOVER_TOKENS]},
        ring.era,
        ring.era_fencing_token,
        ring.basis,
    )
    plain = msgspec.json.encode(columns)
    return base64.b64encode(zlib.compress(plain, COMPRESSION_LEVEL)).decode()


def decode_ring(value: object) -> Ring:
    """Return the ring of a row value.

    Raises
    ------
    InvalidArgument
        If the value is malformed.
    """
    with refusing_malformed("ring", value):
        decompressor = zlib.decompressobj()
        plain = decompressor.decompress(base64.b64decode(value, validate=True), MAX_DECOMPRESSED_BYTES)
        columns = decoder.decode(plain)
        validate_columns(columns)
    handover_tokens = columns.handover_tokens
    stripes = tuple(
        Stripe(owner_index, fencing_token, handover_tokens.get(index, ""))
        for index, (owner_index, fencing_token) in enumerate(
            zip(columns.owner_indexes, columns.fencing_tokens, strict=True)
        )
    )
    return Ring(
        columns.owners,
        stripes,
        columns.next_fencing_token,
        columns.era,
        columns.era_fencing_token,
        columns.basis,
    )


def validate_columns(columns: RingColumns) -> None:
    """Check that columns describe a ring.

    Raises
    ------
    ValueError
        If columns differ in length, name an unknown owner, or use a fencing token that is not assigned yet.
    """
    if not columns.owner_indexes or len(columns.owner_indexes) != len(columns.fencing_tokens):
        raise ValueError("one owner index and one fencing token for each stripe")
    if not UNOWNED <= min(columns.owner_indexes) <= max(columns.owner_indexes) < len(columns.owners):
        raise ValueError("indexes of listed owners")
    if max(columns.fencing_tokens) >= columns.next_fencing_token:
        raise ValueError(f"fencing tokens below the next one, {columns.next_fencing_token}")
