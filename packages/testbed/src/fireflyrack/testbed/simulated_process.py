"""Entry instances and faults of the request simulation."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from fireflyrack.requests import (
    Answered,
    AttemptResult,
    HandoverTable,
    IssuerState,
    NotRun,
    OwnerState,
    Ran,
    Reply,
    RunId,
    StartAttempt,
    Unknown,
)


@dataclass(frozen=True, slots=True)
class Faults:
    """Rates of injected faults; probabilities are per message, run or call."""

    lost_message: float = 0.02
    doubled_message: float = 0.05
    delayed_message: float = 0.05
    refused_run: float = 0.05
    # The link to the owner is closed, so that nothing is sent.
    closed_link: float = 0.02
    lost_reply: float = 0.005
    caller_disconnect: float = 0.05
    # Events per second in the whole fleet.
    pauses: float = 0.2
    crashes: float = 0.03
    handovers: float = 0.05


@dataclass(slots=True)
class Process:
    """Incarnation of an entry instance with its state and its own clock."""

    name: str
    incarnation: str
    clock_offset: float
    clock_rate: float
    issuer: IssuerState
    owner: OwnerState
    handover_table: HandoverTable
    running: bool = True
    paused_until: float = 0.0
    successors: dict[str, str] = field(default_factory=dict)
    reply_callbacks: dict[int, Callable[[Reply], None]] = field(default_factory=dict)
    result_callbacks: dict[int, Callable[[AttemptResult], None]] = field(
        default_factory=dict
    )
    runs: dict[RunId, StartAttempt] = field(default_factory=dict)
    # Owner to which each attempt was sent, by sequence number.
    owners: dict[int, Process] = field(default_factory=dict)

    def clock(self, now: float) -> float:
        """Return the monotonic time of this process at a simulated time."""
        return self.clock_offset + now * self.clock_rate


def answered_event(call: str, outcome: Reply) -> Answered:
    """Return the history event for a reply that has an outcome."""
    match outcome:
        case Ran(answer):
            return Answered(call, "ran", answer or "")
        case NotRun(reason):
            return Answered(call, "not_run", cause=reason)
        case Unknown(cause):
            return Answered(call, "unknown", cause=cause.value)
    raise TypeError(f"unsupported outcome type: {type(outcome).__name__}")
