from __future__ import annotations

import random

import pytest
from forwarding_cases import open_availability, server

from fireflyrack.availability import Load
from fireflyrack.forwarding import (
    BudgetLimits,
    FleetHealth,
    Interrupted,
    NotConnected,
    SelectionContext,
)
from fireflyrack.forwarding.choice import select_server
from fireflyrack.forwarding.health import Observation, observe

SERVERS = tuple(server("s", number) for number in range(3))
SELECTION_CONTEXT = SelectionContext("d0", random.Random(1))
TYPICAL = Observation(1.0, 0.02, 0.02, 0.05)


def select(
    fleet: FleetHealth,
    at: float = 1.0,
    selection_context: SelectionContext = SELECTION_CONTEXT,
):
    return select_server(
        selection_context, SERVERS, fleet, open_availability(), 100, frozenset(), at
    ).server.id


def make_fleet() -> FleetHealth:
    return FleetHealth(BudgetLimits(0.2, 50, 10.0))


def test_the_local_server_is_selected_until_it_is_busy():
    """Guards against needless cross-domain traffic, and a queue on one server."""
    fleet = make_fleet()
    assert select(fleet) == "s-0"
    for number in range(8):
        fleet.server("s-0").start((1, number), 1.0, 1.0)
    assert select(fleet) != "s-0"


def test_a_slow_server_is_avoided_and_tried_again_later():
    """Guards against a straggler that dominates latency, or is never tried again."""
    fleet = make_fleet()
    for _ in range(5):
        fleet.server("s-0").record_latency_ratio(10.0, 1.0)
    assert select(fleet) != "s-0"
    assert select(fleet, at=30.0) == "s-0"


def test_failing_and_unreachable_servers_are_avoided():
    """Guards against a server that fails fast and therefore appears idle."""
    for outcome in (Interrupted("reset"), NotConnected("refused")):
        fleet = make_fleet()
        observe(outcome, fleet.server("s-0"), TYPICAL)
        assert select(fleet) != "s-0"


def test_an_unresponsive_server_is_avoided_before_its_attempts_time_out():
    """Guards against requests sent to a paused server throughout its pause."""
    fleet = make_fleet()
    fleet.server("s-0").start((1, 1), 1.0, 0.03)
    assert select(fleet, at=1.02) == "s-0"
    assert select(fleet, at=1.1) != "s-0"


def test_a_reported_load_counts_until_it_expires():
    """Guards against selecting a server whose queue other instances have filled."""
    fleet = make_fleet()
    health = fleet.server("s-0")
    health.load, health.load_at, health.own_in_flight_at_load = Load(2, 6, 2), 1.0, 0
    assert select(fleet, at=1.1) != "s-0"
    assert select(fleet, at=2.0) == "s-0"


def test_a_server_is_selected_even_if_all_are_failing():
    """Guards against ejecting the last replica of a shard."""
    fleet = make_fleet()
    for number in range(3):
        for _ in range(5):
            health = fleet.server(f"s-{number}")
            observe(Interrupted("reset"), health, TYPICAL)
    assert select(fleet) in {"s-0", "s-1", "s-2"}


def test_a_new_incarnation_resets_the_health_of_a_server():
    """Guards against a restarted server that is rated by its previous incarnation."""
    fleet = make_fleet()
    observe(NotConnected("refused"), fleet.server("s-0"), TYPICAL)
    fleet.record_incarnation("s-0", incarnation=7, cold_until=0.0)
    assert select(fleet) == "s-0"


def test_the_time_before_receipt_is_estimated():
    """Guards against a cutoff that is too late for callers on new connections."""
    route = make_fleet().route("r", 0.1)
    assert route.elapsed_before_receipt_s(0.3, None) == 0.0
    assert route.elapsed_before_receipt_s(0.3, 0.3) == 0.0
    assert route.elapsed_before_receipt_s(0.3, 0.28) == pytest.approx(0.02)
    assert route.elapsed_before_receipt_s(0.3, 0.1) == 0.0, (
        "an earlier attempt, or another caller"
    )
    # A route timeout that differs from the timeout of the caller is ignored.
    for timeout_s in (0.2, 0.9):
        assert route.elapsed_before_receipt_s(timeout_s, 0.28) == pytest.approx(0.02)


def test_a_hedge_is_sent_early_enough_to_return():
    """Guards against hedges whose result arrives after the cutoff."""
    route = make_fleet().route("r", 0.1)
    assert route.hedge_after_s(0.05) == route.hedge_delay_s
    for number in range(400):
        route.estimate.record(0.010 + 0.010 * (number % 10) / 9)
    typical_delay_s = route.hedge_delay_s
    assert route.hedge_after_s(1.0) == typical_delay_s
    assert route.hedge_after_s(0.040) < typical_delay_s
    assert route.hedge_after_s(0.0) >= 1.4 * route.typical_s
