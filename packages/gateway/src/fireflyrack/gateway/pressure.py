"""Whether this instance has enough processor time for the requests that it gets.

The measure is how late the event loop runs timers: it grows when the machine is slow
or has too much work, whatever the cause.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch

from fireflyrack.core import Decision

# Lateness of timers above which hedges would add to the problem.
STRAINED_LAG_S = 0.025
# Lateness below which an instance counts as relieved.
RELIEVED_LAG_S = 0.008
# Weight of the newest sample.
LAG_WEIGHT = 0.25
# An instance stays strained at least this long; callers that left are slow to return.
MIN_STRAINED_S = 3.0


@dataclass(frozen=True, slots=True)
class LagSampled:
    """Report by how much a timer was late."""

    at: float
    lag_s: float


@dataclass(frozen=True, slots=True)
class StrainChanged:
    """Tell that the instance became strained or was relieved."""

    strained: bool
    lag_s: float


@dataclass(slots=True)
class Pressure:
    """Hold the smoothed lateness; updated in place."""

    lag_s: float = 0.0
    strained: bool = False
    strained_at: float = 0.0


@singledispatch
def decide(event: object, state: Pressure) -> Decision[Pressure]:
    """Return the new state and the actions for one event."""
    raise TypeError(f"not an event: {type(event).__name__}")


@decide.register
def _(event: LagSampled, state: Pressure) -> Decision[Pressure]:
    state.lag_s += LAG_WEIGHT * (event.lag_s - state.lag_s)
    if not state.strained and state.lag_s > STRAINED_LAG_S:
        state.strained = True
        state.strained_at = event.at
        return Decision(state, (StrainChanged(True, state.lag_s),))
    held = event.at < state.strained_at + MIN_STRAINED_S
    if state.strained and not held and state.lag_s < RELIEVED_LAG_S:
        state.strained = False
        return Decision(state, (StrainChanged(False, state.lag_s),))
    return Decision(state)
