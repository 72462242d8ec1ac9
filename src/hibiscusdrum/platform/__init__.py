"""Runs hibiscusdrum on the users' platform: translates its settings, store, configuration and reports."""
