"""The rack of a soak: gateway processes, stand-ins behind proxies, and callers."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
from functools import singledispatchmethod
from itertools import count
from pathlib import Path

import aiohttp
import checks
from plan import (
    GATEWAYS,
    SHARDS,
    VERSIONED,
    Configured,
    HistoryForgotten,
    Killed,
    Paused,
    Plan,
    Reloaded,
    ServerCrashed,
    ServerDrained,
    ServerFaulty,
    Stopped,
    StoreFaulty,
    server_names,
)
from rack import Rack
from records import (
    Disturbance,
    Drain,
    Records,
    Result,
    Run,
    Version,
    body_of,
    part_of,
    signature_of,
)
from stand_in_server import ReceivedRequest, Reply, StandInServer, http

from fireflyrack.core import steady_now
from fireflyrack.platform import names
from fireflyrack.testbed.ports import free_address
from fireflyrack.testbed.proxy import Fault, FaultProxy

CALLERS = 8
PATIENCE_S = 1.5
# A request that is not answered this long after its patience has no answer.
ANSWER_SLACK_S = 1.0
DIRECTORY_TTL_S = 1.0
KINDS = {
    "search": ("GET", "/q/"),
    "safe": ("GET", "/a/"),
    "unsafe": ("POST", "/u/"),
    "version": ("GET", "/v/"),
}
# A server that leaves serves on this long after the store knew it.
DRAIN_S = checks.DRAIN_BOUND_S + 2.0


class World(Rack):
    """Run a plan against real gateways; `records` holds what was seen."""

    def __init__(self, folder: Path, plan: Plan) -> None:
        super().__init__(folder)
        self.plan = plan
        self.rng = random.Random(plan.seed)
        self.records = Records()
        self.proxies: dict[str, FaultProxy] = {}
        self.registers: dict[str, dict] = {}
        self.starts = dict.fromkeys(GATEWAYS, 0)
        self.busy: set[str] = set()
        self.ids = count()
        self.numbers = count(100)
        self.store_faults = 0
        self.ending = False

    async def run(self) -> Records:
        """Carry out the plan; return what was seen."""
        for name in server_names():
            await self.add(name)
        await self.perform(Configured())
        for name in GATEWAYS:
            await self.start(name)
            self.starts[name] += 1
        begin = steady_now()
        async with asyncio.TaskGroup() as callers:
            for _ in range(CALLERS):
                callers.create_task(self.call_for_ever())
            async with asyncio.TaskGroup() as steps:
                for at, step in self.plan.steps:
                    await asyncio.sleep(max(0.0, begin + at - steady_now()))
                    steps.create_task(self.perform(step))
            self.records.calm_at = steady_now()
            await asyncio.sleep(checks.RECOVERY_S + 2.0)
            self.ending = True
        self.note_faults()
        return self.records

    def note_faults(self) -> None:
        """Record processes that ended by themselves and faults in their logs."""
        for name, gateway in self.gateways.items():
            if gateway.process.returncode is not None:
                self.records.faults.append(f"{name} ended by itself")
        for path in self.folder.glob("*.log"):
            for line in path.read_text().splitlines():
                if "internal_fault" in line or not line.startswith("{"):
                    self.records.faults.append(f"{path.name}: {line[:500]}")

    async def add(self, name: str) -> None:
        """Start a backend server behind a proxy and register it."""
        service = name.partition("-")[0]
        server = StandInServer(name, service, free_address(), self.serve)
        await self.stack.enter_async_context(server)
        proxy = FaultProxy(free_address(), server.address)
        await self.stack.enter_async_context(proxy)
        self.proxies[name] = proxy
        self.registers[name] = server.register(address=proxy.address)
        await self.store.write(f"servers/{name}", self.registers[name])

    async def serve(self, server: StandInServer, request: ReceivedRequest) -> Reply:
        """Record a run and answer it."""
        records, proxy = self.records, self.proxies[server.id]
        most = max(records.connections.get(server.id, 0), len(proxy.tasks))
        records.connections[server.id] = most
        expected = request.headers.get(names.EXPECTED_SERVER.lower())
        if expected not in (None, server.id):
            return Reply(http(request, b"", "421 Misdirected Request"))
        id = request.headers[names.REQUEST_ID.lower()]
        run = (id, server.id, server.service, request.method, request.target)
        records.runs.append(Run(steady_now(), *run, request.body))
        await asyncio.sleep(self.rng.uniform(0.002, 0.03))
        if server.service in SHARDS:
            body = part_of(id, server.id)
        else:
            body = body_of(id, server.id, request.target)
        signature = signature_of(id, server.id)
        headers = {names.SIGNATURE: signature, names.SERVER_LOAD: "1,0,2"}
        return Reply(http(request, body, headers=headers))

    async def call_for_ever(self) -> None:
        """Send requests on kept connections until the soak ends."""
        timeout = aiohttp.ClientTimeout(total=PATIENCE_S + ANSWER_SLACK_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            # A request that the client repeats by itself would look like a second run.
            session._retry_connection = False
            known, asked_at = [], -DIRECTORY_TTL_S
            while not self.ending:
                if steady_now() > asked_at + DIRECTORY_TTL_S:
                    asked_at = steady_now()
                    known = await self.ask_directory(session) or known
                if known:
                    await self.call(session, self.rng.choice(known))
                await asyncio.sleep(self.rng.uniform(0.005, 0.04))

    async def ask_directory(self, session: aiohttp.ClientSession) -> list[str]:
        """Return the gateways that one of them names."""
        by_address = {g.front: name for name, g in self.gateways.items()}
        gateway = self.gateways[self.rng.choice(GATEWAYS)]
        url = f"http://{gateway.directory}/-/resolve"
        query = {"name": "h.example", "zone": "za"}
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with session.get(
                url, params=query, timeout=aiohttp.ClientTimeout(total=1.0)
            ) as response:
                if response.status == 200:
                    addresses = (await response.json())["addrs"]
                    return [by_address[address] for address in addresses]
        return []

    async def call(self, session: aiohttp.ClientSession, name: str) -> None:
        """Send one request and record its result."""
        kind = self.rng.choice(tuple(KINDS))
        method, prefix = KINDS[kind]
        id = f"r{next(self.ids)}"
        target = f"{prefix}{id}"
        self.records.sent[id] = f"{method} {target}"
        started, sent_at = self.starts[name], steady_now()
        headers = {
            "Host": "h.example",
            names.REQUEST_ID: id,
            names.DEADLINE_MS: str(int(PATIENCE_S * 1000)),
        }
        status, body, fields, detail = 0, b"", {}, ""
        url = f"http://{self.gateways[name].front}{target}"
        try:
            async with session.request(method, url, headers=headers) as response:
                body = await response.read()
                status, fields = response.status, response.headers
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            detail = repr(error)
        listed = fields.get(names.SHARD_SIGNATURES) or fields.get(names.SIGNATURE, "")
        self.records.results.append(
            Result(
                request=id,
                kind=kind,
                gateway=name,
                starts=(started, self.starts[name]),
                sent_at=sent_at,
                ended_at=steady_now(),
                status=status,
                body=body,
                signatures=tuple(s.strip() for s in listed.split(",") if s.strip()),
                missing=int(fields.get(names.MISSING_SHARDS, 0)),
                retry_after=fields.get("Retry-After", ""),
                detail=detail,
            )
        )

    @contextlib.asynccontextmanager
    async def disturbance(self, target: str, kind: str):
        """Record a fault for as long as the block lasts."""
        begin = steady_now()
        try:
            yield
        finally:
            fault = Disturbance(begin, steady_now(), target, kind)
            self.records.disturbances.append(fault)

    @contextlib.contextmanager
    def alone(self, target: str):
        """Give whether no other step is at work on a target."""
        free = target not in self.busy
        self.busy.add(target)
        try:
            yield free
        finally:
            if free:
                self.busy.discard(target)

    @singledispatchmethod
    async def perform(self, step: object) -> None:
        """Carry out one step."""
        raise TypeError(f"not a step: {type(step).__name__}")

    @perform.register
    async def _(self, step: Stopped) -> None:
        with self.alone(step.gateway) as free:
            if free:
                async with self.disturbance(step.gateway, "stopped"):
                    gateway = self.gateways[step.gateway]
                    await gateway.stop()
                    await self.restart(step.gateway)

    @perform.register
    async def _(self, step: Killed) -> None:
        with self.alone(step.gateway) as free:
            if free:
                async with self.disturbance(step.gateway, "killed"):
                    await self.gateways[step.gateway].kill()
                    await asyncio.sleep(step.away_s)
                    await self.restart(step.gateway)

    async def restart(self, name: str) -> None:
        """Start a gateway again, at its addresses; its log goes on in a new file."""
        gateway = self.gateways[name]
        self.starts[name] += 1
        gateway.output = self.folder / f"{name}.{self.starts[name]}.log"
        await gateway.start(wait=False)

    @perform.register
    async def _(self, step: Paused) -> None:
        with self.alone(step.gateway) as free:
            if free:
                async with self.disturbance(step.gateway, "paused"):
                    process = self.gateways[step.gateway].process
                    process.send_signal(signal.SIGSTOP)
                    await asyncio.sleep(step.for_s)
                    process.send_signal(signal.SIGCONT)

    @perform.register
    async def _(self, step: Reloaded) -> None:
        gateway = self.gateways[step.gateway]
        if step.gateway not in self.busy and gateway.heeds_reload():
            gateway.process.send_signal(signal.SIGHUP)

    @perform.register
    async def _(self, step: ServerFaulty) -> None:
        with self.alone(step.server) as free:
            if free:
                async with self.disturbance(step.server, "faulty"):
                    proxy = self.proxies[step.server]
                    proxy.faults.delay_s = step.delay_s
                    await proxy.set_fault(step.fault)
                    await asyncio.sleep(step.for_s)
                    proxy.faults.delay_s = 0.0
                    await proxy.set_fault(Fault.NONE)

    @perform.register
    async def _(self, step: ServerDrained) -> None:
        name = step.server
        with self.alone(name) as free:
            if not free or name not in self.registers:
                return
            await self.add(f"{name.partition('-')[0]}-{next(self.numbers)}")
            register = self.registers.pop(name)
            await self.store.write(f"servers/{name}", {**register, "state": "draining"})
            self.records.drains.append(Drain(steady_now(), name))
            await asyncio.sleep(DRAIN_S)
            await self.store.remove(f"servers/{name}")
            await self.proxies[name].set_fault(Fault.REFUSE)

    @perform.register
    async def _(self, step: ServerCrashed) -> None:
        name = step.server
        with self.alone(name) as free:
            if not free or name not in self.registers:
                return
            async with self.disturbance(name, "crashed"):
                await self.proxies[name].set_fault(Fault.REFUSE)
                await asyncio.sleep(step.for_s / 2)
                await self.store.remove(f"servers/{name}")
                await asyncio.sleep(step.for_s / 2)
                await self.proxies[name].set_fault(Fault.NONE)
                await self.store.write(f"servers/{name}", self.registers[name])

    @perform.register
    async def _(self, step: StoreFaulty) -> None:
        with self.alone("") as free:
            if free:
                async with self.disturbance("", step.kind):
                    faults = self.store.faults
                    faults.refuse_with = 503 if step.kind == "refuse" else 0
                    faults.silent = step.kind == "silent"
                    faults.lose_replies = step.kind == "lose"
                    await asyncio.sleep(step.for_s)
                    faults.refuse_with = 0
                    faults.silent = faults.lose_replies = False

    @perform.register
    async def _(self, step: HistoryForgotten) -> None:
        self.store.forget_history()

    @perform.register
    async def _(self, step: Configured) -> None:
        service = VERSIONED[self.version % len(VERSIONED)]
        await self.configure(
            {
                "prefix": "/q/",
                "gather": list(SHARDS),
                "topK": checks.LIMIT,
                "minCoverage": checks.MIN_COVERAGE,
            },
            {"prefix": "/a/", "service": "a"},
            {"prefix": "/u/", "service": "b", "kind": "unsafe", "maxAttempts": 2},
            {"prefix": "/v/", "service": service},
        )
        self.records.versions.append(Version(steady_now(), self.version, service))
