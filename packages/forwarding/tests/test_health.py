"""Guard against a hanging backend server that is rated as only slightly slow.

A late attempt is cancelled as soon as its hedge wins, so only a lower bound of its
latency is known, and averages of such bounds stay close to the typical latency.
"""

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
from fireflyrack.forwarding.health import LATE_BURST_S, LATE_HALF_LIFE_S
from fireflyrack.forwarding.state import CallerDisconnected

SERVERS = tuple(server("s", number) for number in range(3))
# Time between two requests of one instance of a large fleet to a backend server.
INTERVAL_S = 0.45


def select(fleet: FleetHealth, at: float) -> str:
    selection_context = SelectionContext("d0", random.Random(1))
    return select_server(
        selection_context, SERVERS, fleet, open_availability(), 100, frozenset(), at
    ).server.id


def make_fleet() -> FleetHealth:
    fleet = FleetHealth(BudgetLimits(0.2, 50, 10.0))
    for known in SERVERS:
        fleet.record_incarnation(known.id, 0, 0.0)
    return fleet


def test_a_local_server_with_late_attempts_loses_to_a_remote_one():
    """Guards against instances that keep sending first attempts to a hanging server."""
    fleet = make_fleet()
    health = fleet.server("s-0")
    health.record_lateness(True, sent_at=1.0, at=1.04)
    assert select(fleet, at=1.1) == "s-0", "one late attempt may be a short pause"
    health.record_lateness(True, sent_at=1.0 + INTERVAL_S, at=1.5)
    assert select(fleet, at=1.6) != "s-0"
    assert select(fleet, at=1.6 + 4 * LATE_HALF_LIFE_S) == "s-0"


def test_late_attempts_in_one_short_pause_count_once():
    """Guards against a server that is avoided for seconds after each short pause."""
    fleet = make_fleet()
    health = fleet.server("s-0")
    for number in range(5):
        health.record_lateness(True, 1.0 + number * LATE_BURST_S / 6, 1.2)
    assert select(fleet, at=1.25) == "s-0"


def test_timely_responses_restore_a_server():
    """Guards against a recovered server that gets no more attempts."""
    fleet = make_fleet()
    health = fleet.server("s-0")
    for number in range(4):
        health.record_lateness(True, number * INTERVAL_S, number * INTERVAL_S + 0.04)
    assert select(fleet, at=1.5) != "s-0"
    for number in range(3):
        health.record_lateness(False, 1.5 + number / 10, 1.51 + number / 10)
    assert select(fleet, at=1.8) == "s-0"


def test_late_attempts_reported_by_two_peers_count():
    """Guards against each instance having to observe late attempts itself."""
    fleet = make_fleet()
    report = ServerReport("s-0", 0, 1.0, 0.0, 0.8)
    fleet.apply_report("p1", report, 1.0)
    assert select(fleet, at=1.0) == "s-0", "one peer may have a faulty link"
    fleet.apply_report("p2", report, 1.0)
    assert select(fleet, at=1.0) != "s-0"


def cancelled_by_the_hedge(case: Case) -> None:
    (first,) = case.start()
    (hedge,) = case.fire_timer(0.05)
    case.end(hedge, completed(), at=0.06)
    assert case.cancelled == [first.id]


def test_an_attempt_cancelled_by_its_hedge_counts_as_late():
    """Guards against an unresponsive server that never yields a latency sample."""
    case = Case()
    cancelled_by_the_hedge(case)
    assert case.fleet.server("s-0").late_rate > 0
    assert case.fleet.server("s-1").late_rate == 0


def test_an_overloaded_instance_records_no_late_or_slow_server():
    """Guards against an overloaded instance that rates all servers as slow."""
    case = Case()
    (first,) = case.start()
    case.overloaded = True
    case.end(first, completed(), at=0.9)
    other = Case()
    (first,) = other.start()
    other.overloaded = True
    other.fire_timer(1.0)
    for each in (case, other):
        health = each.fleet.server("s-0")
        assert (health.late_rate, health.latency_ratio) == (0, 1)


def test_an_attempt_cancelled_early_does_not_count_as_late():
    """Guards against an early caller disconnect that counts as a late attempt."""
    case = Case(shards=2)
    case.start()
    case.feed(CallerDisconnected(0.001))
    assert case.fleet.server("s0-0").late_rate_at < 0


def test_two_late_attempts_are_reported_to_peers():
    """Guards against each instance having to detect the same slow server itself."""
    fleet = make_fleet()
    health = fleet.server("s-0")
    health.record_lateness(True, 1.0, 1.04)
    fleet.mark_for_report("s-0", 1.04)
    assert fleet.drain_reports(1.04) == ()
    health.record_lateness(True, 1.0 + INTERVAL_S, 1.5)
    fleet.mark_for_report("s-0", 1.5)
    (report,) = fleet.drain_reports(1.5)
    assert report.late_rate > 0.5
