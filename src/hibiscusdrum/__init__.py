"""Router for servers that own their keys exclusively."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from hibiscusdrum.client import Answer, Caller, Request

__version__ = "0.1.0"
__all__ = ["Answer", "Caller", "Request", "__version__"]


def __getattr__(name: str) -> Any:
    """Import the client library on first use, since daemons do not need it and start faster without it."""
    if name not in __all__:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from hibiscusdrum import client

    return getattr(client, name)
