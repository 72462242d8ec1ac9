"""Request identifiers: UUIDv7 (RFC 9562), whose first 48 bits are the Unix time in milliseconds."""

from __future__ import annotations

import os

from hibiscusdrum.errors import InvalidArgument

ID_BYTES = 16
MILLISECONDS = 1000.0
# Version 7 in the upper half of byte 6, variant 10 in the upper two bits of byte 8.
VERSION_BITS = 0x70
VARIANT_BITS = 0x80


def new_request_id(wall: float) -> bytes:
    """Return a new UUIDv7 for a wall time in seconds since the Unix epoch."""
    random = bytearray(os.urandom(10))
    random[0] = random[0] & 0x0F | VERSION_BITS
    random[2] = random[2] & 0x3F | VARIANT_BITS
    return int(wall * MILLISECONDS).to_bytes(6, "big") + bytes(random)


def creation_time(request_id: bytes) -> float:
    """Return the wall time in seconds at which an identifier was made, by its maker's clock.

    Raises
    ------
    InvalidArgument
        If the identifier is not a UUIDv7.
    """
    if (
        len(request_id) != ID_BYTES
        or request_id[6] & 0xF0 != VERSION_BITS
        or request_id[8] & 0xC0 != VARIANT_BITS
    ):
        raise InvalidArgument(name="request_id", value=request_id.hex(), expected="16 bytes of a UUIDv7")
    return int.from_bytes(request_id[:6], "big") / MILLISECONDS
