"""Adapter to the users' platform: its names, formats and calls, decoded into typed records."""
