"""A rate limit that many instances share, without network; fixed seeds.

Each instance decides alone. The sum of what they send is checked in sliding windows.
By hand, with more seeds:

    FLEET_SEEDS=60 pytest packages/availability/tests/test_fleet_limits.py
"""

from __future__ import annotations

import heapq
import os
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from fireflyrack.availability import (
    AvailabilityTable,
    InstancesCounted,
    Notice,
    NoticeReceived,
    SharerCount,
    decide,
)
from fireflyrack.discovery import BackendServer, ServerState

SERVER = BackendServer("s-1", "s", "10.0.0.1:80", "d", 2, ServerState.READY)
SEEDS = int(os.environ.get("FLEET_SEEDS", "0"))
# The users' bound: within any window, a multiple of the limit plus some requests.
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
# Instances learn of a limit with their next request to the server.
LIMIT_FROM_S = 5.0
END_S = 40.0
# Time for which an instance that is no longer registered goes on sending.
GRACE_S = 8.0


@dataclass(slots=True)
class Fleet:
    """Instances with independent demand for one server, a rate by time."""

    limit: float
    demand: Callable[[float], float]
    instances: int
    seed: int
    # Weight of each instance in the demand.
    weights: list[float] = field(default_factory=list)
    # Times at which the instances see another number of instances. The ones that left
    # send for the grace period.
    counted: list[tuple[float, int]] = field(default_factory=list)
    sent: list[float] = field(default_factory=list)
    refused: int = 0

    def run(self) -> Fleet:
        rng = random.Random(self.seed)
        weights = self.weights or [1.0] * self.instances
        tables = [
            AvailabilityTable(
                random.Random(rng.random()), SharerCount(self.instances, rank)
            )
            for rank in range(self.instances)
        ]
        told = [False] * self.instances
        arrivals = [(rng.random() * 0.1, number) for number in range(self.instances)]
        heapq.heapify(arrivals)
        changes = sorted(self.counted)
        while arrivals[0][0] < END_S:
            at, number = arrivals[0]
            while changes and changes[0][0] <= at:
                count = changes.pop(0)[1]
                for table in tables:
                    decide(InstancesCounted(at, count, table.sharers.rank), table)
            rate = self.demand(at) * weights[number] / sum(weights)
            heapq.heapreplace(arrivals, (at + rng.expovariate(rate), number))
            if not self.stopped(number, at):
                self.send(tables[number], at, told, number)
        return self

    def stopped(self, number: int, at: float) -> bool:
        return any(number >= n and at > since + GRACE_S for since, n in self.counted)

    def send(self, table, at: float, told: list[bool], number: int) -> None:
        if table.obstacle(SERVER, at) is not None:
            table.record_unmet_demand((SERVER,), at)
            self.refused += 1
            return
        table.record_sent(SERVER, at)
        if told[number]:
            self.sent.append(at)
        if at >= LIMIT_FROM_S:
            notice = Notice(rate_limit=self.limit)
            decide(NoticeReceived(at, SERVER, notice), table)
            told[number] = True

    def most_in_window(self) -> int:
        most = first = 0
        for last, at in enumerate(self.sent):
            while self.sent[first] <= at - WINDOW_S:
                first += 1
            most = max(most, last - first + 1)
        return most

    def rate_between(self, start: float, end: float) -> float:
        return sum(start <= at < end for at in self.sent) / (end - start)


def allowed(limit: float) -> float:
    return ALLOWED_FACTOR * limit * WINDOW_S + ALLOWED_EXTRA


def steady(rate: float) -> Callable[[float], float]:
    return lambda at: rate


def burst(calm: float, peak: float, since: float) -> Callable[[float], float]:
    return lambda at: peak if at >= since else calm


@pytest.mark.parametrize("instances", [1, 4, 31, 78, 300])
@pytest.mark.parametrize("limit", [0.0, 2.0, 8.0, 26.0])
@pytest.mark.parametrize("seed", range(SEEDS or 3))
def test_a_fleet_under_steady_pressure_keeps_the_limit(instances, limit, seed):
    """Guards against a sum over the limit, at four instances as at hundreds."""
    fleet = Fleet(limit, steady(6 * limit + 20), instances, seed).run()
    assert fleet.most_in_window() <= allowed(limit)
    assert fleet.refused


@pytest.mark.parametrize("instances", [4, 31, 78, 300])
@pytest.mark.parametrize("limit", [8.0, 26.0])
@pytest.mark.parametrize("seed", range(SEEDS or 3))
def test_a_burst_after_a_calm_time_keeps_the_limit(instances, limit, seed):
    """Guards against permits that all instances save up and spend at one moment."""
    demand = burst(0.6 * limit, 20 * limit, 25.0)
    fleet = Fleet(limit, demand, instances, seed).run()
    assert fleet.most_in_window() <= allowed(limit)


@pytest.mark.parametrize("seed", range(SEEDS or 5))
def test_uneven_instances_keep_the_limit(seed):
    """Guards against one busy instance that uses more than its share."""
    fleet = Fleet(20.0, steady(100.0), 4, seed, weights=[8.0, 1.0, 1.0, 1.0]).run()
    assert fleet.most_in_window() <= allowed(20.0)


@pytest.mark.parametrize("seed", range(SEEDS or 5))
def test_an_instance_that_loses_its_registration_keeps_its_share(seed):
    """Guards against shares that grow while the departed instance still sends."""
    fleet = Fleet(20.0, steady(100.0), 4, seed, counted=[(20.0, 3), (24.0, 2)])
    assert fleet.run().most_in_window() <= allowed(20.0)


@pytest.mark.parametrize("instances", [4, 31, 78])
def test_a_limit_is_used_under_steady_pressure(instances):
    """Guards against a limit that is kept by sending next to nothing."""
    fleet = Fleet(12.0, steady(72.0), instances, 1).run()
    assert fleet.rate_between(15.0, END_S) >= 0.8 * 12.0


def served_searches_per_s(limit: float, instances: int, shards: int) -> float:
    """Return the searches a second of one instance while all servers are limited."""
    rng = random.Random(1)
    table = AvailabilityTable(rng, SharerCount(instances))
    servers = tuple(
        BackendServer(f"s-{shard}", f"{shard}", "", "d", 2, ServerState.READY)
        for shard in range(shards)
    )
    for server in servers:
        decide(NoticeReceived(0.0, server, Notice(rate_limit=limit)), table)
    at, served = 0.0, 0
    while at < 200.0:
        at += rng.expovariate(3 * limit / instances)
        if any(table.obstacle(server, at) for server in servers):
            table.record_unmet_demand(servers, at)
            continue
        served += 1
        for server in servers:
            table.record_sent(server, at)
    return served / 200.0


@pytest.mark.parametrize("instances", [4, 31, 78])
def test_searches_are_served_while_all_servers_are_limited(instances):
    """Guards against permits that lapse before a search finds one for each shard."""
    served = served_searches_per_s(8.0, instances, 40)
    assert served >= 0.5 * 8.0 / instances
