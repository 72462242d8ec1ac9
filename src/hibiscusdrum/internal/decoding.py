"""Decoding of bytes and values that another program wrote: a checked value, or ``InvalidArgument``."""

from __future__ import annotations

import reprlib
import zlib
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Annotated, Any, TypeVar

import msgspec

from hibiscusdrum.errors import InvalidArgument
from hibiscusdrum.internal.settings import parse_address

# Everything that decoding, converting or checking a malformed value raises. msgspec raises RecursionError for
# values that are nested too deeply, and UnicodeDecodeError for some strings that are not UTF-8.
DECODE_ERRORS = (
    msgspec.DecodeError,
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
    zlib.error,
)
MAX_TEXT_CHARACTERS = 200
MAX_ADDRESS_CHARACTERS = 64
# Greatest integer that a JSON number represents exactly in all programs.
MAX_INTEGER = (1 << 53) - 1
MAX_INTEGER_DIGITS = 16
MAX_VERSION = (1 << 63) - 1
# Bounds seconds, rates and weights, so that no product or sum of them overflows.
MAX_NUMBER = 1e12
MAX_EXCERPT_CHARACTERS = 64
MAX_REASON_CHARACTERS = 200

Text = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_CHARACTERS)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_TEXT_CHARACTERS)]
# Name of a target and Unix milliseconds of its start.
Life = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_CHARACTERS + MAX_INTEGER_DIGITS + 1)]
AddressText = Annotated[str, msgspec.Meta(max_length=MAX_ADDRESS_CHARACTERS)]
Whole = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
# A version of a row with the era of the store in its high bits.
Version = Annotated[int, msgspec.Meta(ge=0, le=MAX_VERSION)]
Number = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_NUMBER)]

T = TypeVar("T")


@contextmanager
def refusing_malformed(name: str, value: object) -> Iterator[None]:
    """Raise ``InvalidArgument`` for errors that a malformed value causes in the body of the statement.

    Parameters
    ----------
    name : str
        Name of the value in the error.
    value : object
        Value from which the error quotes the beginning.

    Raises
    ------
    InvalidArgument
        In place of each of ``DECODE_ERRORS``.
    """
    try:
        yield
    except DECODE_ERRORS as error:
        reason = str(error)[:MAX_REASON_CHARACTERS]
        raise InvalidArgument(name=name, value=excerpt(value), expected=reason) from error


def decode_json(body: bytes, type_: type[T], name: str) -> T:
    """Decode JSON as a type.

    Raises
    ------
    InvalidArgument
        If the bytes are not JSON, or do not match the type.
    """
    with refusing_malformed(name, body):
        return msgspec.json.decode(body, type=type_)


def convert(value: Any, type_: type[T], name: str) -> T:
    """Convert a decoded value to a type.

    Raises
    ------
    InvalidArgument
        If the value does not match the type.
    """
    with refusing_malformed(name, value):
        return msgspec.convert(value, type_)


def check_address(text: str, name: str) -> None:
    """Check that the text of the field ``name`` is ``ip:port`` with an IPv4 address.

    Raises
    ------
    ValueError
        If it is not, or the port is not between 1 and 65535.
    """
    expected = f"ip:port with a port from 1 to 65535 in {name}, got {excerpt(text)!r}"
    if text.startswith("["):
        raise ValueError(expected)
    try:
        parse_address(text)
    except ValueError as error:
        raise ValueError(expected) from error


def excerpt(value: object) -> Any:
    """Return the beginning of a value, for an error: as text unless the value is bytes."""
    if isinstance(value, bytes | str):
        return value[:MAX_EXCERPT_CHARACTERS]
    # Limits the depth too: the plain representation of a nested value may raise RecursionError.
    return reprlib.repr(value)[:MAX_EXCERPT_CHARACTERS]
