"""The stand-in of a backend server as a process of its own."""

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
START_POLL_S = 0.02


class BackendProcess:
    """Run the stand-in; `control` sets faults and `records` reads observations.

    Call `start` and at the end `stop`; `start` again after a crash.
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
        """Start the process and wait until it answers."""
        self.path.write_text(yaml.safe_dump(self.settings), encoding="utf-8")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "fireflyrack.testbed.backend", str(self.path)
        )
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    await self.records()
                    return
                await asyncio.sleep(START_POLL_S)

    async def call_control(self, method: str, **arguments: Any) -> Any:
        """Call /control; raise aiohttp.ClientError if it fails."""
        url = f"http://{self.address}/control"
        async with aiohttp.request(method, url, **arguments) as response:
            response.raise_for_status()
            return await response.json()

    async def records(self) -> dict[str, Any]:
        """Return what the stand-in has observed."""
        return await self.call_control("GET")

    async def control(self, **faults: Any) -> None:
        """Set faults."""
        await self.call_control("POST", json=faults)

    async def stop(self, number: signal.Signals = signal.SIGTERM) -> None:
        """End the process that `start` started."""
        if self.process.returncode is None:
            self.process.send_signal(number)
        await self.process.wait()
