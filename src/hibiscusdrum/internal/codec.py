"""Encoding and decoding of messages, and signatures of control messages."""

from __future__ import annotations

import hashlib
import hmac

import msgspec

from hibiscusdrum.errors import InvalidFrame, Unauthorized
from hibiscusdrum.internal.decoding import DECODE_ERRORS
from hibiscusdrum.internal.messages import ControlMessage, Message, RequestMessage

SIGNATURE_BYTES = 16
# Bytes of a malformed frame that the error quotes; a longer excerpt could disclose request contents.
EXCERPT_BYTES = 16

_encoder = msgspec.msgpack.Encoder()
_request_decoder = msgspec.msgpack.Decoder(RequestMessage)
_control_decoder = msgspec.msgpack.Decoder(ControlMessage)


def encode(message: Message) -> bytes:
    """Return a message encoded as msgpack."""
    return _encoder.encode(message)


def decode_request(frame: bytes) -> Message:
    """Decode a request message.

    Raises
    ------
    InvalidFrame
        If the frame is not a known request message.
    """
    return _decode(_request_decoder, frame)


def sign(key: bytes, message: Message) -> bytes:
    """Return the signature of a control message, followed by the encoded message."""
    payload = _encoder.encode(message)
    return _signature(key, payload) + payload


def decode_control(key: bytes, frame: bytes) -> Message:
    """Verify and decode a signed control message.

    Raises
    ------
    Unauthorized
        If the signature does not match the shared key.
    InvalidFrame
        If the payload is not a known control message.
    """
    signature, payload = frame[:SIGNATURE_BYTES], frame[SIGNATURE_BYTES:]
    if not hmac.compare_digest(signature, _signature(key, payload)):
        raise Unauthorized(party="peer")
    return _decode(_control_decoder, payload)


def _signature(key: bytes, payload: bytes) -> bytes:
    return hmac.digest(key, payload, hashlib.sha256)[:SIGNATURE_BYTES]


def _decode(decoder: msgspec.msgpack.Decoder, frame: bytes) -> Message:
    try:
        return decoder.decode(frame)
    except DECODE_ERRORS as error:
        raise InvalidFrame(reason=str(error), frame=frame[:EXCERPT_BYTES].hex()) from error
