"""Coordination library: slice maps, grants, dispatch rights, membership."""
