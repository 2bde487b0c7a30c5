"""Decisions on the graceful shutdown of a gateway.

After the request to stop, callers learn other addresses while this instance still
serves; then it stops listening, finishes what is in flight, and exits.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from functools import singledispatch

from fireflyrack.core import Decision

# Part of the grace time in which new requests are still served. Callers use an old
# address for up to three times its time to live.
SERVING_PART = 0.62
# Time before the end of the grace at which the process exits in any case.
EXIT_RESERVE_S = 0.35


class Phase(enum.Enum):
    """Name how far the shutdown is."""

    SERVING = "serving"
    WITHDRAWN = "withdrawn"
    CLOSING = "closing"
    EXITED = "exited"


@dataclass(frozen=True, slots=True)
class StopRequested:
    """Report the request to stop."""

    at: float


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Report that the time of a phase has passed."""

    at: float


@dataclass(frozen=True, slots=True)
class ConnectionsClosed:
    """Report that nothing is in flight and no connection is open any more."""

    at: float


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Remove the address from the directory, and go on at a time."""

    until: float


@dataclass(frozen=True, slots=True)
class CloseListeners:
    """Stop listening, finish what is in flight, and exit at a time at the latest."""

    until: float


@dataclass(frozen=True, slots=True)
class Exit:
    """End the process."""


@dataclass(slots=True)
class ShutdownState:
    """Hold the phase; updated in place."""

    grace_s: float
    phase: Phase = Phase.SERVING
    requested_at: float = 0.0


@singledispatch
def decide(event: object, state: ShutdownState) -> Decision[ShutdownState]:
    """Return the new state and the actions for one event."""
    raise TypeError(f"not an event: {type(event).__name__}")


@decide.register
def _(event: StopRequested, state: ShutdownState) -> Decision[ShutdownState]:
    if state.phase is not Phase.SERVING:
        # A second request changes nothing: callers still hold the address.
        return Decision(state)
    state.phase = Phase.WITHDRAWN
    state.requested_at = event.at
    return Decision(state, (Withdraw(event.at + SERVING_PART * state.grace_s),))


@decide.register
def _(event: TimePassed, state: ShutdownState) -> Decision[ShutdownState]:
    if state.phase is Phase.WITHDRAWN:
        state.phase = Phase.CLOSING
        until = state.requested_at + state.grace_s - EXIT_RESERVE_S
        return Decision(state, (CloseListeners(until),))
    if state.phase is Phase.CLOSING:
        state.phase = Phase.EXITED
        return Decision(state, (Exit(),))
    return Decision(state)


@decide.register
def _(event: ConnectionsClosed, state: ShutdownState) -> Decision[ShutdownState]:
    if state.phase is not Phase.CLOSING:
        return Decision(state)
    state.phase = Phase.EXITED
    return Decision(state, (Exit(),))
