"""Tests of limiter roles: the coordinator's decisions, leases and the fallback's share."""

from __future__ import annotations

import logging
import unittest
from unittest import mock

from greengagefall.gateway.model import EMPTY_ROUTING_TABLE, OperatorLimits, PlatformSettings
from greengagefall.gateway.view import ClusterView, HostRecord
from greengagefall.ownership.model import HostIncarnation
from greengagefall.protocol.codec import encode
from greengagefall.protocol.gateway_messages import BeatReply, HostBeat
from greengagefall.quotas import arithmetic, role_planner
from greengagefall.quotas.fallback import ZoneFallback
from greengagefall.quotas.host_quotas import HostQuotas
from greengagefall.quotas.limited import LimitedWorkspaces
from greengagefall.quotas.limiter import LimiterRole
from greengagefall.quotas.role_planner import RolePlanner
from greengagefall.utils.clock import ManualClock
from greengagefall.workspaces.directory import Workspace, WorkspaceDirectory

LIMITS = OperatorLimits()
W = Workspace("w", rate_per_s=20.0, burst=30.0)
REPLY = BeatReply(0, 1, 0)
LEASE_S = role_planner.LIMITER_LEASE_S


def record(host, zone="a", start_ms=1, *, reads_kinds=True):
    return HostRecord(host, start_ms, "", zone, 1.0, reads_kinds=reads_kinds)


def make_view(clock, workspaces=(W,)):
    settings = PlatformSettings("h0", "a", "", "", "", "", 1.0, 2.0, 10.0, 1.0, LIMITS)
    view = ClusterView(settings, HostIncarnation("h0", 1), clock)
    view.hosts = {"h0": record("h0"), "h1": record("h1")}
    directory = WorkspaceDirectory(workspaces)
    view.update_routing_table(EMPTY_ROUTING_TABLE._replace(version=1, workspaces=directory))
    return view


class PlannerTests(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.clock = ManualClock(100.0)
        self.view = make_view(self.clock)
        self.age_s = 0.0
        self.planner = self.new_planner()

    def new_planner(self):
        limited = LimitedWorkspaces(self.view)
        return RolePlanner(self.view, limited, self.clock, lambda: self.age_s)

    def beat(self, host, token="", roles=(), start_ms=1, *, stopping=False):
        beat = HostBeat(
            0, host, start_ms, 1, stopping, [], [], quota_token=token, quota_roles=roles
        )
        return self.planner.add_roles(beat, REPLY)

    def settle(self):
        """Has both hosts report; returns the holder and the coordinator's token."""
        self.clock.advance(role_planner.MOVE_VALIDITY_S + 0.1)
        token = self.beat("h0").quota_token
        self.beat("h1", token)
        self.beat("h0", token)
        replies = {host: self.beat(host, token) for host in ("h0", "h1")}
        (holder,) = [host for host, reply in replies.items() if reply.quota_roles]
        return holder, "h1" if holder == "h0" else "h0", token

    def test_new_coordinator_gives_no_role_before_all_hosts_reported(self):
        """Guards against a second limiter beside that of a former coordinator."""
        self.assertEqual(self.beat("h0"), REPLY)
        self.clock.advance(role_planner.MOVE_VALIDITY_S + 0.1)
        token = self.beat("h0").quota_token
        self.assertEqual(self.beat("h0", token).quota_roles, ())
        self.clock.advance(role_planner.ROLE_VALIDITY_S)
        self.assertEqual(self.beat("h0", token).quota_roles, ("w",))

    def test_report_without_the_token_does_not_count(self):
        """Guards against a heartbeat from before the wait, which may lack a newer role."""
        self.clock.advance(role_planner.MOVE_VALIDITY_S + 0.1)
        for _ in range(2):
            replies = [self.beat("h0"), self.beat("h1", "token of another coordinator")]
        self.assertEqual([reply.quota_roles for reply in replies], [(), ()])

    def test_reported_role_stays_with_its_holder(self):
        """Guards against a gap, and an empty bucket, after each change of the coordinator."""
        for holder in ("h0", "h1"):
            self.planner = self.new_planner()
            self.clock.advance(role_planner.MOVE_VALIDITY_S + 0.1)
            token = self.beat(holder, roles=("w",)).quota_token
            self.assertEqual(self.beat(holder, token, ("w",)).quota_roles, ("w",))

    def test_role_moves_only_after_the_lease_of_a_silent_holder(self):
        """Guards against two limiters while the former one cannot be reached."""
        holder, other, token = self.settle()
        self.clock.advance(LEASE_S - 0.1)
        self.assertEqual(self.beat(other, token).quota_roles, ())
        self.clock.advance(0.2)
        self.assertEqual(self.beat(other, token).quota_roles, ("w",))
        self.assertEqual(self.beat(holder, token, ("w",)).quota_roles, ())

    def test_coordinators_host_passes_its_roles_on(self):
        """Guards against roles that are lost together with the coordinator."""
        self.clock.advance(role_planner.MOVE_VALIDITY_S + 0.1)
        token = self.beat("h0").quota_token
        self.assertEqual(self.beat("h0", token, ("w",)).quota_roles, ("w",))
        self.beat("h1", token)
        self.assertEqual(self.beat("h0", token, ("w",)).quota_roles, ())
        self.clock.advance(LEASE_S + 0.1)
        self.assertEqual(self.beat("h1", token).quota_roles, ("w",))

    def test_adopted_role_is_renewed_once_before_it_is_passed_on(self):
        """Guards against a gap from the end of the former lease to its latest possible end."""
        self.clock.advance(role_planner.MOVE_VALIDITY_S + 0.1)
        token = self.beat("h1").quota_token
        self.beat("h1", token)
        self.assertEqual(self.beat("h0", token, ("w",)).quota_roles, ("w",))
        self.assertEqual(self.beat("h0", token, ("w",)).quota_roles, ())

    def test_returned_role_and_ended_process_are_replaced_at_once(self):
        """Guards against a workspace without limiter for a lease after a stop or restart."""
        holder, other, token = self.settle()
        self.beat(holder, token, stopping=True)
        self.assertEqual(self.beat(other, token).quota_roles, ("w",))
        self.beat(holder, token, start_ms=2)
        self.beat(other, start_ms=2)
        self.assertEqual(self.beat(holder, token, start_ms=2).quota_roles, ("w",))

    def test_coordinator_with_old_verification_renews_but_moves_nothing(self):
        """Guards against new holders beside those of the next coordinator, and endless leases."""
        holder, other, token = self.settle()
        self.age_s = role_planner.MOVE_VALIDITY_S
        self.assertEqual(self.beat(holder, token).quota_roles, ())
        self.assertEqual(self.beat(holder, token, ("w",)).quota_roles, ("w",))
        self.beat(holder, token, stopping=True)
        self.assertEqual(self.beat(other, token).quota_roles, ())
        self.age_s = role_planner.ROLE_VALIDITY_S - 1.0
        self.assertLessEqual(self.beat(other, token, ("w",)).quota_lease_ms, 1000)
        self.age_s = role_planner.ROLE_VALIDITY_S
        self.assertEqual(self.beat(other, token, ("w",)), REPLY)

    def test_limiter_of_a_workspace_that_is_limited_again_is_named_again(self):
        """Guards against hosts that use the fallback for good although there is a limiter."""

        def limit(*workspaces):
            table = self.view.routing_table
            self.view.update_routing_table(
                table._replace(version=table.version + 1, workspaces=WorkspaceDirectory(workspaces))
            )

        holder, other, token = self.settle()
        before = self.beat(other, token)
        limit(W._replace(name="x"))
        for host in (holder, other, holder):
            between = self.beat(host, token)
        self.assertNotIn("w", between.quota_limiters[holder])
        self.assertGreater(between.quota_version, before.quota_version)
        limit(W)
        known = HostBeat(
            0, other, 1, 1, False, [], [], quota_token=token, quota_version=between.quota_version
        )
        self.assertEqual(self.planner.add_roles(known, REPLY).quota_limiters, {holder: ["w"]})

    def test_configuration_without_limits_adds_no_bytes(self):
        """Guards against a cost for deployments without quotas, or once they have no more."""
        view = make_view(self.clock, (Workspace("free"),))
        quotas = HostQuotas(view, None, self.clock)
        quotas.on_reply(99.0, REPLY._replace(quota_token="of an earlier configuration"))
        beat = HostBeat(0, "h0", 1, 1, False, [], [])
        self.assertEqual(encode(quotas.add_roles(100.0, beat, "h1")), encode(beat))
        quotas.gate._states["former"] = mock.Mock(task=None)
        quotas.start()
        self.assertEqual(quotas.gate._states, {})
        planner = RolePlanner(view, LimitedWorkspaces(view), self.clock, lambda: 0.0)
        self.clock.advance(100.0)
        self.assertEqual(encode(planner.add_roles(beat, REPLY)), encode(REPLY))


class EarlierVersionTests(unittest.TestCase):
    """Guard against links closed by hosts that take messages on quotas as malformed."""

    def setUp(self):
        self.clock = ManualClock(100.0)
        self.view = make_view(self.clock)
        self.view.hosts["h1"] = record("h1", reads_kinds=False)

    def test_heartbeat_to_an_earlier_coordinator_has_no_roles(self):
        quotas = HostQuotas(self.view, None, self.clock)
        beat = HostBeat(0, "h0", 1, 1, False, [], [])
        quotas.on_reply(99.0, REPLY._replace(quota_token="of a coordinator of this version"))
        self.assertEqual(quotas.add_roles(100.0, beat, "h1"), beat)
        self.assertNotEqual(quotas.add_roles(100.0, beat, "h0"), beat)

    def test_reply_to_an_earlier_host_has_no_roles(self):
        planner = RolePlanner(self.view, LimitedWorkspaces(self.view), self.clock, lambda: 0.0)
        self.clock.advance(role_planner.MOVE_VALIDITY_S + 0.1)
        replies = {
            host: planner.add_roles(HostBeat(0, host, 1, 1, False, [], []), REPLY)
            for host in ("h0", "h1")
        }
        self.assertNotEqual(replies["h0"], REPLY)
        self.assertEqual(replies["h1"], REPLY)

    def test_earlier_host_is_not_asked_as_fallback(self):
        fallback = ZoneFallback("h0", "a", lambda: LIMITS, self.clock)
        names = [f"w{number}" for number in range(20)]
        fallback.update(names, self.view.hosts)
        self.assertEqual({fallback.host_for(name) for name in names}, {"h0"})


class LimiterTests(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock(100.0)
        self.limits = LIMITS
        self.limiter = LimiterRole(lambda: self.limits, self.clock)

    def renew(self, delay_s=0.0):
        sent_s = self.clock.now_s()
        self.limiter.begin_heartbeat(sent_s)
        self.clock.advance(delay_s)
        self.limiter.on_reply(sent_s, ["w"], int(LEASE_S * 1000), {"w": W})

    def test_lease_counts_from_the_sending_of_the_heartbeat(self):
        """Guards against a lease that the coordinator takes for expired."""
        self.renew(delay_s=1.0)
        self.clock.advance(LEASE_S - 1.0)
        self.assertIsNone(self.limiter.grant(W, 1, 0))

    def test_bucket_starts_empty_and_is_kept_by_renewals_only(self):
        """Guards against the burst being granted twice by two limiters in turn."""
        self.renew()
        self.assertEqual(self.limiter.grant(W, 50, 0).granted, 0)
        self.clock.advance(LEASE_S - 0.5)
        self.renew()
        self.clock.advance(0.4)
        self.assertGreater(self.limiter.grant(W, 30, 0).granted, 20)
        self.clock.advance(LEASE_S)
        self.renew()
        self.assertEqual(self.limiter.grant(W, 1, 0).granted, 0)

    def test_lowered_limit_drops_tokens_at_once(self):
        """Guards against the former burst being granted under the new limit."""
        self.renew()
        self.clock.advance(LEASE_S - 0.1)
        lowered = Workspace("w", rate_per_s=1.0, burst=2.0)
        shape = arithmetic.limiter_shape(lowered, LIMITS)
        self.assertLessEqual(self.limiter.grant(lowered, 100, 0).granted, shape.capacity)

    def test_changed_limits_of_the_operators_apply_to_a_held_role(self):
        """Guards against a tolerance that operators lowered while the host runs."""
        self.renew()
        self.clock.advance(LEASE_S - 0.1)
        self.limits = LIMITS._replace(quota_overage_ratio=0.0, quota_extra_requests=0.0)
        shape = arithmetic.limiter_shape(W, self.limits)
        self.assertLessEqual(self.limiter.grant(W, 100, 0).granted, shape.capacity)

    def test_reply_to_an_earlier_heartbeat_or_after_the_return_is_ignored(self):
        """Guards against a role that a later heartbeat reported as not held."""
        self.limiter.begin_heartbeat(99.0)
        self.limiter.begin_heartbeat(100.0)
        self.limiter.on_reply(99.0, ["w"], 4000, {"w": W})
        self.assertIsNone(self.limiter.grant(W, 1, 0))
        self.limiter.return_all()
        self.renew()
        self.assertIsNone(self.limiter.grant(W, 1, 0))

    def test_shares_keep_the_bound_for_any_limit(self):
        """Guards against shares of limiter and fallback hosts that exceed the bound together."""
        window_s = arithmetic.grant_window_s(LIMITS)
        for rate_per_s in (0.1, 1.0, 30.0, 80.0, 1000.0):
            for burst in (0.0, 1.0, 50.0):
                workspace = Workspace("w", None, rate_per_s, burst)
                shape = arithmetic.limiter_shape(workspace, LIMITS)
                share = arithmetic.fallback_permits(workspace, LIMITS, 3)
                total = shape.capacity + shape.rate_per_s * window_s + 2 * 4 * share
                self.assertLessEqual(total, arithmetic.bound(workspace, LIMITS) + 1e-6)
                self.assertGreaterEqual(shape.capacity, 1.0)


class FallbackTests(unittest.TestCase):
    def test_new_fallback_host_waits_one_window_and_keeps_its_share(self):
        """Guards against a share for each restart of a host or each change of the hosts."""
        clock = ManualClock(100.0)
        fallback = ZoneFallback("h0", "a", lambda: LIMITS, clock)
        fallback.update(["w"], {"h0": record("h0"), "other": record("other", "b")})
        window_s = arithmetic.grant_window_s(LIMITS)
        clock.advance(window_s - 0.1)
        self.assertIsNone(fallback.grant(W, 1))
        clock.advance(0.2)
        share = arithmetic.fallback_permits(W, LIMITS, 2)
        self.assertEqual(fallback.grant(W, 100).granted, share)
        clock.advance(window_s - 0.1)
        self.assertEqual(fallback.grant(W, 1).granted, 0)
        fallback.update(["w"], {"h1": record("h1")})
        self.assertIsNone(fallback.grant(W, 1))
