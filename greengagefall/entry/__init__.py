"""The entry host: HTTP interface for callers, routing and forwarding of requests."""
