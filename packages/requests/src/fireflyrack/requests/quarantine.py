"""Quarantine of requests that crash the backend servers that run them.

When a backend server crashes, every request that ran on it becomes a suspect. A
suspect runs alone, on a backend server that already crashed if there is one. It is
cleared when this run completes, and quarantined when the run ends in another crash.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from functools import singledispatch

from fireflyrack.core import Decision, rank

from .settings import RequestSettings

# Backend servers of a service that one fingerprint may crash.
MAX_CRASHED_SERVERS = 2


@dataclass(frozen=True, slots=True)
class Crash:
    """Crash of a backend server while a fingerprint ran on it."""

    # Starts at 1. Clearing a suspect or lifting a quarantine voids all rounds so far.
    round: int
    backend_server: str
    # Nothing else ran on the backend server.
    alone: bool
    # Numbers the crashes of one backend server and round with `alone` set, up to 2.
    occurrence: int = 1
    # The request was a suspect when it was sent, so that the crash tells about it.
    tried: bool = False


@dataclass(frozen=True, slots=True)
class Evidence:
    """Reports of instances on one fingerprint; merging them is a set union."""

    service: str
    crashes: frozenset[Crash] = frozenset()
    cleared: int = 0
    lifted: int = 0

    def last_voided_round(self) -> int:
        """Return the last round whose crashes are void."""
        return max(self.cleared, self.lifted)

    def active_crashes(self) -> tuple[Crash, ...]:
        """Return the crashes that are not void."""
        last_voided_round = self.last_voided_round()
        return tuple(crash for crash in self.crashes if crash.round > last_voided_round)

    def is_quarantined(self) -> bool:
        """Return whether a suspect crashed a backend server while it ran alone.

        Crashes of requests that were no suspects yet, however many, only make one: a
        power failure may have caused all of them.
        """
        active_crashes = self.active_crashes()
        proven = any(crash.alone and crash.tried for crash in active_crashes)
        return len(active_crashes) > 1 and proven

    def is_cleared(self) -> bool:
        """Return whether a completed run alone showed the request to be harmless."""
        return self.cleared > self.lifted and not self.active_crashes()

    def merged(self, other: Evidence) -> Evidence:
        """Return the union of two reports."""
        return Evidence(
            self.service or other.service,
            self.crashes | other.crashes,
            max(self.cleared, other.cleared),
            max(self.lifted, other.lifted),
        )


@dataclass(frozen=True, slots=True)
class Allowed:
    """Verdict that a request may run anywhere."""


@dataclass(frozen=True, slots=True)
class Isolated:
    """Verdict that a suspect may run with nothing else on its backend server.

    `preferred` lists the backend servers to try first, best first. Only those in
    `permitted` may run it; None permits any, while the fingerprint has crashed fewer
    than MAX_CRASHED_SERVERS.
    """

    preferred: tuple[str, ...]
    permitted: frozenset[str] | None


@dataclass(frozen=True, slots=True)
class Quarantined:
    """Verdict that refuses a request, since it crashed a backend server alone."""


Verdict = Allowed | Isolated | Quarantined


@dataclass(slots=True)
class QuarantineEntry:
    """Merged evidence on a fingerprint, and the part that this instance reported."""

    evidence: Evidence
    own: Evidence
    changed_at: float


@dataclass(slots=True)
class QuarantineState:
    """Evidence by fingerprint, and the requests running now; updated in place."""

    settings: RequestSettings
    entries: dict[str, QuarantineEntry] = field(default_factory=dict)
    # Running requests per fingerprint, by backend server that this instance owns.
    running: dict[str, Counter[str]] = field(default_factory=dict)
    services: dict[str, str] = field(default_factory=dict)
    # Fingerprints that were suspects when they were sent, by backend server.
    tried: dict[str, set[str]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RequestStarted:
    """A request was sent to a backend server."""

    at: float
    backend_server: str
    service: str
    fingerprint: str


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """A request ended on a backend server that is still up."""

    at: float
    backend_server: str
    fingerprint: str
    # The backend server answered, and no other request ran on it meanwhile.
    completed_alone: bool


@dataclass(frozen=True, slots=True)
class ServerCrashed:
    """A backend server crashed while the requests in `running` ran on it."""

    at: float
    backend_server: str
    # Service by fingerprint; None stands for all that started and have not ended.
    running: dict[str, str] | None = None


@dataclass(frozen=True, slots=True)
class EvidenceReceived:
    """Evidence arrived from another instance."""

    at: float
    fingerprint: str
    evidence: Evidence


@dataclass(frozen=True, slots=True)
class QuarantineLifted:
    """An operator lifted the quarantine of a fingerprint."""

    at: float
    fingerprint: str


@dataclass(frozen=True, slots=True)
class QuarantineSweepTimerFired:
    """The timer for dropping old evidence fired."""

    at: float


@dataclass(frozen=True, slots=True)
class PublishEvidence:
    """Publish this instance's evidence on a fingerprint to the other instances."""

    fingerprint: str
    evidence: Evidence


@singledispatch
def decide(event: object, state: QuarantineState) -> Decision[QuarantineState]:
    """Apply one event; return the new state and the actions that follow."""
    raise TypeError(f"unsupported event type: {type(event).__name__}")


@decide.register
def _(event: RequestStarted, state: QuarantineState) -> Decision[QuarantineState]:
    state.services[event.fingerprint] = event.service
    if isinstance(check(state, event.fingerprint), Isolated):
        state.tried.setdefault(event.backend_server, set()).add(event.fingerprint)
    state.running.setdefault(event.backend_server, Counter())[event.fingerprint] += 1
    return Decision(state)


@decide.register
def _(event: RequestEnded, state: QuarantineState) -> Decision[QuarantineState]:
    remove_running(state, event.backend_server, event.fingerprint)
    entry = state.entries.get(event.fingerprint)
    if (
        not event.completed_alone
        or entry is None
        or not entry.evidence.active_crashes()
    ):
        return Decision(state)
    last = max(crash.round for crash in entry.evidence.crashes)
    return record_evidence(
        state, event.fingerprint, event.at, Evidence("", cleared=last)
    )


@decide.register
def _(event: ServerCrashed, state: QuarantineState) -> Decision[QuarantineState]:
    running = event.running
    started = state.running.pop(event.backend_server, Counter())
    tried = state.tried.pop(event.backend_server, set())
    if running is None:
        running = {name: state.services.get(name, "") for name in started}
    actions: list[PublishEvidence] = []
    alone = len(running) == 1 and sum(started.values()) <= 1
    for fingerprint, service in running.items():
        entry = state.entries.get(fingerprint)
        known = entry.evidence if entry else Evidence(service)
        if known.is_cleared() and not alone:
            # A cleared fingerprint stays cleared. Otherwise a caller could keep a
            # harmless request suspected by sending crashing ones at the same time.
            continue
        crash = next_crash(known, event.backend_server, alone, fingerprint in tried)
        change = Evidence(service, frozenset((crash,)))
        actions.extend(record_evidence(state, fingerprint, event.at, change).actions)
    for fingerprint in started:
        remove_unused_service(state, fingerprint)
    return Decision(state, tuple(actions))


@decide.register
def _(event: EvidenceReceived, state: QuarantineState) -> Decision[QuarantineState]:
    entry = state.entries.get(event.fingerprint)
    if entry is None:
        empty = Evidence(event.evidence.service)
        evict_entry(state)
        state.entries[event.fingerprint] = QuarantineEntry(
            event.evidence, empty, event.at
        )
    else:
        merged = entry.evidence.merged(event.evidence)
        if merged != entry.evidence:
            entry.evidence = merged
            entry.changed_at = event.at
    return Decision(state)


@decide.register
def _(event: QuarantineLifted, state: QuarantineState) -> Decision[QuarantineState]:
    entry = state.entries.get(event.fingerprint)
    if entry is None or not entry.evidence.active_crashes():
        return Decision(state)
    last = max(crash.round for crash in entry.evidence.crashes)
    return record_evidence(
        state, event.fingerprint, event.at, Evidence("", lifted=last)
    )


@decide.register
def _(
    event: QuarantineSweepTimerFired, state: QuarantineState
) -> Decision[QuarantineState]:
    before = event.at - state.settings.quarantine_s
    for name in [n for n, e in state.entries.items() if e.changed_at <= before]:
        del state.entries[name]
    return Decision(state)


def check(state: QuarantineState, fingerprint: str) -> Verdict:
    """Return the verdict on whether and where a request may run."""
    entry = state.entries.get(fingerprint)
    if entry is None or not (active_crashes := entry.evidence.active_crashes()):
        return Allowed()
    if entry.evidence.is_quarantined():
        return Quarantined()
    crashed = frozenset(crash.backend_server for crash in active_crashes)
    # Instances with the same evidence select the same backend server, whose owner
    # (also chosen by rendezvous hashing) runs one suspect at a time.
    preferred = rank(fingerprint, crashed)
    return Isolated(preferred, crashed if len(crashed) >= MAX_CRASHED_SERVERS else None)


def candidates_for(
    verdict: Verdict, fingerprint: str, servers: Iterable[str], owned: Iterable[str]
) -> tuple[str, ...]:
    """Return the backend servers that may run a non-idempotent request, best first.

    The fingerprint alone determines which MAX_CRASHED_SERVERS are eligible, on every
    instance and for every ticket, so that the limit on crashed backend servers holds
    before any report of a crash has propagated. Those in `owned` come first, except
    for a suspect.
    """
    local = frozenset(owned)
    eligible = rank(fingerprint, servers)[:MAX_CRASHED_SERVERS]
    match verdict:
        case Quarantined():
            return ()
        case Isolated(preferred, permitted):
            trial = tuple(name for name in preferred if name in eligible)
            rest = tuple(name for name in eligible if name not in trial)
            return trial if permitted is not None else (*trial, *rest)
        case Allowed():
            return tuple(sorted(eligible, key=lambda name: name not in local))


def refusal_at(verdict: Verdict, backend_server: str) -> str:
    """Return why the owner of a backend server must refuse a request, or ""."""
    match verdict:
        case Quarantined():
            return "quarantined"
        case Isolated(_, permitted) if (
            permitted is not None and backend_server not in permitted
        ):
            return "suspected"
    return ""


def next_crash(known: Evidence, backend_server: str, alone: bool, tried: bool) -> Crash:
    """Return the next crash of a backend server in the current round."""
    number = known.last_voided_round() + 1
    earlier = sum(
        crash.alone
        for crash in known.crashes
        if crash.round == number and crash.backend_server == backend_server
    )
    occurrence = min(earlier + 1, MAX_CRASHED_SERVERS) if alone else 1
    return Crash(number, backend_server, alone, occurrence, tried)


def record_evidence(
    state: QuarantineState, fingerprint: str, at: float, change: Evidence
) -> Decision[QuarantineState]:
    """Add evidence of this instance and publish it."""
    entry = state.entries.get(fingerprint)
    if entry is None:
        evict_entry(state)
        empty = Evidence(change.service)
        entry = state.entries[fingerprint] = QuarantineEntry(empty, empty, at)
    own = entry.own.merged(change)
    # Void crashes need not be kept, since the number of the void round implies them.
    last_voided_round = own.last_voided_round()
    kept = frozenset(crash for crash in own.crashes if crash.round > last_voided_round)
    entry.own = replace(own, crashes=kept)
    entry.evidence = entry.evidence.merged(change)
    entry.changed_at = at
    return Decision(state, (PublishEvidence(fingerprint, entry.own),))


def evict_entry(state: QuarantineState) -> None:
    """Evict the oldest entry of a full table, suspected and quarantined ones last."""
    if len(state.entries) < state.settings.max_fingerprints:
        return
    name = min(
        state.entries,
        key=lambda n: (
            state.entries[n].evidence.is_quarantined(),
            bool(state.entries[n].evidence.active_crashes()),
            state.entries[n].changed_at,
        ),
    )
    del state.entries[name]


def remove_running(
    state: QuarantineState, backend_server: str, fingerprint: str
) -> None:
    """Decrement the number of running requests of a fingerprint."""
    running = state.running.get(backend_server)
    if running is None or fingerprint not in running:
        return
    running[fingerprint] -= 1
    if running[fingerprint] <= 0:
        del running[fingerprint]
        state.tried.get(backend_server, set()).discard(fingerprint)
    if not running:
        del state.running[backend_server]
        state.tried.pop(backend_server, None)
    remove_unused_service(state, fingerprint)


def remove_unused_service(state: QuarantineState, fingerprint: str) -> None:
    """Remove the service of a fingerprint that runs on no backend server."""
    if not any(fingerprint in running for running in state.running.values()):
        state.services.pop(fingerprint, None)
