"""Entry host: callers' HTTP, routing, forwarding."""
