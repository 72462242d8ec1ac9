"""Stand-ins for the platform and for targets, used by tests, benchmarks and the demo."""
