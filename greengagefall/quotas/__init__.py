"""Quotas of workspaces over all entry hosts."""
