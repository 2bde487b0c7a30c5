"""Simulation of a request that crashes each backend server that runs it.

Run it as `python -m fireflyrack.testbed.crash_simulation --runs N`. It compares the
quarantine with a naive baseline that sends each request to any backend server.
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
CRASHING_REQUEST = "crashing"
DURATION_S = 60.0
RESTART_TIME_S = 2.0
MEAN_RUN_TIME_S = 0.2
CRASH_DELAY_S = 0.1
DEADLINE_S = 2.0


@dataclass(frozen=True, slots=True)
class CrashLayout:
    """Size of the fleet, traffic, and propagation of evidence between instances."""

    instances: int = 4
    backend_servers: int = 3
    harmless_requests: int = 30
    harmless_period_s: float = 0.1
    # Mean interval at which the crashing request is resent, to random instances.
    crashing_period_s: float = 0.3
    max_push_delay_s: float = 0.2
    push_loss_probability: float = 0.2
    # A lost push is repaired by the digest comparison within this additional time.
    max_repair_delay_s: float = 2.0


@dataclass(slots=True)
class CrashReport:
    """Crashes of backend servers and outcomes of the harmless requests."""

    crashed_servers: set[str] = field(default_factory=set)
    crashes: int = 0
    harmless_runs: int = 0
    harmless_lost: int = 0
    harmless_refused: int = 0
    harmless_quarantined: set[str] = field(default_factory=set)


@dataclass(slots=True)
class SimulatedServer:
    """Backend server with the fingerprints of the runs on it."""

    up: bool = True
    running: dict[RunId, str] = field(default_factory=dict)


class CrashSimulation(SimulatedTime):
    """Simulation of one crashing request among harmless ones; call `run` once."""

    def __init__(self, seed: int, layout: CrashLayout, quarantine: bool) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self.layout = layout
        self.quarantine = quarantine
        settings = RequestSettings()
        self.names = tuple(f"b{n}" for n in range(layout.backend_servers))
        self.servers = {name: SimulatedServer() for name in self.names}
        self.quarantines = [QuarantineState(settings) for _ in range(layout.instances)]
        self.owners = [
            self.create_owner(instance, settings)
            for instance in range(layout.instances)
        ]
        self.fingerprints: dict[RunId, str] = {}
        self.candidates: dict[RunId, list[str]] = {}
        # Attempts by the call that waits for their result.
        self.attempts: dict[int, RunId] = {}
        self.report = CrashReport()

    def create_owner(
        self, instance: int, settings: RequestSettings
    ) -> StateMachine[OwnerState]:
        """Return the state machine of the owner on one instance."""
        state = OwnerState(f"e{instance}", settings)
        return StateMachine(
            state, decide_owner, lambda action: self.perform(instance, action)
        )

    def run(self) -> CrashReport:
        """Run all requests and return the counts."""
        layout = self.layout
        self.submit_periodically(layout.crashing_period_s, lambda: CRASHING_REQUEST)
        self.submit_periodically(
            layout.harmless_period_s,
            lambda: f"harmless{self.rng.randrange(layout.harmless_requests)}",
        )
        self.run_actions()
        for view in self.quarantines:
            self.report.harmless_quarantined.update(
                name
                for name, entry in view.entries.items()
                if entry.evidence.is_quarantined() and name != CRASHING_REQUEST
            )
        return self.report

    def submit_periodically(
        self, period_s: float, next_fingerprint: Callable[[], str]
    ) -> None:
        """Submit requests at random intervals with a mean of `period_s`."""

        def send() -> None:
            if self.now < DURATION_S:
                self.submit(next_fingerprint())
                self.schedule(self.rng.expovariate(1 / period_s), send)

        self.schedule(self.rng.expovariate(1 / period_s), send)

    def submit(self, fingerprint: str) -> None:
        """Submit a request with a new ticket at a random issuer."""
        instance = self.rng.randrange(self.layout.instances)
        run = RunId(f"e{instance}", self.order.next())
        self.fingerprints[run] = fingerprint
        if self.quarantine:
            verdict = check(self.quarantines[instance], fingerprint)
            self.candidates[run] = list(
                candidates_for(verdict, fingerprint, self.names, ())
            )
        else:
            self.candidates[run] = self.rng.sample(self.names, len(self.names))
        self.try_next(run)

    def try_next(self, run: RunId) -> None:
        """Send a run to its next candidate through that server's owner."""
        fingerprint = self.fingerprints[run]
        if not self.candidates[run]:
            self.report.harmless_refused += fingerprint != CRASHING_REQUEST
            return
        name = self.candidates[run].pop(0)
        instance = self.owner_index(name)
        verdict = check(self.quarantines[instance], fingerprint)
        if not self.quarantine:
            verdict = Allowed()
        attempt = RunId(run.issuer, self.order.next())
        self.fingerprints[attempt] = fingerprint
        self.candidates[attempt] = self.candidates[run]
        event = RunReceived(
            self.now,
            self.order.next(),
            attempt,
            f"e{instance}",
            name,
            self.now + DEADLINE_S,
            isinstance(verdict, Isolated),
            refusal_at(verdict, name),
        )
        self.attempts[event.call] = attempt
        self.owners[instance].feed(event)
        self.schedule(
            DEADLINE_S, lambda: self.owners[instance].feed(RunSweepTimerFired(self.now))
        )

    def owner_index(self, server: str) -> int:
        """Return the index of the instance that owns a backend server."""
        return int(server[1:]) % self.layout.instances

    def perform(self, instance: int, action: Any) -> None:
        """Perform one action of an owner."""
        match action:
            case SendRun(run, name):
                self.start_run(instance, run, name)
            case ReturnResult(call, NotSent()):
                self.try_next(self.attempts.pop(call))
            case ReturnResult(call, AttemptOutcomeUnknown()):
                run = self.attempts.pop(call)
                self.report.harmless_lost += self.fingerprints[run] != CRASHING_REQUEST
            case ReturnResult(call, Ran()):
                self.attempts.pop(call)
                self.report.harmless_runs += 1

    def start_run(self, instance: int, run: RunId, name: str) -> None:
        """Start a run on a backend server, or refuse it."""
        server = self.servers[name]
        owner = self.owners[instance]
        fingerprint = self.fingerprints[run]
        reason = "" if server.up else "unreachable"
        if self.quarantine:
            verdict = check(self.quarantines[instance], fingerprint)
            reason = refusal_at(verdict, name) or reason
        if reason:
            refusal = NotSent(reason)
            self.schedule(0.0, lambda: owner.feed(RunEnded(self.now, run, refusal)))
            return
        server.running[run] = fingerprint
        self.feed_quarantine(
            instance, RequestStarted(self.now, name, SERVICE, fingerprint)
        )
        if fingerprint == CRASHING_REQUEST:
            self.schedule(CRASH_DELAY_S, lambda: self.crash_server(instance, run, name))
        else:
            run_time_s = self.rng.expovariate(1 / MEAN_RUN_TIME_S)
            self.schedule(run_time_s, lambda: self.finish_run(instance, run, name))

    def finish_run(self, instance: int, run: RunId, name: str) -> None:
        """Finish a run unless its backend server has crashed."""
        server = self.servers[name]
        if run not in server.running:
            return
        fingerprint = server.running.pop(run)
        alone = self.owners[instance].state.runs[run].alone
        self.feed_quarantine(
            instance, RequestEnded(self.now, name, fingerprint, completed_alone=alone)
        )
        self.owners[instance].feed(RunEnded(self.now, run, Ran("")))

    def crash_server(self, instance: int, run: RunId, name: str) -> None:
        """Crash a backend server; the outcome of all its runs becomes unknown."""
        server = self.servers[name]
        if run not in server.running:
            return
        self.report.crashed_servers.add(name)
        self.report.crashes += 1
        running, server.running = server.running, {}
        server.up = False
        self.schedule(RESTART_TIME_S, lambda: setattr(server, "up", True))
        self.feed_quarantine(instance, ServerCrashed(self.now, name))
        lost = AttemptOutcomeUnknown(UnknownCause.BACKEND_LOST, final=True)
        for other in running:
            self.owners[instance].feed(RunEnded(self.now, other, lost))

    def feed_quarantine(self, instance: int, event: Any) -> None:
        """Feed an event to an instance's quarantine and publish its evidence."""
        if not self.quarantine:
            return
        for action in decide_quarantine(event, self.quarantines[instance]).actions:
            self.publish(instance, action)

    def publish(self, instance: int, action: PublishEvidence) -> None:
        """Deliver evidence to the other instances after the propagation delay."""
        layout = self.layout
        for other, view in enumerate(self.quarantines):
            if other == instance:
                continue
            delay_s = self.rng.uniform(0, layout.max_push_delay_s)
            if self.rng.random() < layout.push_loss_probability:
                delay_s += self.rng.uniform(0, layout.max_repair_delay_s)
            event = EvidenceReceived(
                self.now + delay_s, action.fingerprint, action.evidence
            )
            self.schedule(
                delay_s, lambda event=event, view=view: decide_quarantine(event, view)
            )


def main(arguments: list[str] | None = None) -> int:
    """Print the results with and without the quarantine.

    Return 1 if more than two backend servers crashed with it.
    """
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--runs", type=int, default=100)
    parser.add_argument("--backend-servers", type=int, default=3)
    options = parser.parse_args(arguments)
    layout = CrashLayout(backend_servers=options.backend_servers)
    max_crashed_servers = 0
    for quarantine in (True, False):
        reports = [
            CrashSimulation(seed, layout, quarantine).run()
            for seed in range(options.runs)
        ]
        crashed_counts = [len(report.crashed_servers) for report in reports]
        if quarantine:
            max_crashed_servers = max(crashed_counts)
        lost = sum(r.harmless_lost for r in reports)
        refused = sum(r.harmless_refused for r in reports)
        total = lost + refused + sum(r.harmless_runs for r in reports)
        crashes = [r.crashes for r in reports]
        print(
            f"{'quarantine' if quarantine else 'naive'}: {options.runs} runs, "
            f"crashed backend servers median {statistics.median(crashed_counts):g} "
            f"max {max(crashed_counts)}, crashes median {statistics.median(crashes):g} "
            f"max {max(crashes)}, harmless requests {total}: "
            f"lost {lost / total:.2%}, not run {refused / total:.2%}, "
            f"quarantined {sum(len(r.harmless_quarantined) for r in reports)}"
        )
    return 1 if max_crashed_servers > 2 else 0


if __name__ == "__main__":
    sys.exit(main())
