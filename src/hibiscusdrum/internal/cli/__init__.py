"""Command lines of the operator's client and the daemon."""
