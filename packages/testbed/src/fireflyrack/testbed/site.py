"""Deployment on one machine: stand-ins and entry instances in separate processes."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import yaml

from fireflyrack.core import ShardSet

from .ports import free_address

AUDIT_KEYS = [{"id": "k1", "key": "stand-in-audit-key"}]
START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 60.0
# Part of a log that an error shows.
LOG_TAIL_CHARS = 4000
MAX_SHOWN_ANSWER_CHARS = 1000
POLL_INTERVAL_S = 0.05
# Shorter than the 5 s after which entry instances close idle connections.
KEEPALIVE_TIMEOUT_S = 3.0


@dataclass(frozen=True, slots=True)
class ServiceLayout:
    """Size, placement and settings of the backend servers of one service."""

    name: str = "docs"
    backend_servers: int = 12
    replicas: int = 2
    shards: int = 240
    slots: int = 2
    connections: int = 25
    service_time_s: float = 0.002
    # Additional settings of the backend servers, and the policy of the service.
    backend: dict[str, Any] = field(default_factory=dict)
    policy: dict[str, Any] = field(default_factory=dict)

    def placement(self) -> list[tuple[ShardSet, list[int]]]:
        """Return groups of shards with the numbers of their backend servers.

        Group i has replicas on the backend servers i, i + 1 and so on, so that with
        two replicas each backend server shares its shards with two others.
        """
        count = self.backend_servers
        groups = []
        for number in range(count):
            first = self.shards * number // count
            last = self.shards * (number + 1) // count
            replicas = [(number + i) % count for i in range(min(self.replicas, count))]
            groups.append((ShardSet.span(first, last), replicas))
        return groups


@dataclass(frozen=True, slots=True)
class SiteLayout:
    """Services, entry instances and failure domains of a deployment."""

    services: tuple[ServiceLayout, ...] = (ServiceLayout(),)
    entry_instances: int = 4
    failure_domains: tuple[str, ...] = ("lj-a", "lj-b", "lj-c")
    modules: int = 200
    # Settings of the entry instances that differ from the defaults, by section.
    entry_overrides: dict[str, dict[str, Any]] = field(default_factory=dict)

    def domain(self, number: int) -> str:
        """Return the failure domain of the machine with this number."""
        return self.failure_domains[number % len(self.failure_domains)]

    def first_number(self, service: ServiceLayout) -> int:
        """Return the number of a service's first backend server."""
        preceding = self.services[: self.services.index(service)]
        return sum(other.backend_servers for other in preceding)

    def names(self, service: ServiceLayout) -> list[str]:
        """Return the names of a service's backend servers."""
        first = self.first_number(service)
        return [f"b{first + n}" for n in range(service.backend_servers)]


@dataclass(slots=True)
class SiteProcess:
    """Process of a site with its address, settings file and log file."""

    name: str
    address: str
    settings: Path
    module: str
    log: Path
    process: asyncio.subprocess.Process | None = None


class Site:
    """Running deployment; use it as an asynchronous context manager.

    `processes` maps names to processes: store, list, b0, b1, ..., e0, e1, ...
    """

    def __init__(self, layout: SiteLayout) -> None:
        self.layout = layout
        self.processes: dict[str, SiteProcess] = {}
        # Last answer of each entry instance to `wait_ready`, for its error.
        self.last_answers: dict[str, str] = {}
        self.folder = tempfile.TemporaryDirectory(prefix="fireflyrack-")
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Site:
        timeout = aiohttp.ClientTimeout(total=30)
        self.session = aiohttp.ClientSession(
            timeout=timeout,
            connector=aiohttp.TCPConnector(keepalive_timeout=KEEPALIVE_TIMEOUT_S),
        )
        try:
            await self.start_platform()
            await self.start_backend_servers()
            await self.start_entry_instances()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *details: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Stop all processes: entry instances first, the platform last."""
        names = sorted(
            self.processes, key=lambda n: (n in ("store", "list"), n[0] == "b")
        )
        for name in names:
            if name[0] == "e":
                # A second signal ends the wait until addresses given to callers expire.
                self.send_signal(name, signal.SIGINT)
        await asyncio.gather(*(self.stop(name) for name in names[:-2]))
        with contextlib.suppress(aiohttp.ClientError, KeyError):
            # Ends pending watches, which would delay the shutdown of the store.
            await self.post("store", "/control", {"down": True})
        await asyncio.gather(*(self.stop(name) for name in names[-2:]))
        await self.session.close()
        self.folder.cleanup()

    async def start_platform(self) -> None:
        """Start the store and the list of instances."""
        self.add("store", "store", free_address(), {})
        self.add("list", "instance_list", free_address(), {})
        await asyncio.gather(self.start("store"), self.start("list"))

    async def start_backend_servers(self) -> None:
        """Start the backend servers, at most one per core at a time."""
        for service in self.layout.services:
            names = self.layout.names(service)
            for number, name in enumerate(names):
                settings = self.backend_settings(service, name, number)
                self.add(name, "backend", free_address(), settings)
        limit = asyncio.Semaphore(os.cpu_count() or 1)

        async def start(name: str) -> None:
            async with limit:
                await self.start(name)

        await asyncio.gather(*(start(n) for n in self.processes if n[0] == "b"))

    def backend_settings(
        self, service: ServiceLayout, name: str, number: int
    ) -> dict[str, Any]:
        """Return the settings of one backend server of a service."""
        held = ShardSet()
        for shards, replicas in service.placement():
            if number in replicas:
                held |= shards
        return {
            "id": name,
            "slots": service.slots,
            "connections": service.connections,
            "service_time_s": service.service_time_s,
            "index": {
                "service": service.name,
                "modules": self.layout.modules,
                "shards": service.shards,
                "held": str(held),
            },
            **service.backend,
        }

    async def start_entry_instances(self) -> None:
        """Register the entry instances in the list and start them."""
        instances = []
        for number in range(self.layout.entry_instances):
            name = f"e{number}"
            settings = self.entry_settings(name, number)
            instance = settings["instance"]
            self.add(name, "entry", instance["http_address"], settings)
            instances.append({**instance, "incarnation": "", "state": "live"})
        await self.post("list", "/v1/instances", {"instances": instances})
        names = [f"e{n}" for n in range(self.layout.entry_instances)]
        await asyncio.gather(*(self.start(name) for name in names))

    def entry_settings(self, name: str, number: int) -> dict[str, Any]:
        """Return the settings of an entry instance."""
        settings = {
            "instance": {
                "id": name,
                "failure_domain": self.layout.domain(number),
                "http_address": free_address(),
                "link_address": free_address(),
            },
            "callers": {"audit_keys": AUDIT_KEYS},
            "store": {"url": f"http://{self.processes['store'].address}"},
            "membership": {"list_url": f"http://{self.processes['list'].address}"},
        }
        for section, values in self.layout.entry_overrides.items():
            settings.setdefault(section, {}).update(values)
        return settings

    def add(self, name: str, kind: str, address: str, settings: dict[str, Any]) -> None:
        """Write the settings file of a process and add it to `processes`."""
        if kind == "entry":
            module = "fireflyrack.entry.main"
        else:
            module = f"fireflyrack.testbed.{kind}"
            settings = {"address": address, **settings}
        folder = Path(self.folder.name)
        path = folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        log = folder / f"{name}.log"
        self.processes[name] = SiteProcess(name, address, path, module, log)

    async def start(self, name: str) -> None:
        """Start a process and wait until it accepts connections.

        Raise RuntimeError if it exits before, TimeoutError if it takes too long.
        """
        entry = self.processes[name]
        with entry.log.open("ab") as log:
            entry.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", entry.module, str(entry.settings), stderr=log
            )
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.answers(entry):
                if entry.process.returncode is not None:
                    raise RuntimeError(f"{name} exited: {entry.log.read_text()}")
                await asyncio.sleep(POLL_INTERVAL_S)

    async def answers(self, entry: SiteProcess) -> bool:
        """Return whether a process accepts connections."""
        host, _, port = entry.address.rpartition(":")
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()
        return True

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process if it is running."""
        process = self.processes[name].process
        if process and process.returncode is None:
            process.send_signal(number)

    async def stop(self, name: str, number: signal.Signals = signal.SIGTERM) -> int:
        """Signal a process, kill it after a timeout, and return its exit code."""
        process = self.processes[name].process
        if process is None:
            return 0
        self.send_signal(name, number)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                return await process.wait()
        except TimeoutError:
            process.kill()
            return await process.wait()

    def entry_addresses(self) -> tuple[str, ...]:
        """Return the HTTP addresses of the entry instances."""
        return tuple(p.address for n, p in self.processes.items() if n[0] == "e")

    def intent(self, service: ServiceLayout | None = None) -> dict[str, Any]:
        """Return the intent that declares a service, by default the first one."""
        service = service or self.layout.services[0]
        names = self.layout.names(service)
        servers = [
            {
                "id": name,
                "address": self.processes[name].address,
                "failure_domain": self.layout.domain(number),
                "slots": service.slots,
                "connections": service.connections,
            }
            for number, name in enumerate(names)
        ]
        placement = [
            {"shards": str(shards), "replicas": [names[n] for n in replicas]}
            for shards, replicas in service.placement()
        ]
        partition = {
            "generation": 1,
            "shards": service.shards,
            "placement": placement,
        }
        return {
            "kind": "declare",
            "declaration": {
                "service": service.name,
                "backend_servers": servers,
                "partitions": [partition],
                "policy": service.policy,
            },
        }

    async def post(self, name: str, path: str, body: Any) -> tuple[int, Any]:
        """Send a JSON body to a process; return the status and the JSON reply."""
        url = f"http://{self.processes[name].address}{path}"
        async with self.session.post(url, json=body) as response:
            return response.status, await response.json(content_type=None)

    async def get(self, name: str, path: str) -> Any:
        """Read JSON from a process."""
        url = f"http://{self.processes[name].address}{path}"
        async with self.session.get(url) as response:
            return await response.json(content_type=None)

    async def declare(self) -> int:
        """Plan and confirm each service; return the last confirmed version."""
        version = 0
        for service in self.layout.services:
            body = {"operator": "testbed", "intent": self.intent(service)}
            plan = await self.expect("e0", "/v1/plans", body)
            body = {"operator": "testbed", "plan": plan}
            version = (await self.expect("e0", "/v1/confirmations", body))["version"]
        return version

    async def expect(self, name: str, path: str, body: Any) -> Any:
        """Send a JSON body; return the reply or raise RuntimeError if not 200."""
        status, answer = await self.post(name, path, body)
        if status != 200:
            raise RuntimeError(f"{path} at {name}: status {status}: {answer}")
        return answer

    async def wait_ready(self, timeout_s: float = 30.0) -> None:
        """Wait until each entry instance covers all shards of each service.

        Raises TimeoutError with the last answers and the ends of the logs of the entry
        instances.
        """
        entries = [n for n in self.processes if n[0] == "e"]
        try:
            async with asyncio.timeout(timeout_s):
                for service in self.layout.services:
                    path = f"/v1/services/{service.name}/search"
                    for name in entries:
                        while not await self.searches_all(name, path):
                            await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            ends = "\n".join(
                f"{n}: last answer {self.last_answers.get(n, 'none')}\n"
                f"{self.processes[n].log.read_text()[-LOG_TAIL_CHARS:]}"
                for n in entries
            )
            raise TimeoutError(f"not ready after {timeout_s} s\n{ends}") from None

    async def searches_all(self, name: str, path: str) -> bool:
        """Return whether a search at an entry instance covers all shards."""
        status, answer = await self.post(name, path, {"query": "test"})
        self.last_answers[name] = f"{status} {answer}"[:MAX_SHOWN_ANSWER_CHARS]
        return status == 200 and answer["coverage"]["share"] == 1
