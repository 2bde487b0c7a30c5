"""Guard against what one instance observes staying unknown to its peers."""

from __future__ import annotations

import random

from forwarding_cases import Case, completed, server

from fireflyrack.forwarding import (
    BudgetLimits,
    FleetHealth,
    SelectionContext,
    ServerReport,
)
from fireflyrack.forwarding.reports import REPORT_TTL_S
from fireflyrack.forwarding.selection import select_server

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
        selection_context, SERVERS, fleet, 100, frozenset(), at
    ).server.id


def test_a_server_that_two_peers_find_slow_or_failing_is_avoided():
    """Guards against each instance of a large fleet meeting a slow server itself."""
    for report in (SLOW, FAILING):
        known = fleet()
        known.apply_report("p1", report, 1.0)
        assert select(known) == "s-0", "one peer may see its own broken link"
        known.apply_report("p2", report, 1.0)
        assert select(known) != "s-0"


def test_reports_count_as_far_as_two_instances_agree():
    """Guards against one peer that exaggerates, and against reports of no effect."""
    known = fleet()
    health = known.server("s-0")
    health.record_latency_ratio(6.0, 1.0)
    own = health.combined_latency_ratio(1.0)
    known.apply_report("p1", SLOW, 1.0)
    assert health.combined_latency_ratio(1.0) == own
    known.apply_report("p2", ServerReport("s-0", 0, 5.0, 0.0), 1.0)
    assert health.combined_latency_ratio(1.0) == 5.0 > own


def test_reports_lose_weight_with_their_age():
    """Guards against a server that is avoided for ever."""
    known = fleet()
    for peer in ("p1", "p2"):
        known.apply_report(peer, SLOW, 1.0)
    assert select(known, at=1.0 + REPORT_TTL_S) == "s-0"
    known.apply_report("p3", FAILING, 2.0 + REPORT_TTL_S)
    assert set(known.server("s-0").peer_reports) == {"p3"}


def test_a_report_on_an_earlier_start_is_ignored():
    known = fleet()
    known.record_incarnation("s-0", 7, 0.0)
    for peer in ("p1", "p2"):
        known.apply_report(peer, SLOW, 1.0)
        known.apply_report(peer, ServerReport("unknown", 0, 8.0, 0.0), 1.0)
    assert select(known) == "s-0"
    assert "unknown" not in known.servers


def test_only_notable_observations_are_told_once_and_never_those_of_others():
    """Guards against messages about the usual, and against reports in a circle."""
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
