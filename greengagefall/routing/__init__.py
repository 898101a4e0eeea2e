"""Routing configuration: model, validation and patches."""
