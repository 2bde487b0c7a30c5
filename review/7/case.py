"""Spoiled answers: a success reaches the caller without the backend's stamp."""

import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
sys.dont_write_bytecode = True

from spoiling import spoil_some_answers  # noqa: E402
from standins import STAMP, Caller, Site, asyncio, run_case, time  # noqa: E402

LOAD_S = 20.0
CALLERS = 10


async def case(site: Site, trouble: bool) -> list[str]:
    """Play a steady load on a safe and an unsafe route."""
    rng = random.Random(7)
    for number in range(4):
        await site.add_backend(f"desk-{number}", "desk")
        await site.add_backend(f"tools-{number}", "tools")
    if trouble:
        spoil_some_answers(site, rng)
    site.tasks.append(asyncio.create_task(site.beat()))
    site.configure(
        [
            {"prefix": "/status/", "service": "desk"},
            {"prefix": "/orders/", "service": "tools", "kind": "unsafe"},
        ]
    )
    await site.start_gateways(2)
    breaches: list[str] = []
    until = time.monotonic() + LOAD_S

    async def call_until_end(number: int) -> None:
        caller = Caller(site.gateways[number % 2].front, site.record)
        count = 0
        while time.monotonic() < until:
            count += 1
            id = f"{number:04x}{count:012x}"
            if count % 2:
                answer = await caller.call(id, "/status/1")
            else:
                answer = await caller.call(id, "/orders/1", "POST", b"refill")
            if 200 <= answer.status < 300 and not answer.head.get(STAMP):
                breaches.append(f"{id}: {answer.status} without the backend's stamp")
            await asyncio.sleep(0.02)
        caller.close()

    await asyncio.gather(*(call_until_end(n) for n in range(CALLERS)))
    return breaches


run_case(case, FOLDER)
