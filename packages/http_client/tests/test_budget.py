"""Tests of the limit on the bytes that all responses in progress hold."""

from __future__ import annotations

import asyncio
import random

import aiohttp
import pytest
from response_server import HEAD, ScriptedServer, client_of, fetch

from fireflyrack.http_client import ReceiveBudget, ResponseLimits, ResponseTooLarge

MAX_BYTES = 100
TOTAL_BYTES = 256 * 1024
# Far above what all of them may hold together.
BODY_BYTES = 64 * 1024 * 1024
RESPONSES = 20


def test_the_largest_response_is_given_up():
    """Guards against a sound response that pays for an endless one."""
    budget = ReceiveBudget(MAX_BYTES)
    assert budget.record("sound", 30) is None
    assert budget.record("endless", 60) is None
    assert budget.record("sound", 41) == "endless"
    budget.release("endless")
    assert budget.record("sound", 45) is None
    assert budget.total == 45


def test_the_total_is_the_sum_of_what_is_in_progress():
    """Guards against bytes that are never released, which would end sound responses."""
    rng = random.Random(41)
    budget = ReceiveBudget(MAX_BYTES)
    sizes: dict[int, int] = {}
    for _ in range(20_000):
        response = rng.randrange(10)
        if rng.random() < 0.3:
            sizes.pop(response, None)
            budget.release(response)
            continue
        sizes[response] = sizes.get(response, 0) + rng.randrange(20)
        victim = budget.record(response, sizes[response])
        assert (victim is not None) == (sum(sizes.values()) > MAX_BYTES)
        if victim is not None:
            assert sizes[victim] == max(sizes.values())
            del sizes[victim]
            budget.release(victim)
        assert budget.total == sum(sizes.values())


async def test_endless_responses_hold_a_bounded_number_of_bytes_together():
    """Guards against a process that runs out of memory by many endless responses."""
    limits = ResponseLimits(max_body_bytes=BODY_BYTES, max_total_bytes=TOTAL_BYTES)
    server = ScriptedServer([HEAD + b"\r\n"] * RESPONSES, endless=b"b" * 1000)
    totals = []
    async with client_of(server, limits) as session:
        budget = session.connector.budget
        record = budget.record

        def record_total(response, size):
            victim = record(response, size)
            totals.append(budget.total)
            return victim

        budget.record = record_total
        results = await asyncio.gather(
            *(fetch(session) for _ in range(RESPONSES)), return_exceptions=True
        )
        assert budget.total == 0
    assert all(isinstance(result, aiohttp.ClientError) for result in results)
    # Exceeded by one block at most, before the largest response ends.
    assert max(totals) <= TOTAL_BYTES + 32 * 1024


async def test_sound_response_beside_endless_ones_is_received():
    """Guards against an endless response that costs the others of its process."""
    limits = ResponseLimits(max_total_bytes=TOTAL_BYTES)
    endless = ScriptedServer([HEAD + b"\r\n"] * 10_000, endless=b"b" * 1000)
    async with client_of(endless, limits) as session:

        async def serve_slowly(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + b"Content-Length: 100\r\n\r\n")
            for _ in range(100):
                writer.write(b"s")
                await writer.drain()
                await asyncio.sleep(0.002)
            writer.close()

        sound = await asyncio.start_server(serve_slowly, "127.0.0.1", 0)
        host, port = sound.sockets[0].getsockname()

        async def repeat_endless():
            while True:
                with pytest.raises(aiohttp.ClientError):
                    await fetch(session)

        running = [asyncio.create_task(repeat_endless()) for _ in range(RESPONSES // 4)]
        async with session.get(f"http://{host}:{port}/") as response:
            assert await response.read() == b"s" * 100
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        sound.close()


async def test_response_that_is_given_up_names_the_total():
    """Guards against an error that does not tell why the connection was closed."""
    limits = ResponseLimits(max_total_bytes=TOTAL_BYTES)
    server = ScriptedServer([HEAD + b"\r\n"], endless=b"b" * 1000)
    async with client_of(server, limits) as session:
        with pytest.raises(ResponseTooLarge, match=f"exceed {TOTAL_BYTES} bytes"):
            await fetch(session)
