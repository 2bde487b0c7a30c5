"""Some answers of faulty backends are blank lines without end, until the caller closes.

The other requests of the gateways must be answered within their route's timeout.
"""

import asyncio
import contextlib
from pathlib import Path

from harness import TROUBLE, fetch, run_case

CASE = Path(__file__).resolve().parent
LENGTH_S = 30.0
GATEWAYS = 4
STATUS_PER_S = 20
LOOKUP_PER_S = 60
STATUS_TIMEOUT_S = 3.0
LOOKUP_TIMEOUT_S = 0.3
# Half a second after the timeout, an answer counts as missing.
GRACE_S = 0.5
PATIENCE_S = 6.0
# One in 50 answers (x = 0.02) of half of the servers (share = 0.5) of one service.
SPOILED_EVERY = 50
STATUS_SERVERS = 4
FAULTY_SERVERS = 2
LINES = b"\r\n" * 32768


def spoil_some(counts):
    """Return a behaviour that spoils each 50th answer of the faulty servers."""

    async def spoil(backend, request_id, writer):
        counts["answers"] += 1
        if counts["answers"] % SPOILED_EVERY != SPOILED_EVERY // 2:
            return False
        counts["spoiled"] += 1
        backend.site.record.note(f"spoiled: the answer of {backend.id} to {request_id}")
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        while True:
            writer.write(LINES)
            await writer.drain()

    return spoil


async def probe(site, gateway, waits):
    """Ask for the readiness once per second, as the platform does; never returns."""
    while True:
        before = site.record.now()
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            await fetch(gateway.listen["ready"], "GET", "/-/ready", {})
        waits.append((site.record.now() - before, gateway.name, before))
        await asyncio.sleep(1)


async def play(site):
    """Return whether late requests are answered soon after their timeout."""
    for number in range(STATUS_SERVERS):
        await site.add_backend(f"status-{number}", "status", 0.05)
    for number in range(3):
        await site.add_backend(f"lookup-{number}", "lookup", 0.01)
    await site.configure(
        {
            "name": "status",
            "prefix": "/status/",
            "service": "status",
            "kind": "unsafe",
            "maxAttempts": 1,
            "timeoutMs": int(1000 * STATUS_TIMEOUT_S),
            "sloMs": 500,
        },
        {
            "name": "lookup",
            "prefix": "/lookup/",
            "service": "lookup",
            "timeoutMs": int(1000 * LOOKUP_TIMEOUT_S),
            "sloMs": 60,
        },
    )
    await site.start_gateways(GATEWAYS)
    await asyncio.sleep(2)
    counts = {"answers": 0, "spoiled": 0}
    waits = []
    for gateway in site.gateways:
        site.tasks.append(asyncio.create_task(probe(site, gateway, waits)))
    if TROUBLE:
        for number in range(FAULTY_SERVERS):
            site.backends[f"status-{number}"].spoil = spoil_some(counts)
    lookups = []
    per_status = LOOKUP_PER_S // STATUS_PER_S
    for number in range(int(LENGTH_S * LOOKUP_PER_S)):
        gateway = site.gateways[number % GATEWAYS]
        lookups.append(
            site.send(gateway, "/lookup/x", deadline_ms=5000, patience_s=PATIENCE_S)
        )
        if number % per_status == 0:
            gateway = site.gateways[number // per_status % GATEWAYS]
            site.send(gateway, "/status/1", "POST", b"order 1", 3000, PATIENCE_S)
        await asyncio.sleep(1 / LOOKUP_PER_S)
    await asyncio.sleep(PATIENCE_S)

    def unanswered(sent, after_s):
        return sent.ended_at is None or sent.ended_at - sent.at > after_s

    late = [s for s in lookups if unanswered(s, LOOKUP_TIMEOUT_S)]
    missing = [s for s in late if unanswered(s, LOOKUP_TIMEOUT_S + GRACE_S)]
    for sent in missing:
        site.record.note(f"CONFIG: {sent.id} at {sent.gateway.name}: no answer in time")
    wait_s, name, _ = max(waits)
    text = (
        f"{counts['spoiled']} of {counts['answers']} answers spoiled; of "
        f"{len(lookups)} lookups {len(late)} unanswered at timeoutMs, {len(missing)} "
        f"of these half a second later; longest wait for /-/ready {wait_s:.2f} s "
        f"at {name}"
    )
    site.record.note(text)
    print(text)
    return not (len(missing) >= 8 and len(missing) > len(late) / 2)


run_case(CASE, play)
