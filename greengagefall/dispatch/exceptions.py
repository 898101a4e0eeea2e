"""Errors of the dispatch layer."""

from __future__ import annotations


class DispatchError(Exception):
    """Base class of all errors of the dispatch layer."""


class NotSentError(DispatchError):
    """The request was not sent, so the server did not receive any of it."""


class SendRefusedError(NotSentError):
    """The check immediately before the send did not allow it."""


class AnswerLostError(DispatchError):
    """The request was sent, but no complete answer was received."""


class AnswerTimeoutError(AnswerLostError):
    """The request was sent, but no complete answer was received before the deadline."""


class AnswerMismatchError(AnswerLostError):
    """The answer that was received belongs to another request."""


class AnswerMalformedError(AnswerLostError):
    """The bytes that were received are no HTTP answer, or one with a status without a meaning."""


class AnswerTooLargeError(AnswerLostError):
    """The body of the answer exceeds the limit."""
