"""Exit codes of ``greengagefallctl``."""

from __future__ import annotations

OK = 0
REFUSED = 1
USAGE = 2
STALE_PATCH = 3
STORE_UNAVAILABLE = 4
OUTCOME_UNKNOWN = 5

MEANINGS = {
    OK: "done",
    REFUSED: "refused or failed; the message says why",
    USAGE: "a flag or argument is missing or not allowed",
    STALE_PATCH: "the base version of the patch is not the current version",
    STORE_UNAVAILABLE: "the store could not be reached; nothing was changed",
    OUTCOME_UNKNOWN: "it is unknown whether the patch was accepted",
}
