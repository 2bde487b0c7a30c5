"""In-memory store whose calls yield to the test, which may interleave others."""

from __future__ import annotations

import random
import types

from fireflyrack.configuration import (
    ConfirmationService,
    Entry,
    PlanRequestModel,
    Repository,
    StoreFailure,
    StoreFailureKind,
    StoreSettings,
)
from fireflyrack.core import Failed, Ok

SETTINGS = StoreSettings(url="http://127.0.0.1:1")
UNAVAILABLE = Failed(StoreFailure(StoreFailureKind.UNAVAILABLE, "down"))
UNKNOWN = Failed(StoreFailure(StoreFailureKind.UNKNOWN, "lost"))


@types.coroutine
def yield_to_scheduler(label):
    """Yield a label to the test, which sends back the result of the call."""
    return (yield label)


class MemoryStore:
    """Store backed by a dictionary.

    The test sends the result of each call: `ok`, `down` (no effect), `lost` (applied,
    but the reply is lost) or `delayed` (the reply is lost; may be applied later).
    """

    def __init__(self):
        self.values = {}
        self.revision = 0
        # Writes whose reply was lost and that may be applied later.
        self.delayed = []

    async def read(self, key):
        if await yield_to_scheduler(("read", key)) == "down":
            return UNAVAILABLE
        return Ok(Entry(*self.values.get(key, (b"", 0))))

    async def write(self, key, value, expected):
        call_result = await yield_to_scheduler(("write", key))
        if call_result == "down":
            return UNAVAILABLE
        if call_result == "delayed":
            self.delayed.append((key, value, expected))
            return UNKNOWN
        applied = self.apply(key, value, expected)
        if call_result == "lost":
            return UNKNOWN
        if not applied:
            return Failed(StoreFailure(StoreFailureKind.CONFLICT))
        return Ok(self.revision)

    def apply(self, key, value, expected):
        if self.values.get(key, (b"", 0))[1] != expected:
            return False
        self.revision += 1
        self.values[key] = (value, self.revision)
        return True


async def scheduled_sleep(delay_s):
    await yield_to_scheduler(("sleep", delay_s))


def make_confirmation_service(store, seed=0, known_version=lambda: 0):
    rng = random.Random(seed)
    return ConfirmationService(
        Repository(store), SETTINGS, known_version, scheduled_sleep, rng
    )


def run(coroutine, call_results=()):
    """Run a coroutine without interleaving; calls succeed unless results are given."""
    call_results = list(call_results)
    try:
        coroutine.send(None)
        while True:
            coroutine.send(call_results.pop(0) if call_results else "ok")
    except StopIteration as stop:
        return stop.value


def declare(service, servers, slots=2):
    return {
        "kind": "declare",
        "declaration": {
            "service": service,
            "backend_servers": [
                {
                    "id": name,
                    "address": "127.0.0.1:80",
                    "failure_domain": "a",
                    "slots": slots,
                    "connections": 25,
                }
                for name in servers
            ],
        },
    }


def request(intent, operator="ana"):
    return PlanRequestModel.model_validate({"operator": operator, "intent": intent})
