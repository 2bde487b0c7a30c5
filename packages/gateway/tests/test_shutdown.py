from __future__ import annotations

from fireflyrack.gateway.shutdown import (
    CloseListeners,
    ConnectionsClosed,
    Exit,
    Phase,
    PhaseTimerFired,
    ShutdownState,
    StopRequested,
    Withdraw,
    decide,
)


def test_listeners_stay_open_until_callers_refresh_addresses():
    """Guards against refused connections from callers with an old address."""
    state = ShutdownState(grace_s=6.0)
    (withdraw,) = decide(StopRequested(10.0), state).actions
    assert isinstance(withdraw, Withdraw)
    # Callers use an address for up to three times its time to live of 1 s.
    assert withdraw.until >= 13.0
    (close,) = decide(PhaseTimerFired(withdraw.until), state).actions
    assert isinstance(close, CloseListeners)
    assert withdraw.until < close.until < 16.0


def test_process_exits_once_connections_are_closed():
    """Guards against exiting too early and against waiting for the timer."""
    state = ShutdownState(grace_s=6.0)
    decide(StopRequested(0.0), state)
    assert decide(ConnectionsClosed(1.0), state).actions == ()
    decide(PhaseTimerFired(4.0), state)
    assert decide(ConnectionsClosed(4.1), state).actions == (Exit(),)
    assert decide(PhaseTimerFired(5.6), state).actions == ()
    assert state.phase is Phase.EXITED


def test_repeated_stop_request_is_ignored():
    """Guards against a repeated signal that shortens the shutdown."""
    state = ShutdownState(grace_s=6.0)
    decide(StopRequested(0.0), state)
    assert decide(StopRequested(1.0), state).actions == ()
    assert state.requested_at == 0.0


def test_process_exits_before_the_grace_period_ends():
    """Guards against a process that is killed before it flushes its log."""
    state = ShutdownState(grace_s=6.0)
    decide(StopRequested(0.0), state)
    (close,) = decide(PhaseTimerFired(4.0), state).actions
    assert decide(PhaseTimerFired(close.until), state).actions == (Exit(),)
