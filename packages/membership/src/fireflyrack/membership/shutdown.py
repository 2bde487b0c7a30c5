"""Order and waits of a graceful shutdown."""

from __future__ import annotations

import enum
from dataclasses import dataclass, replace
from functools import singledispatch

from fireflyrack.core import Decision

from .settings import MembershipSettings

# Time until every instance has learned of the announcement: the push takes a few
# hops, and the comparison of digests once per second repairs a lost push.
PROPAGATION_S = 2.0


class Phase(enum.Enum):
    """Name the phases of a graceful shutdown, in order."""

    SERVING = "serving"
    WITHDRAWN = "withdrawn"
    RELEASING = "releasing"
    HANDING_OVER = "handing over"
    DRAINING = "draining"
    LEAVING = "leaving"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class ShutdownState:
    """Hold the phase and when the present wait ends."""

    settings: MembershipSettings
    phase: Phase = Phase.SERVING
    wait_until: float = 0.0


@dataclass(frozen=True, slots=True)
class StopRequested:
    """Report SIGTERM; a second one ends the wait for addresses."""

    at: float


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Report that the present wait may be over."""

    at: float


@dataclass(frozen=True, slots=True)
class PhaseEnded:
    """Report that the work of a phase is done or its limit has passed."""

    at: float
    phase: Phase


@dataclass(frozen=True, slots=True)
class WithdrawAddress:
    """Ask the shell to announce the leaving and to wake at a time."""

    until: float


@dataclass(frozen=True, slots=True)
class ReleaseServers:
    """Ask the shell to release all backend servers and to announce it."""


@dataclass(frozen=True, slots=True)
class HandOver:
    """Ask the shell to run the handover steps of the slices."""


@dataclass(frozen=True, slots=True)
class Drain:
    """Ask the shell to finish what is in flight within a limit in seconds."""

    limit_s: float


@dataclass(frozen=True, slots=True)
class LeaveRoster:
    """Ask the shell to leave the roster."""


@dataclass(frozen=True, slots=True)
class Exit:
    """Ask the shell to end the process."""


# The phase after each phase, with the work that it starts.
NEXT_PHASE = {
    Phase.WITHDRAWN: (Phase.RELEASING, ReleaseServers()),
    Phase.RELEASING: (Phase.HANDING_OVER, HandOver()),
    Phase.DRAINING: (Phase.LEAVING, LeaveRoster()),
    Phase.LEAVING: (Phase.STOPPED, Exit()),
}


@singledispatch
def decide(event: object, state: ShutdownState) -> Decision[ShutdownState]:
    """Return the new state and the actions for one event."""
    raise TypeError(f"not an event: {type(event).__name__}")


@decide.register
def _(event: StopRequested, state: ShutdownState) -> Decision[ShutdownState]:
    if state.phase is Phase.SERVING:
        until = event.at + PROPAGATION_S + state.settings.address_ttl_s
        withdrawn = replace(state, phase=Phase.WITHDRAWN, wait_until=until)
        return Decision(withdrawn, (WithdrawAddress(until),))
    if state.phase is Phase.WITHDRAWN:
        return advance(state)
    return Decision(state)


@decide.register
def _(event: TimePassed, state: ShutdownState) -> Decision[ShutdownState]:
    if state.phase is Phase.WITHDRAWN and event.at >= state.wait_until:
        return advance(state)
    return Decision(state)


@decide.register
def _(event: PhaseEnded, state: ShutdownState) -> Decision[ShutdownState]:
    if event.phase is not state.phase:
        return Decision(state)
    return advance(state)


def advance(state: ShutdownState) -> Decision[ShutdownState]:
    """Enter the next phase."""
    if state.phase is Phase.HANDING_OVER:
        phase, action = Phase.DRAINING, Drain(state.settings.drain_s)
    else:
        phase, action = NEXT_PHASE[state.phase]
    return Decision(replace(state, phase=phase), (action,))
