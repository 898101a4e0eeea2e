"""Builds the refusals of this host."""

from __future__ import annotations

from greengagefall.protocol.messages import Refusal
from greengagefall.protocol.refusals import REFUSALS


def make_refusal(
    request_id: str,
    reason: str,
    *,
    call_id: int = 0,
    hint_host: str = "",
    map_version: int = 0,
    retry_after_ms: int | None = None,
) -> Refusal:
    """Returns a refusal with the defaults of its reason in ``REFUSALS``.

    Args:
        request_id: The caller's id.
        reason: Name in ``REFUSALS``.
        call_id: Id of the refused call on its connection, 0 for none.
        hint_host: Host that dispatches the server, if known.
        map_version: Slice map version of this host.
        retry_after_ms: Retry hint that replaces the default of the reason.
    """
    row = REFUSALS[reason]
    hint_ms = row.retry_after_ms if retry_after_ms is None else retry_after_ms
    return Refusal(call_id, request_id, reason, row.not_run, hint_ms, hint_host, map_version)
