"""Matches requests to request classes."""

from __future__ import annotations

from greengagefall.routing.model import BackEnd, RequestClass

OTHER_CLASS = RequestClass("other", (), "/", repeatable=False, priority=0)


def match_class(back_end: BackEnd, method: str, path: str) -> RequestClass:
    """Returns the first class of ``back_end`` that matches, or ``OTHER_CLASS``.

    Args:
        back_end: The back end that the request goes to.
        method: Upper-case HTTP method.
        path: Path after the back end and key, starting with ``/``.
    """
    for request_class in back_end.classes:
        if request_class.methods and method not in request_class.methods:
            continue
        if path.startswith(request_class.path_prefix):
            return request_class
    return OTHER_CLASS
