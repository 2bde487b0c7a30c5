"""Gateway processes during and after an outage of all servers of a service."""

from __future__ import annotations

import asyncio

from stand_in_server import Reply

ROUTE = {"prefix": "/a/", "service": "s", "kind": "unsafe", "maxAttempts": 1}
SERVERS = 4
CALLERS = 12
# Time after which a calm system counts as recovered on the platform (stableMs).
RECOVERY_S = 4.0


async def test_popular_request_is_served_after_its_service_was_down(cluster, until):
    """Guards against a quarantine of a request that was in flight on each server.

    Each server has attempts of both instances in flight when all go down at once.
    """
    outage = asyncio.Event()

    async def go_down(server, request):
        await outage.wait()
        server.server.close()
        return Reply(b"", reset=True)

    servers = [
        await cluster.add_server(f"i-{number}", "s", behaviour=go_down)
        for number in range(SERVERS)
    ]
    await cluster.configure(ROUTE)
    gateways = [await cluster.start(name) for name in ("g0", "g1")]
    pending = [
        asyncio.create_task(gateway.status("/a/x", request_id=f"{gateway.name}-{n}"))
        for gateway in gateways
        for n in range(CALLERS)
    ]

    async def all_in_flight():
        callers = {
            (server.id, request.headers["x-fireflyrack-request-id"][:2])
            for server in servers
            for request in server.requests
        }
        return len(callers) == SERVERS * len(gateways)

    await until(all_in_flight)
    outage.set()
    assert set(await asyncio.gather(*pending)) <= {502, 503}
    for number in range(SERVERS):
        # The next attempt cannot connect, which confirms the outage.
        await gateways[number % 2].status(f"/a/{number}")
        await cluster.store.remove(f"servers/i-{number}")
    for number in range(SERVERS):
        await cluster.add_server(f"j-{number}", "s")
    await asyncio.sleep(RECOVERY_S)
    for gateway in gateways:
        # The first request may be the trial; the others are served as well.
        statuses = [await gateway.status("/a/x", request_id=f"t{n}") for n in range(5)]
        assert statuses == [200] * 5
    events = {e["event"] for gateway in gateways for e in gateway.log()}
    assert "request_suspected" in events
