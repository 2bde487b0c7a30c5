"""Loopback deployment for the cases: store, backend servers, gateways and clients.

It needs only the standard library. The gateways are the project's own processes,
started with the command of `deploy/system.toml`. Everything else here is a stand-in.
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
from pathlib import Path
from urllib.parse import parse_qsl

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 115.0
HOST = "h.example"
BEAT_S = 1.2
START_TIMEOUT_S = 20.0
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


class CannotRun(Exception):
    """The case could not be set up; the run says nothing about the rule."""


class Record:
    """Write what was sent, answered and run to `record.txt`."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started

    def note(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Loopback:
    """Hand out unused loopback addresses; each process gets a host of its own."""

    def __init__(self) -> None:
        self.rng = random.Random(os.getpid() ^ time.time_ns())
        self.used: set[str] = set()

    def host(self) -> str:
        """Return an unused host of 127.0.0.0/8."""
        while True:
            numbers = [self.rng.randint(1, 250) for _ in range(3)]
            host = "127." + ".".join(map(str, numbers))
            if host not in self.used:
                self.used.add(host)
                return host

    def address(self, host: str | None = None) -> str:
        """Return a free address on a host."""
        host = host or self.host()
        with socket.socket() as probe:
            probe.bind((host, 0))
            return f"{host}:{probe.getsockname()[1]}"


async def read_message(reader: asyncio.StreamReader) -> tuple[list[str], dict, bytes]:
    """Read one HTTP/1.1 message with a length; return start line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0].split(" ", 2), headers, body


class Server:
    """TCP server whose connections are handled by `connection`."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self.accept, host, int(port))

    def shut(self) -> None:
        """Stop listening and reset all connections, as a killed process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def accept(self, reader, writer) -> None:
        """Handle one connection."""
        self.writers.add(writer)
        try:
            await self.connection(reader, writer)
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
        ):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def connection(self, reader, writer) -> None:
        """Serve one connection."""
        raise NotImplementedError


class Store(Server):
    """The platform's store, as PROTOCOL.md describes it."""

    def __init__(self, address: str, record: Record) -> None:
        super().__init__(address)
        self.record = record
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.revision = 1
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 1
        self.changed = asyncio.Condition()
        # Called with the call's name and its reply; True loses the answer.
        self.loses = lambda call, reply: False
        self.answers = 0
        self.lost = 0

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key and return the revision."""
        self.revision += 1
        old = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": old["created"] if old else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        await self.publish(dict(item))
        return self.revision

    async def delete(self, key: str) -> None:
        """Delete a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {"key": key, "revision": self.revision, "deleted": True}
            await self.publish(event)

    async def publish(self, event: dict) -> None:
        """Add an event and wake the waiting watches."""
        self.events.append(event)
        async with self.changed:
            self.changed.notify_all()

    async def expire_leases(self) -> None:
        """End leases whose time has passed; never returns."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (until, _) in tuple(self.leases.items()):
                if now >= until:
                    await self.end_lease(lease)

    async def end_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            await self.delete(key)

    async def connection(self, reader, writer) -> None:
        """Answer the calls of one connection in order."""
        while True:
            (method, target, _), _, body = await read_message(reader)
            path, _, query = target.partition("?")
            call = path.split("/")[2]
            parameters = decode_query(query)
            data = json.loads(body) if body else {}
            status, reply = await self.execute(method, path, call, parameters, data)
            self.answers += 1
            if self.loses(call, reply):
                self.lost += 1
                self.record.note(f"store: answer to {call} lost on its way")
                # The connection returns nothing further; it ends with the caller.
                await reader.read()
                return
            text = json.dumps(reply).encode()
            writer.write(
                f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(text)}\r\n\r\n".encode()
                + text
            )
            await writer.drain()

    async def execute(self, method, path, call, query, data) -> tuple[int, dict]:
        """Execute a call; return status and reply."""
        if call == "kv-range":
            return 200, self.page(query)
        if call == "kv-key":
            item = self.items.get(query["key"])
            found = {**(item or {}), "storeRevision": self.revision}
            return (200, found) if item else (404, {})
        if call == "kv-watch":
            return 200, await self.wait_for_events(query)
        if call == "kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            ttl_s = data["ttlMs"] / 1000
            self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"lease": lease, "ttlMs": data["ttlMs"]}
        if call == "kv-keep":
            lease = int(path.rpartition("/")[2])
            if lease not in self.leases:
                return 404, {}
            ttl_s = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"lease": lease, "ttlMs": ttl_s * 1000}
        if call == "kv-lease-end":
            await self.end_lease(int(path.rpartition("/")[2]))
            return 200, {}
        if call == "kv-txn":
            return await self.transact(data)
        return 404, {}

    def page(self, query: dict) -> dict:
        """Return one page of items."""
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        )
        return {
            "items": [self.items[key] for key in keys[:500]],
            "morePages": len(keys) > 500,
            "storeRevision": self.revision,
        }

    async def wait_for_events(self, query: dict) -> dict:
        """Wait for events after a revision."""
        after, prefix = int(query["after"]), query["prefix"]
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            remaining_s = until - time.monotonic()
            if events or remaining_s <= 0:
                return {"events": events, "storeRevision": self.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining_s), self.changed:
                    await self.changed.wait()

    async def transact(self, data: dict) -> tuple[int, dict]:
        """Apply writes and deletions if all expected revisions match."""
        for row in data.get("expectedRev", ()):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        for write in data.get("writes", ()):
            if write.get("lease") and write["lease"] not in self.leases:
                return 404, {}
        for key in (*(w["key"] for w in data.get("writes", ())), *data["remove"]):
            if key.startswith(("op/", "servers/")):
                return 403, {}
        for write in data.get("writes", ()):
            value = base64.b64decode(write["value"])
            await self.put(write["key"], value, write.get("lease", 0))
        for key in data.get("remove", ()):
            await self.delete(key)
        return 200, {"revision": self.revision}


def decode_query(query: str) -> dict[str, str]:
    """Decode a query."""
    return dict(parse_qsl(query, keep_blank_values=True))


class Backend(Server):
    """Sound backend server: beats, checks the expected id, echoes the request's id."""

    def __init__(self, site: Site, id: str, service: str, work_s: float) -> None:
        super().__init__(site.loopback.address())
        self.site = site
        self.id = id
        self.service = service
        self.work_s = work_s
        self.zone = "za"
        self.slots = 3
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.incarnation = 0
        # (seconds, request id, target) of each request that it began to run.
        self.runs: list[tuple[float, str, str]] = []
        self.beats: asyncio.Task | None = None
        # Spoils an answer: gets the request's number and id, returns None or a task.
        self.spoil = None

    @property
    def key(self) -> str:
        """Return the store key of the entry."""
        return f"servers/{self.id}"

    def entry(self) -> dict:
        """Return the own entry of the store, with all fields of PROTOCOL.md."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def start(self) -> None:
        """Listen, register and keep on beating."""
        await self.open()
        await self.beat()
        self.beats = asyncio.create_task(self.keep_beating())

    async def beat(self) -> None:
        """Write the entry; the store's entry changes if more than `sequence` does."""
        entry = self.entry()
        known = self.site.store.items.get(self.key)
        if known is not None:
            try:
                held = json.loads(base64.b64decode(known["value"]))
                if {**held, "sequence": 0} == {**entry, "sequence": 0}:
                    return
            except (ValueError, TypeError):
                pass
        await self.site.store.put(self.key, json.dumps(entry).encode())

    async def keep_beating(self) -> None:
        """Beat at the interval of the settings; never returns."""
        while True:
            await asyncio.sleep(BEAT_S)
            await self.beat()

    async def crash(self) -> None:
        """End at once: connections are reset and nothing is said to the store.

        The entry is removed after three heartbeat intervals of silence.
        """
        if self.beats:
            self.beats.cancel()
        self.shut()
        self.site.tasks.append(asyncio.create_task(self.expire()))

    async def expire(self) -> None:
        """Remove the entry after three heartbeat intervals."""
        await asyncio.sleep(3 * BEAT_S)
        await self.site.store.delete(self.key)

    async def connection(self, reader, writer) -> None:
        """Serve the requests of one connection in order."""
        while True:
            (method, target, _), headers, body = await read_message(reader)
            request_id = headers.get("x-fireflyrack-request-id", "")
            expected = headers.get("x-fireflyrack-expect-instance")
            if expected not in (None, self.id):
                await self.respond(writer, 421, request_id, b"", not_run=True)
                continue
            self.runs.append((self.site.record.now(), request_id, target))
            self.site.record.note(
                f"run: {request_id} {method} {target} at {self.id} of {self.service}"
            )
            if self.spoil is not None and await self.spoil(self, request_id, writer):
                return
            # A server drops a request when its connection closes.
            gone = asyncio.ensure_future(reader.read(1))
            await asyncio.wait({gone}, timeout=self.work_s)
            if gone.done():
                return
            gone.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await gone
            await self.respond(writer, 200, request_id, f"{self.id}\n".encode())

    async def respond(self, writer, status, request_id, body, not_run=False) -> None:
        """Send a whole answer."""
        lines = [
            f"HTTP/1.1 {status} X",
            f"X-Fireflyrack-Request-Id: {request_id}",
            f"X-Fireflyrack-Server-Stamp: {self.id}.{request_id}",
            f"Content-Length: {len(body)}",
        ]
        if not_run:
            lines.append("X-Fireflyrack-Not-Executed: 1")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()


class Gateway:
    """One gateway process of the project."""

    def __init__(self, site: Site, name: str, zone: str) -> None:
        self.site = site
        self.name = name
        self.zone = zone
        self.host = site.loopback.host()
        ports = ("front", "ready", "control", "directory")
        self.listen = {port: site.loopback.address(self.host) for port in ports}
        self.process: asyncio.subprocess.Process | None = None

    def settings(self) -> dict:
        """Return the settings of the process, as in DEPLOY.md."""
        zones = {gateway.zone: "r" for gateway in self.site.gateways}
        return {
            "nodeName": self.name,
            "role": "gateway",
            "machineClass": "front",
            "serves": ["front", "control", "directory"],
            "ip": self.host,
            "zone": self.zone,
            "region": "r",
            "zones": zones,
            "listen": self.listen,
            "innerPorts": [7740, 7755],
            "seeds": [g.listen["control"] for g in self.site.gateways[:3]],
            "firstStart": True,
            "countsAsLoss": False,
            "limits": {
                "cpuShare": 0.817,
                "cores": 2,
                "memoryMb": 430,
                "maxFds": 4100,
                "linkMbps": 1500.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "directory",
            "beatIntervalMs": int(BEAT_S * 1000),
            "contracts": ["base", "drain", "config", "cost", "retry", "recover"],
            "tolerate": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": self.site.store.address,
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
        }

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        path = self.site.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        role = role["gateway"]
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= role.get("env", {})
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["FIREFLYRACK_NODE_FILE"] = str(path)
        with (self.site.folder / f"{self.name}.log").open("wb") as output:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )
        self.site.record.note(f"start: gateway {self.name}")

    async def ready(self) -> bool:
        """Return whether the readiness check answers 200."""
        try:
            reply = await fetch(
                self.listen["ready"], "GET", "/-/ready", {}, timeout_s=1
            )
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        return reply.status == 200

    async def restart(self) -> None:
        """Stop the process as planned work does, and start it again."""
        self.site.record.note(f"SIGTERM: gateway {self.name}")
        self.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(BOUNDS["graceS"]):
                await self.process.wait()
        except TimeoutError:
            await self.end()
        await self.start()
        await self.wait_ready()

    async def wait_ready(self) -> None:
        """Wait until the readiness check answers 200."""
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while not await self.ready():
                    if self.process.returncode is not None:
                        raise CannotRun(f"{self.name} ended at its start")
                    await asyncio.sleep(0.1)
        except TimeoutError as error:
            raise CannotRun(f"{self.name} did not become ready") from error

    async def end(self) -> None:
        """End the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


class Reply:
    """Answer to a request of a client."""

    def __init__(self, status: int, headers: dict, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


async def fetch(
    address, method, target, headers, body=b"", timeout_s=10.0, source=None
) -> Reply:
    """Send one request on a new connection and return its answer."""
    host, _, port = address.rpartition(":")
    local = None if source is None else (source, 0)
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(
            host, int(port), local_addr=local
        )
        try:
            fields = {"Host": HOST, "Content-Length": str(len(body)), **headers}
            if method == "GET":
                del fields["Content-Length"]
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            (_, status, _), found, answered = await read_message(reader)
            return Reply(int(status), found, answered)
        finally:
            writer.close()


class Sent:
    """A request of a client and its answer; `status` is None while there is none."""

    def __init__(self, id: str, gateway: Gateway, target: str, at: float) -> None:
        self.id = id
        self.gateway = gateway
        self.target = target
        self.at = at
        self.status: int | None = None
        self.body = b""
        self.ended_at: float | None = None


class Site:
    """A small deployment; `run_case` creates it and ends all that it started."""

    def __init__(self, case: Path, folder: Path) -> None:
        self.folder = folder
        self.record = Record(case)
        self.loopback = Loopback()
        self.store = Store(self.loopback.address(), self.record)
        self.backends: dict[str, Backend] = {}
        self.gateways: list[Gateway] = []
        self.tasks: list[asyncio.Task] = []
        self.sent: list[Sent] = []
        self.version = 0

    async def open(self) -> None:
        """Start the store."""
        await self.store.open()
        self.tasks.append(asyncio.create_task(self.store.expire_leases()))

    async def close(self) -> None:
        """End all processes and stand-ins."""
        await asyncio.gather(*(gateway.end() for gateway in self.gateways))
        for backend in self.backends.values():
            await backend.crash()
        self.store.shut()
        for task in self.tasks:
            task.cancel()

    async def add_backend(self, id: str, service: str, work_s: float = 0.01) -> Backend:
        """Start and register a backend server."""
        backend = self.backends[id] = Backend(self, id, service, work_s)
        await backend.start()
        self.record.note(f"start: backend {id} of {service}")
        return backend

    async def start_gateways(self, count: int) -> None:
        """Start gateways and wait until all are ready and know each other."""
        self.gateways = [
            Gateway(self, f"g{n}", f"z{'abc'[n % 3]}") for n in range(count)
        ]
        for gateway in self.gateways:
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()
        self.record.note("all gateways are ready")

    async def configure(self, *routes: dict) -> float:
        """Write the next version; return the time of its acknowledgement."""
        self.version += 1
        services = sorted({b.service for b in self.backends.values()})
        configuration = {
            "version": self.version,
            "routes": [
                {
                    "host": HOST,
                    "kind": "safe",
                    "timeoutMs": 2000,
                    "sloMs": 300,
                    "priority": 1,
                    "maxAttempts": 2,
                    **route,
                }
                for route in routes
            ],
            "services": [
                {"name": name, "healthPath": "/health", "maxConns": 30}
                for name in services
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 262144,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        await self.store.put("op/config", json.dumps(configuration).encode())
        at = self.record.now()
        self.record.note(f"operator: version {self.version} is acknowledged")
        return at

    def send(
        self,
        gateway: Gateway,
        target: str,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 2000,
        patience_s: float | None = None,
        source: str | None = None,
    ) -> Sent:
        """Send a request as a client; the answer is stored when it comes."""
        id = f"r{len(self.sent):05d}"
        sent = Sent(id, gateway, target, self.record.now())
        self.sent.append(sent)
        headers = {
            "X-Fireflyrack-Request-Id": id,
            "X-Fireflyrack-Deadline-Ms": str(deadline_ms),
        }
        self.record.note(f"send: {id} {method} {target} to {gateway.name}")
        wait_s = deadline_ms / 1000 if patience_s is None else patience_s

        async def ask() -> None:
            try:
                reply = await fetch(
                    gateway.listen["front"],
                    method,
                    target,
                    headers,
                    body,
                    wait_s,
                    source,
                )
            except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
                self.record.note(f"no answer: {id} ({type(error).__name__})")
                return
            sent.status, sent.body = reply.status, reply.body
            sent.ended_at = self.record.now()
            self.record.note(
                f"answer: {id} {reply.status} {reply.body[:40]!r} after "
                f"{1000 * (sent.ended_at - sent.at):.0f} ms"
            )

        self.tasks.append(asyncio.create_task(ask()))
        return sent


def run_case(case: Path, play) -> None:
    """Run `play(site)`, which returns whether the rule held, and exit accordingly."""

    async def main() -> int:
        with tempfile.TemporaryDirectory() as folder:
            site = Site(case, Path(folder))
            loop = asyncio.get_running_loop()
            task = asyncio.current_task()
            for number in (signal.SIGTERM, signal.SIGINT):
                loop.add_signal_handler(number, task.cancel)
            site.record.note(f"TROUBLE={int(TROUBLE)}")
            try:
                async with asyncio.timeout(LIMIT_S):
                    await site.open()
                    held = await play(site)
            except (CannotRun, TimeoutError, OSError) as error:
                site.record.note(f"could not run: {error!r}")
                print(f"could not run: {error!r}")
                return NOT_RUN
            finally:
                await site.close()
            verdict = "the rule held" if held else "the rule was broken"
            site.record.note(verdict)
            print(verdict)
            return HELD if held else BROKEN

    try:
        code = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001
        print(f"could not run: {error!r}")
        code = NOT_RUN
    sys.exit(code)
