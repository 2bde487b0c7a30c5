"""Simulate a service in virtual time: tail latency, coverage and added load.

Usage: python packages/search/benches/simulated_service.py [SECONDS]
Runs the fan-out of several coordinators against simulated backend server queues and
prints one line per scenario. All scenarios use the same seeds.
"""

from __future__ import annotations

import heapq
import itertools
import random
import statistics
import sys
from collections import deque
from dataclasses import dataclass, field

from fireflyrack.configuration import BelowMinimum, Partition, Placement, Policy
from fireflyrack.core import ShardSet
from fireflyrack.search import (
    CancelSubRequests,
    Candidate,
    Cause,
    DeadlineReached,
    FailureKind,
    FanoutState,
    Finish,
    Query,
    QueryStarted,
    ReplyArrived,
    RetryBudget,
    SearchSettings,
    SendSubRequests,
    ServiceState,
    Snapshot,
    StartTimer,
    SubRequestFailed,
    decide,
)

SNAPSHOT = Snapshot(1, 1)
SERVICE_TIME_S = 0.01
NETWORK_S = 0.001
# Cost of each further sub-request of a batch relative to the first one.
MARGINAL_COST = 0.5
# A queue refuses work with a longer estimated wait.
MAX_QUEUE_S = 0.2
DEADLINE_S = 1.0
MAX_SEARCHES = 8_000
SEEDS = (1, 2, 3)


@dataclass(frozen=True)
class Scenario:
    """Layout, load and fault of one run."""

    name: str
    servers: int = 12
    replicas: int = 2
    shards: int = 240
    slots: int = 2
    # Offered load relative to the capacity of all slots without batching.
    load: float = 0.4
    coordinators: int = 4
    # Slowdown of the first backend server; number of unreachable or silent ones.
    slow: float = 1.0
    lost: int = 0
    silent: int = 0
    # Fraction of the run after which the fault starts.
    fault_after: float = 0.0
    hedge: bool = True
    wait: bool = False


@dataclass
class Server:
    """Free slots and queue of one backend server."""

    free_slots: int
    waiting: deque = field(default_factory=deque)


class Simulation:
    """Discrete-event simulation of one scenario; call `execute` once."""

    def __init__(self, scenario: Scenario, seconds: float, seed: int) -> None:
        self.scenario = scenario
        capacity = scenario.servers * scenario.slots / SERVICE_TIME_S
        # A search needs at least servers / replicas sub-requests.
        self.rate = scenario.load * capacity / (scenario.servers / scenario.replicas)
        self.searches = min(int(seconds * self.rate), MAX_SEARCHES)
        self.rng = random.Random(seed)
        self.service_time_rng = random.Random(seed + 1000)
        self.events: list = []
        self.sequence = itertools.count()
        self.servers = [Server(scenario.slots) for _ in range(scenario.servers)]
        self.partition = layout(scenario)
        self.candidates = tuple(
            Candidate(f"b{n}", self.partition.placed_on(f"b{n}"))
            for n in range(scenario.servers)
        )
        settings = SearchSettings()
        self.budgets = [RetryBudget(settings) for _ in range(scenario.coordinators)]
        self.services = [ServiceState(settings, b) for b in self.budgets]
        self.cancelled: set[tuple[str, int]] = set()
        self.latencies: list[float] = []
        self.coverages: list[float] = []
        self.first = self.hedges = self.retries = self.refused = 0
        self.fault_at = 0.0

    def at(self, time: float, callback, *arguments) -> None:
        """Schedule a callback at a virtual time in seconds."""
        heapq.heappush(self.events, (time, next(self.sequence), callback, arguments))

    def execute(self) -> None:
        """Schedule all searches and run events until none is left."""
        scenario = self.scenario
        self.fault_at = scenario.fault_after * self.searches / self.rate
        time = 0.0
        for number in range(self.searches):
            time += self.rng.expovariate(self.rate)
            self.at(time, self.start, number)
        while self.events:
            now, _, callback, arguments = heapq.heappop(self.events)
            callback(now, *arguments)

    def start(self, now: float, number: int) -> None:
        """Start one search on the next coordinator."""
        scenario = self.scenario
        below = BelowMinimum.WAIT if scenario.wait else BelowMinimum.ANSWER
        query = Query(
            str(number),
            "s",
            "t",
            10,
            SNAPSHOT,
            self.partition,
            now + DEADLINE_S,
            Policy(below_minimum=below, hedge=scenario.hedge),
        )
        service = self.services[number % scenario.coordinators]
        state = FanoutState(query, self.candidates, self.rng, service)
        self.at(now + DEADLINE_S, self.feed, state, DeadlineReached(now + DEADLINE_S))
        self.feed(now, state, QueryStarted(now))

    def feed(self, now: float, state: FanoutState, event) -> None:
        """Process one event and perform the resulting actions."""
        for action in decide(event, state).actions:
            match action:
                case SendSubRequests():
                    for sub_request in action.sub_requests:
                        self.at(now + NETWORK_S, self.arrive, state, sub_request)
                case CancelSubRequests():
                    keys = ((state.query.id, s.id) for s in action.sub_requests)
                    self.cancelled.update(keys)
                case StartTimer():
                    self.at(action.event.at, self.feed, state, action.event)
                case Finish():
                    self.count(now, state, action)

    def count(self, now: float, state: FanoutState, finish: Finish) -> None:
        """Add a finished search to the statistics."""
        self.latencies.append(now - (state.query.deadline_at - DEADLINE_S))
        self.coverages.append(finish.coverage.share())
        counts = finish.counts
        self.hedges += counts.hedges
        self.retries += counts.retries
        self.refused += counts.refused
        self.first += counts.sub_requests - counts.hedges - counts.retries

    def arrive(self, now: float, state: FanoutState, sub_request) -> None:
        """Receive a sub-request at its backend server."""
        number = int(sub_request.backend_server[1:])
        scenario = self.scenario
        faulty = now >= self.fault_at
        if faulty and number < scenario.lost:
            self.fail(now, state, sub_request, FailureKind.UNREACHABLE)
        elif faulty and number < scenario.silent:
            return
        else:
            server = self.servers[number]
            wait_s = (
                len(server.waiting) * MARGINAL_COST * SERVICE_TIME_S / scenario.slots
            )
            if wait_s > MAX_QUEUE_S:
                self.fail(now, state, sub_request, FailureKind.SHED)
                return
            server.waiting.append((state, sub_request))
            self.serve(now, number)

    def fail(self, now: float, state: FanoutState, sub_request, kind) -> None:
        """Return a failure to the coordinator."""
        cause = Cause.REFUSED if kind is FailureKind.SHED else Cause.FAILED
        arrives_at = now + NETWORK_S
        event = SubRequestFailed(arrives_at, sub_request.id, cause, kind)
        self.at(arrives_at, self.feed, state, event)

    def serve(self, now: float, number: int) -> None:
        """Start queued sub-requests as one batch while slots are free."""
        server = self.servers[number]
        while server.free_slots and server.waiting:
            batch = [
                (state, sub_request)
                for state, sub_request in server.waiting
                if (state.query.id, sub_request.id) not in self.cancelled
            ]
            server.waiting.clear()
            if not batch:
                return
            server.free_slots -= 1
            time_s = SERVICE_TIME_S * (1 + MARGINAL_COST * (len(batch) - 1))
            time_s *= self.service_time_rng.lognormvariate(-0.08, 0.4)
            if number == 0 and now >= self.fault_at:
                time_s *= self.scenario.slow
            self.at(now + time_s, self.complete, number, batch)

    def complete(self, now: float, number: int, batch: list) -> None:
        """Return the replies of a batch and free the slot."""
        arrives_at = now + NETWORK_S
        for state, sub_request in batch:
            reply = ReplyArrived(
                arrives_at, sub_request.id, SNAPSHOT, sub_request.shards, ()
            )
            self.at(arrives_at, self.feed, state, reply)
        self.servers[number].free_slots += 1
        self.serve(now, number)


def layout(scenario: Scenario) -> Partition:
    """Return a partition whose group i is placed on servers i, i + 1 and so on."""
    count, per_group = scenario.servers, scenario.shards // scenario.servers
    return Partition(
        1,
        count * per_group,
        tuple(
            Placement(
                ShardSet.span(n * per_group, (n + 1) * per_group),
                tuple(f"b{(n + r) % count}" for r in range(scenario.replicas)),
            )
            for n in range(count)
        ),
    )


def run(scenario: Scenario, seconds: float) -> str:
    """Return the result line of a scenario: medians over the seeds."""
    rows = []
    for seed in SEEDS:
        simulation = Simulation(scenario, seconds, seed)
        simulation.execute()
        ordered = sorted(simulation.latencies)
        rows.append(
            (
                ordered[len(ordered) // 2] * 1000,
                ordered[int(len(ordered) * 0.99)] * 1000,
                100 * simulation.hedges / simulation.first,
                100 * simulation.retries / simulation.first,
                100 * simulation.refused / simulation.first,
                100 * statistics.fmean(simulation.coverages),
                100 * sum(c < 1 for c in simulation.coverages) / simulation.searches,
                simulation.first / simulation.searches,
            )
        )
    medians = [statistics.median(column) for column in zip(*rows, strict=True)]
    return f"{scenario.name:34s}" + "".join(f"{value:10.3f}" for value in medians)


SCENARIOS = (
    Scenario("12 servers"),
    Scenario("12 servers, no hedges", hedge=False),
    Scenario("12 servers, straggler x10", slow=10),
    Scenario("12 servers, x10 from the middle", slow=10, fault_after=0.5),
    Scenario("12 servers, x10, no hedges", slow=10, hedge=False),
    Scenario("12 servers, 1 absent", lost=1),
    Scenario("12 servers, 1 lost in the middle", lost=1, fault_after=0.5),
    Scenario("12 servers, 1 silent in the middle", silent=1, fault_after=0.5),
    Scenario("12 servers, load 4", load=4.0),
    Scenario("12 servers, load 4, wait", load=4.0, wait=True),
    Scenario("12 servers, load 0.2", load=0.2),
    Scenario("12 servers, load 0.2, x10", load=0.2, slow=10),
    Scenario("12 servers, load 0.2, 1 absent", load=0.2, lost=1),
    Scenario("3 servers, 3 replicas", servers=3, replicas=3),
    Scenario("3 servers, straggler x10", servers=3, replicas=3, slow=10),
    Scenario("3 servers, load 0.2", servers=3, replicas=3, load=0.2),
    Scenario("3 servers, load 0.2, x10", servers=3, replicas=3, load=0.2, slow=10),
    Scenario("3 servers, load 0.2, 1 absent", servers=3, replicas=3, load=0.2, lost=1),
    Scenario(
        "3 servers, 1 lost in the middle",
        servers=3,
        replicas=3,
        lost=1,
        fault_after=0.5,
    ),
)

if __name__ == "__main__":
    duration_s = float(sys.argv[1]) if len(sys.argv) > 1 else 25.0
    columns = ("p50 ms", "p99 ms", "hedges %", "retries %", "refused %")
    columns += ("coverage %", "partial %", "per search")
    print(" " * 34 + "".join(f"{column:>10s}" for column in columns))
    for scenario in SCENARIOS:
        print(run(scenario, duration_s), flush=True)
