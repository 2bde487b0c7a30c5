"""Requests that crash the backend servers that run them.

A connection that ends without a response may have many causes. It counts as a crash
if the backend server is gone or cannot be reached soon afterwards. A request is
quarantined when it crashed enough backend servers in more than one attempt of its
caller: one attempt of a search may lose several shards to a common cause.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from functools import singledispatch

from .reports import ServerReport
from .requests import CallerRequest

# A request is quarantined after so many crashed backend servers ...
QUARANTINE_MIN_SERVERS = 3
# ... in so many attempts of its caller.
QUARANTINE_MIN_ATTEMPTS = 2
# A backend server that crashed is noticed to be away within this time.
CRASH_CONFIRMATION_S = 10.0
# A quarantine ends this long after the last crash.
QUARANTINE_S = 60.0
MAX_SUSPECTS = 1000
# Requests with interrupted runs that are remembered; each outage of a backend server
# looks through all of them.
MAX_INTERRUPTED_REQUESTS = 200


@dataclass(frozen=True, slots=True)
class Crash:
    """Record that a backend server crashed while it ran a request."""

    server: str
    incarnation: int
    # Id of the caller's attempt.
    request: str


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Tell peers of a crash under a request."""

    fingerprint: str
    crash: Crash


@dataclass(frozen=True, slots=True)
class ClearedReport:
    """Tell peers that a backend server ran a suspected request to its end."""

    fingerprint: str


@dataclass(frozen=True, slots=True)
class PeerUpdate:
    """Hold what an instance observed since it last told a peer."""

    servers: tuple[ServerReport, ...] = ()
    requests: tuple[CrashReport | ClearedReport, ...] = ()


@dataclass(slots=True)
class Suspect:
    """Hold the crashes under one fingerprint; updated in place."""

    crashes: set[Crash] = field(default_factory=set)
    changed_at: float = 0.0

    @property
    def quarantined(self) -> bool:
        """Return whether the request must not run again."""
        servers = {(crash.server, crash.incarnation) for crash in self.crashes}
        requests = {crash.request for crash in self.crashes}
        return (
            len(servers) >= QUARANTINE_MIN_SERVERS
            and len(requests) >= QUARANTINE_MIN_ATTEMPTS
        )


@dataclass(slots=True)
class CrashTracker:
    """Hold the suspects by fingerprint and the reports for peers.

    Most of the time there are none, and a request costs one look at an empty table.
    """

    suspects: dict[str, Suspect] = field(default_factory=dict)
    # Runs without a response and their times, by fingerprint.
    interrupted: dict[str, dict[Crash, float]] = field(default_factory=dict)
    # Own reports and their times, oldest first, and the number of those dropped.
    reports: list[tuple[CrashReport | ClearedReport, float]] = field(
        default_factory=list
    )
    reports_dropped: int = 0

    def quarantined(self, request: CallerRequest, at: float) -> bool:
        """Return whether a request must not run."""
        if not self.suspects:
            return False
        suspect = self.suspects.get(fingerprint_of(request))
        if suspect is None or not suspect.quarantined:
            return False
        return at < suspect.changed_at + QUARANTINE_S

    def record_interrupted(
        self, request: CallerRequest, server: str, incarnation: int, at: float
    ) -> frozenset[tuple[str, int]]:
        """Note a run that ended without a response.

        Return the backend servers, by id and incarnation, that are worth a look
        whether they are still there: a second loss of the same request is no chance.
        """
        fingerprint = fingerprint_of(request)
        runs = self.interrupted.pop(fingerprint, {})
        runs = {
            crash: since
            for crash, since in runs.items()
            if since > at - CRASH_CONFIRMATION_S
        }
        runs[Crash(server, incarnation, request.id)] = at
        self.interrupted[fingerprint] = runs
        if len(self.interrupted) > MAX_INTERRUPTED_REQUESTS:
            del self.interrupted[next(iter(self.interrupted))]
        if len(runs) == 1 and fingerprint not in self.suspects:
            return frozenset()
        return frozenset((crash.server, crash.incarnation) for crash in runs)

    def record_unavailable(self, server: str, incarnation: int, at: float) -> None:
        """Note that a backend server is gone or cannot be reached."""
        for fingerprint, runs in tuple(self.interrupted.items()):
            for crash, since in tuple(runs.items()):
                if (crash.server, crash.incarnation) != (server, incarnation):
                    continue
                del runs[crash]
                if at <= since + CRASH_CONFIRMATION_S:
                    self.add_crash(fingerprint, crash, at)
                    self.queue_report(CrashReport(fingerprint, crash), at)
            if not runs:
                del self.interrupted[fingerprint]

    def record_completed(self, request: CallerRequest, at: float) -> None:
        """Note that a backend server ran a request to its end."""
        if not self.suspects and not self.interrupted:
            return
        fingerprint = fingerprint_of(request)
        self.interrupted.pop(fingerprint, None)
        if self.suspects.pop(fingerprint, None) is not None:
            self.queue_report(ClearedReport(fingerprint), at)

    def queue_report(self, report: CrashReport | ClearedReport, at: float) -> None:
        """Keep a report for the peers and drop outdated ones."""
        self.reports.append((report, at))
        while (
            self.reports[0][1] < at - QUARANTINE_S or len(self.reports) > MAX_SUSPECTS
        ):
            del self.reports[0]
            self.reports_dropped += 1

    def reports_after(
        self, number: int
    ) -> tuple[tuple[CrashReport | ClearedReport, ...], int]:
        """Return the reports behind a number of reports, and their number in all."""
        start = max(0, number - self.reports_dropped)
        reports = tuple(report for report, _ in self.reports[start:])
        return reports, self.reports_dropped + len(self.reports)

    def add_crash(self, fingerprint: str, crash: Crash, at: float) -> None:
        """Add a crash; drop the oldest suspects."""
        suspect = self.suspects.pop(fingerprint, None) or Suspect()
        suspect.crashes.add(crash)
        suspect.changed_at = at
        # The newest stands last, so the first is the one that changed longest ago.
        self.suspects[fingerprint] = suspect
        oldest = next(iter(self.suspects))
        outdated = at > self.suspects[oldest].changed_at + QUARANTINE_S
        if outdated or len(self.suspects) > MAX_SUSPECTS:
            del self.suspects[oldest]


@singledispatch
def apply_report(report: object, tracker: CrashTracker, at: float) -> None:
    """Follow the report of a peer."""
    raise TypeError(f"not a report: {type(report).__name__}")


@apply_report.register
def _(report: CrashReport, tracker: CrashTracker, at: float) -> None:
    tracker.add_crash(report.fingerprint, report.crash, at)


@apply_report.register
def _(report: ClearedReport, tracker: CrashTracker, at: float) -> None:
    tracker.suspects.pop(report.fingerprint, None)


def fingerprint_of(request: CallerRequest) -> str:
    """Return what is the same when a caller sends a request again."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (request.host, request.method, request.target):
        digest.update(part.encode("utf-8", "surrogateescape"))
        digest.update(b"\x00")
    digest.update(request.body)
    return digest.hexdigest()
