"""Guard against observations of one instance that its peers do not use."""

from __future__ import annotations

import random

from forwarding_cases import Case, completed, open_availability, server

from fireflyrack.forwarding import (
    BudgetLimits,
    FleetHealth,
    SelectionContext,
    ServerReport,
)
from fireflyrack.forwarding.choice import select_server
from fireflyrack.forwarding.reports import REPORT_TTL_S

SERVERS = tuple(server("s", number) for number in range(3))
SLOW = ServerReport("s-0", 0, 8.0, 0.0)
FAILING = ServerReport("s-0", 0, 1.0, 0.9)


def fleet() -> FleetHealth:
    fleet = FleetHealth(BudgetLimits(0.2, 50, 10.0))
    for known in SERVERS:
        fleet.record_incarnation(known.id, 0, 0.0)
    return fleet


def select(fleet: FleetHealth, at: float = 1.0) -> str:
    selection_context = SelectionContext("d0", random.Random(1))
    return select_server(
        selection_context, SERVERS, fleet, open_availability(), 100, frozenset(), at
    ).server.id


def test_a_server_reported_by_two_peers_is_avoided():
    """Guards against each instance of a large fleet detecting a slow server alone."""
    for report in (SLOW, FAILING):
        known = fleet()
        known.apply_report("p1", report, 1.0)
        assert select(known) == "s-0", "one peer may have a faulty link"
        known.apply_report("p2", report, 1.0)
        assert select(known) != "s-0"


def test_reports_count_up_to_the_value_two_instances_agree_on():
    """Guards against one outlier that decides alone, and reports without effect."""
    known = fleet()
    health = known.server("s-0")
    health.record_latency_ratio(6.0, 1.0)
    own = health.combined_latency_ratio(1.0)
    known.apply_report("p1", SLOW, 1.0)
    assert health.combined_latency_ratio(1.0) == own
    known.apply_report("p2", ServerReport("s-0", 0, 5.0, 0.0), 1.0)
    assert health.combined_latency_ratio(1.0) == 5.0 > own


def test_reports_decay_with_age_and_expire():
    """Guards against a server that is avoided forever."""
    known = fleet()
    for peer in ("p1", "p2"):
        known.apply_report(peer, SLOW, 1.0)
    assert select(known, at=1.0 + REPORT_TTL_S) == "s-0"
    known.apply_report("p3", FAILING, 2.0 + REPORT_TTL_S)
    assert set(known.server("s-0").peer_reports) == {"p3"}


def test_reports_on_another_incarnation_are_ignored():
    """Guards against rating a restarted or unknown server by outdated reports."""
    known = fleet()
    known.record_incarnation("s-0", 7, 0.0)
    for peer in ("p1", "p2"):
        known.apply_report(peer, SLOW, 1.0)
        known.apply_report(peer, ServerReport("unknown", 0, 8.0, 0.0), 1.0)
    assert select(known) == "s-0"
    assert "unknown" not in known.servers


def test_only_own_observations_above_a_threshold_are_reported_once():
    """Guards against reports on healthy servers, and reports that peers echo."""
    case = Case()
    case.fleet.record_incarnation("s-0", 0, 0.0)
    (first,) = case.start()
    case.end(first, completed(), at=0.02)
    assert case.fleet.drain_reports(0.02) == ()
    slow = Case()
    slow.fleet.route("r", 0.1).estimate.record(0.01)
    (first,) = slow.start()
    slow.end(first, completed(), at=0.9)
    (report,) = slow.fleet.drain_reports(0.9)
    assert report.server == first.server.id and report.latency_ratio > 2
    assert slow.fleet.drain_reports(0.9) == ()
    slow.fleet.apply_report("p1", report, 0.9)
    assert slow.fleet.drain_reports(0.9) == ()
