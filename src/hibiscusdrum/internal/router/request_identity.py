"""Identity of a request: what is equal for all attempts to run it, on any node and after any restart."""

from __future__ import annotations

import hashlib

from hibiscusdrum.internal.messages import Forward

IDENTITY_BYTES = 16
# Identities of different versions of the encoding below are never equal.
PERSONALIZATION = b"hd-request-1"
LENGTH_BYTES = 4


def request_identity(method: str, host: str, target: str, caller: str, key: int, body: bytes) -> bytes:
    """Return the identity of a request.

    Callers choose what is hashed, so the hash is a cryptographic one: nobody can make a request with the
    identity of another caller's request. Headers that differ between attempts are left out, and so is the
    service, since a configuration may send the next attempt to another one.

    Parameters
    ----------
    target : str
        Path and query, as received.
    caller : str
        Service of the VM on which the request entered.
    key : int
        Key of a partitioned service, or -1.
    """
    digest = hashlib.blake2b(digest_size=IDENTITY_BYTES, person=PERSONALIZATION)
    for part in (method, host.lower(), target, caller, str(key)):
        encoded = part.encode("utf-8", "surrogatepass")
        digest.update(len(encoded).to_bytes(LENGTH_BYTES, "big"))
        digest.update(encoded)
    digest.update(body)
    return digest.digest()


def identity_of_forward(forward: Forward, body: bytes) -> bytes:
    """Return the identity of a request that a node has forwarded."""
    host = next((value for name, value in forward.headers if name == "host"), "")
    return request_identity(forward.method, host, forward.target, forward.caller, forward.key, body)
