"""Tests parsing and validating callers' requests."""

from __future__ import annotations

import unittest

from result import Err
from tornado.httputil import HTTPHeaders, HTTPServerRequest

from greengagefall.entry.request import read_request
from greengagefall.protocol import refusals
from greengagefall.routing.parse import parse_config

DOCUMENT = {
    "version": 1,
    "zones": {"a": {"state": "in"}},
    "back_ends": {
        "proofdesk": {
            "kind": "keyed",
            "classes": [
                {"name": "read", "methods": ["GET"], "path_prefix": "/proofs", "repeatable": True}
            ],
            "servers": {"p1": {"address": "127.0.0.1:9001", "zone": "a", "slots": 6}},
        },
        "benchline": {
            "kind": "pooled",
            "servers": {"b1": {"address": "127.0.0.1:9002", "zone": "a", "slots": 6}},
        },
    },
    "limits": {"body_bytes": 100, "key_bytes": 10, "header_bytes": 400, "timeout_ms": 5000},
}
CONFIG = parse_config(DOCUMENT).ok_value


def read(uri, method="GET", headers=None, body=b""):
    request = HTTPServerRequest(
        method=method, uri=uri, headers=HTTPHeaders(headers or {}), body=body, host="h"
    )
    request.remote_ip = "127.0.0.9"
    return read_request(request, CONFIG)


class RequestTests(unittest.TestCase):
    def test_keyed_path(self):
        request = read("/proofdesk/order-7/proofs/3?size=2").ok_value
        self.assertEqual(request.key, "order-7")
        self.assertEqual(request.path, "/order-7/proofs/3?size=2")
        self.assertEqual(request.request_class.name, "read")
        self.assertEqual(request.caller, "127.0.0.9")
        self.assertEqual(request.timeout_ms, 2000)

    def test_pooled_path(self):
        request = read("/benchline/engrave/9", "POST").ok_value
        self.assertEqual((request.key, request.path), ("", "/engrave/9"))
        self.assertFalse(request.request_class.repeatable)

    def test_headers_select_back_end_and_key(self):
        request = read("/any/path", headers={"X-Back-End": "proofdesk", "X-Key": "k"}).ok_value
        self.assertEqual((request.key, request.path), ("k", "/any/path"))

    def test_request_without_matching_class_is_not_repeatable(self):
        self.assertFalse(read("/proofdesk/k/other").ok_value.request_class.repeatable)

    def test_fence_headers_of_callers_are_not_forwarded(self):
        headers = {"X-Dispatch-Fence": "9", "X-Slice": "1", "Accept": "text/plain"}
        names = [name for name, _ in read("/benchline/", headers=headers).ok_value.headers]
        self.assertEqual(names, ["Accept"])

    def test_control_interface_of_servers_is_unreachable(self):
        headers = {"X-Back-End": "benchline"}
        for uri, request_headers in [
            ("/proofdesk/.server/grant", {}),
            ("/benchline/.server/grant", {}),
            ("/benchline/%2Eserver/grant", {}),
            ("/benchline/a/..%2F.SERVER/grant", {}),
            ("/benchline//./.server/grant", {}),
            ("/proofdesk/k/../../orders", {}),
            ("/.server/grant", headers),
            ("http://h/.server/grant", headers),
            ("http://h/orders", headers),
        ]:
            with self.subTest(uri=uri):
                self.assertEqual(
                    read(uri, "PUT", request_headers).err_value.reason, refusals.BAD_PATH
                )
        self.assertEqual(read("/benchline/v1.2/..a?x=../.server").ok_value.path[:5], "/v1.2")

    def test_invalid_requests_are_refused(self):
        cases = [
            ("/", {}, b"", refusals.BAD_PATH),
            ("/proofdesk", {}, b"", refusals.BAD_PATH),
            ("/proofdesk//x", {}, b"", refusals.BAD_PATH),
            ("/nothing/k", {}, b"", refusals.UNKNOWN_BACK_END),
            ("/proofdesk/" + "k" * 11, {}, b"", refusals.KEY_TOO_LONG),
            ("/benchline/", {"X-Timeout-Ms": "soon"}, b"", refusals.BAD_TIMEOUT),
            ("/benchline/", {"X-Timeout-Ms": "0"}, b"", refusals.BAD_TIMEOUT),
            ("/benchline/", {"X-Timeout-Ms": "5001"}, b"", refusals.BAD_TIMEOUT),
            ("/benchline/", {"X-Request-Id": "x" * 129}, b"", refusals.BAD_REQUEST_ID),
            ("/benchline/", {}, b"x" * 101, refusals.BODY_TOO_LARGE),
            ("/benchline/", {"X-Long": "y" * 500}, b"", refusals.HEADERS_TOO_LARGE),
            ("/any", {"X-Back-End": "proofdesk"}, b"", refusals.BAD_PATH),
        ]
        for uri, headers, body, reason in cases:
            with self.subTest(uri=uri, reason=reason):
                outcome = read(uri, "POST", headers, body)
                self.assertIsInstance(outcome, Err)
                self.assertEqual(outcome.err_value.reason, reason)
