"""Memory of a gateway whose backend servers send bytes without end."""

from __future__ import annotations

import asyncio
import itertools
import time
from pathlib import Path

import pytest
import stand_in_server as behaviours

FAULTY = {"prefix": "/a/", "service": "s"}
SOUND = {"prefix": "/b/", "service": "t"}
CALLERS = 20
LOAD_S = 3.0
# Memory of the smallest machine that runs a gateway.
MACHINE_BYTES = 300 * 1024 * 1024


def peak_memory(pid: int) -> int:
    """Return the largest resident size that a process has had, in bytes."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    fields = dict(line.split(":", 1) for line in lines)
    return int(fields["VmHWM"].split()[0]) * 1024


@pytest.mark.parametrize(
    "behaviour", [behaviours.endless_body, behaviours.endless_head]
)
async def test_endless_responses_at_once_leave_memory_for_others(cluster, behaviour):
    """Guards against a process that runs out of memory and ends for all callers.

    Each response alone stays within its limit.
    """
    for number in range(3):
        await cluster.add_server(f"i-{number}", "s", behaviour=behaviour)
    await cluster.add_server("j-1", "t")
    await cluster.configure(FAULTY, SOUND)
    gateway = await cluster.start()
    until = time.monotonic() + LOAD_S
    numbers = itertools.count()
    sound: list[int] = []

    async def call_faulty() -> None:
        while time.monotonic() < until:
            status = await gateway.status("/a/x", request_id=f"a{next(numbers)}")
            assert status >= 500

    async def call_sound() -> None:
        while time.monotonic() < until:
            sound.append(await gateway.status("/b/x", request_id=f"b{next(numbers)}"))
            await asyncio.sleep(0.05)

    await asyncio.gather(call_sound(), *(call_faulty() for _ in range(CALLERS)))
    assert set(sound) == {200}
    assert peak_memory(gateway.process.pid) < MACHINE_BYTES
