"""Stand-ins for the store, backend servers and callers, and a starter of processes.

Only the standard library is used. The stand-ins follow the pages: PROTOCOL.md for the
store, the backend servers and the callers, DEPLOY.md for the settings file and the
command of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
REQUEST_ID = "x-fireflyrack-request-id"
DEADLINE_MS = "x-fireflyrack-deadline-ms"
EXPECTED = "x-fireflyrack-expect-instance"
STAMP = "x-fireflyrack-server-stamp"
HOST = "shop.example"
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableMs": 4000,
    "ackMs": 5000,
    "catchUpS": 4,
    "drainMs": 3000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 3000,
    "downgradeSlackMs": 250,
    "skewMaxMs": 12000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retrySlack": 52,
    "recoveryS": 12,
    "ttl_max_s": 5,
}
CASE_LIMIT_S = 110
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Lines of `record.txt`: what was sent, answered and run, with times."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.started_at = time.monotonic()

    def note(self, kind: str, **fields: object) -> None:
        """Write one line."""
        at = round(time.monotonic() - self.started_at, 4)
        self.file.write(json.dumps({"at": at, "kind": kind, **fields}) + "\n")
        self.file.flush()


@dataclass
class Head:
    """Start line and headers of an HTTP message; header names in lower case."""

    start: str
    headers: list[tuple[str, str]]

    def get(self, name: str, default: str = "") -> str:
        """Return the first value of a header."""
        return next((v for n, v in self.headers if n == name), default)


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read a head up to its blank line."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw[:-4].decode("latin-1").split("\r\n")
    pairs = [line.partition(":") for line in lines[1:]]
    return Head(lines[0], [(n.strip().lower(), v.strip()) for n, _, v in pairs])


async def read_body(head: Head, reader: asyncio.StreamReader) -> bytes:
    """Read a body with a length or in chunks."""
    if "chunked" in head.get("transfer-encoding").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += piece[:-2]
    return await reader.readexactly(int(head.get("content-length", "0") or 0))


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0"
        )
    writer.transport.abort()


def free_port(host: str) -> int:
    """Return a port that is free at a loopback address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


# --- the platform's store ---------------------------------------------------------


@dataclass
class Store:
    """The platform's metadata store, as PROTOCOL.md describes it."""

    host: str = "127.0.0.1"
    page: int = 50
    items: dict[str, dict] = field(default_factory=dict)
    revision: int = 1
    events: list[dict] = field(default_factory=list)
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)
    next_lease: int = 1
    address: str = ""
    # Called with the method, the path and the query before each call; may wait.
    gate: Callable[[str, str, dict], Awaitable[None]] | None = None
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self.serve, self.host, 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f"{self.host}:{port}"
        self.server = server

    def write(self, key: str, value: object, lease: int = 0) -> int:
        """Write a key; return the revision."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {
            "key": key,
            "value": base64.b64encode(raw).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self.events.append(item)
        self.notify()
        return self.revision

    def remove(self, key: str) -> None:
        """Delete a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {"key": key, "revision": self.revision, "deleted": True}
            self.events.append(event)
            self.notify()

    def notify(self) -> None:
        """Wake the watches."""
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def expire(self) -> None:
        """End the leases whose time is over."""
        now = time.monotonic()
        for lease in [n for n, (until, _) in self.leases.items() if now >= until]:
            del self.leases[lease]
            for key in [k for k, i in self.items.items() if i["lease"] == lease]:
                self.remove(key)

    async def serve(self, reader, writer) -> None:
        """Serve one connection."""
        try:
            while True:
                head = await read_head(reader)
                method, target, _ = head.start.split(" ")
                path, _, text = target.partition("?")
                body = await read_body(head, reader)
                query = parse_query(text)
                if self.gate is not None:
                    await self.gate(method, path, query)
                self.expire()
                status, reply = await self.call(method, path, query, body)
                data = json.dumps(reply).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def call(self, method, path, query, body) -> tuple[int, dict]:
        """Execute one call."""
        name = path.split("/")[2]
        if name == "kv-range":
            keys = sorted(
                k
                for k in self.items
                if k.startswith(query.get("prefix", "")) and k > query.get("after", "")
            )
            return 200, {
                "items": [self.items[k] for k in keys[: self.page]],
                "morePages": len(keys) > self.page,
                "storeRevision": self.revision,
            }
        if name == "kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, item) if item else (404, {})
        if name == "kv-watch":
            return await self.watch(query)
        if name == "kv-txn":
            return self.transact(json.loads(body))
        if name == "kv-lease":
            ttl_ms = json.loads(body)["ttlMs"]
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms / 1000)
            return 200, {"lease": lease, "ttlMs": ttl_ms}
        lease = int(path.rpartition("/")[2])
        if name == "kv-keep":
            if lease not in self.leases:
                return 404, {}
            ttl_s = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"ttlMs": int(ttl_s * 1000)}
        if name == "kv-lease-end":
            self.leases[lease] = (0.0, 0.0)
            self.expire()
            return 200, {}
        return 404, {}

    async def watch(self, query: dict) -> tuple[int, dict]:
        """Wait for events after a revision."""
        after, prefix = int(query["after"]), query.get("prefix", "")
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [
                e
                for e in self.events
                if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), min(left_s, 0.2))
            self.expire()

    def transact(self, body: dict) -> tuple[int, dict]:
        """Apply a transaction."""
        for row in body.get("expectedRev", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        for write in body.get("writes", []):
            if write["key"].startswith(("op/", "servers/")):
                return 403, {}
            if write.get("lease") and write["lease"] not in self.leases:
                return 404, {}
        for write in body.get("writes", []):
            raw = base64.b64decode(write["value"])
            self.write(write["key"], raw, write.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


def parse_query(text: str) -> dict[str, str]:
    """Decode a query string."""
    from urllib.parse import parse_qsl

    return dict(parse_qsl(text, keep_blank_values=True))


# --- backend servers --------------------------------------------------------------


@dataclass
class Request:
    """A request as a backend server has read it."""

    method: str
    target: str
    head: Head
    body: bytes

    @property
    def id(self) -> str:
        """Return the id of the request."""
        return self.head.get(REQUEST_ID)


def response(request: Request, body: bytes, status: str = "200 OK", **headers) -> bytes:
    """Return an answer with a length; underscores in names stand for dashes."""
    lines = [f"HTTP/1.1 {status}", f"X-Fireflyrack-Request-Id: {request.id}"]
    lines += [f"{n.replace('_', '-')}: {v}" for n, v in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


@dataclass
class Backend:
    """A sound backend server; `behave` may replace an answer."""

    id: str
    service: str
    record: Record
    host: str = "127.0.0.1"
    delay_s: float = 0.01
    slots: int = 3
    # Returns the bytes to send, or None for the sound answer.
    behave: Callable[[Backend, Request], Awaitable[bytes | None]] | None = None
    runs: list[str] = field(default_factory=list)
    # Bodies by request id.
    bodies: dict[str, bytes] = field(default_factory=dict)
    stamps: dict[str, str] = field(default_factory=dict)
    address: str = ""
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    sequence: int = 0
    state: str = "ready"
    running: int = 0
    connections: set = field(default_factory=set)

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, self.host, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.host}:{port}"

    async def restart(self, down_s: float) -> None:
        """End, and start again at the same address under the same id."""
        self.server.close()
        for writer in tuple(self.connections):
            reset(writer)
        await asyncio.sleep(down_s)
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.born, self.sequence = int(time.time() * 1000), 0

    def entry(self) -> dict:
        """Return the entry that the backend server writes to the store."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "za",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def serve(self, reader, writer) -> None:
        """Serve one connection, one request at a time."""
        self.connections.add(writer)
        try:
            while True:
                head = await read_head(reader)
                method, target, _ = head.start.split(" ")
                body = await read_body(head, reader)
                request = Request(method, target, head, body)
                data = await self.answer(request)
                if data is None:
                    break
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, request: Request) -> bytes | None:
        """Run a request and return its answer."""
        expected = request.head.get(EXPECTED)
        if expected and expected != self.id:
            return response(request, b"", "421 Misdirected Request")
        self.runs.append(request.id)
        self.record.note(
            "run", server=self.id, request=request.id, target=request.target
        )
        self.running += 1
        try:
            await asyncio.sleep(self.delay_s)
        finally:
            self.running -= 1
        data = await self.behave(self, request) if self.behave else None
        return self.sound(request) if data is None else data

    def sound(self, request: Request) -> bytes:
        """Return the sound answer to a request."""
        body = self.bodies.setdefault(
            request.id, f"{self.id:>8}{request.id[-8:]:>8}".encode() * 2
        )
        stamp = self.stamps.setdefault(request.id, f"{self.id}.{request.id}.ok")
        load = f"{self.running},0,{self.slots}"
        return response(
            request,
            body,
            X_Fireflyrack_Server_Stamp=stamp,
            X_Fireflyrack_Server_Load=load,
        )


# --- callers ----------------------------------------------------------------------


@dataclass
class Answer:
    """What a caller got: the status is 0 if the connection ended without an answer."""

    status: int
    head: Head | None
    body: bytes
    detail: str = ""


class Caller:
    """A caller with one kept connection; a new one is opened when it has ended."""

    def __init__(self, address: str, record: Record) -> None:
        self.address, self.record = address, record
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.served = 0

    async def open(self) -> None:
        """Open the connection."""
        host, _, port = self.address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.served = 0

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def call(
        self,
        id: str,
        target: str,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 2000,
        wait_s: float = 10.0,
    ) -> Answer:
        """Send one request and return its answer."""
        if self.writer is None:
            await self.open()
        kept = self.served > 0
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Fireflyrack-Request-Id: {id}",
            f"X-Fireflyrack-Deadline-Ms: {deadline_ms}",
        ]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self.record.note("sent", request=id, target=target, method=method, kept=kept)
        answer = await self.exchange(
            "\r\n".join(lines).encode() + b"\r\n\r\n" + body, wait_s
        )
        self.record.note(
            "answered",
            request=id,
            status=answer.status,
            headers=answer.head.headers if answer.head else [],
            body=answer.body.decode("latin-1")[:200],
            detail=answer.detail,
            kept=kept,
        )
        return answer

    async def exchange(self, data: bytes, wait_s: float) -> Answer:
        """Send bytes and read one answer."""
        try:
            self.writer.write(data)
            async with asyncio.timeout(wait_s):
                head = await read_head(self.reader)
                body = await read_body(head, self.reader)
        except TimeoutError:
            self.close()
            return Answer(0, None, b"", "no answer in time")
        except (OSError, asyncio.IncompleteReadError) as error:
            partial = getattr(error, "partial", b"")
            self.close()
            return Answer(0, None, partial, f"connection ended: {error!r}"[:150])
        self.served += 1
        if head.get("connection").lower() == "close":
            self.close()
        return Answer(int(head.start.split(" ")[1]), head, body)


# --- gateways ---------------------------------------------------------------------


class Gateway:
    """One machine with the gateway process, started as the deploy file says."""

    def __init__(
        self, name: str, host: str, folder: Path, store: str, **changes
    ) -> None:
        self.name, self.host, self.folder = name, host, folder
        ports = {n: free_port(host) for n in ("front", "ready", "control", "directory")}
        self.listen = {n: f"{host}:{port}" for n, port in ports.items()}
        self.front = self.listen["front"]
        self.settings = {
            "nodeName": name,
            "role": "gateway",
            "machineClass": "front",
            "serves": ["front", "control", "directory"],
            "ip": host,
            "zone": "za",
            "region": "ra",
            "zones": {"za": "ra"},
            "listen": self.listen,
            "innerPorts": [7740, 7755],
            "seeds": [self.listen["control"]],
            "firstStart": True,
            "countsAsLoss": False,
            "limits": {
                "cpuShare": 0.8,
                "cores": 2,
                "memoryMb": 430,
                "maxFds": 6150,
                "linkMbps": 1500.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "directory",
            "beatIntervalMs": 1200,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "scatter",
                "platform",
            ],
            "tolerate": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": store,
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
            **changes,
        }
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0

    async def start(self) -> None:
        """Start the process."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][
            "gateway"
        ]
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "FIREFLYRACK_NODE_FILE": str(path),
            **role.get("env", {}),
        }
        self.starts += 1
        self.log = self.folder / f"{self.name}-{self.starts}.log"
        with self.log.open("wb") as output:
            self.process = await asyncio.create_subprocess_exec(
                *shlex.split(role["run"]),
                stdout=output,
                stderr=output,
                env=environment,
                cwd=ROOT,
            )

    async def wait_ready(self, timeout_s: float = 15.0) -> None:
        """Wait until the platform's readiness check succeeds."""
        until = time.monotonic() + timeout_s
        while not await self.ready():
            if time.monotonic() > until or self.process.returncode is not None:
                raise CaseError(f"{self.name} is not ready")
            await asyncio.sleep(0.05)

    async def ready(self) -> bool:
        """Return whether the readiness check answers 200."""
        host, _, port = self.listen["ready"].rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                )
                head = await read_head(reader)
                writer.close()
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            return False
        return " 200" in head.start

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Site:
    """A small deployment of stand-ins and gateways."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder, self.record = folder, record
        self.store = Store()
        self.backends: dict[str, Backend] = {}
        self.gateways: list[Gateway] = []
        self.version = 0
        self.tasks: list[asyncio.Task] = []

    async def add_backend(self, id: str, service: str, **changes) -> Backend:
        """Start a backend server and write its entry."""
        backend = Backend(id, service, self.record, **changes)
        await backend.start()
        self.backends[id] = backend
        self.store.write(f"servers/{id}", backend.entry())
        return backend

    async def beat(self) -> None:
        """Have the backend servers write their entries at the heartbeat's interval."""
        while True:
            await asyncio.sleep(1.2)
            for id, backend in list(self.backends.items()):
                if f"servers/{id}" in self.store.items:
                    self.store.write(f"servers/{id}", backend.entry())

    def configure(self, routes: list[dict], **limits) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        services = set()
        for route in routes:
            services |= set(route.get("gather", ()))
            services |= {part["service"] for part in route.get("split", ())}
            services |= {route["service"]} if "service" in route else set()
        self.store.write(
            "op/config",
            {
                "version": self.version,
                "routes": [
                    {
                        "name": f"r{n}",
                        "host": HOST,
                        "kind": "safe",
                        "timeoutMs": 2000,
                        "sloMs": 500,
                        "priority": 1,
                        "maxAttempts": 2,
                        **route,
                    }
                    for n, route in enumerate(routes)
                ],
                "services": [
                    {"name": name, "healthPath": "/health", "maxConns": 38}
                    for name in sorted(services)
                ],
                "limits": {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 262144,
                    "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000,
                    **limits,
                },
            },
        )

    async def start_gateways(self, count: int, **changes) -> None:
        """Start gateways, each at a loopback address of its own."""
        base = int.from_bytes(os.urandom(2)) % 200 + 20
        for number in range(count):
            host = f"127.{base}.{os.getpid() % 250 + 1}.{number + 2}"
            gateway = Gateway(
                f"front-{number}", host, self.folder, self.store.address, **changes
            )
            self.gateways.append(gateway)
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()

    async def stop(self) -> None:
        """End all processes."""
        for task in self.tasks:
            task.cancel()
        for gateway in self.gateways:
            await gateway.kill()


def run_case(case: Callable[[Site, bool], Awaitable[list[str]]], folder: Path) -> None:
    """Run a case and exit; it returns the breaches of its rule.

    `TROUBLE=0` runs it without its disruption.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")

    async def play() -> list[str]:
        with tempfile.TemporaryDirectory() as scratch:
            site = Site(Path(scratch), record)
            try:
                await site.store.start()
                async with asyncio.timeout(CASE_LIMIT_S):
                    return await case(site, trouble)
            finally:
                await site.stop()
                if os.environ.get("KEEP_LOGS"):
                    for log in Path(scratch).glob("*.log"):
                        (Path(os.environ["KEEP_LOGS"]) / log.name).write_bytes(
                            log.read_bytes()
                        )

    try:
        breaches = asyncio.run(play())
    except Exception as error:  # noqa: BLE001
        record.note("case could not run", error=repr(error))
        print(f"could not run: {error!r}")
        sys.exit(EXIT_NOT_RUN)
    for breach in breaches:
        record.note("breach", text=breach)
    print(f"{len(breaches)} breaches" + (f", first: {breaches[0]}" if breaches else ""))
    sys.exit(EXIT_BROKEN if breaches else EXIT_HELD)


__all__ = [name for name in dir() if name[0] != "_"] + ["signal"]
