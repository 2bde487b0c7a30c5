"""State machine of the graceful shutdown of a gateway.

After a stop request the instance withdraws its address and keeps serving while callers
refresh theirs. Then it stops listening, finishes the requests in flight and exits.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from functools import singledispatch

from fireflyrack.core import Decision

# Fraction of the grace period in which new requests are still served. Callers use an
# old address for up to three times its time to live.
SERVING_FRACTION = 0.62
# Fraction of the grace period that is left for closing connections and links once
# nothing more is waited for. A large fleet has a link to each of its instances.
EXIT_MARGIN_FRACTION = 0.15


class Phase(enum.Enum):
    """Phases of the shutdown, in order."""

    SERVING = "serving"
    WITHDRAWN = "withdrawn"
    CLOSING = "closing"
    EXITED = "exited"


@dataclass(frozen=True, slots=True)
class StopRequested:
    """Event: the process was asked to stop."""

    at: float


@dataclass(frozen=True, slots=True)
class PhaseTimerFired:
    """Event: the timer of the current phase expired."""

    at: float


@dataclass(frozen=True, slots=True)
class ConnectionsClosed:
    """Event: no request is in flight and all connections are closed."""

    at: float


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Action: withdraw the address from the directory; close listeners at `until`.

    Requests still in flight at `exit_at` are cut off.
    """

    until: float
    exit_at: float


@dataclass(frozen=True, slots=True)
class CloseListeners:
    """Action: stop listening, finish requests in flight and exit by `until`."""

    until: float


@dataclass(frozen=True, slots=True)
class Exit:
    """Action: exit the process."""


@dataclass(slots=True)
class ShutdownState:
    """State of the shutdown; updated in place."""

    grace_s: float
    phase: Phase = Phase.SERVING
    requested_at: float = 0.0

    @property
    def exit_at(self) -> float:
        """Return the time at which the process exits at the latest."""
        return self.requested_at + (1 - EXIT_MARGIN_FRACTION) * self.grace_s


@singledispatch
def decide(event: object, state: ShutdownState) -> Decision[ShutdownState]:
    """Return the new state and the actions for one event."""
    raise TypeError(f"unsupported event type: {type(event).__name__}")


@decide.register
def _(event: StopRequested, state: ShutdownState) -> Decision[ShutdownState]:
    if state.phase is not Phase.SERVING:
        # Repeated stop requests are ignored: callers still use the address.
        return Decision(state)
    state.phase = Phase.WITHDRAWN
    state.requested_at = event.at
    until = event.at + SERVING_FRACTION * state.grace_s
    return Decision(state, (Withdraw(until, state.exit_at),))


@decide.register
def _(event: PhaseTimerFired, state: ShutdownState) -> Decision[ShutdownState]:
    if state.phase is Phase.WITHDRAWN:
        state.phase = Phase.CLOSING
        return Decision(state, (CloseListeners(state.exit_at),))
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
