"""Phases and delays of a graceful shutdown."""

from __future__ import annotations

import enum
from dataclasses import dataclass, replace
from functools import singledispatch

from fireflyrack.core import Decision

from .settings import MembershipSettings

# Time for the announcement to reach every instance: the push takes a few hops, and
# the comparison of digests once per second repairs a lost push.
PROPAGATION_S = 2.0


class Phase(enum.Enum):
    """Phases of a graceful shutdown, in order."""

    SERVING = "serving"
    WITHDRAWN = "withdrawn"
    RELEASING = "releasing"
    HANDING_OVER = "handing over"
    DRAINING = "draining"
    LEAVING = "leaving"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class ShutdownState:
    """Current phase, and the time at which its delay ends."""

    settings: MembershipSettings
    phase: Phase = Phase.SERVING
    wait_until: float = 0.0


@dataclass(frozen=True, slots=True)
class StopRequested:
    """SIGTERM arrived; a second one ends the wait for addresses to expire."""

    at: float


@dataclass(frozen=True, slots=True)
class TimePassed:
    """The delay of the current phase may have ended."""

    at: float


@dataclass(frozen=True, slots=True)
class PhaseEnded:
    """The work of a phase finished or reached its time limit."""

    at: float
    phase: Phase


@dataclass(frozen=True, slots=True)
class WithdrawAddress:
    """Announce that this instance leaves, and feed `TimePassed` at `until`."""

    until: float


@dataclass(frozen=True, slots=True)
class ReleaseServers:
    """Release all backend servers and announce the release."""


@dataclass(frozen=True, slots=True)
class HandOver:
    """Run the registered handover steps."""


@dataclass(frozen=True, slots=True)
class Drain:
    """Finish the requests in flight within a limit in seconds."""

    limit_s: float


@dataclass(frozen=True, slots=True)
class LeaveRoster:
    """Remove the entry of this instance from the roster."""


@dataclass(frozen=True, slots=True)
class Exit:
    """End the process."""


# The next phase after each phase, and the action that starts its work.
NEXT_PHASE = {
    Phase.WITHDRAWN: (Phase.RELEASING, ReleaseServers()),
    Phase.RELEASING: (Phase.HANDING_OVER, HandOver()),
    Phase.DRAINING: (Phase.LEAVING, LeaveRoster()),
    Phase.LEAVING: (Phase.STOPPED, Exit()),
}


@singledispatch
def decide(event: object, state: ShutdownState) -> Decision[ShutdownState]:
    """Process one event; return the new state and the resulting actions."""
    raise TypeError(f"unsupported event type: {type(event).__name__}")


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
    """Enter the next phase and return the action that starts its work."""
    if state.phase is Phase.HANDING_OVER:
        phase, action = Phase.DRAINING, Drain(state.settings.drain_s)
    else:
        phase, action = NEXT_PHASE[state.phase]
    return Decision(replace(state, phase=phase), (action,))
