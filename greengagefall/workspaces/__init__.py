"""Workspaces of callers: API keys, priorities and limits."""
