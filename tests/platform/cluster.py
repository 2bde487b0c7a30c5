"""Gateway processes with stand-ins for the store and the backend servers."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
from pathlib import Path

import aiohttp
from stand_in_server import StandInServer, answer
from stand_in_store import StandInStore

from fireflyrack.platform import names
from fireflyrack.testbed.ports import free_address

START_TIMEOUT_S = 10.0


def node_settings(name: str, store: str, listen: dict, seeds: list[str]) -> dict:
    """Return the settings of one gateway as a JSON object."""
    return {
        "nodeName": name,
        "zone": "za",
        "region": "r",
        "listen": listen,
        "innerPorts": [7740, 7755],
        "seeds": seeds,
        "bounds": {
            "graceS": 3,
            "retryBudgetRatio": 0.2,
            "retrySlack": 52,
            "ttl_max_s": 5,
        },
        "platform": {"address": store},
    }


class Cluster:
    """A store, backend servers and gateways; use it as a context manager."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.store = StandInStore(free_address())
        self.servers: dict[str, StandInServer] = {}
        self.gateways: dict[str, Gateway] = {}
        self.version = 0
        self.last_configuration: dict = {}
        self.stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Cluster:
        await self.stack.enter_async_context(self.store)
        self.session = await self.stack.enter_async_context(aiohttp.ClientSession())
        return self

    async def __aexit__(self, *details: object) -> None:
        for gateway in self.gateways.values():
            await gateway.kill()
        await self.stack.aclose()

    async def add_server(self, id: str, service: str, **changes) -> StandInServer:
        """Start a backend server and register it."""
        behaviour = changes.pop("behaviour", answer)
        server = StandInServer(id, service, free_address(), behaviour)
        server.body = changes.pop("body", b"body")
        server.delay_s = changes.pop("delay_s", 0.0)
        await self.stack.enter_async_context(server)
        self.servers[id] = server
        await self.store.write(f"servers/{id}", server.registration(**changes))
        return server

    async def configure(self, *routes: dict) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        names_used = {
            name
            for route in routes
            for name in (
                *route.get("gather", ()),
                *(part["service"] for part in route.get("split", ())),
                *([route["service"]] if "service" in route else ()),
            )
        }
        configuration = {
            "version": self.version,
            "routes": [
                {
                    "name": f"route-{number}",
                    "host": "h.example",
                    "kind": "safe",
                    "timeoutMs": 2000,
                    "sloMs": 300,
                    "priority": 1,
                    "maxAttempts": 2,
                    **route,
                }
                for number, route in enumerate(routes)
            ],
            "services": [
                {"name": name, "healthPath": "/health", "maxConns": 40}
                for name in sorted(names_used)
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 1000,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        self.last_configuration = configuration
        await self.store.write("op/config", configuration)

    async def start(self, name: str = "g0", wait: bool = True) -> Gateway:
        """Start a gateway process."""
        gateway = Gateway(self, name)
        self.gateways[name] = gateway
        await gateway.start(wait)
        return gateway


class Gateway:
    """One gateway process and a client for it."""

    def __init__(self, cluster: Cluster, name: str) -> None:
        self.cluster = cluster
        self.name = name
        addresses = (free_address() for _ in range(4))
        self.front, self.ready, self.directory, self.control = addresses
        self.process: asyncio.subprocess.Process | None = None
        self.output = cluster.folder / f"{name}.log"

    async def start(self, wait: bool) -> None:
        """Start the process; wait until it is ready if `wait` is set."""
        path = self.cluster.folder / f"{self.name}.json"
        listen = {
            "front": self.front,
            "ready": self.ready,
            "directory": self.directory,
            "control": self.control,
        }
        others = [g.control for g in self.cluster.gateways.values() if g is not self]
        settings = node_settings(self.name, self.cluster.store.address, listen, others)
        path.write_text(json.dumps(settings))
        environment = {**os.environ, names.NODE_FILE_VARIABLE: str(path)}
        with self.output.open("wb") as output:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "fireflyrack.platform",
                stdout=output,
                stderr=output,
                env=environment,
            )
        if wait:
            await self.wait_ready()

    def handles_sighup(self) -> bool:
        """Return whether the process ignores or handles SIGHUP.

        SIGHUP ends the process until the interpreter runs the program's first lines.
        """
        if self.process is None or self.process.returncode is not None:
            return False
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        masks = dict(line.split(":\t", 1) for line in status.splitlines())
        handled = int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)
        return bool(handled >> signal.SIGHUP - 1 & 1)

    async def wait_ready(self, ready: bool = True) -> None:
        """Wait until the readiness check reports the given state."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while await self.is_ready() is not ready:
                await asyncio.sleep(0.02)

    async def is_ready(self) -> bool:
        """Return whether the readiness check succeeds."""
        try:
            url = f"http://{self.ready}/-/ready"
            async with self.cluster.session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def addresses(self) -> list[str]:
        """Return the addresses that the directory lists; empty on errors."""
        url = f"http://{self.directory}/-/resolve"
        async with self.cluster.session.get(
            url, params={"name": "h.example", "zone": "za"}
        ) as response:
            return (await response.json())["addrs"] if response.status == 200 else []

    def get(self, path: str, request_id: str = "rid", **options):
        """Return a request for the host of all routes, as a context manager."""
        headers = {
            "Host": "h.example",
            names.REQUEST_ID: request_id,
            names.DEADLINE_MS: "1500",
            **options.pop("headers", {}),
        }
        method = options.pop("method", "GET")
        url = f"http://{self.front}{path}"
        return self.cluster.session.request(method, url, headers=headers, **options)

    async def status(self, path: str, **options) -> int:
        """Send a request and return its status."""
        async with self.get(path, **options) as response:
            return response.status

    def log(self) -> list[dict]:
        """Return the decoded log lines written so far."""
        return [json.loads(line) for line in self.output.read_text().splitlines()]

    async def stop(self) -> int:
        """Send SIGTERM and return the exit code."""
        self.process.send_signal(signal.SIGTERM)
        return await self.process.wait()

    async def kill(self) -> None:
        """Send SIGKILL if the process is still running."""
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
