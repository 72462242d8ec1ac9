"""Load control without I/O: concurrency limits, queues, load balancing, hedging and retries."""
