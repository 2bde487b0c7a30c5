from __future__ import annotations

from fireflyrack.gateway.pressure import (
    MIN_STRAINED_S,
    LagSampled,
    Pressure,
    StrainChanged,
    decide,
)


def feed(state: Pressure, start: float, lags: list[float]) -> list[StrainChanged]:
    actions = []
    for number, lag_s in enumerate(lags):
        actions += decide(LagSampled(start + number * 0.05, lag_s), state).actions
    return actions


def test_one_late_timer_is_no_strain():
    """Guards against an instance that leaves because of one long step."""
    assert feed(Pressure(), 0.0, [0.0] * 10 + [0.09] + [0.0] * 10) == []


def test_lasting_lateness_strains_and_ends_after_a_while():
    """Guards against a slow machine that callers go on using, and against flapping."""
    state = Pressure()
    (strained,) = feed(state, 0.0, [0.05] * 10)
    assert strained.strained
    assert feed(state, 0.5, [0.0] * 10) == []
    (relieved,) = feed(state, MIN_STRAINED_S + 0.5, [0.0] * 20)
    assert not relieved.strained
