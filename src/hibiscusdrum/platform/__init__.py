"""Adapter to the platform: its settings file, store, operator configuration and target heartbeats."""
