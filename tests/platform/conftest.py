from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent))

from cluster import Cluster


@pytest.fixture
async def cluster(tmp_path):
    async with Cluster(tmp_path) as cluster:
        yield cluster


async def until(condition, timeout_s: float = 5.0) -> None:
    """Wait until a coroutine function returns a true value."""
    async with asyncio.timeout(timeout_s):
        while not await condition():
            await asyncio.sleep(0.02)


@pytest.fixture(name="until")
def until_fixture():
    return until
