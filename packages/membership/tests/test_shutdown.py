"""Guard against a shutdown that cuts requests off or never ends."""

from __future__ import annotations

from fireflyrack.membership import MembershipSettings
from fireflyrack.membership.shutdown import (
    PROPAGATION_S,
    Drain,
    Exit,
    HandOver,
    LeaveRoster,
    Phase,
    PhaseEnded,
    ReleaseServers,
    ShutdownState,
    StopRequested,
    TimePassed,
    WithdrawAddress,
    decide,
)

SETTINGS = MembershipSettings(list_url="http://127.0.0.1:1", address_ttl_s=5.0)


def request_stop(at=10.0):
    return decide(StopRequested(at), ShutdownState(SETTINGS))


def test_serves_until_every_address_has_lapsed():
    decision = request_stop()
    until = 10.0 + PROPAGATION_S + 5.0
    assert decision.actions == (WithdrawAddress(until),)
    assert decide(TimePassed(until - 0.1), decision.state).actions == ()
    assert decide(TimePassed(until), decision.state).actions == (ReleaseServers(),)


def test_second_signal_ends_only_the_wait_for_addresses():
    released = decide(StopRequested(10.5), request_stop().state)
    assert released.actions == (ReleaseServers(),)
    assert decide(StopRequested(10.6), released.state).actions == ()


def test_phases_follow_in_order_and_late_events_change_nothing():
    state = decide(StopRequested(10.5), request_stop().state).state
    for phase, action in (
        (Phase.RELEASING, HandOver()),
        (Phase.HANDING_OVER, Drain(SETTINGS.drain_s)),
        (Phase.DRAINING, LeaveRoster()),
        (Phase.LEAVING, Exit()),
    ):
        decision = decide(PhaseEnded(11.0, phase), state)
        assert decision.actions == (action,)
        state = decision.state
        assert decide(PhaseEnded(11.0, phase), state).actions == ()
    assert state.phase is Phase.STOPPED
