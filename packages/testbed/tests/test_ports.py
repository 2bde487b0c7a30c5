"""Guard against processes under test that find their port taken."""

from __future__ import annotations

import socket
from pathlib import Path

from fireflyrack.testbed.ports import free_address, is_free

# First and last port of outgoing connections.
OUTGOING = Path("/proc/sys/net/ipv4/ip_local_port_range")


def port_of(address: str) -> int:
    return int(address.rpartition(":")[2])


def test_no_outgoing_connection_can_take_a_port_that_was_given():
    """Guards against an address in use after it was found to be free."""
    first, _ = map(int, OUTGOING.read_text().split())
    assert all(port_of(free_address()) < first for _ in range(50))


def test_no_address_is_given_twice():
    """Guards against two processes that are started at one address."""
    addresses = [free_address() for _ in range(200)]
    assert len(set(addresses)) == len(addresses)


def test_a_port_in_use_is_not_free():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", port_of(free_address())))
        listener.listen()
        assert not is_free(listener.getsockname()[1])
