"""Fault schedule of a soak test, generated from a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass

from fireflyrack.testbed.proxy import Fault

GATEWAYS = ("g0", "g1", "g2")
SHARDS = ("p0", "p1", "p2", "p3")
UNSHARDED = ("a", "b")
# Each configuration version routes to the next of these services. A response identifies
# its version as long as fewer versions than services are in use at once.
VERSION_SERVICES = ("v0", "v1", "v2", "v3", "v4", "v5")
REPLICAS = 2
# Longest fault, in seconds; short enough that several in a row stay within the bounds.
MAX_FAULT_S = 2.5
MISBEHAVIOURS = (
    "doubled",
    "cut head",
    "endless",
    "closing",
    "limited",
    "blank lines",
    "endless body",
    "spoiled signature",
    "status zero",
    "status high",
)
SERVER_FAULTS = (
    Fault.RESET,
    Fault.REFUSE,
    Fault.HALF_OPEN,
    Fault.STALL_REPLIES,
    Fault.CUT_IN_SEND,
    Fault.CUT_AFTER_SEND,
)


@dataclass(frozen=True, slots=True)
class StopGateway:
    """Stop a gateway with SIGTERM and restart it."""

    gateway: str


@dataclass(frozen=True, slots=True)
class KillGateway:
    """Kill a gateway and restart it after a downtime in seconds."""

    gateway: str
    downtime_s: float


@dataclass(frozen=True, slots=True)
class PauseGateway:
    """Pause a gateway with SIGSTOP for a duration."""

    gateway: str
    duration_s: float


@dataclass(frozen=True, slots=True)
class ReloadGateway:
    """Reload a gateway with SIGHUP."""

    gateway: str


@dataclass(frozen=True, slots=True)
class InjectServerFault:
    """Inject a fault or a delay into the connections to a backend server."""

    server: str
    fault: Fault
    delay_s: float
    duration_s: float


@dataclass(frozen=True, slots=True)
class DrainServer:
    """Drain a backend server and replace it by a new one."""

    server: str


@dataclass(frozen=True, slots=True)
class CrashServer:
    """Refuse all connections to a backend server and expire its registration."""

    server: str
    duration_s: float


@dataclass(frozen=True, slots=True)
class InjectStoreFault:
    """Have the store refuse calls, send no replies or lose them; leases may expire."""

    kind: str
    duration_s: float


@dataclass(frozen=True, slots=True)
class CompactHistory:
    """Compact the store's history."""


@dataclass(frozen=True, slots=True)
class WriteConfiguration:
    """Write the next version of the configuration."""


@dataclass(frozen=True, slots=True)
class MisbehaveServer:
    """Have a backend server send faulty responses, or state something about itself."""

    server: str
    kind: str
    duration_s: float


@dataclass(frozen=True, slots=True)
class RestoreStore:
    """Restore the store from a copy of a given age; its writers write again."""

    age_s: float
    away_s: float


Step = (
    StopGateway
    | KillGateway
    | PauseGateway
    | ReloadGateway
    | InjectServerFault
    | DrainServer
    | CrashServer
    | InjectStoreFault
    | CompactHistory
    | WriteConfiguration
    | MisbehaveServer
    | RestoreStore
)


@dataclass(frozen=True, slots=True)
class Plan:
    """Steps of a soak test with their start times in seconds, in order."""

    seed: int
    duration_s: float
    steps: tuple[tuple[float, Step], ...]


def server_names() -> tuple[str, ...]:
    """Return the names of the backend servers at the start of a soak test."""
    return tuple(
        f"{service}-{number}"
        for service in (*SHARDS, *UNSHARDED, *VERSION_SERVICES)
        for number in range(REPLICAS)
    )


def make_plan(seed: int, duration_s: float, extended: bool = True) -> Plan:
    """Return the plan of a seed; faults occur alone, in series and together.

    Steps that were added later are drawn apart, so that earlier seeds keep their plans;
    they are left out unless the plan is `extended`.
    """
    rng = random.Random(seed)
    steps: list[tuple[float, Step]] = []
    at = 0.5
    while at < duration_s:
        steps.append((at, draw_step(rng)))
        # Some faults start together, some while the previous one is still active.
        at += rng.choice((0.0, 0.1, 0.4, rng.uniform(0.5, 2.0)))
    if extended:
        steps += draw_added_steps(random.Random(f"{seed} added"), duration_s)
        steps.sort(key=lambda step: step[0])
    return Plan(seed, duration_s, tuple(steps))


def draw_added_steps(rng: random.Random, duration_s: float) -> list[tuple[float, Step]]:
    """Return steps with faulty responses and restorations of the store."""
    steps: list[tuple[float, Step]] = []
    at = rng.uniform(0.5, 2.0)
    while at < duration_s:
        server, kind = rng.choice(server_names()), rng.choice(MISBEHAVIOURS)
        steps.append((at, MisbehaveServer(server, kind, rng.uniform(0.5, MAX_FAULT_S))))
        if rng.random() < 0.2:
            steps.append((at, RestoreStore(rng.uniform(0.3, 2.0), rng.uniform(0, 1.0))))
        at += rng.uniform(0.3, 2.0)
    return steps


def draw_step(rng: random.Random) -> Step:
    """Return a random step."""
    gateway, server = rng.choice(GATEWAYS), rng.choice(server_names())
    duration_s = rng.uniform(0.2, MAX_FAULT_S)
    factories = (
        lambda: StopGateway(gateway),
        lambda: KillGateway(gateway, rng.uniform(0.0, 1.0)),
        lambda: PauseGateway(gateway, duration_s),
        lambda: ReloadGateway(gateway),
        lambda: InjectServerFault(server, rng.choice(SERVER_FAULTS), 0.0, duration_s),
        lambda: InjectServerFault(
            server, Fault.NONE, rng.uniform(0.02, 0.3), duration_s
        ),
        lambda: DrainServer(server),
        lambda: CrashServer(server, duration_s),
        lambda: InjectStoreFault(rng.choice(("refuse", "silent", "lose")), duration_s),
        lambda: CompactHistory(),
        lambda: WriteConfiguration(),
        lambda: WriteConfiguration(),
    )
    return rng.choice(factories)()
