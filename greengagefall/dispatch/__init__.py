"""The dispatch layer: a dispatcher is the only sender of requests to its backend server."""
