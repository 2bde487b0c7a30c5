"""Free addresses on the loopback interface for processes under test."""

from __future__ import annotations

import random
import socket

HOST = "127.0.0.1"
# Below the ephemeral port range, since an outgoing connection could take an ephemeral
# port before the process for which it was chosen binds it.
FIRST_PORT = 15_000
LAST_PORT = 32_000

# Seeded by the system, so that test suites that run concurrently choose other ports.
rng = random.SystemRandom()
allocated_ports: set[int] = set()


def free_address() -> str:
    """Return an address that is free and that this process has not returned before."""
    while True:
        port = rng.randint(FIRST_PORT, LAST_PORT)
        if port not in allocated_ports and is_free(port):
            allocated_ports.add(port)
            return f"{HOST}:{port}"


def is_free(port: int) -> bool:
    """Return whether a port can be bound on the loopback interface."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        # As servers that restart set it, since closed connections may be in TIME_WAIT.
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
