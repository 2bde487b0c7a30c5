"""Guard against a shutdown that interrupts requests or never ends."""

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


def test_keeps_serving_until_all_addresses_have_expired():
    """Guards against callers that connect to an instance that already stopped."""
    decision = request_stop()
    until = 10.0 + PROPAGATION_S + 5.0
    assert decision.actions == (WithdrawAddress(until),)
    assert decide(TimePassed(until - 0.1), decision.state).actions == ()
    assert decide(TimePassed(until), decision.state).actions == (ReleaseServers(),)


def test_second_signal_skips_only_the_wait_for_addresses():
    """Guards against a repeated SIGTERM that interrupts requests in flight."""
    released = decide(StopRequested(10.5), request_stop().state)
    assert released.actions == (ReleaseServers(),)
    assert decide(StopRequested(10.6), released.state).actions == ()


def test_phases_run_in_order_and_duplicate_events_are_ignored():
    """Guards against a skipped phase, or one started twice by a late event."""
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
