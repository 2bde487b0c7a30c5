"""Overload detection from the lag of the event loop.

Lag is how late the event loop runs timers. It grows when the machine is slow or has too
much work, whatever the cause.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch

from fireflyrack.core import Decision

# Smoothed lag above which an instance is overloaded and hedges would add load.
OVERLOAD_LAG_S = 0.025
# Smoothed lag below which an overloaded instance has recovered.
RECOVERED_LAG_S = 0.008
# Weight of the newest sample in the exponentially weighted moving average.
LAG_EWMA_WEIGHT = 0.25
# Minimum duration of the overloaded state, which prevents flapping: callers that were
# directed to other instances return only slowly.
MIN_OVERLOAD_S = 3.0


@dataclass(frozen=True, slots=True)
class LagSampled:
    """Event: a timer ran late by `lag_s` seconds."""

    at: float
    lag_s: float


@dataclass(frozen=True, slots=True)
class OverloadChanged:
    """Action: report that the instance became overloaded or recovered."""

    overloaded: bool
    lag_s: float


@dataclass(slots=True)
class OverloadState:
    """State of the overload detection with the smoothed lag; updated in place."""

    lag_s: float = 0.0
    overloaded: bool = False
    overloaded_at: float = 0.0


@singledispatch
def decide(event: object, state: OverloadState) -> Decision[OverloadState]:
    """Return the new state and the actions for one event."""
    raise TypeError(f"unsupported event type: {type(event).__name__}")


@decide.register
def _(event: LagSampled, state: OverloadState) -> Decision[OverloadState]:
    state.lag_s += LAG_EWMA_WEIGHT * (event.lag_s - state.lag_s)
    if not state.overloaded and state.lag_s > OVERLOAD_LAG_S:
        state.overloaded = True
        state.overloaded_at = event.at
        return Decision(state, (OverloadChanged(True, state.lag_s),))
    in_min_duration = event.at < state.overloaded_at + MIN_OVERLOAD_S
    if state.overloaded and not in_min_duration and state.lag_s < RECOVERED_LAG_S:
        state.overloaded = False
        return Decision(state, (OverloadChanged(False, state.lag_s),))
    return Decision(state)
