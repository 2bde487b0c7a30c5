"""Gateway processes and backend servers that state something about themselves."""

from __future__ import annotations

import asyncio

import pytest
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
    # Until an instance has seen its registration, it uses few connections.
    async with asyncio.timeout(5):
        while not any(e["event"] == "instances_changed" for e in gateway.log()):
            await asyncio.sleep(0.02)
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


async def test_a_server_that_asks_for_a_pause_gets_one(cluster):
    """Guards against requests to a server during the time of its Retry-After."""
    pause_s = 1.5
    closed = await cluster.add_server("i-1", "s")
    # So slow that the first server is preferred again once it is open.
    await cluster.add_server("i-2", "s", delay_s=0.15)
    await cluster.configure(ROUTE)
    gateway = await cluster.start()
    closed.behaviour = behaviours.closing(f"{pause_s}")
    async with asyncio.timeout(5):
        while not any(e["event"] == "server_closed" for e in gateway.log()):
            await load([gateway], 5, 0.01)
    closed_at = closed.requests[-1].received_at
    closed.behaviour = behaviours.answer
    assert set(await load([gateway], 150, 0.03)) == {200}
    later = [r.received_at - closed_at for r in closed.requests]
    # Requests that were under way when it closed do not count.
    early = [after_s for after_s in later if 0.5 < after_s < pause_s]
    assert not early
    assert any(after_s > pause_s for after_s in later), "the pause is over"


async def test_callers_learn_when_the_first_of_all_closed_servers_opens(cluster):
    """Guards against a request that waits for servers which refuse everything."""
    for number, pause in enumerate(("20", "9.5", "not a number")):
        behaviour = behaviours.closing(pause)
        await cluster.add_server(f"i-{number}", "s", behaviour=behaviour)
    await cluster.configure({**ROUTE, "maxAttempts": 3})
    gateway = await cluster.start()
    await load([gateway], 30, 0.01)
    cluster.servers["i-2"].server.close()
    await cluster.store.remove("servers/i-2")
    async with asyncio.timeout(5):
        while True:
            async with gateway.get("/a/x") as response:
                assert response.status == 503
                if float(response.headers["Retry-After"]) > 1:
                    break
    assert 7 <= float(response.headers["Retry-After"]) <= 16


async def test_a_load_that_fits_no_number_costs_no_request(cluster, until):
    """Guards against a header of one server that makes its whole service fail."""
    stated = {names.SERVER_LOAD: f"1,{'9' * 400},2"}
    await cluster.add_server("i-1", "s", behaviour=behaviours.stating(stated))
    await cluster.configure(ROUTE)
    gateway = await cluster.start()
    assert set(await load([gateway], 10, 0.05)) == {200}

    async def logged():
        events = [e for e in gateway.log() if e["event"] == "server_statement_ignored"]
        return events and names.SERVER_LOAD in events[0]["statement"]

    await until(logged)


@pytest.mark.parametrize(
    "value", [b"caf\xc3\xa9", b"\xff\xfe", b"\xe2\x82\xac 5", b"a\x01b"]
)
async def test_answer_with_an_unusual_header_value_is_passed_on(cluster, until, value):
    """Guards against a 500 in place of a whole answer with its signature."""

    async def answer_with_value(server, request):
        whole = await behaviours.answer(server, request)
        line = b"X-Note: " + value + b"\r\n"
        return behaviours.Reply(whole.data.replace(b"\r\n", b"\r\n" + line, 1))

    await cluster.add_server("i-1", "s", behaviour=answer_with_value, body=b"whole")
    await cluster.configure(ROUTE)
    gateway = await cluster.start()
    async with gateway.get("/a/x") as response:
        assert response.status == 200
        assert await response.read() == b"whole"
        raw = dict(response.raw_headers)
    passed_on = raw.get(b"x-note")
    # A control character cannot be passed on, so the header is left out, with a line.
    assert passed_on == (None if b"\x01" in value else value)
    expected = ["X-Note: 'a\\x01b'"] if b"\x01" in value else []

    async def logged():
        ignored = [e for e in gateway.log() if e["event"] == "server_statement_ignored"]
        return [e["statement"] for e in ignored] == expected

    await until(logged)
