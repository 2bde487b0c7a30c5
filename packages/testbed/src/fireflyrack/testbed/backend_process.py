"""The stand-in for a backend server in a separate process."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from pathlib import Path
from typing import Any

import aiohttp
import yaml

from fireflyrack.configuration import BackendServer

from .ports import free_address

START_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.02


class BackendProcess:
    """Process of the stand-in; `control` sets faults, `records` reads counters.

    Call `start` first and `stop` at the end; call `start` again after a crash.
    """

    def __init__(self, path: Path, **settings: Any) -> None:
        self.address = free_address()
        self.path = path
        index = {"service": "docs", "modules": 2, "shards": 10, "held": "0-9"}
        defaults = {"id": "b0", "address": self.address, "index": index}
        self.settings = {**defaults, **settings}
        self.process: asyncio.subprocess.Process | None = None

    def server(self, slots: int = 2, connections: int = 25) -> BackendServer:
        """Return the declaration of this backend server."""
        name = self.settings["id"]
        return BackendServer(name, self.address, "lj-a", slots, connections)

    async def start(self) -> None:
        """Start the process and wait until it replies; raise TimeoutError otherwise."""
        self.path.write_text(yaml.safe_dump(self.settings), encoding="utf-8")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "fireflyrack.testbed.backend", str(self.path)
        )
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    await self.records()
                    return
                await asyncio.sleep(POLL_INTERVAL_S)

    async def call_control(self, method: str, **arguments: Any) -> Any:
        """Call /control and return its JSON; raise aiohttp.ClientError on failure."""
        url = f"http://{self.address}/control"
        async with aiohttp.request(method, url, **arguments) as response:
            response.raise_for_status()
            return await response.json()

    async def records(self) -> dict[str, Any]:
        """Return the counters of the stand-in."""
        return await self.call_control("GET")

    async def control(self, **faults: Any) -> None:
        """Set the faults given by name; the others stay unchanged."""
        await self.call_control("POST", json=faults)

    async def stop(self, number: signal.Signals = signal.SIGTERM) -> None:
        """Send a signal to the process, SIGTERM by default, and wait for its exit."""
        if self.process.returncode is None:
            self.process.send_signal(number)
        await self.process.wait()
