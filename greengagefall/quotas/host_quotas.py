"""What an entry host does for quotas: limiter role, fallback of its zone, and its own gate."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from greengagefall.protocol.gateway_messages import QuotaGranted
from greengagefall.quotas.fallback import ZoneFallback
from greengagefall.quotas.gate import QuotaGate
from greengagefall.quotas.limited import LimitedWorkspaces
from greengagefall.quotas.limiter import LimiterRole
from greengagefall.utils.metrics import count

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from greengagefall.gateway.model import OperatorLimits
    from greengagefall.gateway.view import ClusterView
    from greengagefall.protocol.gateway_messages import BeatReply, HostBeat, QuotaPermits
    from greengagefall.utils.clock import Clock

NOT_COUNTING = QuotaGranted(0, responsible=False, granted=0, retry_after_ms=0)


class HostQuotas:
    """Connects the parts to heartbeats, to calls of other hosts and to the cluster view.

    Args:
        view: Cluster view of this host.
        call: Calls a host, as ``Peers.call``.
        clock: Clock that counts suspended time.

    Attributes:
        gate: Asks for the permits of this host's requests.
    """

    def __init__(
        self,
        view: ClusterView,
        call: Callable[[str, Any, float], Awaitable[Any]],
        clock: Clock,
    ) -> None:
        settings = view.settings
        self._view = view
        self._limited = LimitedWorkspaces(view)
        self._limiter = LimiterRole(self._operator_limits, clock)
        self._fallback = ZoneFallback(settings.host, settings.zone, self._operator_limits, clock)
        self._limiters: dict[str, str] = {}
        self._token = ""
        self._version = 0
        self._started = False
        self._known: tuple[Any, Any] = ({}, {})
        self.gate = QuotaGate(call, self._limiters.get, self._fallback.host_for, clock)

    def start(self) -> None:
        """Follows changes of hosts and configuration."""
        self._started = True
        self._view.add_listener(self._on_change)
        self._on_change()

    def close(self) -> None:
        """Stops following changes and ends the calls of the gate."""
        if self._started:
            self._started = False
            self._view.remove_listener(self._on_change)
        self.gate.close()

    def return_roles(self) -> None:
        """Gives up the limiter roles before the heartbeat that announces the stop."""
        self._limiter.return_all()

    def limiters(self) -> dict[str, str]:
        """Returns the limiter of each workspace that this host knows of."""
        return dict(self._limiters)

    def add_roles(self, sent_s: float, beat: HostBeat, coordinator: str) -> HostBeat:
        """Returns a heartbeat with the limiter roles of this host added.

        Args:
            sent_s: When it is sent.
            beat: The heartbeat.
            coordinator: Host to which it is sent.
        """
        if not self._limited.current():
            return beat
        roles = self._limiter.begin_heartbeat(sent_s)
        if not self._view.reads_quotas(coordinator):
            return beat
        return beat._replace(
            quota_token=self._token, quota_version=self._version, quota_roles=roles
        )

    def on_reply(self, sent_s: float, reply: BeatReply) -> None:
        """Takes the leases and limiters of the coordinator's reply."""
        if not reply.quota_token:
            return
        self._token = reply.quota_token
        limited = self._limited.current()
        self._limiter.on_reply(sent_s, reply.quota_roles, reply.quota_lease_ms, limited)
        if reply.quota_limiters is None:
            return
        self._version = reply.quota_version
        self._limiters.clear()
        for host, names in reply.quota_limiters.items():
            self._limiters.update(dict.fromkeys(names, host))

    def on_permits(self, message: QuotaPermits) -> QuotaGranted:
        """Grants permits as limiter or as fallback host of the zone."""
        workspace = self._limited.current().get(message.workspace)
        if workspace is None:
            return NOT_COUNTING
        role = "fallback" if message.fallback else "limiter"
        if message.fallback:
            grant = self._fallback.grant(workspace, message.needed)
        else:
            grant = self._limiter.grant(workspace, message.needed, message.expected)
        if grant is None:
            count("quota_calls", role=role, result="not_responsible")
            return NOT_COUNTING
        count("quota_calls", role=role, result="granted" if grant.granted else "none_left")
        count("quota_permits", grant.granted, role=role)
        return QuotaGranted(0, True, grant.granted, grant.retry_after_ms)

    def _operator_limits(self) -> OperatorLimits:
        return self._view.settings.limits

    def _on_change(self) -> None:
        """Chooses the fallback hosts again if hosts or limited workspaces changed."""
        limited = self._limited.current()
        hosts = self._view.hosts
        if (limited, hosts) == self._known:
            return
        self._known = (dict(limited), dict(hosts))
        self._fallback.update(limited, hosts)
        self.gate.keep(limited)
