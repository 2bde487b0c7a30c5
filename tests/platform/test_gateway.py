"""Gateway processes tested against stand-ins for the platform."""

from __future__ import annotations

import asyncio
from datetime import datetime, timedelta

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


async def test_request_is_forwarded_unchanged(cluster):
    """Guards against forwarding a changed path, query, body, id or host."""
    server = await cluster.add_server("i-1", "s", body=b"hello")
    await cluster.configure(ROUTE)
    gateway = await cluster.start()
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


async def test_search_merges_shards_and_reports_missing_ones(cluster):
    """Guards against a wrong count of missing shards."""
    for number in range(3):
        body = bytes([number + 1]) * 16 + b"\x00" * 16 + b"rest"
        await cluster.add_server(f"i-{number}", f"p{number}", body=body)
    cluster.servers["i-2"].behaviour = behaviours.shed
    await cluster.configure(SEARCH)
    gateway = await cluster.start()
    async with gateway.get("/q/x") as response:
        assert response.status == 200
        assert await response.read() == b"\x02" * 16 + b"\x01" * 16
        signatures = response.headers[names.SHARD_SIGNATURES].split(", ")
        assert sorted(signatures) == ["sig.i-0", "sig.i-1"]
        assert response.headers[names.MISSING_SHARDS] == "1"


# Responses that must never reach a caller.
INVALID_RESPONSES = [
    behaviours.malformed_response,
    behaviours.wrong_request_id,
    behaviours.reset_in_body,
    behaviours.truncated_body,
    behaviours.cut_head,
    behaviours.cut_chunks,
    behaviours.endless_head,
    behaviours.endless_body,
    behaviours.switch_protocols,
]


@pytest.mark.parametrize("behaviour", INVALID_RESPONSES)
async def test_invalid_backend_responses_are_not_relayed(cluster, behaviour):
    """Guards against relaying malformed, truncated or mismatched responses."""
    await cluster.add_server("i-1", "s", behaviour=behaviour)
    await cluster.configure(ROUTE)
    gateway = await cluster.start()
    async with gateway.get("/a/x") as response:
        assert response.status == 502
        assert names.SIGNATURE not in response.headers


@pytest.mark.parametrize("behaviour", INVALID_RESPONSES)
async def test_request_with_an_invalid_response_is_retried_elsewhere(
    cluster, behaviour
):
    """Guards against a faulty server that costs its callers their answers.

    One of two servers is faulty; each request must get the whole answer of the other
    well before the deadline, whichever is tried first.
    """
    await cluster.add_server("i-1", "s", behaviour=behaviour)
    await cluster.add_server("i-2", "s", body=b"whole")
    await cluster.configure(ROUTE)
    gateway = await cluster.start()
    for number in range(4):
        async with asyncio.timeout(1.0):
            async with gateway.get("/a/x", request_id=f"r{number}") as response:
                assert (response.status, await response.read()) == (200, b"whole")
                assert response.headers[names.SIGNATURE] == "sig.i-2"


async def test_close_delimited_body_is_relayed_whole(cluster):
    """Guards against treating a normal close as a reset."""
    await cluster.add_server(
        "i-1", "s", behaviour=behaviours.close_delimited_body, body=b"whole"
    )
    await cluster.configure(ROUTE)
    gateway = await cluster.start()
    async with gateway.get("/a/x") as response:
        assert (response.status, await response.read()) == (200, b"whole")


async def test_unsolicited_response_is_discarded(cluster):
    """Guards against answering a request with data sent after the previous one."""
    await cluster.add_server(
        "i-1", "s", behaviour=behaviours.unsolicited_response, body=b"mine"
    )
    await cluster.configure(ROUTE)
    gateway = await cluster.start()
    for number in range(5):
        async with gateway.get("/a/x", request_id=f"r{number}") as response:
            assert response.status == 200
            assert await response.read() == b"mine"
            assert response.headers[names.REQUEST_ID] == f"r{number}"
        # Lets the unsolicited response arrive before the next request.
        await asyncio.sleep(0.05)


async def test_refusal_states_not_executed_and_retry_after(cluster):
    """Guards against a 503 without Retry-After, and against a retried refusal."""
    server = await cluster.add_server("i-1", "s", behaviour=behaviours.shed)
    await cluster.configure(ROUTE)
    gateway = await cluster.start()
    async with gateway.get("/a/x") as response:
        assert response.status == 503
        assert float(response.headers["Retry-After"]) > 0
    assert len(server.requests) == 1


async def test_reused_address_of_another_server_is_rejected(cluster):
    """Guards against execution by a different server that reuses an address."""
    server = await cluster.add_server("i-1", "s")
    await cluster.configure(ROUTE)
    gateway = await cluster.start()
    server.id = "i-9"
    assert await gateway.status("/a/x") == 503


async def test_draining_server_receives_no_new_requests(cluster, until):
    """Guards against new requests to a draining backend server."""
    leaving = await cluster.add_server("i-1", "s")
    await cluster.add_server("i-2", "s")
    await cluster.configure(ROUTE)
    gateway = await cluster.start()
    await cluster.store.write("servers/i-1", leaving.registration(state="draining"))
    await asyncio.sleep(1.0)
    leaving.requests.clear()
    for _ in range(20):
        assert await gateway.status("/a/x") == 200
    assert leaving.requests == []


async def test_unreadable_registration_does_not_affect_others(cluster, until):
    """Guards against one invalid entry that makes a service unavailable."""
    await cluster.store.write("servers/i-0", b"\xff not json")
    await cluster.store.write("servers/i-3", {"service": "s", "slots": "two"})
    await cluster.add_server("i-1", "s")
    await cluster.configure(ROUTE)
    gateway = await cluster.start()
    assert await gateway.status("/a/x") == 200

    async def logged():
        events = [e for e in gateway.log() if e["event"] == "entry_unreadable"]
        return {e["key"] for e in events} >= {"servers/i-0", "servers/i-3"}

    await until(logged)


async def test_newer_configuration_is_adopted_and_older_ignored(cluster, until):
    """Guards against reverting to an older configuration version."""
    await cluster.add_server("i-1", "s", body=b"old")
    await cluster.add_server("i-2", "t", body=b"new")
    await cluster.configure(ROUTE)
    gateway = await cluster.start()

    async def served_by_new_service():
        async with gateway.get("/a/x") as response:
            return await response.read() == b"new"

    await cluster.configure({"prefix": "/a/", "service": "t"})
    await until(served_by_new_service)
    cluster.version = 0
    await cluster.configure(ROUTE)
    await asyncio.sleep(0.5)
    assert await served_by_new_service()


async def test_lost_history_is_recovered_by_listing(cluster, until):
    """Guards against missing changes that the store compacted."""
    await cluster.add_server("i-1", "s", body=b"old")
    await cluster.add_server("i-2", "t", body=b"new")
    await cluster.configure(ROUTE)
    gateway = await cluster.start()
    cluster.store.faults.refuse_with = 503
    await asyncio.sleep(0.5)
    await cluster.configure({"prefix": "/a/", "service": "t"})
    cluster.store.compact_history()
    cluster.store.faults.refuse_with = 0

    async def served_by_new_service():
        async with gateway.get("/a/x") as response:
            return await response.read() == b"new"

    await until(served_by_new_service)


async def test_instance_without_configuration_refuses_with_retry_after(cluster):
    """Guards against a 404 for routes before the configuration is loaded."""
    cluster.store.faults.refuse_with = 503
    gateway = await cluster.start(wait=False)

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
    await cluster.add_server("i-1", "s")
    await cluster.configure(ROUTE)
    cluster.store.faults.refuse_with = 0
    await gateway.wait_ready()
    assert await gateway.status("/a/x") == 200


async def test_instance_started_after_lease_expiry_waits_for_registrations(
    cluster, until
):
    """Guards against becoming ready before any backend server is known.

    The order and the times are those of the log, since the test and the process may
    both be slow on a busy machine.
    """
    server = await cluster.add_server("i-1", "s")
    await cluster.configure(ROUTE)
    await cluster.store.remove("servers/i-1")
    gateway = await cluster.start(wait=False)

    async def logged_at(event):
        lines = [line for line in gateway.log() if line["event"] == event]
        return datetime.fromisoformat(lines[0]["time"]) if lines else None

    await until(lambda: logged_at("configuration_adopted"))
    assert not await gateway.is_ready()
    await asyncio.sleep(0.7)
    await cluster.store.write("servers/i-1", server.registration())
    await gateway.wait_ready()
    assert await gateway.status("/a/x") == 200
    await until(lambda: logged_at("readiness_changed"))
    known_at = await logged_at("backend_server_changed")
    ready_at = await logged_at("readiness_changed")
    assert timedelta(0) <= ready_at - known_at < timedelta(seconds=0.5)


async def test_requests_succeed_during_store_outage_and_lease_expiry(cluster):
    """Guards against a store outage that interrupts requests."""
    server = await cluster.add_server("i-1", "s")
    await cluster.configure(ROUTE)
    gateway = await cluster.start()
    cluster.store.faults.refuse_with = 503
    await asyncio.sleep(1.5)
    await cluster.store.remove("servers/i-1")
    cluster.store.faults.refuse_with = 0
    for _ in range(10):
        assert await gateway.status("/a/x") == 200
        await asyncio.sleep(0.1)
    await cluster.store.write("servers/i-1", server.registration())
    await asyncio.sleep(2.5)
    assert await gateway.status("/a/x") == 200


async def test_entry_not_registered_again_after_outage_is_removed(cluster):
    """Guards against retaining a backend server indefinitely."""
    await cluster.add_server("i-1", "s")
    await cluster.configure(ROUTE)
    gateway = await cluster.start()
    cluster.store.faults.refuse_with = 503
    await asyncio.sleep(1.5)
    await cluster.store.remove("servers/i-1")
    cluster.store.faults.refuse_with = 0
    await asyncio.sleep(3.5)
    assert await gateway.status("/a/x") == 503


async def test_registration_recovers_from_lost_reply_and_ended_lease(cluster, until):
    """Guards against an instance that stays missing from the directory."""
    await cluster.add_server("i-1", "s")
    await cluster.configure(ROUTE)
    cluster.store.faults.lose_replies = True
    gateway = await cluster.start()
    await asyncio.sleep(1.5)
    cluster.store.faults.lose_replies = False

    async def registered():
        return any(key.endswith("/g0") for key in cluster.store.items)

    await until(registered)
    for lease in list(cluster.store.leases):
        await cluster.store.end_lease(lease)
    assert not await registered()
    await until(registered)
    assert await gateway.addresses() == [gateway.front]


async def test_directory_lists_live_instances_only(cluster, until):
    """Guards against directory entries of crashed instances."""
    await cluster.add_server("i-1", "s")
    await cluster.configure(ROUTE)
    first, second = await cluster.start("g0"), await cluster.start("g1")

    async def both_listed():
        return set(await first.addresses()) == {first.front, second.front}

    async def only_first_listed():
        return await first.addresses() == [first.front]

    await until(both_listed)
    await second.kill()
    await until(only_first_listed, 8.0)


async def test_caller_disconnect_cancels_backend_request(cluster, until):
    """Guards against backend work for a caller that has disconnected."""
    server = await cluster.add_server("i-1", "s", delay_s=5.0)
    await cluster.configure(ROUTE)
    gateway = await cluster.start()
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(gateway.status("/a/x"), 0.2)

    async def abandoned():
        return server.abandoned == 1

    await until(abandoned, 0.5)


async def test_graceful_shutdown_completes_requests(cluster):
    """Guards against responses lost at SIGTERM, also on keep-alive connections."""
    await cluster.add_server("i-1", "s", delay_s=0.3)
    await cluster.configure(ROUTE)
    gateway = await cluster.start()
    assert await gateway.status("/a/x") == 200
    pending = [asyncio.create_task(gateway.status("/a/x")) for _ in range(5)]
    await asyncio.sleep(0.1)
    stopped = asyncio.create_task(gateway.stop())
    await asyncio.sleep(0.2)
    assert not await gateway.is_ready()
    assert await gateway.addresses() == []
    async with gateway.get("/a/late") as response:
        assert response.status == 200
        assert response.headers["Connection"] == "close"
    assert await asyncio.gather(*pending) == [200] * 5
    assert await asyncio.wait_for(stopped, 5) == 0
    events = [entry["event"] for entry in gateway.log()]
    assert events[-1] == "stopping"


async def test_reload_keeps_requests_and_reports_invalid_settings(cluster, until):
    """Guards against SIGHUP ending the process or its requests."""
    await cluster.add_server("i-1", "s", delay_s=0.3)
    await cluster.configure(ROUTE)
    gateway = await cluster.start()
    pending = asyncio.create_task(gateway.status("/a/x"))
    await asyncio.sleep(0.1)
    (cluster.folder / "g0.json").write_text("{}")
    gateway.process.send_signal(1)
    assert await pending == 200
    assert await gateway.status("/a/x") == 200

    async def logged():
        return [e["outcome"] for e in gateway.log() if e["event"] == "reloaded"]

    await until(logged)
    assert await logged() == ["rejected"]


async def test_caller_limits_are_enforced(cluster):
    """Guards against accepting bodies and headers beyond the operator's limits."""
    await cluster.add_server("i-1", "s")
    await cluster.configure(ROUTE)
    gateway = await cluster.start()
    assert await gateway.status("/a/x", method="POST", data=b"x" * 1001) == 413
    big = {f"X-{number}": "v" * 4000 for number in range(5)}
    assert await gateway.status("/a/x", headers=big) == 431
    assert await gateway.status("/b/x") == 404


async def test_search_below_minimum_coverage_fails(cluster):
    """Guards against a success status for a search with too few shards."""
    await cluster.add_server("i-0", "p0")
    for number in (1, 2):
        await cluster.add_server(
            f"i-{number}", f"p{number}", behaviour=behaviours.malformed_response
        )
    await cluster.configure(SEARCH)
    gateway = await cluster.start()
    assert await gateway.status("/q/x") == 502


async def test_crashing_request_is_refused_by_all_instances(cluster, until):
    """Guards against one request that crashes server after server."""
    servers = [
        await cluster.add_server(f"i-{number}", "s", behaviour=behaviours.crash_on_path)
        for number in range(8)
    ]
    await cluster.configure(ROUTE)
    gateways = [await cluster.start(name) for name in ("g0", "g1")]

    async def linked():
        events = [{e["event"] for e in gateway.log()} for gateway in gateways]
        return all("peer_links_opened" in seen for seen in events)

    await until(linked)
    refused = 0
    for number in range(12):
        gateway = gateways[number % 2]
        async with gateway.get("/a/crash", request_id=f"rid-{number}") as response:
            refused += response.status == 503
        # A crash is confirmed when the next attempt cannot connect to the server.
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


async def test_instance_started_in_outage_loads_state_from_peers(cluster):
    """Guards against an instance that stays unready until the store recovers."""
    await cluster.add_server("i-1", "s")
    await cluster.configure(ROUTE)
    await cluster.start("g0")
    cluster.store.faults.refuse_with = 503
    late = await cluster.start("g1")
    async with late.get("/a/x") as response:
        assert response.status == 200
    cluster.store.faults.refuse_with = 0
    await cluster.configure(ROUTE, {"prefix": "/new/", "service": "s"})
    async with asyncio.timeout(5):
        while True:
            async with late.get("/new/x") as response:
                if response.status == 200:
                    break
            await asyncio.sleep(0.05)
