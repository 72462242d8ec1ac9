"""Decisions about key ownership and leases, without I/O."""
