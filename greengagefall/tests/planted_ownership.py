"""Wrong rules of key ownership, planted to show that tests detect them."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING
from unittest import mock

from greengagefall.gateway.notice_delivery import NoticeDelivery
from greengagefall.gateway.notice_records import NoticeRecords
from greengagefall.gateway.server_addresses import ServerAddresses
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


@contextmanager
def without_notice_records() -> Iterator[None]:
    """Has nobody record pending notices, so that only the other notices keep servers told.

    Rules that are planted in these would do no harm otherwise.
    """

    async def do_nothing(self, *arguments: object) -> None:
        return

    with (
        mock.patch.object(NoticeRecords, "add", do_nothing),
        mock.patch.object(ServerAddresses, "read", do_nothing),
        mock.patch.object(NoticeDelivery, "start", lambda self: None),
    ):
        yield
