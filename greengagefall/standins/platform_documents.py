"""Builds platform documents for tests: settings files, configurations and caller headers."""

from __future__ import annotations

from greengagefall.platform.requests import DEADLINE_HEADER, KEY_HEADER, REQUEST_ID_HEADER

HOST_NAME = "shop.example"


def routing(version: int, **changes) -> dict:
    """Returns a configuration of two services, one of them sharded by key.

    ``rules`` and ``max_body_bytes`` in ``changes`` replace the routing rules and the largest body.
    """
    rules = [
        rule("drafts", "/drafts/", "proofdesk", kind="safe", attempts=2),
        rule("approvals", "/approvals/", "proofdesk", kind="unsafe"),
        rule("orders", "/orders/", "benchline", kind="unsafe"),
    ]
    return {
        "version": f"{version:08x}",
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": changes.get("max_body_bytes", 1 << 20),
            "idleTimeoutS": 15,
        },
        "listeners": [{"hostname": HOST_NAME, "routingRules": changes.get("rules", rules)}],
        "clusters": [
            cluster("proofdesk", shardEnabled=True, warmS=5.0, grants="call"),
            cluster("benchline"),
        ],
        "aFieldOfLater": True,
    }


def rule(
    name: str, prefix: str, service: str, kind: str, attempts: int = 1, timeout_s: float = 2.0
) -> dict:
    """Returns a routing rule of a configuration."""
    action = {"service": service, "timeoutS": timeout_s, "attempts": attempts}
    return {
        "name": name,
        "kind": kind,
        "latencyGoalS": 0.6,
        "priority": 1,
        "match": {"prefix": prefix},
        "action": action,
    }


def cluster(name: str, **more) -> dict:
    """Returns a service of a configuration."""
    return {
        "name": name,
        "healthCheck": "/health",
        "maxConnections": 50,
        "warmupS": 3.0,
        "coldPerS": 8.2,
        **more,
    }


def settings_text(
    host: str, zone: str, ip: str, ports: tuple[int, int, int], store_address: str, grace_s: float
) -> str:
    """Returns the settings file of a host.

    Args:
        host: Name of the host.
        zone: Availability zone of the host.
        ip: IP address of the host.
        ports: Ports for callers, for the readiness check and for other hosts.
        store_address: ``IP:port`` of the store.
        grace_s: Time between the stop signal and the end of the process, in seconds.
    """
    fields = {
        "self.nodeName": host,
        "self.ip": ip,
        "self.zone": zone,
        "self.limits.cpuShare": "1",
        "self.limits.cpuCores": "1",
        "network.listen.frontend": f"{ip}:{ports[0]}",
        "network.listen.readiness": f"{ip}:{ports[1]}",
        "network.portRange": f"{ports[2]},{ports[2]}",
        "platform.heartbeatS": "0.5",
        "platform.platform.address": store_address,
        "platform.platform.retentionS": "20",
        "terms.bounds.gracePeriodS": str(grace_s),
    }
    return "".join(f"{name}={value}\n" for name, value in fields.items())


def caller_headers(request_id: str, deadline_ms: int, key: int | None) -> list[list[str]]:
    """Returns the headers of a caller's request; without a key header if ``key`` is None."""
    headers = [
        ["Host", HOST_NAME],
        [REQUEST_ID_HEADER, request_id],
        [DEADLINE_HEADER, str(deadline_ms)],
    ]
    if key is not None:
        headers.append([KEY_HEADER, str(key)])
    return headers
