"""Stable 64-bit hashes that are the same in every process."""

from __future__ import annotations

import xxhash


def hash64(*parts: str) -> int:
    """Returns the 64-bit xxHash of the parts joined by a zero byte."""
    return xxhash.xxh3_64_intdigest("\0".join(parts).encode())


def slice_of_key(key: str, slice_count: int) -> int:
    """Returns the number of the slice that contains ``key``, from 0 to ``slice_count`` - 1."""
    return xxhash.xxh3_64_intdigest(key.encode()) % slice_count
