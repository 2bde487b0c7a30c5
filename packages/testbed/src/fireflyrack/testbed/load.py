"""Open-loop load generator with Poisson arrivals; latency counts from the arrival."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from ddsketch import DDSketch

from fireflyrack.core import Failed, Ok

from .caller import Caller

RELATIVE_ACCURACY = 0.001  # of each percentile, as a fraction of its value
PERCENTILES = (50.0, 90.0, 99.0, 99.9)

Request = Callable[[random.Random], tuple[str, Any]]


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Rate and duration of a load; the seed determines arrivals and requests."""

    seed: int
    rate_per_s: float
    duration_s: float

    def arrivals(self, rng: random.Random) -> Iterator[float]:
        """Yield the arrival times in seconds from the start."""
        at = rng.expovariate(self.rate_per_s)
        while at < self.duration_s:
            yield at
            at += rng.expovariate(self.rate_per_s)


@dataclass(slots=True)
class LoadResult:
    """Measured latencies in milliseconds, outcomes, coverage and decisions."""

    latencies: DDSketch = field(default_factory=lambda: DDSketch(RELATIVE_ACCURACY))
    outcomes: Counter[str] = field(default_factory=Counter)
    coverage_sum: float = 0.0
    answers: int = 0
    # Answers that lack shards, by the cause in their coverage.
    lacking: Counter[str] = field(default_factory=Counter)
    # Sums of the decision counters in the evidence of the answers.
    decisions: Counter[str] = field(default_factory=Counter)

    def add_answer(self, answer: dict[str, Any]) -> None:
        """Add an answer with its coverage and decision counters."""
        covered_fraction = answer.get("coverage", {}).get("share", 1.0)
        self.answers += 1
        self.coverage_sum += covered_fraction
        self.outcomes["complete" if covered_fraction == 1 else "partial"] += 1
        # As a list, since a Counter would add the values of a mapping.
        self.lacking.update(list(answer.get("coverage", {}).get("lacking", ())))
        for name, value in answer.get("evidence", {}).get("decisions", {}).items():
            if isinstance(value, int):
                self.decisions[name] += value

    def percentile_ms(self, percentile: float) -> float:
        """Return a latency percentile in milliseconds."""
        return self.latencies.get_quantile_value(percentile / 100) or 0.0

    def coverage(self) -> float:
        """Return the mean coverage over all arrivals; failed requests count as zero."""
        total = self.outcomes.total()
        return self.coverage_sum / total if total else 0.0

    def summary(self) -> dict[str, Any]:
        """Return the measured values for a report."""
        return {
            "arrivals": self.outcomes.total(),
            "outcomes": dict(sorted(self.outcomes.items())),
            "coverage": round(self.coverage(), 6),
            "lacking": dict(sorted(self.lacking.items())),
            "decisions": dict(sorted(self.decisions.items())),
            **{f"p{p:g}_ms": round(self.percentile_ms(p), 2) for p in PERCENTILES},
        }


class LoadGenerator:
    """Load generator that sends a plan's requests through callers; run it once."""

    def __init__(
        self, plan: LoadPlan, callers: tuple[Caller, ...], request: Request
    ) -> None:
        self.plan = plan
        self.callers = callers
        self.request = request
        self.result = LoadResult()

    async def run(self, during: Awaitable[None] | None = None) -> LoadResult:
        """Send the load, run `during` concurrently, and wait for every reply."""
        loop = asyncio.get_running_loop()
        # A separate generator keeps the arrivals independent of the requests.
        rng = random.Random(f"{self.plan.seed}/requests")
        arrivals = self.plan.arrivals(random.Random(self.plan.seed))
        started_at = loop.time()
        async with asyncio.TaskGroup() as group:
            if during:
                group.create_task(as_coroutine(during))
            for at in arrivals:
                path, body = self.request(rng)
                caller = rng.choice(self.callers)
                delay_s = started_at + at - loop.time()
                if delay_s > 0:
                    await asyncio.sleep(delay_s)
                group.create_task(self.send(caller, path, body, started_at + at))
        return self.result

    async def send(
        self, caller: Caller, path: str, body: Any, arrived_at: float
    ) -> None:
        """Send one request; record its outcome and its latency since arrival."""
        outcome = await caller.post(path, body)
        elapsed_s = asyncio.get_running_loop().time() - arrived_at
        result = self.result
        result.latencies.add(elapsed_s * 1000)
        match outcome:
            case Ok((200, answer)):
                result.add_answer(answer)
            case Ok((_, answer)):
                result.outcomes[answer["error"]["kind"]] += 1
            case Failed(failure):
                result.outcomes[failure.kind] += 1


async def as_coroutine(awaitable: Awaitable[None]) -> None:
    """Wrap an awaitable as a coroutine, which a task group requires."""
    await awaitable
