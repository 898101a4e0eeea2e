"""Wrong rules of key ownership, planted to show that tests detect them."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING
from unittest import mock

from greengagefall.ownership import key_moves

if TYPE_CHECKING:
    from collections.abc import Iterator


@contextmanager
def keep_fences_of_moves() -> Iterator[None]:
    """Lets ranges that move keep their fences when their owner's dispatcher changes."""
    replace_fences = key_moves.replace_fences

    def replace_others(assignment, is_outdated):
        return replace_fences(assignment, lambda one: not one.moving and is_outdated(one))

    with mock.patch.object(key_moves, "replace_fences", replace_others):
        yield
