"""Guard against what operators of similar systems have reported.

The table in docs/incidents.md lists the reports with all their tests.
"""

from __future__ import annotations

import asyncio

import aiohttp
import pytest
import stand_in_server as behaviours

from fireflyrack.platform import names

ONCE = {"prefix": "/a/", "service": "s", "kind": "unsafe", "maxAttempts": 2}
CALLERS = 40


@pytest.mark.parametrize(
    "behaviour",
    [
        behaviours.reset_in_body,
        behaviours.truncated_body,
        behaviours.cut_head,
        behaviours.malformed_response,
        behaviours.wrong_request_id,
        behaviours.endless_body,
    ],
)
async def test_run_whose_answer_is_lost_is_unknown_and_not_repeated(cluster, behaviour):
    """Guards against a second run, or a refusal that claims that nothing ran."""
    servers = [
        await cluster.add_server(name, "s", behaviour=behaviour)
        for name in ("i-1", "i-2")
    ]
    await cluster.configure(ONCE)
    gateway = await cluster.start()
    async with gateway.get("/a/x", method="POST", data=b"book") as response:
        assert response.status == 502
        assert "Retry-After" not in response.headers
    assert sum(len(server.requests) for server in servers) == 1


async def test_silent_server_finishes_its_running_request(cluster, until):
    """Guards against work that is given up or repeated since its server is silent.

    The registration of the only server ends while it runs a request.
    """
    server = await cluster.add_server("i-1", "s", delay_s=1.0, body=b"done")
    await cluster.configure(ONCE)
    gateway = await cluster.start()
    running = asyncio.create_task(gateway.status("/a/x", method="POST", data=b"book"))

    async def received():
        return server.requests

    await until(received)
    await cluster.store.remove("servers/i-1")
    await cluster.add_server("i-2", "s")
    assert await running == 200
    assert len(server.requests) == 1 and server.abandoned == 0
    assert cluster.servers["i-2"].requests == []


class KeptConnectionCaller:
    """Caller that repeats requests until the instance refuses connections."""

    def __init__(self, gateway, number):
        self.gateway = gateway
        self.number = number
        self.answers = 0
        self.cut_off = []

    async def run(self):
        """Send requests one after the other, on a kept connection while it lasts."""
        async with aiohttp.ClientSession() as session:
            session._retry_connection = False
            while True:
                headers = {
                    "Host": "h.example",
                    names.REQUEST_ID: f"c{self.number}-{self.answers}",
                    names.DEADLINE_MS: "1500",
                }
                url = f"http://{self.gateway.front}/a/x"
                try:
                    async with session.get(url, headers=headers) as response:
                        await response.read()
                        # Refused at once if the server has no free connection.
                        assert response.status in (200, 503)
                except aiohttp.ClientConnectorError:
                    return
                except aiohttp.ClientError as error:
                    self.cut_off.append(repr(error))
                    return
                self.answers += 1


async def test_planned_stop_under_load_answers_each_accepted_request(cluster):
    """Guards against a planned stop that cuts off requests just accepted.

    Callers that kept the address send on kept and new connections until the end.
    """
    await cluster.add_server("i-1", "s", delay_s=0.02)
    await cluster.configure({"prefix": "/a/", "service": "s"})
    gateway = await cluster.start()
    callers = [KeptConnectionCaller(gateway, number) for number in range(CALLERS)]
    running = [asyncio.create_task(caller.run()) for caller in callers]
    await asyncio.sleep(0.5)
    assert await gateway.stop() == 0
    await asyncio.gather(*running)
    assert [caller.cut_off for caller in callers if caller.cut_off] == []
    assert min(caller.answers for caller in callers) > 10
