from __future__ import annotations

from fireflyrack.routing import (
    ActiveRoutingTable,
    Route,
    RoutingTable,
    ServiceTarget,
    TableAdopted,
    TableIgnored,
)


def route(name: str, host: str, prefix: str) -> Route:
    return Route(name, host, prefix, ServiceTarget(name), True, 1.0, 0.1, 1, 2)


TABLE = RoutingTable(
    3,
    7,
    (
        route("root", "a.example", "/"),
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/"),
    ),
)


def test_longest_prefix_of_the_host_wins():
    """Guards against a request that is sent to the service of a shorter prefix."""
    assert TABLE.match("a.example", "/x/y/z").name == "long"
    assert TABLE.match("a.example", "/x/yy/z").name == "short"
    assert TABLE.match("a.example", "/q").name == "root"
    assert TABLE.match("b.example", "/x/y/z").name == "other"


def test_a_prefix_matches_whole_segments_only():
    """Guards against /x/ taking the requests of /xylophone."""
    assert TABLE.match("b.example", "/xylophone") is None
    assert TABLE.match("b.example", "/x") is None
    assert TABLE.match("c.example", "/x/") is None


def test_host_is_compared_without_port_and_case():
    """Guards against a 404 for callers that name the port or use capitals."""
    assert TABLE.match("A.example:8080", "/x/1").name == "short"


def test_a_version_never_reverts():
    """Guards against an old version that is read late, from a stale replica."""
    in_force = ActiveRoutingTable()
    assert isinstance(in_force.offer(TABLE), TableAdopted)
    assert isinstance(in_force.offer(RoutingTable(2, 9)), TableIgnored)
    assert isinstance(in_force.offer(RoutingTable(3, 9)), TableIgnored)
    assert in_force.table is TABLE
    newer = RoutingTable(12, 10)
    assert in_force.offer(newer) == TableAdopted(newer, 3)
