"""Request identifiers: UUIDv7 (RFC 9562), whose first 48 bits contain the Unix time in milliseconds."""

from __future__ import annotations

import os

from hibiscusdrum.errors import InvalidArgument

ID_BYTES = 16
MILLISECONDS_PER_SECOND = 1000.0
# Version 7 is in the upper four bits of byte 6, variant 0b10 in the upper two bits of byte 8.
VERSION_BITS = 0x70
VARIANT_BITS = 0x80


def new_request_id(wall_time: float) -> bytes:
    """Return a new UUIDv7 for a creation time, given as Unix time in seconds."""
    random_bytes = bytearray(os.urandom(10))
    random_bytes[0] = random_bytes[0] & 0x0F | VERSION_BITS
    random_bytes[2] = random_bytes[2] & 0x3F | VARIANT_BITS
    return int(wall_time * MILLISECONDS_PER_SECOND).to_bytes(6, "big") + bytes(random_bytes)


def creation_time(request_id: bytes) -> float:
    """Return the Unix time in seconds at which an identifier was created, by its creator's clock.

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
    return int.from_bytes(request_id[:6], "big") / MILLISECONDS_PER_SECOND
