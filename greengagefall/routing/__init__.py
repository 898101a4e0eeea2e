"""Routing configuration: model, checks, patches."""
