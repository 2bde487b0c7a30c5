"""Detection and quarantine of requests that crash backend servers.

A connection can close without a response for many reasons. It counts as a crash if the
backend server is removed or unreachable soon afterwards. A request that the evidence
shows to crash servers is quarantined. While an outage may explain the crashes as well,
it is sent as a trial, one at a time; the first that completes clears it everywhere.
"""

from __future__ import annotations

import hashlib
import math
from dataclasses import dataclass, field
from functools import singledispatch

from fireflyrack.availability import SharedStatement

from .reports import ServerReport
from .requests import CallerRequest
from .suspects import OUTAGE_S, Assessment, AttemptTimes, Crash, Suspect, assess

# Time within which a backend server must become unreachable for an interrupted attempt
# to count as a crash.
CRASH_CONFIRMATION_S = 10.0
# Duration of a quarantine after the last crash.
QUARANTINE_S = 60.0
# Time from the first crash to the first trial of a request that has never completed.
# One that has completed is tried first, so that the other cannot crash its server.
UNKNOWN_REQUEST_HOLD_S = 3 * OUTAGE_S
# Interval of the trials of one request at one instance.
TRIAL_INTERVAL_S = 1.0
# Time between the first trials of two instances, for the first to report its outcome.
TRIAL_SPACING_S = 0.25
MAX_SUSPECTS = 1000
# Maximum number of requests with interrupted attempts that are kept. Each outage of a
# backend server scans all of them.
MAX_INTERRUPTED_REQUESTS = 200
# Maximum number of requests whose last completion is kept.
MAX_COMPLETED_REQUESTS = 2000


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request may be sent; a trial is sent to one backend server of each shard."""

    trial: bool = False


@dataclass(frozen=True, slots=True)
class Quarantined:
    """The request must not be sent; the caller may repeat it after a delay."""

    retry_after_s: float


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Report to peers that a request crashed a backend server."""

    fingerprint: str
    crash: Crash
    # Ages of the start and the end of the attempt, in seconds.
    sent_ago_s: float = 0.0
    ended_ago_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ClearedReport:
    """Report to peers that a suspect request completed on a backend server."""

    fingerprint: str
    # Age of the completion, in seconds.
    completed_ago_s: float = 0.0


@dataclass(frozen=True, slots=True)
class PeerUpdate:
    """Reports of an instance since its last update to a peer."""

    servers: tuple[ServerReport, ...] = ()
    requests: tuple[CrashReport | ClearedReport, ...] = ()
    statements: tuple[SharedStatement, ...] = ()


@dataclass(frozen=True, slots=True)
class QueuedReport:
    """Own report with its times, for the peers that have not acknowledged it."""

    fingerprint: str
    at: float
    # None for a completion, which ended at `at`.
    crash: Crash | None = None
    times: AttemptTimes | None = None

    def as_of(self, at: float) -> CrashReport | ClearedReport:
        """Return the report with its ages at a given time."""
        if self.crash is None:
            return ClearedReport(self.fingerprint, at - self.at)
        sent_ago_s = at - self.times.sent_at
        ended_ago_s = at - self.times.ended_at
        return CrashReport(self.fingerprint, self.crash, sent_ago_s, ended_ago_s)


@dataclass(slots=True)
class CrashTracker:
    """Suspect requests by fingerprint, and the crash reports for peers.

    Usually there are no suspects, and a request costs one check of an empty dict.
    """

    suspects: dict[str, Suspect] = field(default_factory=dict)
    # Attempts that ended without a response, by fingerprint.
    interrupted: dict[str, dict[Crash, AttemptTimes]] = field(default_factory=dict)
    # Time of the last completion by fingerprint, oldest first.
    completions: dict[str, float] = field(default_factory=dict)
    # Own reports, oldest first, and the number of dropped ones.
    reports: list[QueuedReport] = field(default_factory=list)
    reports_dropped: int = 0
    # Rank of this instance among all, which orders their trials.
    rank: int = 0

    def admit(self, request: CallerRequest, at: float) -> Admitted | Quarantined:
        """Return whether a request may be sent now, and count a trial as sent."""
        if not self.suspects:
            return Admitted()
        fingerprint = fingerprint_of(request)
        suspect = self.suspects.get(fingerprint)
        assessment = self.assess(fingerprint, at)
        if assessment is Assessment.NO_EVIDENCE:
            return Admitted()
        end_at = suspect.last_crash_at + QUARANTINE_S
        if at >= end_at:
            return Admitted()
        if assessment is Assessment.CRASHING:
            return Quarantined(end_at - at)
        trial_at = max(self.first_trial_at(fingerprint, at), suspect.next_trial_at)
        if at < trial_at:
            return Quarantined(trial_at - at)
        suspect.next_trial_at = at + TRIAL_INTERVAL_S
        suspect.trials.add(request.id)
        return Admitted(trial=True)

    def assess(self, fingerprint: str, at: float) -> Assessment:
        """Return what the known crashes say about the requests of a fingerprint."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            return Assessment.NO_EVIDENCE
        crashes = suspect.crashes_after(self.completed_at(fingerprint))
        return assess(crashes, self.completed_recently(fingerprint, at))

    def completed_at(self, fingerprint: str) -> float:
        """Return when a request last completed, minus infinity if that is unknown."""
        return self.completions.get(fingerprint, -math.inf)

    def completed_recently(self, fingerprint: str, at: float) -> bool:
        """Return whether a request completed within the duration of a quarantine."""
        return self.completed_at(fingerprint) > at - QUARANTINE_S

    def first_trial_at(self, fingerprint: str, at: float) -> float:
        """Return when this instance may send the first trial of a request."""
        suspect = self.suspects[fingerprint]
        crashes = suspect.crashes_after(self.completed_at(fingerprint))
        first_crash_at = min(times.ended_at for times in crashes.values())
        known = self.completed_recently(fingerprint, at)
        hold_s = OUTAGE_S if known else UNKNOWN_REQUEST_HOLD_S
        return first_crash_at + hold_s + self.rank * TRIAL_SPACING_S

    def record_interrupted(
        self, request: CallerRequest, server: str, incarnation: int, times: AttemptTimes
    ) -> frozenset[tuple[str, int]]:
        """Record an attempt that ended without a response.

        Return the id and incarnation of each backend server to probe. There are none
        for the first such attempt of a request; a second is unlikely to be chance.
        """
        fingerprint = fingerprint_of(request)
        suspect = self.suspects.get(fingerprint)
        trial = suspect is not None and request.id in suspect.trials
        attempts = self.interrupted.pop(fingerprint, {})
        attempts = {
            crash: earlier
            for crash, earlier in attempts.items()
            if earlier.ended_at > times.ended_at - CRASH_CONFIRMATION_S
        }
        attempts[Crash(server, incarnation, request.id, trial)] = times
        self.interrupted[fingerprint] = attempts
        if len(self.interrupted) > MAX_INTERRUPTED_REQUESTS:
            del self.interrupted[next(iter(self.interrupted))]
        if len(attempts) == 1 and suspect is None:
            return frozenset()
        return frozenset((crash.server, crash.incarnation) for crash in attempts)

    def record_unavailable(self, server: str, incarnation: int, at: float) -> None:
        """Record that a backend server was removed or is unreachable."""
        for fingerprint, attempts in tuple(self.interrupted.items()):
            for crash, times in tuple(attempts.items()):
                if (crash.server, crash.incarnation) != (server, incarnation):
                    continue
                del attempts[crash]
                if at <= times.ended_at + CRASH_CONFIRMATION_S:
                    self.add_crash(fingerprint, crash, times, at)
                    self.queue_report(QueuedReport(fingerprint, at, crash, times))
            if not attempts:
                del self.interrupted[fingerprint]

    def record_completed(self, request: CallerRequest, at: float) -> None:
        """Record that a backend server completed a request, which clears it."""
        fingerprint = fingerprint_of(request)
        self.interrupted.pop(fingerprint, None)
        if self.add_completion(fingerprint, at):
            self.queue_report(QueuedReport(fingerprint, at))

    def add_completion(self, fingerprint: str, at: float) -> bool:
        """Clear a suspect of the crashes before a completion; return whether it was."""
        at = max(at, self.completions.pop(fingerprint, at))
        self.completions[fingerprint] = at
        if len(self.completions) > MAX_COMPLETED_REQUESTS:
            del self.completions[next(iter(self.completions))]
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            return False
        suspect.crashes = suspect.crashes_after(at)
        if not suspect.crashes:
            del self.suspects[fingerprint]
        return True

    def queue_report(self, report: QueuedReport) -> None:
        """Queue a report for peers; drop those expired or over the limit."""
        self.reports.append(report)
        while (
            self.reports[0].at < report.at - QUARANTINE_S
            or len(self.reports) > MAX_SUSPECTS
        ):
            del self.reports[0]
            self.reports_dropped += 1

    def reports_after(
        self, number: int, at: float
    ) -> tuple[tuple[CrashReport | ClearedReport, ...], int]:
        """Return the reports after the first `number`, and the total so far."""
        start = max(0, number - self.reports_dropped)
        reports = tuple(report.as_of(at) for report in self.reports[start:])
        return reports, self.reports_dropped + len(self.reports)

    def add_crash(
        self, fingerprint: str, crash: Crash, times: AttemptTimes, at: float
    ) -> None:
        """Add a crash to a suspect; drop the oldest one if expired or in excess."""
        suspect = self.suspects.pop(fingerprint, None) or Suspect()
        suspect.crashes[crash] = times
        suspect.changed_at = at
        # The dict is in order of change, so the first entry is the oldest.
        self.suspects[fingerprint] = suspect
        oldest = next(iter(self.suspects))
        outdated = at > self.suspects[oldest].changed_at + QUARANTINE_S
        if outdated or len(self.suspects) > MAX_SUSPECTS:
            del self.suspects[oldest]


@singledispatch
def apply_report(report: object, tracker: CrashTracker, at: float) -> None:
    """Apply the report of a peer to the crash tracker."""
    raise TypeError(f"unsupported report type: {type(report).__name__}")


@apply_report.register
def _(report: CrashReport, tracker: CrashTracker, at: float) -> None:
    times = AttemptTimes(at - report.sent_ago_s, at - report.ended_ago_s)
    tracker.add_crash(report.fingerprint, report.crash, times, at)


@apply_report.register
def _(report: ClearedReport, tracker: CrashTracker, at: float) -> None:
    tracker.add_completion(report.fingerprint, at - report.completed_ago_s)


def fingerprint_of(request: CallerRequest) -> str:
    """Return a hash of the host, method, target and body, equal for retries."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (request.host, request.method, request.target):
        digest.update(part.encode("utf-8", "surrogateescape"))
        digest.update(b"\x00")
    digest.update(request.body)
    return digest.hexdigest()
