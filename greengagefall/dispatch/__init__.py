"""Dispatcher: the only sender of requests to one backend server."""
