"""Guard against a backend server that answers late looking only a little slow.

A late attempt is cancelled as soon as its hedge wins, so its latency is known only to
be longer than that: averages of such bounds stay close to the usual latency.
"""

from __future__ import annotations

import random

from forwarding_cases import Case, completed, server

from fireflyrack.forwarding import (
    BudgetLimits,
    FleetHealth,
    SelectionContext,
    ServerReport,
)
from fireflyrack.forwarding.health import LATE_BURST_S, LATE_HALF_LIFE_S
from fireflyrack.forwarding.selection import select_server
from fireflyrack.forwarding.state import CallerDisconnected

SERVERS = tuple(server("s", number) for number in range(3))
# Between two requests of one instance of a large fleet.
INTERVAL_S = 0.45


def select(fleet: FleetHealth, at: float) -> str:
    selection_context = SelectionContext("d0", random.Random(1))
    return select_server(
        selection_context, SERVERS, fleet, 100, frozenset(), at
    ).server.id


def fleet_of() -> FleetHealth:
    fleet = FleetHealth(BudgetLimits(0.2, 50, 10.0))
    for known in SERVERS:
        fleet.record_incarnation(known.id, 0, 0.0)
    return fleet


def test_a_near_server_whose_attempts_are_late_is_left_for_a_distant_one():
    """Guards against the first attempts of all instances at a server that hangs."""
    fleet = fleet_of()
    health = fleet.server("s-0")
    health.record_lateness(True, sent_at=1.0, at=1.04)
    assert select(fleet, at=1.1) == "s-0", "one late attempt may be a pause"
    health.record_lateness(True, sent_at=1.0 + INTERVAL_S, at=1.5)
    assert select(fleet, at=1.6) != "s-0"
    assert select(fleet, at=1.6 + 4 * LATE_HALF_LIFE_S) == "s-0"


def test_attempts_that_meet_one_short_pause_count_once():
    """Guards against a server that is left for seconds after each short pause."""
    fleet = fleet_of()
    health = fleet.server("s-0")
    for number in range(5):
        health.record_lateness(True, 1.0 + number * LATE_BURST_S / 6, 1.2)
    assert select(fleet, at=1.25) == "s-0"


def test_answers_in_time_bring_a_server_back():
    """Guards against a server that recovered and stays without work."""
    fleet = fleet_of()
    health = fleet.server("s-0")
    for number in range(4):
        health.record_lateness(True, number * INTERVAL_S, number * INTERVAL_S + 0.04)
    assert select(fleet, at=1.5) != "s-0"
    for number in range(3):
        health.record_lateness(False, 1.5 + number / 10, 1.51 + number / 10)
    assert select(fleet, at=1.8) == "s-0"


def test_late_attempts_that_two_peers_saw_count():
    """Guards against each instance waiting for late attempts of its own."""
    fleet = fleet_of()
    report = ServerReport("s-0", 0, 1.0, 0.0, 0.8)
    fleet.apply_report("p1", report, 1.0)
    assert select(fleet, at=1.0) == "s-0", "one peer may see its own broken link"
    fleet.apply_report("p2", report, 1.0)
    assert select(fleet, at=1.0) != "s-0"


def cancelled_by_the_hedge(case: Case) -> None:
    (first,) = case.start()
    (hedge,) = case.fire_timer(0.05)
    case.end(hedge, completed(), at=0.06)
    assert case.cancelled == [first.id]


def test_an_attempt_that_its_hedge_overtook_is_late():
    """Guards against a silent server that never gives a latency to average."""
    case = Case()
    cancelled_by_the_hedge(case)
    assert case.fleet.server("s-0").late_rate > 0
    assert case.fleet.server("s-1").late_rate == 0


def test_a_strained_instance_blames_no_server():
    """Guards against an instance without processor time that slanders all servers."""
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


def test_an_attempt_that_is_cancelled_early_says_nothing():
    """Guards against a caller that leaves at once making a server look late."""
    case = Case(shards=2)
    case.start()
    case.feed(CallerDisconnected(0.001))
    assert case.fleet.server("s0-0").late_rate_at < 0


def test_two_late_attempts_are_told_to_peers():
    """Guards against each instance of a failure domain paying for what one knows."""
    fleet = fleet_of()
    health = fleet.server("s-0")
    health.record_lateness(True, 1.0, 1.04)
    fleet.mark_for_report("s-0", 1.04)
    assert fleet.drain_reports(1.04) == ()
    health.record_lateness(True, 1.0 + INTERVAL_S, 1.5)
    fleet.mark_for_report("s-0", 1.5)
    (report,) = fleet.drain_reports(1.5)
    assert report.late_rate > 0.5
