"""Table of the reasons for refusing a request and their properties."""

from __future__ import annotations

from typing import NamedTuple


class RefusalReason(NamedTuple):
    """A reason for a refusal.

    Attributes:
        name: Name in answers, logs and metrics.
        http_status: HTTP status of the answer to the caller.
        not_run: Whether the request certainly was not and will not be executed.
        retryable: Whether a retry by the entry host may succeed.
        retry_after_ms: Default retry hint for callers, 0 for no hint.
        meaning: One sentence for operators.
    """

    name: str
    http_status: int
    not_run: bool
    retryable: bool
    retry_after_ms: int
    meaning: str


class RefusalTable(dict[str, RefusalReason]):
    """Reasons by name."""

    def add(
        self,
        name: str,
        http_status: int,
        meaning: str,
        *,
        not_run: bool = True,
        retryable: bool = False,
        retry_after_ms: int = 0,
    ) -> str:
        """Adds a reason; the arguments are the fields of ``RefusalReason``.

        Returns:
            The name of the reason.
        """
        self[name] = RefusalReason(name, http_status, not_run, retryable, retry_after_ms, meaning)
        return name
