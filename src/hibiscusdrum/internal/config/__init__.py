"""Configuration of routes and tenants without I/O: documents, operator intents, plans and revisions."""
