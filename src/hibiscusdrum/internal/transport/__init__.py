"""ZeroMQ and HTTP client sockets in the circuits loop."""
