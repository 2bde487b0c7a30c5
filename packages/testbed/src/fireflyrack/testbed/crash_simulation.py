"""Simulation of a request that crashes each backend server that runs it.

Run it as `python -m fireflyrack.testbed.crash_simulation --runs N`. It compares the
quarantine with a naive version that sends each request to any backend server.
"""

from __future__ import annotations

import argparse
import random
import statistics
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from fireflyrack.core import StateMachine
from fireflyrack.requests import (
    Allowed,
    AttemptOutcomeUnknown,
    EvidenceReceived,
    Isolated,
    NotSent,
    OwnerState,
    PublishEvidence,
    QuarantineState,
    Ran,
    RequestEnded,
    RequestSettings,
    RequestStarted,
    ReturnResult,
    RunEnded,
    RunId,
    RunReceived,
    RunSweepTimerFired,
    SendRun,
    ServerCrashed,
    UnknownCause,
    candidates_for,
    check,
    decide_owner,
    decide_quarantine,
    refusal_at,
)

from .simulated_time import SimulatedTime

SERVICE = "desk"
CRASHING = "crashing"
LENGTH_S = 60.0
RESTART_S = 2.0
RUN_S = 0.2
CRASH_AFTER_S = 0.1
DEADLINE_S = 2.0


@dataclass(frozen=True, slots=True)
class CrashLayout:
    """State the size of the fleet, the traffic and the spread of evidence."""

    instances: int = 4
    backend_servers: int = 3
    harmless_requests: int = 30
    harmless_period_s: float = 0.1
    # The caller resends the crashing request this often, to random instances.
    crashing_period_s: float = 0.3
    spread_s: float = 0.2
    lost_push: float = 0.2
    # The periodic comparison of digests repairs a lost push after this time.
    repair_s: float = 2.0


@dataclass(slots=True)
class CrashReport:
    """Count what happened to the backend servers and to harmless requests."""

    crashed_servers: set[str] = field(default_factory=set)
    crashes: int = 0
    harmless_runs: int = 0
    harmless_lost: int = 0
    harmless_refused: int = 0
    harmless_quarantined: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Server:
    """Hold one backend server and the runs on it."""

    up: bool = True
    running: dict[RunId, str] = field(default_factory=dict)


class CrashSimulation(SimulatedTime):
    """Simulate one crashing request among harmless ones; call `run` once."""

    def __init__(self, seed: int, layout: CrashLayout, quarantine: bool) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self.layout = layout
        self.quarantine = quarantine
        settings = RequestSettings()
        self.names = tuple(f"b{n}" for n in range(layout.backend_servers))
        self.servers = {name: Server() for name in self.names}
        self.views = [QuarantineState(settings) for _ in range(layout.instances)]
        self.owners = [
            self.machine(place, settings) for place in range(layout.instances)
        ]
        self.fingerprints: dict[RunId, str] = {}
        self.plans: dict[RunId, list[str]] = {}
        # Attempts by the call that waits for their result.
        self.calls: dict[int, RunId] = {}
        self.report = CrashReport()

    def machine(
        self, place: int, settings: RequestSettings
    ) -> StateMachine[OwnerState]:
        """Return the owner's machine of one instance."""
        state = OwnerState(f"e{place}", settings)
        return StateMachine(state, decide_owner, lambda action: self.act(place, action))

    def run(self) -> CrashReport:
        """Run all requests and return the counts."""
        layout = self.layout
        self.repeat(layout.crashing_period_s, lambda: CRASHING)
        self.repeat(
            layout.harmless_period_s,
            lambda: f"harmless{self.rng.randrange(layout.harmless_requests)}",
        )
        self.run_actions()
        for view in self.views:
            self.report.harmless_quarantined.update(
                name
                for name, entry in view.entries.items()
                if entry.evidence.is_quarantined() and name != CRASHING
            )
        return self.report

    def repeat(self, period_s: float, name: Callable[[], str]) -> None:
        """Send a request at random intervals."""

        def send() -> None:
            if self.now < LENGTH_S:
                self.submit(name())
                self.after(self.rng.expovariate(1 / period_s), send)

        self.after(self.rng.expovariate(1 / period_s), send)

    def submit(self, fingerprint: str) -> None:
        """Send a request from a random issuer with a new ticket."""
        place = self.rng.randrange(self.layout.instances)
        run = RunId(f"e{place}", self.order.next())
        self.fingerprints[run] = fingerprint
        if self.quarantine:
            verdict = check(self.views[place], fingerprint)
            self.plans[run] = list(candidates_for(verdict, fingerprint, self.names, ()))
        else:
            self.plans[run] = self.rng.sample(self.names, len(self.names))
        self.try_next(run)

    def try_next(self, run: RunId) -> None:
        """Send a run to its next backend server, through that server's owner."""
        fingerprint = self.fingerprints[run]
        if not self.plans[run]:
            self.report.harmless_refused += fingerprint != CRASHING
            return
        name = self.plans[run].pop(0)
        place = self.place_of(name)
        verdict = check(self.views[place], fingerprint)
        if not self.quarantine:
            verdict = Allowed()
        attempt = RunId(run.issuer, self.order.next())
        self.fingerprints[attempt] = fingerprint
        self.plans[attempt] = self.plans[run]
        event = RunReceived(
            self.now,
            self.order.next(),
            attempt,
            f"e{place}",
            name,
            self.now + DEADLINE_S,
            isinstance(verdict, Isolated),
            refusal_at(verdict, name),
        )
        self.calls[event.call] = attempt
        self.owners[place].feed(event)
        self.after(
            DEADLINE_S, lambda: self.owners[place].feed(RunSweepTimerFired(self.now))
        )

    def place_of(self, server: str) -> int:
        """Return the instance that owns a backend server."""
        return int(server[1:]) % self.layout.instances

    def act(self, place: int, action: Any) -> None:
        """Perform one action of an owner."""
        match action:
            case SendRun(run, name):
                self.start(place, run, name)
            case ReturnResult(call, NotSent()):
                self.try_next(self.calls.pop(call))
            case ReturnResult(call, AttemptOutcomeUnknown()):
                run = self.calls.pop(call)
                self.report.harmless_lost += self.fingerprints[run] != CRASHING
            case ReturnResult(call, Ran()):
                self.calls.pop(call)
                self.report.harmless_runs += 1

    def start(self, place: int, run: RunId, name: str) -> None:
        """Start a run on a backend server."""
        server = self.servers[name]
        owner = self.owners[place]
        fingerprint = self.fingerprints[run]
        reason = "" if server.up else "unreachable"
        if self.quarantine:
            verdict = check(self.views[place], fingerprint)
            reason = refusal_at(verdict, name) or reason
        if reason:
            refusal = NotSent(reason)
            self.after(0.0, lambda: owner.feed(RunEnded(self.now, run, refusal)))
            return
        server.running[run] = fingerprint
        self.feed(place, RequestStarted(self.now, name, SERVICE, fingerprint))
        if fingerprint == CRASHING:
            self.after(CRASH_AFTER_S, lambda: self.crash(place, run, name))
        else:
            took_s = self.rng.expovariate(1 / RUN_S)
            self.after(took_s, lambda: self.end(place, run, name))

    def end(self, place: int, run: RunId, name: str) -> None:
        """Finish a run, unless its backend server crashed under it."""
        server = self.servers[name]
        if run not in server.running:
            return
        fingerprint = server.running.pop(run)
        alone = self.owners[place].state.runs[run].alone
        self.feed(
            place, RequestEnded(self.now, name, fingerprint, completed_alone=alone)
        )
        self.owners[place].feed(RunEnded(self.now, run, Ran("")))

    def crash(self, place: int, run: RunId, name: str) -> None:
        """Crash a backend server under all its runs."""
        server = self.servers[name]
        if run not in server.running:
            return
        self.report.crashed_servers.add(name)
        self.report.crashes += 1
        running, server.running = server.running, {}
        server.up = False
        self.after(RESTART_S, lambda: setattr(server, "up", True))
        self.feed(place, ServerCrashed(self.now, name))
        lost = AttemptOutcomeUnknown(UnknownCause.BACKEND_LOST, final=True)
        for other in running:
            self.owners[place].feed(RunEnded(self.now, other, lost))

    def feed(self, place: int, event: Any) -> None:
        """Feed an instance's quarantine and spread its evidence."""
        if not self.quarantine:
            return
        for action in decide_quarantine(event, self.views[place]).actions:
            self.spread(place, action)

    def spread(self, place: int, action: PublishEvidence) -> None:
        """Bring evidence to the other instances after a while."""
        layout = self.layout
        for other, view in enumerate(self.views):
            if other == place:
                continue
            delay_s = self.rng.uniform(0, layout.spread_s)
            if self.rng.random() < layout.lost_push:
                delay_s += self.rng.uniform(0, layout.repair_s)
            event = EvidenceReceived(
                self.now + delay_s, action.fingerprint, action.evidence
            )
            self.after(
                delay_s, lambda event=event, view=view: decide_quarantine(event, view)
            )


def main(arguments: list[str] | None = None) -> int:
    """Print the figures of both versions; return 1 if the limit was exceeded."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--runs", type=int, default=100)
    parser.add_argument("--backend-servers", type=int, default=3)
    options = parser.parse_args(arguments)
    layout = CrashLayout(backend_servers=options.backend_servers)
    worst = 0
    for quarantine in (True, False):
        reports = [
            CrashSimulation(seed, layout, quarantine).run()
            for seed in range(options.runs)
        ]
        servers = [len(report.crashed_servers) for report in reports]
        if quarantine:
            worst = max(servers)
        lost = sum(r.harmless_lost for r in reports)
        refused = sum(r.harmless_refused for r in reports)
        total = lost + refused + sum(r.harmless_runs for r in reports)
        crashes = [r.crashes for r in reports]
        print(
            f"{'quarantine' if quarantine else 'naive'}: {options.runs} runs, "
            f"crashed backend servers median {statistics.median(servers):g} "
            f"max {max(servers)}, crashes median {statistics.median(crashes):g} "
            f"max {max(crashes)}, harmless requests {total}: "
            f"lost {lost / total:.2%}, not run {refused / total:.2%}, "
            f"quarantined {sum(len(r.harmless_quarantined) for r in reports)}"
        )
    return 1 if worst > 2 else 0


if __name__ == "__main__":
    sys.exit(main())
