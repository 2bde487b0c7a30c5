"""Planned stops of gateway processes, until the end of the grace period."""

from __future__ import annotations

import asyncio

import aiohttp

from fireflyrack.platform import names

ROUTE = {"prefix": "/a/", "service": "s"}
GRACE_S = 3.0  # of the settings in cluster.py
# A slower machine and more peers must still leave time before the process is killed.
CLEANUP_RESERVE_S = 0.2


async def test_process_exits_within_the_grace_period_with_work_in_flight(cluster):
    """Guards against a process that is killed while it cleans up after its last phase.

    A request that outlasts the grace period is in flight, callers hold idle connections
    to all addresses, and peers hold open links.
    """
    await cluster.add_server("i-1", "s", delay_s=30.0)
    await cluster.configure({**ROUTE, "timeoutMs": 30000})
    gateway = await cluster.start("g0")
    for name in ("g1", "g2", "g3"):
        await cluster.start(name)
    pending = asyncio.create_task(
        gateway.status("/a/x", headers={names.DEADLINE_MS: "30000"})
    )
    await asyncio.sleep(1.0)
    loop = asyncio.get_running_loop()
    requested_at = loop.time()
    gateway.process.send_signal(15)
    async with asyncio.timeout(GRACE_S + 5):
        await gateway.process.wait()
    assert loop.time() - requested_at < GRACE_S - CLEANUP_RESERVE_S
    # Nobody can know whether the request ran.
    assert await pending == 502


async def test_no_late_request_of_a_planned_stop_is_cut_off(cluster):
    """Guards against requests that are taken late in the grace period and then lost.

    They may run once only, take a third of the grace period, and come on kept
    connections until the process is gone.
    """
    server = await cluster.add_server("i-1", "s", delay_s=GRACE_S / 3)
    await cluster.configure({**ROUTE, "kind": "unsafe", "maxAttempts": 1})
    gateway = await cluster.start()
    gateway.process.send_signal(15)
    statuses = {}

    async def send(number: int) -> None:
        try:
            statuses[f"r{number}"] = await gateway.status(
                "/a/x", request_id=f"r{number}", method="POST", data=b"x"
            )
        except aiohttp.ClientError:
            # Nothing listens any more, or the connection closed before the request.
            statuses[f"r{number}"] = None

    requests = []
    for number in range(150):
        requests.append(asyncio.create_task(send(number)))
        await asyncio.sleep(GRACE_S / 150)
    await asyncio.gather(*requests)
    ran = {r.headers[names.REQUEST_ID.lower()] for r in server.requests}
    assert {statuses[id] for id in ran} == {200}
    assert 503 in statuses.values(), "late requests are refused as not run"
