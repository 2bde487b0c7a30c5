"""Guard against requests that are blamed for an outage of backend servers.

A small model of a fleet: instances exchange their reports, servers crash under one
request or all at once, and popular requests are in flight on each of them.
"""

from __future__ import annotations

import itertools
import os
import random
from dataclasses import dataclass, field

import pytest

from fireflyrack.forwarding import (
    Assessment,
    AttemptTimes,
    CallerRequest,
    CrashTracker,
    Quarantined,
    apply_report,
)
from fireflyrack.forwarding.crashes import fingerprint_of
from fireflyrack.forwarding.suspects import MIN_CRASHED_SERVERS, OUTAGE_S

SEEDS = int(os.environ.get("OUTAGE_SEEDS", "2"))
STEP_S = 0.01
REPORT_INTERVAL_S = 0.1
CONFIRMATION_S = 0.03
CRASH_AFTER_S = 0.02
RESTART_S = 2.0
MAX_ATTEMPTS = 2
POPULAR, CRASHING = "/popular", "/crashing"
# Longest pause of a popular request after the servers are back, with four instances.
RECOVERY_S = 2.5


@dataclass(eq=False)
class Run:
    """One attempt in flight."""

    request: CallerRequest
    instance: int
    server: int
    sent_at: float
    attempts_left: int


@dataclass
class Server:
    incarnation: int = 0
    back_at: float = 0.0
    runs: list[Run] = field(default_factory=list)


class Fleet:
    """Instances with their trackers, and the backend servers of one service."""

    def __init__(self, instances: int, servers: int, run_s: float, seed: int) -> None:
        self.trackers = [CrashTracker(rank=rank) for rank in range(instances)]
        self.delivered = dict.fromkeys(itertools.permutations(range(instances), 2), 0)
        self.servers = [Server() for _ in range(servers)]
        self.run_s = run_s
        self.rng = random.Random(seed)
        self.now = 0.0
        self.numbers = itertools.count()
        self.unconfirmed: list[tuple[float, int, int]] = []
        # Times at which popular requests completed, and were refused.
        self.completed: list[float] = []
        self.refused: list[float] = []
        # Times at which the crashing request took down a server.
        self.crashes: list[float] = []

    def send(self, target: str, instance: int | None = None) -> None:
        """Send a new request at an instance, a random one by default."""
        if instance is None:
            instance = self.rng.randrange(len(self.trackers))
        id = f"r{next(self.numbers)}"
        request = CallerRequest(id, "h", "GET", target, (), b"", self.now, None)
        admission = self.trackers[instance].admit(request, self.now)
        if isinstance(admission, Quarantined):
            self.refused.append(self.now)
            return
        self.attempt(request, instance, 1 if admission.trial else MAX_ATTEMPTS)

    def attempt(self, request: CallerRequest, instance: int, attempts: int) -> None:
        """Start an attempt on a random server that is up."""
        up = [n for n, s in enumerate(self.servers) if self.now >= s.back_at]
        if up and attempts:
            server = self.rng.choice(up)
            run = Run(request, instance, server, self.now, attempts - 1)
            self.servers[server].runs.append(run)

    def crash(self, number: int, down_s: float = RESTART_S) -> None:
        """Take down a server; what it ran is sent to another one at once."""
        server = self.servers[number]
        runs, server.runs = server.runs, []
        self.unconfirmed.append((self.now + CONFIRMATION_S, number, server.incarnation))
        for run in runs:
            times = AttemptTimes(run.sent_at, self.now)
            self.trackers[run.instance].record_interrupted(
                run.request, f"s{number}", server.incarnation, times
            )
        server.incarnation += 1
        server.back_at = self.now + down_s
        for run in runs:
            self.attempt(run.request, run.instance, run.attempts_left)

    def step(self) -> None:
        """Advance the time; end attempts, confirm crashes and exchange reports."""
        self.now = round(self.now + STEP_S, 3)
        for number, server in enumerate(self.servers):
            for run in tuple(server.runs):
                if run in server.runs:
                    self.advance(run, number)
        for due_at, number, incarnation in tuple(self.unconfirmed):
            if due_at <= self.now:
                self.unconfirmed.remove((due_at, number, incarnation))
                for tracker in self.trackers:
                    tracker.record_unavailable(f"s{number}", incarnation, self.now)
        if round(self.now / STEP_S) % round(REPORT_INTERVAL_S / STEP_S) == 0:
            self.exchange_reports()

    def advance(self, run: Run, number: int) -> None:
        """End an attempt that has run long enough, or crash its server."""
        crashing = run.request.target == CRASHING
        if crashing and self.now >= run.sent_at + CRASH_AFTER_S:
            self.crashes.append(self.now)
            self.crash(number)
        elif not crashing and self.now >= run.sent_at + self.run_s:
            self.servers[number].runs.remove(run)
            self.trackers[run.instance].record_completed(run.request, self.now)
            self.completed.append(self.now)

    def exchange_reports(self) -> None:
        for source, target in self.delivered:
            reports, count = self.trackers[source].reports_after(
                self.delivered[source, target], self.now
            )
            self.delivered[source, target] = count
            for report in reports:
                apply_report(report, self.trackers[target], self.now)

    def play(self, until: float, popular_per_s: float, crashing_at=()) -> None:
        """Send popular requests at a rate, and crashing ones at given times."""
        crashing = iter(sorted(crashing_at))
        next_crashing = next(crashing, None)
        while self.now < until:
            if self.rng.random() < popular_per_s * STEP_S:
                self.send(POPULAR)
            if next_crashing is not None and self.now >= next_crashing:
                self.send(CRASHING)
                next_crashing = next(crashing, None)
            self.step()

    def assessments(self, target: str) -> set[Assessment]:
        """Return what the instances think of a request."""
        request = CallerRequest("r", "h", "GET", target, (), b"", self.now, None)
        fingerprint = fingerprint_of(request)
        return {tracker.assess(fingerprint, self.now) for tracker in self.trackers}


def served_in(fleet: Fleet, start: float, end: float) -> bool:
    """Return whether popular requests completed and none was refused in a time."""
    completed = any(start <= at < end for at in fleet.completed)
    return completed and not any(start <= at < end for at in fleet.refused)


@pytest.mark.parametrize("seed", range(SEEDS))
@pytest.mark.parametrize("known", [True, False], ids=["known", "new"])
@pytest.mark.parametrize("skew_steps", [0, 1, 5], ids=["at once", "10 ms", "50 ms"])
def test_popular_request_is_served_after_an_outage_of_its_service(
    seed, known, skew_steps
):
    """Guards against a quarantine of a request that was in flight on each server.

    All servers of the service go down with attempts of each instance in flight; what
    they interrupt is sent to the servers that go down next.
    """
    fleet = Fleet(instances=4, servers=8, run_s=0.12, seed=seed)
    if known:
        fleet.play(1.0, popular_per_s=50)
    for server, instance in itertools.product(range(8), range(4)):
        id = f"first-{server}-{instance}"
        request = CallerRequest(id, "h", "GET", POPULAR, (), b"", fleet.now, None)
        fleet.servers[server].runs.append(
            Run(request, instance, server, fleet.now, MAX_ATTEMPTS - 1)
        )
    fleet.step()
    back_at = fleet.now + 4.0
    for server in range(8):
        fleet.crash(server, down_s=back_at - fleet.now)
        for _ in range(skew_steps):
            fleet.step()
    fleet.play(back_at + RECOVERY_S, popular_per_s=50)
    fleet.play(fleet.now + 3.0, popular_per_s=50)
    assert served_in(fleet, back_at + RECOVERY_S, fleet.now)
    assert fleet.assessments(POPULAR) == {Assessment.NO_EVIDENCE}


@pytest.mark.parametrize("seed", range(SEEDS))
@pytest.mark.parametrize("run_s", [0.12, 1.0])
@pytest.mark.parametrize("period_s", [0.05, 0.3, 1.2, 3.0])
def test_crashing_request_is_contained_and_a_popular_one_is_not_blamed(
    seed, run_s, period_s
):
    """Guards against a request that takes down server after server of the fleet.

    The popular request is in flight on the servers that the other one takes down.
    """
    fleet = Fleet(instances=4, servers=3, run_s=run_s, seed=seed)
    fleet.play(2.0, popular_per_s=50)
    crashing_at = [2.0 + number * period_s for number in range(int(13 / period_s))]
    fleet.play(15.0, popular_per_s=50, crashing_at=crashing_at)
    fleet.play(19.0, popular_per_s=50)
    assert Assessment.CRASHING not in fleet.assessments(POPULAR)
    assert served_in(fleet, 16.0, 19.0)
    assert fleet.assessments(CRASHING) == {Assessment.CRASHING}
    third = fleet.crashes[MIN_CRASHED_SERVERS - 1]
    later = [at for at in fleet.crashes if at > third + 4.0]
    assert len(later) <= 3
    assert len(fleet.crashes) <= 2 * MIN_CRASHED_SERVERS


def test_request_that_is_sent_again_after_its_crashes_is_quarantined_at_the_third():
    """Guards against a trial of a request whose crashes no outage explains."""
    fleet = Fleet(instances=4, servers=8, run_s=0.1, seed=1)
    crashing_at = [number * (OUTAGE_S + 0.2) for number in range(10)]
    fleet.play(30.0, popular_per_s=0, crashing_at=crashing_at)
    # Each request is sent to two servers.
    assert len(fleet.crashes) == 4


def test_crash_that_ended_before_a_completion_does_not_count_when_reported_late():
    """Guards against evidence in the order of its reports instead of its times."""
    request = CallerRequest("r1", "h", "GET", POPULAR, (), b"", 0.0, None)
    reporter, late = CrashTracker(), CrashTracker()
    for number in range(MIN_CRASHED_SERVERS):
        times = AttemptTimes(number * 2.0, number * 2.0 + 0.1)
        reporter.record_interrupted(
            CallerRequest(f"r{number}", "h", "GET", POPULAR, (), b"", 0.0, None),
            f"s{number}",
            0,
            times,
        )
        reporter.record_unavailable(f"s{number}", 0, times.ended_at)
    late.record_completed(request, 4.2)
    reports, _ = reporter.reports_after(0, 5.0)
    for report in reports:
        apply_report(report, late, 5.0)
    assert late.assess(fingerprint_of(request), 5.0) is Assessment.NO_EVIDENCE
    late.record_completed(request, 5.1)
    (cleared,), _ = late.reports_after(0, 5.2)
    apply_report(cleared, reporter, 5.2)
    assert reporter.assess(fingerprint_of(request), 5.2) is Assessment.NO_EVIDENCE


def test_crash_of_a_trial_quarantines_the_request_on_all_instances():
    """Guards against a trial on each instance of a request that crashes servers."""
    fleet = Fleet(instances=4, servers=8, run_s=0.1, seed=1)
    for instance in range(3):
        fleet.send(CRASHING, instance)
    for _ in range(20):
        fleet.step()
    before = len(fleet.crashes)
    assert fleet.assessments(CRASHING) == {Assessment.UNDECIDED}
    fleet.play(20.0, 0, crashing_at=[0.2 + 0.1 * n for n in range(190)])
    assert fleet.assessments(CRASHING) == {Assessment.CRASHING}
    assert len(fleet.crashes) == before + 1
