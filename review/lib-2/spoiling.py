"""Backend servers that hand out wrong bytes: a bit error in some of their stamps."""

from __future__ import annotations

import random

from standins import Backend, Request, Site

# The doses that `fleetbench kinds` gives for `garble` by itself: a share of the servers
# spoils a share of its answers.
SPOILING_SERVERS = 0.5
SPOILED_ANSWERS = 0.02
# Bits of a printable character that read as zero, which makes it a control character.
LOST_BITS = 0x60


def spoil_some_answers(site: Site, rng: random.Random) -> None:
    """Have half of the servers of each service spoil some of their answers."""
    by_service: dict[str, list[Backend]] = {}
    for backend in site.backends.values():
        by_service.setdefault(backend.service, []).append(backend)

    async def spoil(backend: Backend, request: Request) -> bytes | None:
        if rng.random() >= SPOILED_ANSWERS:
            return None
        data = bytearray(backend.sound(request))
        stamp = backend.stamps[request.id].encode()
        first = data.index(b"Server-Stamp: ") + len(b"Server-Stamp: ")
        # Characters that would end the line or the value are left alone.
        places = [
            first + number
            for number, byte in enumerate(stamp)
            if byte & ~LOST_BITS not in (0, 9, 10, 13) and byte & ~LOST_BITS < 32
        ]
        place = rng.choice(places)
        data[place] &= ~LOST_BITS
        backend.record.note(
            "spoiled",
            server=backend.id,
            request=request.id,
            answer=bytes(data).decode("latin-1"),
        )
        return bytes(data)

    for backends in by_service.values():
        for backend in backends[: int(len(backends) * SPOILING_SERVERS)]:
            backend.behave = spoil
