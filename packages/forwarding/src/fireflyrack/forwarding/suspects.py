"""Evidence that a request crashes the backend servers that run it.

A request that was in flight when backend servers went down is the cause, or one that
the outage interrupted. It is not the cause if it completes elsewhere. If it does not,
what counts is whether it was sent again after a crash and crashed further servers:
attempts that were in flight together may all have ended by one outage.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Mapping
from dataclasses import dataclass, field

# Crashed backend servers from which on a request is no longer sent as usual.
MIN_CRASHED_SERVERS = 3
# Minimum number of attempts of the caller that these crashes come from, since a single
# attempt of a search may lose several shards to one common cause.
MIN_CALLER_ATTEMPTS = 2
# Crashes of attempts that were sent within this time after the first one may have one
# common cause, such as a loss of power.
OUTAGE_S = 1.0


@dataclass(frozen=True, slots=True)
class Crash:
    """Crash, or suspected crash, of a backend server while it executed a request."""

    server: str
    incarnation: int
    # Request id, which is different for each attempt of the caller.
    request: str
    # Whether the request was a trial, sent on its own to find out.
    trial: bool = False


@dataclass(frozen=True, slots=True)
class AttemptTimes:
    """Start and end of an attempt, in seconds of a monotonic clock."""

    sent_at: float
    ended_at: float


class Assessment(enum.Enum):
    """What the evidence on a request says."""

    # Too little to refuse the request.
    NO_EVIDENCE = "no evidence"
    # The request or an outage crashed the servers; a trial can tell.
    UNDECIDED = "undecided"
    # The request crashed the servers.
    CRASHING = "crashes servers"


@dataclass(slots=True)
class Suspect:
    """Crashes while requests of one fingerprint were executed; mutable."""

    crashes: dict[Crash, AttemptTimes] = field(default_factory=dict)
    changed_at: float = 0.0
    # Ids of the requests that were sent as trials, and when the next may be.
    trials: set[str] = field(default_factory=set)
    next_trial_at: float = -math.inf

    @property
    def last_crash_at(self) -> float:
        """Return the end of the last attempt that crashed a backend server."""
        return max(times.ended_at for times in self.crashes.values())

    def crashes_after(self, completed_at: float) -> dict[Crash, AttemptTimes]:
        """Return the crashes that ended after the last completion."""
        return {
            crash: times
            for crash, times in self.crashes.items()
            if times.ended_at > completed_at
        }


def assess(
    crashes: Mapping[Crash, AttemptTimes], completed_recently: bool
) -> Assessment:
    """Return what the crashes since the last completion of a request say about it."""
    servers = {(crash.server, crash.incarnation) for crash in crashes}
    requests = {crash.request for crash in crashes}
    if len(servers) < MIN_CRASHED_SERVERS or len(requests) < MIN_CALLER_ATTEMPTS:
        return Assessment.NO_EVIDENCE
    if any(crash.trial for crash in crashes):
        return Assessment.CRASHING
    # A request that completed a while ago has most likely not become a crashing one.
    if completed_recently or not spans_outages(crashes):
        return Assessment.UNDECIDED
    return Assessment.CRASHING


def spans_outages(crashes: Mapping[Crash, AttemptTimes]) -> bool:
    """Return whether no single outage explains all crashes."""
    first_ended_at = min(times.ended_at for times in crashes.values())
    return any(times.sent_at >= first_ended_at + OUTAGE_S for times in crashes.values())
