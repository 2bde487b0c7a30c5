"""Headers of callers that concern one connection only, through a gateway process."""

from __future__ import annotations

import pytest

ROUTE = {"prefix": "/a/", "service": "s"}


async def test_expectation_of_a_caller_is_not_forwarded(cluster):
    """Guards against a body that waits for an interim response until the deadline.

    The body was read whole before, and the stand-in sends no interim response.
    """
    server = await cluster.add_server("i-1", "s")
    await cluster.configure(ROUTE)
    gateway = await cluster.start()
    order = {"method": "POST", "data": b"order", "expect100": True}
    assert await gateway.status("/a/x", **order) == 200
    (seen,) = server.requests
    assert seen.body == b"order"
    assert "expect" not in seen.headers


@pytest.mark.parametrize(
    "offer",
    [
        {
            "Connection": "Upgrade, HTTP2-Settings",
            "Upgrade": "h2c",
            "HTTP2-Settings": "",
        },
        {"Connection": "upgrade", "Upgrade": "websocket"},
    ],
)
async def test_request_that_offers_an_upgrade_is_forwarded_whole(cluster, offer):
    """Guards against an order that runs with an empty body."""
    server = await cluster.add_server("i-1", "s")
    await cluster.configure({**ROUTE, "kind": "unsafe"})
    gateway = await cluster.start()
    order = {"method": "POST", "data": b"order", "headers": offer}
    for number in range(2):
        assert await gateway.status("/a/x", request_id=f"r{number}", **order) == 200
    assert [request.body for request in server.requests] == [b"order"] * 2
    for request in server.requests:
        assert not {"upgrade", "http2-settings"} & set(request.headers)
