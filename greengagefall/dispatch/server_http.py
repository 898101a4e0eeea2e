"""HTTP requests to a backend server and the meaning of its answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from greengagefall.dispatch.connection_pool import HttpAnswer, HttpRequest
from greengagefall.protocol.messages import Answer

if TYPE_CHECKING:
    from greengagefall.protocol.messages import Forward

REQUEST_ID_HEADER = "X-Request-Id"
TIMEOUT_HEADER = "X-Timeout-Ms"
SLICE_HEADER = "X-Slice"
SLICE_FENCE_HEADER = "X-Slice-Fence"
DISPATCH_FENCE_HEADER = "X-Dispatch-Fence"
NOT_RUN_HEADER = "X-Not-Run"
INCARNATION_HEADER = "X-Server-Incarnation"
HTTP_UNAVAILABLE = 503
MS_PER_S = 1000.0


def server_request(
    forward: Forward, remaining_s: float, dispatch_fence: int, slice_fence: int
) -> HttpRequest:
    """Returns the request for the backend server.

    Args:
        forward: The caller's request.
        remaining_s: Remaining time until its deadline.
        dispatch_fence: Fence of the dispatch right.
        slice_fence: Fence of the slice, 0 for a pooled back end.
    """
    headers = [
        *forward.headers,
        [REQUEST_ID_HEADER, forward.request_id],
        [TIMEOUT_HEADER, str(int(remaining_s * MS_PER_S))],
        [DISPATCH_FENCE_HEADER, str(dispatch_fence)],
    ]
    if forward.slice_id >= 0:
        headers.append([SLICE_HEADER, str(forward.slice_id)])
        headers.append([SLICE_FENCE_HEADER, str(slice_fence)])
    return HttpRequest(forward.method, forward.path, headers, forward.body, forward.request_id)


def answers_request(forward: Forward, answer: HttpAnswer) -> bool:
    """Returns whether an answer carries the id of the request."""
    return answer.headers.get(REQUEST_ID_HEADER) == forward.request_id


def not_run_reason(answer: HttpAnswer) -> str:
    """Returns the server's stated reason for not executing the request, empty without one."""
    if answer.status != HTTP_UNAVAILABLE:
        return ""
    return answer.headers.get(NOT_RUN_HEADER, "")


def answer_message(
    forward: Forward, answer: HttpAnswer, queue_length: int, latency_ms: float
) -> Answer:
    """Returns the answer message for the entry host that received the request."""
    headers = [[name, value] for name, value in answer.headers.get_all()]
    return Answer(
        forward.call_id,
        forward.request_id,
        answer.status,
        headers,
        answer.body,
        queue_length,
        latency_ms,
    )
