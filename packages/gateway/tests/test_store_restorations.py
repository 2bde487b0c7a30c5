"""A gateway beside a store that is restored from backups; virtual time, fixed seeds.

The operator and the backend servers write again what a restoration has lost.
By hand, with more seeds:

    RESTORE_SEEDS=1000 pytest packages/gateway/tests/test_store_restorations.py
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random

import pytest
from model_store import ModelClient, ModelStore
from virtual_time import run_virtual

from fireflyrack.discovery import BackendServer, Item, ServerState
from fireflyrack.gateway import Gateway, GatewaySettings, Ports
from fireflyrack.gateway.instances import instance_key
from fireflyrack.routing import RoutingTable

# Time within which a change has to be in force once the store answers.
BOUND_S = 3.0
CHECK_INTERVAL_S = 0.05
HEARTBEAT_S = 1.2
SERVER_LEASE_S = 3.6
END_S = 60.0
SERVERS = 5
SEEDS = int(os.environ.get("RESTORE_SEEDS", "60"))


class NullLog:
    def record(self, event) -> None:
        pass

    def record_all(self, events, importance) -> None:
        pass


def decode_configuration(item: Item) -> RoutingTable:
    return RoutingTable(int(item.value), item.revision)


def decode_server(item: Item) -> BackendServer:
    fields = json.loads(item.value)
    return BackendServer(
        id=item.key.removeprefix("servers/"),
        service="s",
        address="10.0.0.1:80",
        failure_domain="d",
        slots=2,
        state=ServerState(fields["state"]),
        incarnation=fields["incarnation"],
        sequence=fields["sequence"],
    )


class Operator:
    """Writes versions of the configuration, each time soon after a restoration too."""

    def __init__(self, store: ModelStore, rng: random.Random) -> None:
        self.store = store
        self.rng = rng
        self.version = 0
        # Time at which the newest version was acknowledged for the first time.
        self.acknowledged_at = 0.0

    def write(self) -> None:
        self.version += self.rng.randint(1, 3)
        self.acknowledged_at = asyncio.get_running_loop().time()
        self.store.write("op/config", str(self.version).encode())

    async def run(self) -> None:
        self.write()
        while True:
            await asyncio.sleep(self.rng.choice((0.3, 2.0, 8.0)) * self.rng.random())
            if self.store.available:
                self.write()

    async def recover(self) -> None:
        """Change the configuration, or write the newest one again, after a return."""
        await asyncio.sleep(self.rng.choice((0.0, 0.02, 0.3)))
        if not self.store.available:
            return
        if self.rng.random() < 0.5:
            self.write()
        else:
            self.store.write("op/config", str(self.version).encode())


class Server:
    """A backend server that restarts under its id, drains and leaves."""

    def __init__(self, id: str, store: ModelStore, rng: random.Random) -> None:
        self.id = id
        self.key = f"servers/{id}"
        self.store = store
        self.rng = rng
        self.incarnation = 0
        self.sequence = 0
        self.state: str | None = None
        self.lease = 0
        # Time since which the server is ready, and incarnations that have drained.
        self.ready_since = 0.0
        self.drained: set[int] = set()

    async def run(self) -> None:
        while True:
            now = asyncio.get_running_loop().time()
            self.incarnation += self.rng.randint(1, 5)
            self.sequence, self.state, self.ready_since = 0, "ready", now
            await self.live(now + self.rng.uniform(8.0, 40.0))
            self.state = "draining"
            self.drained.add(self.incarnation)
            await self.live(asyncio.get_running_loop().time() + 4.0)
            self.state = None
            if self.store.available:
                self.store.remove(self.key)
            await asyncio.sleep(self.rng.uniform(0.5, 6.0))

    async def live(self, until: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            self.heartbeat()
            await asyncio.sleep(min(HEARTBEAT_S, max(0.01, until - loop.time())))

    def heartbeat(self) -> None:
        """Renew the lease, and write the entry if the store does not hold it."""
        self.sequence += 1
        if not self.store.available:
            return
        held = self.store.state.items.get(self.key)
        fields = json.loads(held.value) if held else None
        # The id of the lease may belong to another owner since a restoration.
        leased = self.store.state.lease_of.get(self.key) == self.lease
        current = fields is not None and (fields["incarnation"], fields["state"]) == (
            self.incarnation,
            self.state,
        )
        if current and leased and self.store.renew(self.lease):
            return
        self.lease = self.store.grant(SERVER_LEASE_S)
        value = {
            "state": self.state,
            "incarnation": self.incarnation,
            "sequence": self.sequence,
        }
        self.store.write(self.key, json.dumps(value).encode(), self.lease)


class Scenario:
    """One gateway, the store and its writers; `run` raises at a broken promise."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.store = ModelStore(self.rng)
        self.operator = Operator(self.store, self.rng)
        self.servers = [Server(f"b{n}", self.store, self.rng) for n in range(SERVERS)]
        self.version = 0
        self.in_use: dict[str, BackendServer] = {}
        # Incarnations that the gateway has known to drain or to have left.
        self.stopped: set[tuple[str, int]] = set()

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        self.gateway = self.create_gateway()
        tasks = [
            asyncio.create_task(work())
            for work in (
                self.store.run,
                self.operator.run,
                self.disturb,
                *(server.run for server in self.servers),
            )
        ]
        self.gateway.start()
        while loop.time() < END_S:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for task in tasks:
                if task.done():
                    task.result()
            self.check(loop.time())
        await self.gateway.stop()
        for task in tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks)

    def create_gateway(self) -> Gateway:
        settings = GatewaySettings(
            id="g0",
            failure_domain="d",
            caller_address="10.0.0.9:1",
            directory_address="10.0.0.9:2",
            readiness_address="10.0.0.9:3",
            configuration_bound_s=BOUND_S,
            drain_bound_s=BOUND_S,
        )
        ports = Ports(
            store=ModelClient(self.store),
            transport=None,
            configuration_prefix="op/",
            servers_prefix="servers/",
            decode_configuration=decode_configuration,
            decode_server=decode_server,
        )
        now = asyncio.get_running_loop().time
        return Gateway(settings, ports, NullLog(), now)

    async def disturb(self) -> None:
        """Let the store go away, return from backups, and drop its history."""
        while True:
            await asyncio.sleep(self.rng.uniform(1.0, 12.0))
            if self.rng.random() < 0.2:
                self.store.compact()
                continue
            self.store.go_away()
            await asyncio.sleep(self.rng.choice((0.02, 0.4, 2.0)))
            age_s = self.rng.choice((None, 0.5, 3.0, 9.0))
            self.store.come_back(age_s)
            if age_s is not None:
                await self.operator.recover()

    def check(self, now: float) -> None:
        index = self.gateway.server_index
        in_use = {server.id: server for server in index.servers_of("s")}
        table = self.gateway.routing.table
        version = table.version if table else 0
        assert version >= self.version, "the configuration went back"
        self.version = version
        self.check_stopped(in_use)
        calm_s = now - self.store.available_since if self.store.available else 0.0
        if calm_s > BOUND_S:
            self.check_calm(now, in_use)
        self.in_use = in_use

    def check_stopped(self, in_use: dict[str, BackendServer]) -> None:
        drained = {s.id: s.drained for s in self.servers}
        for id, server in in_use.items():
            position = (id, server.incarnation)
            if server.state is ServerState.DRAINING:
                self.stopped.add(position)
            else:
                assert position not in self.stopped, f"{position} is in use again"
        for id, server in self.in_use.items():
            if id not in in_use and server.incarnation in drained[id]:
                self.stopped.add((id, server.incarnation))

    def check_calm(self, now: float, in_use: dict[str, BackendServer]) -> None:
        if now > self.operator.acknowledged_at + BOUND_S:
            assert self.version == self.operator.version, "a version is not in force"
        for server in self.servers:
            used = in_use.get(server.id)
            ready = used is not None and used.state is ServerState.READY
            if server.state == "ready" and now > server.ready_since + BOUND_S:
                assert ready, f"{server.id} lives and is not used"
                assert used.incarnation == server.incarnation
        key = instance_key("g0")
        assert key in self.store.state.items, "the instance is not registered"
        lease = self.store.state.lease_of[key]
        owners = [k for k, other in self.store.state.lease_of.items() if other == lease]
        assert owners == [key], "the registration depends on another owner"


@pytest.mark.parametrize("seed", range(SEEDS))
def test_a_gateway_follows_a_store_that_is_restored(seed):
    """Guards against changes that are lost, or undone, with the history of the store.

    Revisions and lease ids are given out again, drained servers are ready again in the
    copy, and the first change after a return may hide behind a known revision.
    """
    run_virtual(Scenario(seed).run())
