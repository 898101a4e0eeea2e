"""Balancing policies for pooled and keyed back ends."""
