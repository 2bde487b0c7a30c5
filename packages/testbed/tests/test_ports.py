"""Guard against processes under test whose port is already in use."""

from __future__ import annotations

import socket
from pathlib import Path

from fireflyrack.testbed.ports import free_address, is_free

# First and last ephemeral port of the system.
EPHEMERAL_PORT_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


def port_of(address: str) -> int:
    return int(address.rpartition(":")[2])


def test_free_addresses_are_below_the_ephemeral_ports():
    """Guards against an outgoing connection that takes a port found to be free."""
    first, _ = map(int, EPHEMERAL_PORT_RANGE.read_text().split())
    assert all(port_of(free_address()) < first for _ in range(50))


def test_no_address_is_returned_twice():
    """Guards against two processes that are started at the same address."""
    addresses = [free_address() for _ in range(200)]
    assert len(set(addresses)) == len(addresses)


def test_a_port_in_use_is_not_free():
    """Guards against the address of a process that is still listening."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", port_of(free_address())))
        listener.listen()
        assert not is_free(listener.getsockname()[1])
