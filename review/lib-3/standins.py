"""Stand-ins for the platform's store, backends and clients, and gateway processes.

Only the standard library is used. Everything listens on loopback addresses.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qsl

ROOT = Path(__file__).resolve().parents[2]
STAMP = "X-Fireflyrack-Server-Stamp"
REQUEST_ID = "X-Fireflyrack-Request-Id"
DEADLINE = "X-Fireflyrack-Deadline-Ms"
EXPECTED = "X-Fireflyrack-Expect-Instance"
NOT_RUN = "X-Fireflyrack-Not-Executed"
LOAD = "X-Fireflyrack-Server-Load"
INSTANCE = "X-Fireflyrack-Instance-Id"
PAGE = 50
HOST = "shop.example"
BEAT_S = 1.2

# As on the sheet of the smaller deployments.
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


class Record:
    """Lines of record.txt, with seconds since the start of the script."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.started_at

    def write(self, text: str) -> None:
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()

    def say(self, text: str) -> None:
        self.write(text)
        print(text)


@dataclass
class Message:
    """An HTTP message: first line, headers in lower case, and body."""

    line: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message with Content-Length; None if the connection ends."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines[1:] if line)
    headers = {name.strip().lower(): value.strip() for name, value in pairs}
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(lines[0], headers, body)


def encode(first: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return a message with Content-Length."""
    fields = {**headers, "Content-Length": str(len(body))}
    lines = [first, *(f"{name}: {value}" for name, value in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def free_port(ip: str) -> int:
    """Return a port that is free on an address now."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def loopback_ip() -> str:
    """Return a loopback address of its own for each machine of a script."""
    parts = (random.randint(10, 250) for _ in range(3))
    return "127." + ".".join(map(str, parts))


class Store:
    """The platform's store; each machine reaches it at an address of its own."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.items: dict[str, dict] = {}
        self.revision = 1
        self.events: list[dict] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.last_lease = 100
        self.changed = asyncio.Condition()
        self.servers: list[asyncio.Server] = []
        # Machines whose calls get no response now.
        self.silent: set[str] = set()
        # Calls of each machine that were answered: (time, call).
        self.answered: dict[str, list[tuple[float, str]]] = {}

    async def listen(self, machine: str) -> str:
        ip = loopback_ip()
        self.answered[machine] = []

        async def accept(reader, writer):
            await self.serve(machine, reader, writer)

        server = await asyncio.start_server(accept, ip, 0)
        self.servers.append(server)
        return f"{ip}:{server.sockets[0].getsockname()[1]}"

    async def serve(self, machine, reader, writer) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while message := await read_message(reader):
                method, target, _ = message.line.split(" ")
                # A call that arrives in the silence is not done.
                lost = machine in self.silent
                if not lost:
                    status, reply = await self.dispatch(method, target, message.body)
                    lost = machine in self.silent
                if lost:
                    self.record.write(
                        f"store: no response to {machine} {method} {target}"
                    )
                    # A connection on which a response is lost returns nothing further.
                    await reader.read()
                    break
                reason = {200: "OK", 404: "Not Found", 410: "Gone", 412: "No"}[status]
                headers = {"Content-Type": "application/json"}
                body = json.dumps(reply).encode()
                writer.write(encode(f"HTTP/1.1 {status} {reason}", headers, body))
                await writer.drain()
                call = target.split("?")[0].split("/")[2]
                self.answered[machine].append((self.record.now(), call))
        writer.close()

    async def dispatch(self, method: str, target: str, raw: bytes):

        path, _, text = target.partition("?")
        query = dict(parse_qsl(text, keep_blank_values=True))
        body = json.loads(raw) if raw else {}
        call = path.split("/")[2]
        await self.expire()
        if call == "kv-range":
            keys = sorted(
                k
                for k in self.items
                if k.startswith(query["prefix"]) and k > query.get("after", "")
            )
            items = [self.items[k] for k in keys[:PAGE]]
            more = len(keys) > PAGE
            return 200, {
                "items": items,
                "morePages": more,
                "storeRevision": self.revision,
            }
        if call == "kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {}
            return 200, {**item, "storeRevision": self.revision}
        if call == "kv-watch":
            return await self.watch(query)
        if call == "kv-txn":
            return await self.transact(body)
        if call == "kv-lease":
            self.last_lease += 1
            ttl = body["ttlMs"] / 1000
            self.leases[self.last_lease] = (time.monotonic() + ttl, ttl)
            return 200, {"lease": self.last_lease, "ttlMs": body["ttlMs"]}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if call == "kv-keep":
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl, ttl)
            return 200, {"lease": lease, "ttlMs": ttl * 1000}
        self.leases[lease] = (0.0, 0.0)
        await self.expire()
        return 200, {}

    async def watch(self, query: dict):
        after, prefix = int(query["after"]), query["prefix"]
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            found = [
                e
                for e in self.events
                if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "storeRevision": self.revision}
            async with self.changed:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(left):
                        await self.changed.wait()

    async def transact(self, body: dict):
        for row in body.get("expectedRev", ()):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": []}
        for write in body.get("writes", ()):
            if write.get("lease") and write["lease"] not in self.leases:
                return 404, {}
        for write in body.get("writes", ()):
            await self.put(write["key"], write["value"], write.get("lease", 0))
        for key in body.get("remove", ()):
            await self.remove(key)
        return 200, {"revision": self.revision}

    async def put(self, key: str, value: str, lease: int = 0) -> None:
        self.revision += 1
        old = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": old["created"] if old else self.revision,
            "lease": lease,
        }
        self.events.append(self.items[key])
        await self.notify()

    async def write(self, key: str, value: dict) -> None:
        """Write as the operator or a backend does; acknowledged when it returns."""
        await self.put(key, base64.b64encode(json.dumps(value).encode()).decode())

    def value(self, key: str) -> dict:
        """Return the stored value of a key, empty if there is none."""
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else {}

    def refresh(self, key: str, value: dict) -> None:
        """Store a heartbeat that changes nothing but its number."""
        self.items[key]["value"] = base64.b64encode(json.dumps(value).encode()).decode()

    async def remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.events.append({"key": key, "revision": self.revision, "deleted": True})
            await self.notify()

    async def notify(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    async def expire(self) -> None:
        now = time.monotonic()
        for lease in [n for n, (until, _) in self.leases.items() if now >= until]:
            del self.leases[lease]
            for key in [k for k, i in self.items.items() if i["lease"] == lease]:
                await self.remove(key)

    async def expire_forever(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            await self.expire()


@dataclass
class Run:
    """A request that a backend began to work on."""

    at: float
    server: str
    service: str
    request: str
    line: str


@dataclass
class Backend:
    """A backend server: answers requests that name it, and registers in the store."""

    id: str
    service: str
    store: Store
    record: Record
    runs: list[Run]
    work_s: float = 0.01
    slots: int = 4
    ip: str = field(default_factory=loopback_ip)
    address: str = ""
    state: str = "ready"
    sequence: int = 0
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    running: int = 0
    waiting: int = 0
    server: asyncio.Server | None = None
    writers: set = field(default_factory=set)

    async def start(self) -> None:
        self.semaphore = asyncio.Semaphore(self.slots)
        self.server = await asyncio.start_server(self.accept, self.ip, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{port}"
        await self.register()

    async def register(self) -> None:
        self.sequence += 1
        await self.store.write(f"servers/{self.id}", self.entry())
        self.record.write(f"{self.id} of {self.service}: {self.state}, acknowledged")

    def entry(self) -> dict:
        """Return what the backend says of itself in the store."""
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

    async def beat_forever(self) -> None:
        """Write the entry each beatIntervalMs; it changes with more than its number."""
        while True:
            await asyncio.sleep(BEAT_S)
            self.sequence += 1
            stored = self.store.value(f"servers/{self.id}")
            if {**stored, "sequence": self.sequence} == self.entry():
                self.store.refresh(f"servers/{self.id}", self.entry())
            else:
                await self.store.write(f"servers/{self.id}", self.entry())
                self.record.write(f"{self.id} of {self.service} writes its entry again")

    async def leave(self) -> None:
        """Exit: the entry is removed, and all connections end."""
        self.server.close()
        for writer in tuple(self.writers):
            writer.close()
        await self.store.remove(f"servers/{self.id}")
        self.record.write(f"{self.id} of {self.service}: has left")

    async def accept(self, reader, writer) -> None:
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while message := await read_message(reader):
                writer.write(await self.answer(message))
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def answer(self, message: Message) -> bytes:
        headers = {LOAD: f"{self.running},{self.waiting},{self.slots}"}
        if message.line.startswith("GET /health"):
            headers[INSTANCE] = self.id
            return encode("HTTP/1.1 200 OK", headers, b"")
        request = message.headers.get(REQUEST_ID.lower(), "")
        headers[REQUEST_ID] = request
        if message.headers.get(EXPECTED.lower(), self.id) != self.id:
            headers[NOT_RUN] = "1"
            return encode("HTTP/1.1 421 Misdirected Request", headers, b"")
        self.waiting += 1
        async with self.semaphore:
            self.waiting -= 1
            self.running += 1
            at = self.record.now()
            self.runs.append(Run(at, self.id, self.service, request, message.line))
            self.record.write(
                f"run {request} by {self.id} of {self.service} ({self.state})"
            )
            await asyncio.sleep(self.work_s)
            self.running -= 1
        headers[STAMP] = f"{self.id}.{request}"
        return encode("HTTP/1.1 200 OK", headers, f"{self.service}:{request}".encode())


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(self, name: str, store: str, seeds: list[str], folder: Path) -> None:
        self.name, self.store, self.seeds, self.folder = name, store, seeds, folder
        self.ip = loopback_ip()
        names = ("front", "ready", "control", "directory")
        self.listen = {n: f"{self.ip}:{free_port(self.ip)}" for n in names}
        self.process: asyncio.subprocess.Process | None = None

    def settings(self) -> dict:
        first = free_port(self.ip)
        return {
            "nodeName": self.name,
            "role": "gateway",
            "machineClass": "front",
            "serves": ["front", "control", "directory"],
            "ip": self.ip,
            "zone": "za",
            "region": "r",
            "zones": {"za": "r"},
            "listen": self.listen,
            "innerPorts": [first, first + 15],
            "seeds": self.seeds,
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
                "address": self.store,
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
        }

    async def start(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["gateway"]
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment = {
            **kept,
            **role.get("env", {}),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "FIREFLYRACK_NODE_FILE": str(path),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def wait_ready(self, limit_s: float = 20.0) -> None:
        async with asyncio.timeout(limit_s):
            while True:
                with contextlib.suppress(OSError, EOFError):
                    answer = await call(self.listen["ready"], "GET", "/-/ready", {})
                    if answer and answer.line.split(" ")[1] == "200":
                        return
                await asyncio.sleep(0.05)

    async def end(self) -> None:
        if self.process and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()


async def call(address, method, target, headers, body=b"", timeout_s=10.0):
    """Send one request on a connection of its own; None if there is no answer."""
    ip, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            writer.write(encode(f"{method} {target} HTTP/1.1", headers, body))
            return await read_message(reader)
        finally:
            writer.close()


class Client:
    """A client with one kept connection, which it opens again when it ends."""

    def __init__(self, record: Record, gateway: Gateway, name: str) -> None:
        self.record, self.gateway, self.name = record, gateway, name
        self.number = 0
        self.streams = None

    async def send(self, target: str, deadline_ms: int = 1500, method: str = "GET"):
        """Send a request; return its id, the time of sending and the answer."""
        self.number += 1
        request = f"{self.name}-{self.number}"
        headers = {
            "Host": HOST,
            REQUEST_ID: request,
            DEADLINE: str(deadline_ms),
        }
        sent_at = self.record.now()
        answer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                if self.streams is None:
                    ip, _, port = self.gateway.listen["front"].rpartition(":")
                    self.streams = await asyncio.open_connection(ip, int(port))
                reader, writer = self.streams
                writer.write(encode(f"{method} {target} HTTP/1.1", headers, b""))
                answer = await read_message(reader)
        except (OSError, TimeoutError):
            pass
        if answer is None or answer.headers.get("connection") == "close":
            self.close()
        result = answer.line.split(" ", 1)[1] if answer else "no answer"
        body = answer.body[:40] if answer else b""
        self.record.write(
            f"client {request} to {self.gateway.name} {target}, sent at "
            f"{sent_at:.3f}: {result} {body!r}"
        )
        return request, sent_at, answer

    def close(self) -> None:
        if self.streams:
            self.streams[1].close()
            self.streams = None


def route(prefix: str, service: str, **changes) -> dict:
    """Return a route of the operator's configuration."""
    return {
        "name": f"r{prefix.strip('/')}",
        "host": HOST,
        "prefix": prefix,
        "kind": "safe",
        "timeoutMs": 1500,
        "sloMs": 300,
        "priority": 1,
        "maxAttempts": 2,
        "service": service,
        **changes,
    }


async def configure(
    store: Store, version: int, routes: list[dict], services: list[str]
):
    """Write a configuration as the operator does; return when it is acknowledged."""
    await store.write(
        "op/config",
        {
            "version": version,
            "routes": routes,
            "services": [
                {"name": s, "healthPath": "/health", "maxConns": 38} for s in services
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 262144,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        },
    )
    store.record.write(f"operator: version {version} is acknowledged")
    return store.record.now()


def run(folder: Path, body) -> int:
    """Run `body(record, work_folder, trouble)`; return its exit code, 2 on errors."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def whole() -> int:
        async with asyncio.timeout(115):
            with tempfile.TemporaryDirectory() as name:
                return await body(record, Path(name), trouble)

    try:
        return asyncio.run(whole())
    except Exception as error:  # noqa: BLE001
        record.say(f"the case could not run: {error!r}")
        return 2


if __name__ == "__main__":
    sys.exit("this module is imported by the scripts of the cases")
