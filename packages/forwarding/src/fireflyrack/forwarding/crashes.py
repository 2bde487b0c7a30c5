"""Detection and quarantine of requests that crash backend servers.

A connection can close without a response for many reasons. It counts as a crash if the
backend server is removed or unreachable soon afterwards. A request is quarantined after
it crashed enough backend servers in more than one attempt of its caller, since a single
attempt of a search may lose several shards to one common cause.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from functools import singledispatch

from fireflyrack.availability import SharedStatement

from .reports import ServerReport
from .requests import CallerRequest

# Crashed backend servers after which a request is quarantined.
QUARANTINE_MIN_SERVERS = 3
# Minimum number of attempts of the caller that these crashes come from.
QUARANTINE_MIN_ATTEMPTS = 2
# Time within which a backend server must become unreachable for an interrupted attempt
# to count as a crash.
CRASH_CONFIRMATION_S = 10.0
# Duration of a quarantine after the last crash.
QUARANTINE_S = 60.0
MAX_SUSPECTS = 1000
# Maximum number of requests with interrupted attempts that are kept. Each outage of a
# backend server scans all of them.
MAX_INTERRUPTED_REQUESTS = 200


@dataclass(frozen=True, slots=True)
class Crash:
    """Crash, or suspected crash, of a backend server while it executed a request."""

    server: str
    incarnation: int
    # Request id, which is different for each attempt of the caller.
    request: str


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Report to peers that a request crashed a backend server."""

    fingerprint: str
    crash: Crash


@dataclass(frozen=True, slots=True)
class ClearedReport:
    """Report to peers that a suspect request completed on a backend server."""

    fingerprint: str


@dataclass(frozen=True, slots=True)
class PeerUpdate:
    """Reports of an instance since its last update to a peer."""

    servers: tuple[ServerReport, ...] = ()
    requests: tuple[CrashReport | ClearedReport, ...] = ()
    statements: tuple[SharedStatement, ...] = ()


@dataclass(slots=True)
class Suspect:
    """Crashes caused by requests of one fingerprint; mutable."""

    crashes: set[Crash] = field(default_factory=set)
    changed_at: float = 0.0

    @property
    def quarantined(self) -> bool:
        """Return whether the crashes reach the thresholds of a quarantine."""
        servers = {(crash.server, crash.incarnation) for crash in self.crashes}
        requests = {crash.request for crash in self.crashes}
        return (
            len(servers) >= QUARANTINE_MIN_SERVERS
            and len(requests) >= QUARANTINE_MIN_ATTEMPTS
        )


@dataclass(slots=True)
class CrashTracker:
    """Suspect requests by fingerprint, and the crash reports for peers.

    Usually there are no suspects, and a request costs one check of an empty dict.
    """

    suspects: dict[str, Suspect] = field(default_factory=dict)
    # Attempts that ended without a response, with their end times, by fingerprint.
    interrupted: dict[str, dict[Crash, float]] = field(default_factory=dict)
    # Own reports and their times, oldest first, and the number of dropped ones.
    reports: list[tuple[CrashReport | ClearedReport, float]] = field(
        default_factory=list
    )
    reports_dropped: int = 0

    def quarantined(self, request: CallerRequest, at: float) -> bool:
        """Return whether a request is quarantined and must not be sent."""
        if not self.suspects:
            return False
        suspect = self.suspects.get(fingerprint_of(request))
        if suspect is None or not suspect.quarantined:
            return False
        return at < suspect.changed_at + QUARANTINE_S

    def record_interrupted(
        self, request: CallerRequest, server: str, incarnation: int, at: float
    ) -> frozenset[tuple[str, int]]:
        """Record an attempt that ended without a response.

        Return the id and incarnation of each backend server to probe. There are none
        for the first such attempt of a request; a second is unlikely to be chance.
        """
        fingerprint = fingerprint_of(request)
        attempts = self.interrupted.pop(fingerprint, {})
        attempts = {
            crash: since
            for crash, since in attempts.items()
            if since > at - CRASH_CONFIRMATION_S
        }
        attempts[Crash(server, incarnation, request.id)] = at
        self.interrupted[fingerprint] = attempts
        if len(self.interrupted) > MAX_INTERRUPTED_REQUESTS:
            del self.interrupted[next(iter(self.interrupted))]
        if len(attempts) == 1 and fingerprint not in self.suspects:
            return frozenset()
        return frozenset((crash.server, crash.incarnation) for crash in attempts)

    def record_unavailable(self, server: str, incarnation: int, at: float) -> None:
        """Record that a backend server was removed or is unreachable."""
        for fingerprint, attempts in tuple(self.interrupted.items()):
            for crash, since in tuple(attempts.items()):
                if (crash.server, crash.incarnation) != (server, incarnation):
                    continue
                del attempts[crash]
                if at <= since + CRASH_CONFIRMATION_S:
                    self.add_crash(fingerprint, crash, at)
                    self.queue_report(CrashReport(fingerprint, crash), at)
            if not attempts:
                del self.interrupted[fingerprint]

    def record_completed(self, request: CallerRequest, at: float) -> None:
        """Record that a backend server completed a request, which clears it."""
        if not self.suspects and not self.interrupted:
            return
        fingerprint = fingerprint_of(request)
        self.interrupted.pop(fingerprint, None)
        if self.suspects.pop(fingerprint, None) is not None:
            self.queue_report(ClearedReport(fingerprint), at)

    def queue_report(self, report: CrashReport | ClearedReport, at: float) -> None:
        """Queue a report for peers; drop those expired or over the limit."""
        self.reports.append((report, at))
        while (
            self.reports[0][1] < at - QUARANTINE_S or len(self.reports) > MAX_SUSPECTS
        ):
            del self.reports[0]
            self.reports_dropped += 1

    def reports_after(
        self, number: int
    ) -> tuple[tuple[CrashReport | ClearedReport, ...], int]:
        """Return the reports after the first `number`, and the total so far."""
        start = max(0, number - self.reports_dropped)
        reports = tuple(report for report, _ in self.reports[start:])
        return reports, self.reports_dropped + len(self.reports)

    def add_crash(self, fingerprint: str, crash: Crash, at: float) -> None:
        """Add a crash to a suspect; drop the oldest one if expired or in excess."""
        suspect = self.suspects.pop(fingerprint, None) or Suspect()
        suspect.crashes.add(crash)
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
    tracker.add_crash(report.fingerprint, report.crash, at)


@apply_report.register
def _(report: ClearedReport, tracker: CrashTracker, at: float) -> None:
    tracker.suspects.pop(report.fingerprint, None)


def fingerprint_of(request: CallerRequest) -> str:
    """Return a hash of the host, method, target and body, equal for retries."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (request.host, request.method, request.target):
        digest.update(part.encode("utf-8", "surrogateescape"))
        digest.update(b"\x00")
    digest.update(request.body)
    return digest.hexdigest()
