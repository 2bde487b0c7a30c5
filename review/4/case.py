"""All backends of a service are down for a while and come back.

Many callers ask the same of this service. They must be served again in steady state.
"""

import asyncio
from pathlib import Path

from harness import BOUNDS, TROUBLE, run_case

CASE = Path(__file__).resolve().parent
GATEWAYS = 4
# As many as `courier-desk` of the site has.
SERVERS = 8
RATE_PER_S = 100
WORK_S = 0.12
DOWN_S = 4.0
STABLE_S = BOUNDS["stableMs"] / 1000
WARM_S = 3.0
STEADY_S = 30.0
MARGIN_S = 1.0
CALLERS = 40


async def traffic(site, callers):
    """Send requests of both routes from all callers; never returns."""
    number = 0
    while True:
        target = "/tonight/list" if number % 2 else "/speaker/list"
        gateway = site.gateways[number // 2 % GATEWAYS]
        site.send(gateway, target, source=callers[number % CALLERS])
        number += 1
        await asyncio.sleep(1 / RATE_PER_S)


async def play(site):
    """Return whether the later route is served at least a quarter as often."""
    for number in range(SERVERS):
        await site.add_backend(f"speaker-{number}", "speaker", WORK_S)
        await site.add_backend(f"tonight-{number}", "tonight", WORK_S)
    first = {"name": "speaker", "prefix": "/speaker/", "service": "speaker"}
    later = {"name": "tonight", "prefix": "/tonight/", "service": "tonight"}
    await site.configure(first)
    await site.start_gateways(GATEWAYS)
    await site.configure(first, later)
    await asyncio.sleep(BOUNDS["configApplyMs"] / 1000 + STABLE_S)
    callers = [site.loopback.host() for _ in range(CALLERS)]
    site.tasks.append(asyncio.create_task(traffic(site, callers)))
    await asyncio.sleep(WARM_S)
    if TROUBLE:
        site.record.note("all backends of tonight are down")
        for number in range(SERVERS):
            await site.backends[f"tonight-{number}"].crash()
    await asyncio.sleep(DOWN_S)
    if TROUBLE:
        for number in range(SERVERS):
            await site.add_backend(f"tonight-{number + SERVERS}", "tonight", WORK_S)
    back_at = site.record.now()
    site.record.note("new backends of tonight are ready")
    await asyncio.sleep(STABLE_S + MARGIN_S + STEADY_S)
    steady_from = back_at + STABLE_S + MARGIN_S
    shares = {}
    for prefix in ("/speaker/", "/tonight/"):
        steady = [
            sent
            for sent in site.sent
            if sent.target.startswith(prefix)
            and steady_from <= sent.at <= steady_from + STEADY_S - MARGIN_S
        ]
        served = sum(sent.status == 200 for sent in steady)
        shares[prefix] = served / len(steady)
        text = f"{prefix}: {served} of {len(steady)} served in steady state"
        site.record.note(text)
        print(text)
    return shares["/tonight/"] >= shares["/speaker/"] / 4


run_case(CASE, play)
