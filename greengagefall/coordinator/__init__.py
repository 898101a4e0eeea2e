"""Coordinator of an availability zone."""
