"""Stand-ins of the platform, its store, instances and clients, written from the users' pages."""
