"""Tables of the reasons for which requests are refused, and what each of them means."""

from __future__ import annotations

from typing import NamedTuple


class RefusalReason(NamedTuple):
    """A reason for a refusal.

    Attributes:
        name: Name in answers, logs and metrics.
        http_status: Status the caller gets.
        not_run: Whether the request certainly did not run and never will.
        retryable: Whether another try by the entry host may help.
        retry_after_ms: When to come back if nothing better is known, 0 for no hint.
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
            Its name.
        """
        self[name] = RefusalReason(name, http_status, not_run, retryable, retry_after_ms, meaning)
        return name
