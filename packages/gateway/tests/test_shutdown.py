from __future__ import annotations

from fireflyrack.gateway.shutdown import (
    CloseListeners,
    ConnectionsClosed,
    Exit,
    Phase,
    ShutdownState,
    StopRequested,
    TimePassed,
    Withdraw,
    decide,
)


def test_callers_have_time_to_learn_other_addresses():
    """Guards against requests on old addresses that meet a closed port."""
    state = ShutdownState(grace_s=6.0)
    (withdraw,) = decide(StopRequested(10.0), state).actions
    assert isinstance(withdraw, Withdraw)
    # Callers keep an address for up to three times its time to live of 1 s.
    assert withdraw.until >= 13.0
    (close,) = decide(TimePassed(withdraw.until), state).actions
    assert isinstance(close, CloseListeners)
    assert withdraw.until < close.until < 16.0


def test_the_process_exits_when_nothing_is_open_any_more():
    state = ShutdownState(grace_s=6.0)
    decide(StopRequested(0.0), state)
    assert decide(ConnectionsClosed(1.0), state).actions == ()
    decide(TimePassed(4.0), state)
    assert decide(ConnectionsClosed(4.1), state).actions == (Exit(),)
    assert decide(TimePassed(5.6), state).actions == ()
    assert state.phase is Phase.EXITED


def test_a_second_request_changes_nothing():
    """Guards against a shutdown cut short by a repeated signal."""
    state = ShutdownState(grace_s=6.0)
    decide(StopRequested(0.0), state)
    assert decide(StopRequested(1.0), state).actions == ()
    assert state.requested_at == 0.0


def test_a_request_that_never_ends_does_not_outlive_the_grace():
    """Guards against a process that is killed with its log unwritten."""
    state = ShutdownState(grace_s=6.0)
    decide(StopRequested(0.0), state)
    (close,) = decide(TimePassed(4.0), state).actions
    assert decide(TimePassed(close.until), state).actions == (Exit(),)
