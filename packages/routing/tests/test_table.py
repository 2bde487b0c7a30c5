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


def test_the_longest_matching_prefix_of_the_host_wins():
    """Guards against a request routed by a shorter prefix or by another host."""
    assert TABLE.match("a.example", "/x/y/z").name == "long"
    assert TABLE.match("a.example", "/x/yy/z").name == "short"
    assert TABLE.match("a.example", "/q").name == "root"
    assert TABLE.match("b.example", "/x/y/z").name == "other"


def test_a_prefix_matches_only_whole_path_segments():
    """Guards against the prefix /x/ matching the path /xylophone."""
    assert TABLE.match("b.example", "/xylophone") is None
    assert TABLE.match("b.example", "/x") is None
    assert TABLE.match("c.example", "/x/") is None


def test_the_host_is_matched_without_port_and_case():
    """Guards against a 404 for a Host header with a port or capital letters."""
    assert TABLE.match("A.example:8080", "/x/1").name == "short"


def test_the_active_version_never_decreases():
    """Guards against activating an old version read late from a stale replica."""
    active = ActiveRoutingTable()
    assert isinstance(active.offer(TABLE), TableAdopted)
    assert isinstance(active.offer(RoutingTable(2, 9)), TableIgnored)
    assert isinstance(active.offer(RoutingTable(3, 9)), TableIgnored)
    assert active.table is TABLE
    newer = RoutingTable(12, 10)
    assert active.offer(newer) == TableAdopted(newer, 3)
