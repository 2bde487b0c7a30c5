"""Plan of one soak: which faults come when, drawn from a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass

from fireflyrack.testbed.proxy import Fault

GATEWAYS = ("g0", "g1", "g2")
SHARDS = ("p0", "p1", "p2", "p3")
SINGLES = ("a", "b")
# Each version routes to the next of these, so that a response tells its version as
# long as fewer versions than these are in use at once.
VERSIONED = ("v0", "v1", "v2", "v3", "v4", "v5")
REPLICAS = 2
# Longest fault; shorter than the bounds of the promises allow for several in a row.
MAX_FAULT_S = 2.5
SERVER_FAULTS = (
    Fault.RESET,
    Fault.REFUSE,
    Fault.HALF_OPEN,
    Fault.STALL_REPLIES,
    Fault.CUT_IN_SEND,
    Fault.CUT_AFTER_SEND,
)


@dataclass(frozen=True, slots=True)
class Stopped:
    """Stop a gateway by SIGTERM and start it again."""

    gateway: str


@dataclass(frozen=True, slots=True)
class Killed:
    """Kill a gateway and start it again after a while."""

    gateway: str
    away_s: float


@dataclass(frozen=True, slots=True)
class Paused:
    """Stop a gateway's execution for a while."""

    gateway: str
    for_s: float


@dataclass(frozen=True, slots=True)
class Reloaded:
    """Send SIGHUP to a gateway."""

    gateway: str


@dataclass(frozen=True, slots=True)
class ServerFaulty:
    """Put a fault or a delay on the way to a backend server."""

    server: str
    fault: Fault
    delay_s: float
    for_s: float


@dataclass(frozen=True, slots=True)
class ServerDrained:
    """Have a backend server leave and a new one take its place."""

    server: str


@dataclass(frozen=True, slots=True)
class ServerCrashed:
    """Have a backend server refuse all connections until its register lapses."""

    server: str
    for_s: float


@dataclass(frozen=True, slots=True)
class StoreFaulty:
    """Have the store refuse, keep silent or lose replies; leases may run out."""

    kind: str
    for_s: float


@dataclass(frozen=True, slots=True)
class HistoryForgotten:
    """Have the store drop its history."""


@dataclass(frozen=True, slots=True)
class Configured:
    """Write the next version of the configuration."""


Step = (
    Stopped
    | Killed
    | Paused
    | Reloaded
    | ServerFaulty
    | ServerDrained
    | ServerCrashed
    | StoreFaulty
    | HistoryForgotten
    | Configured
)


@dataclass(frozen=True, slots=True)
class Plan:
    """Hold the steps of a soak with their times in seconds, in order."""

    seed: int
    duration_s: float
    steps: tuple[tuple[float, Step], ...]


def server_names() -> tuple[str, ...]:
    """Return the names of the first backend servers."""
    return tuple(
        f"{service}-{number}"
        for service in (*SHARDS, *SINGLES, *VERSIONED)
        for number in range(REPLICAS)
    )


def make_plan(seed: int, duration_s: float) -> Plan:
    """Return the plan of a seed; faults come alone, in series and together."""
    rng = random.Random(seed)
    steps: list[tuple[float, Step]] = []
    at = 0.5
    while at < duration_s:
        steps.append((at, draw(rng)))
        # Some faults come at once, some while the last one still lasts.
        at += rng.choice((0.0, 0.1, 0.4, rng.uniform(0.5, 2.0)))
    return Plan(seed, duration_s, tuple(steps))


def draw(rng: random.Random) -> Step:
    """Return one step."""
    gateway, server = rng.choice(GATEWAYS), rng.choice(server_names())
    for_s = rng.uniform(0.2, MAX_FAULT_S)
    makers = (
        lambda: Stopped(gateway),
        lambda: Killed(gateway, rng.uniform(0.0, 1.0)),
        lambda: Paused(gateway, for_s),
        lambda: Reloaded(gateway),
        lambda: ServerFaulty(server, rng.choice(SERVER_FAULTS), 0.0, for_s),
        lambda: ServerFaulty(server, Fault.NONE, rng.uniform(0.02, 0.3), for_s),
        lambda: ServerDrained(server),
        lambda: ServerCrashed(server, for_s),
        lambda: StoreFaulty(rng.choice(("refuse", "silent", "lose")), for_s),
        lambda: HistoryForgotten(),
        lambda: Configured(),
        lambda: Configured(),
    )
    return rng.choice(makers)()
