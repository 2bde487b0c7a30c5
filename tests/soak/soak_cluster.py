"""Soak test cluster: gateway processes, stand-ins behind fault proxies, and callers."""

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
from cluster import Cluster
from plan import (
    GATEWAYS,
    SHARDS,
    VERSION_SERVICES,
    CompactHistory,
    CrashServer,
    DrainServer,
    InjectServerFault,
    InjectStoreFault,
    KillGateway,
    MisbehaveServer,
    PauseGateway,
    Plan,
    ReloadGateway,
    RestoreStore,
    StopGateway,
    WriteConfiguration,
    server_names,
)
from records import (
    ConfigurationVersion,
    Drain,
    InjectedFault,
    Records,
    Result,
    Run,
    plain_body,
    search_body,
    signature_of,
)
from stand_in_server import ReceivedRequest, Reply, StandInServer, encode_response

from fireflyrack.core import steady_now
from fireflyrack.platform import names
from fireflyrack.testbed.ports import free_address
from fireflyrack.testbed.proxy import Fault, FaultProxy

CALLERS = 8
CALLER_DEADLINE_S = 1.5
# Callers give up this long after the deadline of a request.
RESPONSE_MARGIN_S = 1.0
DIRECTORY_TTL_S = 1.0
REQUEST_KINDS = {
    "search": ("GET", "/q/"),
    "safe": ("GET", "/a/"),
    "unsafe": ("POST", "/u/"),
    "version": ("GET", "/v/"),
}
# Status lines that end no request.
INVALID_STATUSES = {
    "status zero": b"HTTP/1.1 000 Zero",
    "status high": b"HTTP/1.1 600 High",
}
# A draining server keeps serving for this long after the store acknowledged it.
DRAIN_S = checks.DRAIN_BOUND_S + 2.0


class SoakCluster(Cluster):
    """Run a plan against gateway processes; `records` holds the observations."""

    def __init__(self, folder: Path, plan: Plan) -> None:
        super().__init__(folder)
        self.plan = plan
        self.rng = random.Random(plan.seed)
        self.records = Records()
        self.proxies: dict[str, FaultProxy] = {}
        # Registrations in the store, and those of servers that drain.
        self.registrations: dict[str, dict] = {}
        self.draining: dict[str, dict] = {}
        self.misbehaviours: dict[str, str] = {}
        self.starts = dict.fromkeys(GATEWAYS, 0)
        self.targets_in_use: set[str] = set()
        self.ids = count()
        self.server_numbers = count(100)
        self.sequences = count(1)
        self.store_faults = 0
        self.ending = False

    async def run(self) -> Records:
        """Run the plan; return the observations."""
        for name in server_names():
            await self.add(name)
        await self.perform(WriteConfiguration())
        for name in GATEWAYS:
            await self.start(name)
            self.starts[name] += 1
        begin = steady_now()
        async with asyncio.TaskGroup() as callers:
            for _ in range(CALLERS):
                callers.create_task(self.call_until_end())
            async with asyncio.TaskGroup() as steps:
                for at, step in self.plan.steps:
                    await asyncio.sleep(max(0.0, begin + at - steady_now()))
                    steps.create_task(self.perform(step))
            self.records.faults_ended_at = steady_now()
            await asyncio.sleep(checks.RECOVERY_S + 2.0)
            self.ending = True
        self.record_process_faults()
        return self.records

    def record_process_faults(self) -> None:
        """Record unexpected exits of processes and internal faults in their logs."""
        for name, gateway in self.gateways.items():
            if gateway.process.returncode is not None:
                self.records.faults.append(f"{name} exited unexpectedly")
        for path in self.folder.glob("*.log"):
            for line in path.read_text().splitlines():
                if "internal_fault" in line or not line.startswith("{"):
                    self.records.faults.append(f"{path.name}: {line[:500]}")

    async def add(self, name: str) -> None:
        """Start a backend server behind a fault proxy and register it."""
        service = name.partition("-")[0]
        server = StandInServer(name, service, free_address(), self.serve)
        await self.stack.enter_async_context(server)
        proxy = FaultProxy(free_address(), server.address)
        await self.stack.enter_async_context(proxy)
        self.proxies[name] = proxy
        self.registrations[name] = server.registration(
            address=proxy.address, sequence=next(self.sequences)
        )
        await self.store.write(f"servers/{name}", self.registrations[name])

    async def serve(self, server: StandInServer, request: ReceivedRequest) -> Reply:
        """Record the execution of a request and answer it."""
        records, proxy = self.records, self.proxies[server.id]
        most = max(records.connections.get(server.id, 0), len(proxy.tasks))
        records.connections[server.id] = most
        expected = request.headers.get(names.EXPECTED_SERVER.lower())
        if expected not in (None, server.id):
            return Reply(encode_response(request, b"", "421 Misdirected Request"))
        misbehaviour = self.misbehaviours.get(server.id, "")
        if misbehaviour == "closing":
            closed = {names.NOT_RUN: "1", "Retry-After": "0.5"}
            return Reply(encode_response(request, b"", "503 Unavailable", closed))
        id = request.headers[names.REQUEST_ID.lower()]
        run = (id, server.id, server.service, request.method, request.target)
        records.runs.append(Run(steady_now(), *run, request.body))
        await asyncio.sleep(self.rng.uniform(0.002, 0.03))
        if server.service in SHARDS:
            body = search_body(id, server.id)
        else:
            body = plain_body(id, server.id, request.target)
        signature = signature_of(id, server.id)
        headers = {names.SIGNATURE: signature, names.SERVER_LOAD: "1,0,2"}
        if misbehaviour == "limited":
            headers[names.RATE_LIMIT] = "5.0"
        whole = encode_response(request, body, headers=headers)
        return misbehave(misbehaviour, whole)

    async def call_until_end(self) -> None:
        """Send requests on keep-alive connections until the soak test ends."""
        timeout = aiohttp.ClientTimeout(total=CALLER_DEADLINE_S + RESPONSE_MARGIN_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            # A retry by the HTTP client would be recorded as a second execution.
            session._retry_connection = False
            known, queried_at = [], -DIRECTORY_TTL_S
            while not self.ending:
                if steady_now() > queried_at + DIRECTORY_TTL_S:
                    queried_at = steady_now()
                    known = await self.query_directory(session) or known
                if known:
                    await self.call(session, self.rng.choice(known))
                await asyncio.sleep(self.rng.uniform(0.005, 0.04))

    async def query_directory(self, session: aiohttp.ClientSession) -> list[str]:
        """Return the names of the gateways that a random gateway's directory lists."""
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
        """Send one request of a random kind and record its result."""
        kind = self.rng.choice(tuple(REQUEST_KINDS))
        method, prefix = REQUEST_KINDS[kind]
        id = f"r{next(self.ids)}"
        target = f"{prefix}{id}"
        self.records.sent[id] = f"{method} {target}"
        started, sent_at = self.starts[name], steady_now()
        headers = {
            "Host": "h.example",
            names.REQUEST_ID: id,
            names.DEADLINE_MS: str(int(CALLER_DEADLINE_S * 1000)),
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
    async def record_fault(self, target: str, kind: str):
        """Record a fault that lasts for the duration of the block."""
        begin = steady_now()
        try:
            yield
        finally:
            fault = InjectedFault(begin, steady_now(), target, kind)
            self.records.injected_faults.append(fault)

    @contextlib.contextmanager
    def exclusive(self, target: str):
        """Reserve a target; yield whether no other step is using it."""
        acquired = target not in self.targets_in_use
        self.targets_in_use.add(target)
        try:
            yield acquired
        finally:
            if acquired:
                self.targets_in_use.discard(target)

    @singledispatchmethod
    async def perform(self, step: object) -> None:
        """Run one step of the plan."""
        raise TypeError(f"unsupported step type: {type(step).__name__}")

    @perform.register
    async def _(self, step: StopGateway) -> None:
        with self.exclusive(step.gateway) as acquired:
            if acquired:
                async with self.record_fault(step.gateway, "stopped"):
                    gateway = self.gateways[step.gateway]
                    await gateway.stop()
                    await self.restart(step.gateway)

    @perform.register
    async def _(self, step: KillGateway) -> None:
        with self.exclusive(step.gateway) as acquired:
            if acquired:
                async with self.record_fault(step.gateway, "killed"):
                    await self.gateways[step.gateway].kill()
                    await asyncio.sleep(step.downtime_s)
                    await self.restart(step.gateway)

    async def restart(self, name: str) -> None:
        """Restart a gateway at the same addresses, with a new log file."""
        gateway = self.gateways[name]
        self.starts[name] += 1
        gateway.output = self.folder / f"{name}.{self.starts[name]}.log"
        await gateway.start(wait=False)

    @perform.register
    async def _(self, step: PauseGateway) -> None:
        with self.exclusive(step.gateway) as acquired:
            if acquired:
                async with self.record_fault(step.gateway, "paused"):
                    process = self.gateways[step.gateway].process
                    process.send_signal(signal.SIGSTOP)
                    await asyncio.sleep(step.duration_s)
                    process.send_signal(signal.SIGCONT)

    @perform.register
    async def _(self, step: ReloadGateway) -> None:
        gateway = self.gateways[step.gateway]
        if step.gateway not in self.targets_in_use and gateway.handles_sighup():
            gateway.process.send_signal(signal.SIGHUP)

    @perform.register
    async def _(self, step: InjectServerFault) -> None:
        with self.exclusive(step.server) as acquired:
            if acquired:
                async with self.record_fault(step.server, "faulty"):
                    proxy = self.proxies[step.server]
                    proxy.faults.delay_s = step.delay_s
                    await proxy.set_fault(step.fault)
                    await asyncio.sleep(step.duration_s)
                    proxy.faults.delay_s = 0.0
                    await proxy.set_fault(Fault.NONE)

    @perform.register
    async def _(self, step: DrainServer) -> None:
        name = step.server
        with self.exclusive(name) as acquired:
            if not acquired or name not in self.registrations:
                return
            await self.add(f"{name.partition('-')[0]}-{next(self.server_numbers)}")
            registration = {
                **self.registrations.pop(name),
                "state": "draining",
                "sequence": next(self.sequences),
            }
            self.draining[name] = registration
            await self.store.write(f"servers/{name}", registration)
            self.records.drains.append(Drain(steady_now(), name))
            await asyncio.sleep(DRAIN_S)
            del self.draining[name]
            await self.store.remove(f"servers/{name}")
            await self.proxies[name].set_fault(Fault.REFUSE)

    @perform.register
    async def _(self, step: CrashServer) -> None:
        name = step.server
        with self.exclusive(name) as acquired:
            if not acquired or name not in self.registrations:
                return
            async with self.record_fault(name, "crashed"):
                await self.proxies[name].set_fault(Fault.REFUSE)
                await asyncio.sleep(step.duration_s / 2)
                await self.store.remove(f"servers/{name}")
                await asyncio.sleep(step.duration_s / 2)
                await self.proxies[name].set_fault(Fault.NONE)
                await self.store.write(f"servers/{name}", self.registrations[name])

    @perform.register
    async def _(self, step: InjectStoreFault) -> None:
        with self.exclusive("") as acquired:
            if acquired:
                async with self.record_fault("", step.kind):
                    faults = self.store.faults
                    faults.refuse_with = 503 if step.kind == "refuse" else 0
                    faults.silent = step.kind == "silent"
                    faults.lose_replies = step.kind == "lose"
                    await asyncio.sleep(step.duration_s)
                    faults.refuse_with = 0
                    faults.silent = faults.lose_replies = False

    @perform.register
    async def _(self, step: MisbehaveServer) -> None:
        with self.exclusive(step.server) as acquired:
            if acquired:
                async with self.record_fault(step.server, step.kind):
                    self.misbehaviours[step.server] = step.kind
                    await asyncio.sleep(step.duration_s)
                    del self.misbehaviours[step.server]

    @perform.register
    async def _(self, step: RestoreStore) -> None:
        with self.exclusive("") as acquired:
            if not acquired:
                return
            backup = self.store.copy()
            await asyncio.sleep(step.age_s)
            async with self.record_fault("", "restored"):
                self.store.faults.refuse_with = 503
                await asyncio.sleep(step.away_s)
                self.store.restore(backup)
                self.store.faults.refuse_with = 0
                await self.write_again()

    async def write_again(self) -> None:
        """Write what the operator and the backend servers have last written."""
        await self.store.write("op/config", self.last_configuration)
        for name, registration in {**self.registrations, **self.draining}.items():
            value = {**registration, "sequence": next(self.sequences)}
            await self.store.write(f"servers/{name}", value)

    @perform.register
    async def _(self, step: CompactHistory) -> None:
        self.store.compact_history()

    @perform.register
    async def _(self, step: WriteConfiguration) -> None:
        service = VERSION_SERVICES[self.version % len(VERSION_SERVICES)]
        await self.configure(
            {
                "prefix": "/q/",
                "gather": list(SHARDS),
                "topK": checks.TOP_K,
                "minCoverage": checks.MIN_COVERAGE,
            },
            {"prefix": "/a/", "service": "a"},
            {"prefix": "/u/", "service": "b", "kind": "unsafe", "maxAttempts": 2},
            {"prefix": "/v/", "service": service},
        )
        self.records.versions.append(
            ConfigurationVersion(steady_now(), self.version, service)
        )


def misbehave(kind: str, whole: bytes) -> Reply:
    """Return the reply of a server with a misbehaviour, if it has one."""
    head_end = whole.index(b"\r\n\r\n")
    if kind == "doubled":
        return Reply(whole + whole)
    if kind == "cut head":
        return Reply(whole[: head_end // 2], close=True)
    if kind == "endless":
        return Reply(whole[:head_end], endless=b"X-More: y\r\n" * 100)
    if kind == "blank lines":
        return Reply(b"HTTP/1.1 200 OK\r\n\r\n", endless=b"\r\n" * 32768)
    if kind == "endless body":
        return Reply(b"HTTP/1.1 200 OK\r\n\r\n", endless=b"b" * 65536)
    if kind == "spoiled signature":
        field = f"{names.SIGNATURE}: ".encode()
        return Reply(whole.replace(field, field + b"\x13", 1))
    if kind in INVALID_STATUSES:
        # The request ran; what a response with such a status states is not true.
        line = INVALID_STATUSES[kind] + f"\r\n{names.NOT_RUN}: 1".encode()
        return Reply(whole.replace(b"HTTP/1.1 200 OK", line, 1))
    return Reply(whole)
