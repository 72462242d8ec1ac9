"""Routing of HTTP requests from the callers of a VM to targets, which own ranges of keys exclusively."""
