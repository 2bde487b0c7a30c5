"""Addresses on the loopback interface for processes that are about to start."""

from __future__ import annotations

import random
import socket

HOST = "127.0.0.1"
# Below the ports that the system gives to outgoing connections: one of these could
# take a port before the process for which it was chosen binds it.
FIRST_PORT = 15_000
LAST_PORT = 32_000

# Seeded by the system, so that suites that run side by side choose other ports.
rng = random.SystemRandom()
given: set[int] = set()


def free_address() -> str:
    """Return an address that is free now and was not given before."""
    while True:
        port = rng.randint(FIRST_PORT, LAST_PORT)
        if port not in given and is_free(port):
            given.add(port)
            return f"{HOST}:{port}"


def is_free(port: int) -> bool:
    """Return whether a port can be bound."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        # As servers do that start again at a port with connections that just ended.
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
