"""Gateway processes and backend servers that state something about themselves."""

from __future__ import annotations

import asyncio

import stand_in_server as behaviours

from fireflyrack.core import steady_now
from fireflyrack.platform import names

ROUTE = {"prefix": "/a/", "service": "s"}
# Time from which an instance that has passed on a statement has to follow it.
REACTION_S = 0.5


async def load(gateways, requests: int, interval_s: float) -> list[int]:
    """Send requests to gateways in turn; return their statuses."""
    pending = []
    for number in range(requests):
        gateway = gateways[number % len(gateways)]
        request = gateway.status("/a/x", request_id=f"r{number}")
        pending.append(asyncio.ensure_future(request))
        await asyncio.sleep(interval_s)
    return await asyncio.gather(*pending)


def most_in_window(times: list[float], window_s: float) -> int:
    return max(
        (sum(t - window_s < other <= t for other in times) for t in times), default=0
    )


async def test_several_gateways_keep_the_rate_limit_of_a_server(cluster):
    """Guards against a server that gets its usual load while it names a limit."""
    rate, window_s = 4.0, 4.0
    stated = {}
    limited = await cluster.add_server("i-1", "s", behaviour=behaviours.stating(stated))
    await cluster.add_server("i-2", "s")
    await cluster.configure(ROUTE)
    gateways = [await cluster.start("g0"), await cluster.start("g1")]
    assert set(await load(gateways, 40, 0.02)) == {200}
    stated[names.RATE_LIMIT] = f"{rate}"
    named_at = steady_now()
    assert set(await load(gateways, 300, 0.02)) == {200}
    # Each gateway is told by its first answer, which takes a moment to get.
    late = [
        request.received_at
        for request in limited.requests
        if request.received_at > named_at + 2 * REACTION_S
    ]
    assert most_in_window(late, window_s) <= 1.5 * rate * window_s + 5
    assert late, "the limit is a rate, not a ban"
    stated.clear()
    before = len(limited.requests)
    await load(gateways, 150, 0.04)
    assert len(limited.requests) > before + 20, "the limit has ended"


async def test_a_malformed_rate_limit_is_logged_and_ignored(cluster):
    """Guards against an absurd value that stops the traffic or fails requests."""
    stated = {names.RATE_LIMIT: "-1e999"}
    await cluster.add_server("i-1", "s", behaviour=behaviours.stating(stated))
    await cluster.configure(ROUTE)
    gateway = await cluster.start()
    assert set(await load([gateway], 10, 0.01)) == {200}
    lines = [e for e in gateway.log() if e["event"] == "server_statement_ignored"]
    assert lines and "-1e999" in lines[0]["statement"]


async def test_a_server_that_leaves_gets_nothing_while_the_store_is_away(cluster):
    """Guards against requests to a server whose draining the store cannot report."""
    stated = {}
    leaving = await cluster.add_server("i-1", "s", behaviour=behaviours.stating(stated))
    await cluster.add_server("i-2", "s")
    await cluster.configure(ROUTE)
    gateway = await cluster.start()
    cluster.store.faults.refuse_with = 503
    stated[names.LEAVING] = "1"
    async with asyncio.timeout(5):
        while not any(e["event"] == "server_leaving" for e in gateway.log()):
            await load([gateway], 5, 0.01)
    before = len(leaving.requests)
    stated.clear()
    assert set(await load([gateway], 60, 0.01)) == {200}
    assert len(leaving.requests) == before
    cluster.store.faults.refuse_with = 0
    restarted = leaving.registration(born=9, sequence=1)
    await cluster.store.write("servers/i-1", restarted)
    async with asyncio.timeout(5):
        while len(leaving.requests) == before:
            await load([gateway], 20, 0.01)
