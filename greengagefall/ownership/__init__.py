"""Ownership of keys: key ranges, their moves, and the load by which moves are planned."""
