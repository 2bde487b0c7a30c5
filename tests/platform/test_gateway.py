"""Real gateway processes against the stand-ins of the platform."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest
import stand_in_server as behaviours

from fireflyrack.platform import names

ROUTE = {"prefix": "/a/", "service": "s"}
SEARCH = {
    "prefix": "/q/",
    "gather": ["p0", "p1", "p2"],
    "topK": 2,
    "minCoverage": 0.6,
}


async def test_a_request_reaches_a_backend_server_unchanged(rack):
    """Guards against a changed path, query, body, id or host."""
    server = await rack.add_server("i-1", "s", body=b"hello")
    await rack.configure(ROUTE)
    gateway = await rack.start()
    path = "/a/x%2Fy/?q=%20a&b"
    async with gateway.get(
        aiohttp.client.URL(path, encoded=True).raw_path_qs,
        method="POST",
        data=b"abc",
        headers={"X-Other": "1", "Connection": "keep-alive, X-Hop", "X-Hop": "1"},
    ) as response:
        assert response.status == 200
        assert await response.read() == b"hello"
        assert response.headers[names.SIGNATURE] == "sig.i-1"
    (seen,) = server.requests
    assert (seen.method, seen.body) == ("POST", b"abc")
    assert seen.target == path
    assert seen.headers["host"] == "h.example"
    assert seen.headers["x-other"] == "1"
    assert "x-hop" not in seen.headers
    assert seen.headers[names.REQUEST_ID.lower()] == "rid"
    assert 0 < int(seen.headers[names.DEADLINE_MS.lower()]) <= 1500
    assert seen.headers[names.EXPECTED_SERVER.lower()] == "i-1"


async def test_a_search_merges_the_shards_and_names_what_is_missing(rack):
    """Guards against untrue coverage."""
    for number in range(3):
        body = bytes([number + 1]) * 16 + b"\x00" * 16 + b"rest"
        await rack.add_server(f"i-{number}", f"p{number}", body=body)
    rack.servers["i-2"].behaviour = behaviours.shed
    await rack.configure(SEARCH)
    gateway = await rack.start()
    async with gateway.get("/q/x") as response:
        assert response.status == 200
        assert await response.read() == b"\x02" * 16 + b"\x01" * 16
        signatures = response.headers[names.SHARD_SIGNATURES].split(", ")
        assert sorted(signatures) == ["sig.i-0", "sig.i-1"]
        assert response.headers[names.MISSING_SHARDS] == "1"


@pytest.mark.parametrize(
    "behaviour",
    [
        behaviours.garbage,
        behaviours.foreign,
        behaviours.reset_in_body,
        behaviours.truncated,
    ],
)
async def test_bytes_that_belong_to_no_request_are_not_relayed(rack, behaviour):
    """Guards against a caller that gets foreign, cut or spoiled bytes as an answer."""
    await rack.add_server("i-1", "s", behaviour=behaviour)
    await rack.configure(ROUTE)
    gateway = await rack.start()
    async with gateway.get("/a/x") as response:
        assert response.status == 502
        assert names.SIGNATURE not in response.headers


async def test_a_body_that_ends_with_its_connection_is_whole(rack):
    """Guards against taking a clean end for a reset."""
    await rack.add_server("i-1", "s", behaviour=behaviours.unframed, body=b"whole")
    await rack.configure(ROUTE)
    gateway = await rack.start()
    async with gateway.get("/a/x") as response:
        assert (response.status, await response.read()) == (200, b"whole")


async def test_an_extra_response_reaches_no_caller(rack):
    """Guards against the next request getting what was sent behind the last one."""
    await rack.add_server("i-1", "s", behaviour=behaviours.extra, body=b"mine")
    await rack.configure(ROUTE)
    gateway = await rack.start()
    for number in range(5):
        async with gateway.get("/a/x", request_id=f"r{number}") as response:
            assert response.status == 200
            assert await response.read() == b"mine"
            assert response.headers[names.REQUEST_ID] == f"r{number}"
        # The extra response is on its way when the first one is whole.
        await asyncio.sleep(0.05)


async def test_a_refusal_says_not_run_and_when_to_come_back(rack):
    """Guards against a refusal without Retry-After, or one that is not true."""
    server = await rack.add_server("i-1", "s", behaviour=behaviours.shed)
    await rack.configure(ROUTE)
    gateway = await rack.start()
    async with gateway.get("/a/x") as response:
        assert response.status == 503
        assert float(response.headers["Retry-After"]) > 0
    assert len(server.requests) == 1


async def test_an_address_that_another_server_took_is_not_used(rack):
    """Guards against a request run by the service that reuses an address."""
    server = await rack.add_server("i-1", "s")
    await rack.configure(ROUTE)
    gateway = await rack.start()
    server.id = "i-9"
    assert await gateway.status("/a/x") == 503


async def test_a_draining_server_gets_no_new_requests(rack, until):
    """Guards against work on a backend server that leaves."""
    leaving = await rack.add_server("i-1", "s")
    await rack.add_server("i-2", "s")
    await rack.configure(ROUTE)
    gateway = await rack.start()
    await rack.store.write("servers/i-1", leaving.register(state="draining"))
    await asyncio.sleep(1.0)
    leaving.requests.clear()
    for _ in range(20):
        assert await gateway.status("/a/x") == 200
    assert leaving.requests == []


async def test_an_unreadable_register_harms_no_other(rack, until):
    """Guards against one bad entry that takes the service down."""
    await rack.store.write("servers/i-0", b"\xff not json")
    await rack.store.write("servers/i-3", {"service": "s", "slots": "two"})
    await rack.add_server("i-1", "s")
    await rack.configure(ROUTE)
    gateway = await rack.start()
    assert await gateway.status("/a/x") == 200

    async def told():
        events = [e for e in gateway.log() if e["event"] == "entry_unreadable"]
        return {e["key"] for e in events} >= {"servers/i-0", "servers/i-3"}

    await until(told)


async def test_a_new_configuration_takes_effect_and_an_old_one_does_not(rack, until):
    """Guards against a version that reverts."""
    await rack.add_server("i-1", "s", body=b"old")
    await rack.add_server("i-2", "t", body=b"new")
    await rack.configure(ROUTE)
    gateway = await rack.start()

    async def served_by_new():
        async with gateway.get("/a/x") as response:
            return await response.read() == b"new"

    await rack.configure({"prefix": "/a/", "service": "t"})
    await until(served_by_new)
    rack.version = 0
    await rack.configure(ROUTE)
    await asyncio.sleep(0.5)
    assert await served_by_new()


async def test_lost_history_is_made_up_by_a_new_listing(rack, until):
    """Guards against changes that were dropped before they were read."""
    await rack.add_server("i-1", "s", body=b"old")
    await rack.add_server("i-2", "t", body=b"new")
    await rack.configure(ROUTE)
    gateway = await rack.start()
    rack.store.faults.refuse_with = 503
    await asyncio.sleep(0.5)
    await rack.configure({"prefix": "/a/", "service": "t"})
    rack.store.forget_history()
    rack.store.faults.refuse_with = 0

    async def served_by_new():
        async with gateway.get("/a/x") as response:
            return await response.read() == b"new"

    await until(served_by_new)


async def test_an_instance_that_knows_nothing_says_not_run(rack):
    """Guards against a 404 for routes that the instance does not know yet."""
    rack.store.faults.refuse_with = 503
    gateway = await rack.start(wait=False)

    async def listens():
        try:
            async with gateway.get("/a/x") as response:
                return response.status, response.headers.get("Retry-After")
        except aiohttp.ClientError:
            return None

    async with asyncio.timeout(10):
        while (seen := await listens()) is None:
            await asyncio.sleep(0.02)
    assert seen[0] == 503 and float(seen[1]) > 0
    assert not await gateway.is_ready()
    await rack.add_server("i-1", "s")
    await rack.configure(ROUTE)
    rack.store.faults.refuse_with = 0
    await gateway.wait_ready()
    assert await gateway.status("/a/x") == 200


async def test_an_instance_that_starts_after_lapses_waits_for_the_registers(rack):
    """Guards against callers sent to an instance that knows no backend server yet."""
    server = await rack.add_server("i-1", "s")
    await rack.configure(ROUTE)
    await rack.store.remove("servers/i-1")
    gateway = await rack.start(wait=False)
    await asyncio.sleep(1.2)
    assert not await gateway.is_ready()
    await rack.store.write("servers/i-1", server.register())
    await asyncio.sleep(0.5)
    assert await gateway.is_ready()
    assert await gateway.status("/a/x") == 200


async def test_service_goes_on_while_the_store_is_away_and_entries_lapse(rack):
    """Guards against an outage of the store that stops the searches."""
    server = await rack.add_server("i-1", "s")
    await rack.configure(ROUTE)
    gateway = await rack.start()
    rack.store.faults.refuse_with = 503
    await asyncio.sleep(1.5)
    await rack.store.remove("servers/i-1")
    rack.store.faults.refuse_with = 0
    for _ in range(10):
        assert await gateway.status("/a/x") == 200
        await asyncio.sleep(0.1)
    await rack.store.write("servers/i-1", server.register())
    await asyncio.sleep(2.5)
    assert await gateway.status("/a/x") == 200


async def test_an_entry_that_does_not_return_after_an_outage_is_gone(rack):
    """Guards against a backend server that is believed for ever."""
    await rack.add_server("i-1", "s")
    await rack.configure(ROUTE)
    gateway = await rack.start()
    rack.store.faults.refuse_with = 503
    await asyncio.sleep(1.5)
    await rack.store.remove("servers/i-1")
    rack.store.faults.refuse_with = 0
    await asyncio.sleep(3.5)
    assert await gateway.status("/a/x") == 503


async def test_a_register_survives_a_lost_reply_and_an_ended_lease(rack, until):
    """Guards against an instance that callers never find again."""
    await rack.add_server("i-1", "s")
    await rack.configure(ROUTE)
    rack.store.faults.lose_replies = True
    gateway = await rack.start()
    await asyncio.sleep(1.5)
    rack.store.faults.lose_replies = False

    async def registered():
        return any(key.endswith("/g0") for key in rack.store.items)

    await until(registered)
    for lease in list(rack.store.leases):
        await rack.store.end(lease)
    assert not await registered()
    await until(registered)
    assert await gateway.addresses() == [gateway.front]


async def test_instances_find_each_other_and_drop_the_dead(rack, until):
    """Guards against addresses of instances that are gone."""
    await rack.add_server("i-1", "s")
    await rack.configure(ROUTE)
    first, second = await rack.start("g0"), await rack.start("g1")

    async def both():
        return set(await first.addresses()) == {first.front, second.front}

    async def alone():
        return await first.addresses() == [first.front]

    await until(both)
    await second.kill()
    await until(alone, 8.0)


async def test_a_caller_that_leaves_ends_the_work_at_the_backend_server(rack, until):
    """Guards against backend servers that work for nobody."""
    server = await rack.add_server("i-1", "s", delay_s=5.0)
    await rack.configure(ROUTE)
    gateway = await rack.start()
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(gateway.status("/a/x"), 0.2)

    async def abandoned():
        return server.abandoned == 1

    await until(abandoned, 0.5)


async def test_a_planned_stop_cuts_off_no_request(rack):
    """Guards against answers lost at SIGTERM, also on kept connections."""
    await rack.add_server("i-1", "s", delay_s=0.3)
    await rack.configure(ROUTE)
    gateway = await rack.start()
    assert await gateway.status("/a/x") == 200
    asked = [asyncio.create_task(gateway.status("/a/x")) for _ in range(5)]
    await asyncio.sleep(0.1)
    stopped = asyncio.create_task(gateway.stop())
    await asyncio.sleep(0.2)
    assert not await gateway.is_ready()
    assert await gateway.addresses() == []
    async with gateway.get("/a/late") as response:
        assert response.status == 200
        assert response.headers["Connection"] == "close"
    assert await asyncio.gather(*asked) == [200] * 5
    assert await asyncio.wait_for(stopped, 5) == 0
    events = [entry["event"] for entry in gateway.log()]
    assert events[-1] == "stopping"


async def test_a_reload_leaves_requests_alone_and_tells_of_bad_settings(rack, until):
    """Guards against SIGHUP that ends the process."""
    await rack.add_server("i-1", "s", delay_s=0.3)
    await rack.configure(ROUTE)
    gateway = await rack.start()
    asked = asyncio.create_task(gateway.status("/a/x"))
    await asyncio.sleep(0.1)
    (rack.folder / "g0.json").write_text("{}")
    gateway.process.send_signal(1)
    assert await asked == 200
    assert await gateway.status("/a/x") == 200

    async def told():
        return [e["outcome"] for e in gateway.log() if e["event"] == "reloaded"]

    await until(told)
    assert await told() == ["rejected"]


async def test_callers_are_kept_within_the_limits(rack):
    """Guards against bodies and headers beyond what the operator allows."""
    await rack.add_server("i-1", "s")
    await rack.configure(ROUTE)
    gateway = await rack.start()
    assert await gateway.status("/a/x", method="POST", data=b"x" * 1001) == 413
    big = {f"X-{number}": "v" * 4000 for number in range(5)}
    assert await gateway.status("/a/x", headers=big) == 431
    assert await gateway.status("/b/x") == 404


async def test_a_search_below_its_minimum_is_no_success(rack):
    """Guards against too little coverage told as an answer."""
    await rack.add_server("i-0", "p0")
    for number in (1, 2):
        await rack.add_server(f"i-{number}", f"p{number}", behaviour=behaviours.garbage)
    await rack.configure(SEARCH)
    gateway = await rack.start()
    assert await gateway.status("/q/x") == 502


async def test_a_request_that_crashes_servers_is_refused_by_all_instances(rack, until):
    """Guards against one request that takes down server after server."""
    servers = [
        await rack.add_server(f"i-{number}", "s", behaviour=behaviours.crash)
        for number in range(8)
    ]
    await rack.configure(ROUTE)
    gateways = [await rack.start(name) for name in ("g0", "g1")]

    async def linked():
        events = [{e["event"] for e in gateway.log()} for gateway in gateways]
        return all("peer_links_opened" in seen for seen in events)

    await until(linked)
    refused = 0
    for number in range(12):
        gateway = gateways[number % 2]
        async with gateway.get("/a/crash", request_id=f"rid-{number}") as response:
            refused += response.status == 503
        # A crash is confirmed by the next attempt that finds the server away.
        for other in gateways:
            async with other.get(f"/a/x{number}") as response:
                assert response.status == 200
        await asyncio.sleep(0.15)
    crashed = [s for s in servers if any("crash" in r.target for r in s.requests)]
    assert len(crashed) <= 5, [s.id for s in crashed]
    assert refused >= 6
    for gateway in gateways:
        async with gateway.get("/a/crash", request_id="rid-last") as response:
            assert response.status == 503
            assert float(response.headers["Retry-After"]) > 0


async def test_an_instance_that_starts_in_an_outage_asks_its_peers(rack):
    """Guards against an empty instance that is of no use until the store returns."""
    await rack.add_server("i-1", "s")
    await rack.configure(ROUTE)
    await rack.start("g0")
    rack.store.faults.refuse_with = 503
    late = await rack.start("g1")
    async with late.get("/a/x") as response:
        assert response.status == 200
    rack.store.faults.refuse_with = 0
    await rack.configure(ROUTE, {"prefix": "/new/", "service": "s"})
    async with asyncio.timeout(5):
        while True:
            async with late.get("/new/x") as response:
                if response.status == 200:
                    break
            await asyncio.sleep(0.05)
