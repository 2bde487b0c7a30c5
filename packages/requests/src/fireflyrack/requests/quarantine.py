"""Quarantine of requests that crash the backend servers that run them.

A crash makes suspects of all that ran on the backend server. A suspect runs alone,
on a backend server that already crashed if there is one. It is cleared by a run
that ends, and quarantined when the backend server crashes under it again.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from functools import singledispatch

from fireflyrack.core import Decision, rank

from .settings import RequestSettings

# Backend servers of a service that one fingerprint may take down.
MAX_CRASHED_SERVERS = 2


@dataclass(frozen=True, slots=True)
class Crash:
    """Record that a backend server crashed while a fingerprint ran on it."""

    # Rounds start at 1; clearing or lifting a round voids its crashes.
    round: int
    backend_server: str
    # Nothing else ran on the backend server.
    alone: bool
    # Counts crashes alone of one backend server in one round, up to 2.
    occurrence: int = 1


@dataclass(frozen=True, slots=True)
class Evidence:
    """Hold what instances reported on one fingerprint; merging is a union."""

    service: str
    crashes: frozenset[Crash] = frozenset()
    cleared: int = 0
    lifted: int = 0

    def last_voided_round(self) -> int:
        """Return the last round whose crashes no longer count."""
        return max(self.cleared, self.lifted)

    def active_crashes(self) -> tuple[Crash, ...]:
        """Return the crashes that count."""
        last_voided_round = self.last_voided_round()
        return tuple(crash for crash in self.crashes if crash.round > last_voided_round)

    def is_quarantined(self) -> bool:
        """Return whether a suspect crashed a backend server with nothing beside it.

        A first crash alone only makes a suspect: it may be a power failure.
        """
        active_crashes = self.active_crashes()
        return len(active_crashes) > 1 and any(crash.alone for crash in active_crashes)

    def is_cleared(self) -> bool:
        """Return whether a run alone showed that the fingerprint is harmless."""
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
    """Let a request run anywhere."""


@dataclass(frozen=True, slots=True)
class Isolated:
    """Let a suspect run with nothing else on its backend server.

    `only` names the backend servers allowed, best first; None allows all, since
    the limit leaves room for one more.
    """

    first: tuple[str, ...]
    only: frozenset[str] | None


@dataclass(frozen=True, slots=True)
class Quarantined:
    """Refuse a request that crashed backend servers while it ran alone."""


Verdict = Allowed | Isolated | Quarantined


@dataclass(slots=True)
class QuarantineEntry:
    """Hold the merged evidence on a fingerprint and what this instance reported."""

    evidence: Evidence
    own: Evidence
    changed_at: float


@dataclass(slots=True)
class QuarantineState:
    """Hold evidence by fingerprint and what runs now; updated in place."""

    settings: RequestSettings
    entries: dict[str, QuarantineEntry] = field(default_factory=dict)
    # Fingerprints that run on each backend server that this instance owns.
    running: dict[str, Counter[str]] = field(default_factory=dict)
    services: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RequestStarted:
    """Report that a request was sent to a backend server."""

    at: float
    backend_server: str
    service: str
    fingerprint: str


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """Report that a request left a backend server that is still up."""

    at: float
    backend_server: str
    fingerprint: str
    # The backend server answered, and nothing else ran beside the request.
    passed_alone: bool


@dataclass(frozen=True, slots=True)
class ServerCrashed:
    """Report that a backend server crashed under the fingerprints."""

    at: float
    backend_server: str
    # Service by fingerprint; None stands for what was started and has not ended.
    running: dict[str, str] | None = None


@dataclass(frozen=True, slots=True)
class EvidenceReceived:
    """Report the evidence of another instance."""

    at: float
    fingerprint: str
    evidence: Evidence


@dataclass(frozen=True, slots=True)
class QuarantineLifted:
    """Report that an operator lets a fingerprint run again."""

    at: float
    fingerprint: str


@dataclass(frozen=True, slots=True)
class QuarantineSweepTimerFired:
    """Report that it is time to forget old evidence."""

    at: float


@dataclass(frozen=True, slots=True)
class PublishEvidence:
    """Ask the shell to spread what this instance knows of a fingerprint."""

    fingerprint: str
    evidence: Evidence


@singledispatch
def decide(event: object, state: QuarantineState) -> Decision[QuarantineState]:
    """Return the new state and the actions for one event."""
    raise TypeError(f"not an event: {type(event).__name__}")


@decide.register
def _(event: RequestStarted, state: QuarantineState) -> Decision[QuarantineState]:
    state.services[event.fingerprint] = event.service
    state.running.setdefault(event.backend_server, Counter())[event.fingerprint] += 1
    return Decision(state)


@decide.register
def _(event: RequestEnded, state: QuarantineState) -> Decision[QuarantineState]:
    remove_running(state, event.backend_server, event.fingerprint)
    entry = state.entries.get(event.fingerprint)
    if not event.passed_alone or entry is None or not entry.evidence.active_crashes():
        return Decision(state)
    last = max(crash.round for crash in entry.evidence.crashes)
    return record_evidence(
        state, event.fingerprint, event.at, Evidence("", cleared=last)
    )


@decide.register
def _(event: ServerCrashed, state: QuarantineState) -> Decision[QuarantineState]:
    running = event.running
    started = state.running.pop(event.backend_server, Counter())
    if running is None:
        running = {name: state.services.get(name, "") for name in started}
    actions: list[PublishEvidence] = []
    alone = len(running) == 1 and sum(started.values()) <= 1
    for fingerprint, service in running.items():
        entry = state.entries.get(fingerprint)
        known = entry.evidence if entry else Evidence(service)
        if known.is_cleared() and not alone:
            # Otherwise a caller could keep a harmless request under suspicion by
            # sending it beside one that crashes.
            continue
        crash = next_crash(known, event.backend_server, alone)
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
    """Return whether and where a request may run."""
    entry = state.entries.get(fingerprint)
    if entry is None or not (active_crashes := entry.evidence.active_crashes()):
        return Allowed()
    if entry.evidence.is_quarantined():
        return Quarantined()
    crashed = frozenset(crash.backend_server for crash in active_crashes)
    # All instances with the same evidence name the same backend server, whose owner
    # (also chosen by rendezvous hashing) runs one suspect at a time.
    first = rank(fingerprint, crashed)
    return Isolated(first, crashed if len(crashed) >= MAX_CRASHED_SERVERS else None)


def candidates_for(
    verdict: Verdict, fingerprint: str, servers: Iterable[str], owned: Iterable[str]
) -> tuple[str, ...]:
    """Return the backend servers that may run a non-idempotent request, best first.

    The fingerprint alone determines which two, on every instance and for every
    ticket. The limit on crashed backend servers therefore holds before any report
    of a crash has spread. Of the two, those in `owned` come first.
    """
    local = frozenset(owned)
    eligible = rank(fingerprint, servers)[:MAX_CRASHED_SERVERS]
    match verdict:
        case Quarantined():
            return ()
        case Isolated(first, only):
            trial = tuple(name for name in first if name in eligible)
            rest = tuple(name for name in eligible if name not in trial)
            return trial if only is not None else (*trial, *rest)
        case Allowed():
            return tuple(sorted(eligible, key=lambda name: name not in local))


def refusal_at(verdict: Verdict, backend_server: str) -> str:
    """Return why the owner of a backend server must not run a request, or ""."""
    match verdict:
        case Quarantined():
            return "quarantined"
        case Isolated(_, only) if only is not None and backend_server not in only:
            return "suspected"
    return ""


def next_crash(known: Evidence, backend_server: str, alone: bool) -> Crash:
    """Return the record of one more crash."""
    number = known.last_voided_round() + 1
    earlier = sum(
        crash.alone
        for crash in known.crashes
        if crash.round == number and crash.backend_server == backend_server
    )
    occurrence = min(earlier + 1, MAX_CRASHED_SERVERS) if alone else 1
    return Crash(number, backend_server, alone, occurrence)


def record_evidence(
    state: QuarantineState, fingerprint: str, at: float, change: Evidence
) -> Decision[QuarantineState]:
    """Add evidence of this instance and spread it."""
    entry = state.entries.get(fingerprint)
    if entry is None:
        evict_entry(state)
        empty = Evidence(change.service)
        entry = state.entries[fingerprint] = QuarantineEntry(empty, empty, at)
    own = entry.own.merged(change)
    # Voided crashes need not be kept: the voided round stands for them.
    last_voided_round = own.last_voided_round()
    kept = frozenset(crash for crash in own.crashes if crash.round > last_voided_round)
    entry.own = replace(own, crashes=kept)
    entry.evidence = entry.evidence.merged(change)
    entry.changed_at = at
    return Decision(state, (PublishEvidence(fingerprint, entry.own),))


def evict_entry(state: QuarantineState) -> None:
    """Drop the least useful entry if the table is full."""
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
    """Note that a fingerprint runs once less on a backend server."""
    running = state.running.get(backend_server)
    if running is None or fingerprint not in running:
        return
    running[fingerprint] -= 1
    if running[fingerprint] <= 0:
        del running[fingerprint]
    if not running:
        del state.running[backend_server]
    remove_unused_service(state, fingerprint)


def remove_unused_service(state: QuarantineState, fingerprint: str) -> None:
    """Forget the service of a fingerprint that runs nowhere."""
    if not any(fingerprint in running for running in state.running.values()):
        state.services.pop(fingerprint, None)
