from __future__ import annotations

from fireflyrack.gateway.overload import (
    MIN_OVERLOAD_S,
    LagSampled,
    OverloadChanged,
    OverloadState,
    decide,
)


def feed(
    state: OverloadState, start: float, lags: list[float]
) -> list[OverloadChanged]:
    actions = []
    for number, lag_s in enumerate(lags):
        actions += decide(LagSampled(start + number * 0.05, lag_s), state).actions
    return actions


def test_single_late_timer_is_not_overload():
    """Guards against redirecting callers because of a single long callback."""
    assert feed(OverloadState(), 0.0, [0.0] * 10 + [0.09] + [0.0] * 10) == []


def test_sustained_lag_is_overload_until_min_duration_and_recovery():
    """Guards against callers that keep using a slow machine, and against flapping."""
    state = OverloadState()
    (overloaded,) = feed(state, 0.0, [0.05] * 10)
    assert overloaded.overloaded
    assert feed(state, 0.5, [0.0] * 10) == []
    (recovered,) = feed(state, MIN_OVERLOAD_S + 0.5, [0.0] * 20)
    assert not recovered.overloaded
