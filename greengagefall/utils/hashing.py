"""Stable 64-bit hashes shared by every process."""

from __future__ import annotations

import xxhash


def hash64(*parts: str) -> int:
    """Returns the 64-bit xxHash of the parts joined by a zero byte."""
    return xxhash.xxh3_64_intdigest("\0".join(parts).encode())


def slice_of_key(key: str, slice_count: int) -> int:
    """Returns the slice, from 0 to ``slice_count`` - 1, that holds ``key``."""
    return xxhash.xxh3_64_intdigest(key.encode()) % slice_count
