"""Guard against a load generator that hides queueing delay or drops arrivals."""

from __future__ import annotations

import asyncio
import random

from fireflyrack.core import Failed, Ok
from fireflyrack.testbed.caller import CallFailure
from fireflyrack.testbed.load import LoadGenerator, LoadPlan


class OneSlotCaller:
    """Caller of a server that handles one request at a time, as under overload."""

    def __init__(self, service_time_s):
        self.service_time_s = service_time_s
        self.slot = asyncio.Lock()

    async def post(self, path, body):
        async with self.slot:
            await asyncio.sleep(self.service_time_s)
        if body == "lost":
            return Failed(CallFailure("lost", "", sent=True))
        return Ok((200, {"coverage": {"share": 1.0}}))


def request(rng):
    return "/", "lost" if rng.random() < 0.2 else "kept"


def test_the_seed_determines_the_arrivals():
    """Guards against runs that cannot be compared because their arrivals differ."""
    plan = LoadPlan(seed=3, rate_per_s=100, duration_s=2)
    first = list(plan.arrivals(random.Random(plan.seed)))
    assert first == list(plan.arrivals(random.Random(plan.seed)))
    assert 150 < len(first) < 250
    assert first == sorted(first) and first[-1] < 2


async def test_queueing_counts_as_latency_and_every_arrival_is_counted():
    """Guards against coordinated omission: latencies that start when a slot is free."""
    plan = LoadPlan(seed=3, rate_per_s=200, duration_s=0.5)
    generator = LoadGenerator(plan, (OneSlotCaller(0.02),), request)
    result = await generator.run()
    arrivals = len(list(plan.arrivals(random.Random(plan.seed))))
    assert result.outcomes.total() == arrivals
    assert result.outcomes["complete"] and result.outcomes["lost"]
    # At least twenty requests wait for one slot, each of them 20 ms.
    assert result.percentile_ms(99) > 400
