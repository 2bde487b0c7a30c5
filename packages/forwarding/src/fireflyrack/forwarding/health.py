"""What an instance has observed of one backend server."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import singledispatch

from .attempts import (
    AttemptOutcome,
    Completed,
    Interrupted,
    Load,
    NotConnected,
    Refused,
    TimedOut,
)
from .reports import (
    REPORT_MEMORY_S,
    ServerReport,
    Told,
    agreed,
)

# Weight of the newest latency in a backend server's average.
LATENCY_WEIGHT = 0.3
# An average above the usual loses half its excess in this time, so that a backend
# server that is no longer chosen is tried again.
SLOWNESS_HALF_LIFE_S = 3.0
MAX_SLOWNESS = 30.0
# Weight of one outcome in the share of failures.
FAILURE_WEIGHT = 0.25
FAILURE_HALF_LIFE_S = 2.5
# Weight of one attempt in the share of late ones.
LATE_WEIGHT = 0.4
LATE_HALF_LIFE_S = 4.0
# Late attempts sent within this time have one cause, such as a short pause.
LATE_BURST_S = 0.2
# A backend server that cannot be reached counts like this many failures.
UNREACHABLE_WEIGHT = 0.8
# A refusal because of a full queue is remembered this long.
FULL_MEMORY_S = 0.25
# A load that a response told is used this long.
LOAD_MEMORY_S = 0.3


@dataclass(frozen=True, slots=True)
class Outstanding:
    """Hold when an attempt was sent and after which time it is late."""

    sent_at: float
    late_s: float


@dataclass(slots=True)
class ServerHealth:
    """Hold what was observed of one backend server; updated in place."""

    incarnation: int = 0
    outstanding: dict[tuple[int, int], Outstanding] = field(default_factory=dict)
    # Average latency as a multiple of the usual latency of the routes.
    slowness: float = 1.0
    slowness_at: float = -math.inf
    # Moving share of failures.
    failing: float = 0.0
    failing_at: float = -math.inf
    # Moving share of attempts that were late. A late attempt is cancelled when its
    # hedge wins, so its latency is only known to be longer than that.
    late: float = 0.0
    late_at: float = -math.inf
    late_sent_at: float = -math.inf
    full_until: float = -math.inf
    # Load told by the last response, and the own attempts in flight at that time.
    load: Load | None = None
    load_at: float = -math.inf
    own_at_load: int = 0
    cold_until: float = -math.inf
    answered_at: float = -math.inf
    # Newest report of each peer.
    told: dict[str, Told] = field(default_factory=dict)

    def start(self, attempt: tuple[int, int], at: float, late_s: float) -> None:
        """Count an attempt as in flight."""
        self.outstanding[attempt] = Outstanding(at, late_s)

    def end(self, attempt: tuple[int, int]) -> None:
        """Count an attempt as ended."""
        self.outstanding.pop(attempt, None)

    def slowness_now(self, at: float) -> float:
        """Return the slowness, its excess reduced by its age."""
        return aged_slowness(self.slowness, at - self.slowness_at)

    def failing_now(self, at: float) -> float:
        """Return the share of failures, reduced by its age."""
        return aged_share(self.failing, at - self.failing_at, FAILURE_HALF_LIFE_S)

    def late_now(self, at: float) -> float:
        """Return the share of late attempts, reduced by its age."""
        return aged_share(self.late, at - self.late_at, LATE_HALF_LIFE_S)

    def believed(self, own: float, aged: Callable[[Told], float]) -> float:
        """Return what own observations and those of peers agree on."""
        if not self.told:
            return own
        return agreed(own, [aged(told) for told in self.told.values()])

    def believed_slowness(self, at: float) -> float:
        """Return the slowness, own and told one."""
        return self.believed(
            self.slowness_now(at), lambda t: aged_slowness(t.slowness, at - t.at)
        )

    def believed_failing(self, at: float) -> float:
        """Return the share of failures, own and told ones."""
        return self.believed(
            self.failing_now(at),
            lambda t: aged_share(t.failing, at - t.at, FAILURE_HALF_LIFE_S),
        )

    def believed_late(self, at: float) -> float:
        """Return the share of late attempts, own and told ones."""
        return self.believed(
            self.late_now(at),
            lambda t: aged_share(t.late, at - t.at, LATE_HALF_LIFE_S),
        )

    def note_told(self, peer: str, report: ServerReport, at: float) -> None:
        """Keep the report of a peer and drop outdated ones."""
        self.told[peer] = Told(
            report.latency_ratio, report.failure_rate, report.late_rate, at
        )
        for known, told in tuple(self.told.items()):
            if at > told.at + REPORT_MEMORY_S:
                del self.told[known]

    def load_now(self, at: float) -> int:
        """Return the requests that are believed to run or wait there."""
        own = len(self.outstanding)
        if self.load is None or at > self.load_at + LOAD_MEMORY_S:
            return own
        told = self.load.running + self.load.waiting
        return own + max(0, told - self.own_at_load)

    def stalled(self, at: float) -> bool:
        """Return whether the oldest attempt is late and nothing came since."""
        if not self.outstanding:
            return False
        oldest = next(iter(self.outstanding.values()))
        late = at - oldest.sent_at > oldest.late_s
        return late and self.answered_at < at - oldest.late_s

    def note_slowness(self, slowness: float, at: float) -> None:
        """Add one latency as a multiple of the usual one."""
        believed = self.slowness_now(at)
        self.slowness = believed + LATENCY_WEIGHT * (
            min(slowness, MAX_SLOWNESS) - believed
        )
        self.slowness_at = at

    def note_outcome(self, failed: bool, at: float, weight: float) -> None:
        """Add one success or failure to the share of failures."""
        believed = self.failing_now(at)
        self.failing = believed + weight * (failed - believed)
        self.failing_at = at

    def note_late(self, late: bool, sent_at: float, at: float) -> None:
        """Add one attempt to the share of late ones."""
        if late and sent_at < self.late_sent_at + LATE_BURST_S:
            return
        believed = self.late_now(at)
        self.late = believed + LATE_WEIGHT * (late - believed)
        self.late_at = at
        if late:
            self.late_sent_at = sent_at


def aged_slowness(slowness: float, age_s: float) -> float:
    """Return a slowness, its excess reduced by its age."""
    if slowness <= 1 or age_s <= 0:
        return slowness
    return 1 + (slowness - 1) * 0.5 ** (age_s / SLOWNESS_HALF_LIFE_S)


def aged_share(share: float, age_s: float, half_life_s: float) -> float:
    """Return a share of failures or late attempts, reduced by its age."""
    if not share or age_s <= 0:
        return share
    return share * 0.5 ** (age_s / half_life_s)


@dataclass(frozen=True, slots=True)
class Observation:
    """Hold what an ended attempt tells of its backend server."""

    at: float
    latency_s: float
    typical_s: float
    # Latency from which the attempt counts as late.
    late_s: float

    @property
    def late(self) -> bool:
        """Return whether the attempt was late."""
        return self.latency_s >= self.late_s

    @property
    def sent_at(self) -> float:
        """Return when the attempt was sent."""
        return self.at - self.latency_s


@singledispatch
def observe(
    outcome: AttemptOutcome, server: ServerHealth, observation: Observation
) -> None:
    """Update what is known of a backend server by the outcome of an attempt."""
    raise TypeError(f"not an outcome: {type(outcome).__name__}")


@observe.register
def _(outcome: Completed, server: ServerHealth, observation: Observation) -> None:
    at = observation.at
    server.answered_at = at
    note_load(server, outcome.load, at)
    server.note_outcome(not outcome.succeeded, at, FAILURE_WEIGHT)
    if outcome.succeeded:
        server.note_slowness(observation.latency_s / observation.typical_s, at)
        server.note_late(observation.late, observation.sent_at, at)


@observe.register
def _(outcome: Refused, server: ServerHealth, observation: Observation) -> None:
    server.answered_at = observation.at
    note_load(server, outcome.load, observation.at)
    server.full_until = observation.at + FULL_MEMORY_S
    server.note_outcome(True, observation.at, FAILURE_WEIGHT / 2)


@observe.register
def _(outcome: NotConnected, server: ServerHealth, observation: Observation) -> None:
    server.note_outcome(True, observation.at, UNREACHABLE_WEIGHT)


@observe.register
def _(outcome: Interrupted, server: ServerHealth, observation: Observation) -> None:
    server.note_outcome(True, observation.at, FAILURE_WEIGHT)


@observe.register
def _(outcome: TimedOut, server: ServerHealth, observation: Observation) -> None:
    server.note_outcome(True, observation.at, FAILURE_WEIGHT)
    note_abandoned(server, observation)


def note_abandoned(server: ServerHealth, observation: Observation) -> None:
    """Take the time waited in vain as a lower bound of the latency."""
    slowness = observation.latency_s / observation.typical_s
    if slowness > server.slowness_now(observation.at):
        server.note_slowness(slowness, observation.at)
    if observation.late:
        server.note_late(True, observation.sent_at, observation.at)


def note_load(server: ServerHealth, load: Load | None, at: float) -> None:
    """Keep the load that a response told."""
    if load is not None:
        server.load = load
        server.load_at = at
        server.own_at_load = len(server.outstanding) + 1
