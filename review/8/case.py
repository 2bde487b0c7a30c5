"""Spoiled answers: one part with a bit error closes the caller's connection."""

import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
sys.dont_write_bytecode = True

from spoiling import spoil_some_answers  # noqa: E402
from standins import Caller, Site, asyncio, run_case, time  # noqa: E402

LOAD_S = 20.0
CALLERS = 10
SHARDS = [f"portal-{number}" for number in range(10)]
# More than three such requests break the rule.
ALLOWED = 3


async def case(site: Site, trouble: bool) -> list[str]:
    """Play a steady load of searches over ten shards."""
    rng = random.Random(8)
    for shard in SHARDS:
        for number in range(3):
            await site.add_backend(f"{shard}-{number}", shard)
    if trouble:
        spoil_some_answers(site, rng)
    site.tasks.append(asyncio.create_task(site.beat()))
    site.configure(
        [{"prefix": "/browse/", "gather": SHARDS, "topK": 20, "minCoverage": 0.89}]
    )
    await site.start_gateways(2)
    cut: list[str] = []
    until = time.monotonic() + LOAD_S

    async def call_until_end(number: int) -> None:
        caller = Caller(site.gateways[number % 2].front, site.record)
        count = 0
        while time.monotonic() < until:
            count += 1
            id = f"{number:04x}{count:012x}"
            kept = caller.served > 0
            answer = await caller.call(id, "/browse/1")
            if answer.status == 0 and kept and "connection ended" in answer.detail:
                # Servers that never spoil an answer have run the request.
                sound = [
                    b.id
                    for b in site.backends.values()
                    if not b.behave and id in b.runs
                ]
                if sound:
                    cut.append(
                        f"{id}: passed on to {len(sound)} sound servers, and its kept "
                        "connection was closed without an answer"
                    )
            await asyncio.sleep(0.02)
        caller.close()

    await asyncio.gather(*(call_until_end(n) for n in range(CALLERS)))
    return cut if len(cut) > ALLOWED else []


run_case(case, FOLDER)
