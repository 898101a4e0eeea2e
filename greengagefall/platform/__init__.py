"""Adapter to the users' platform: decodes its names, formats and calls into typed records."""
