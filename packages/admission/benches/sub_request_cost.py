"""CPU cost of a sub-request at coordinator and owner by sub-requests per message.

`python packages/admission/benches/sub_request_cost.py` prints one line for each size;
the sizes alternate over the rounds and the medians are printed.
"""

from __future__ import annotations

import asyncio
import statistics
import time

from fireflyrack.admission import (
    AdmissionSettings,
    OwnedServers,
    RepliesModel,
    ReplyModel,
    SearchWorkModel,
    TargetModel,
)
from fireflyrack.configuration import BackendServer
from fireflyrack.core import Ok
from fireflyrack.entry.dispatch import SEARCH_KIND, SubRequestDispatcher
from fireflyrack.links import IncomingMessage

SIZES = (1, 10, 50, 200)
ROUNDS = 7
SUB_REQUESTS_PER_ROUND = 4000
HITS = tuple((f"module.function{i}", 10.0 - i, i) for i in range(10))


class InstantClient:
    """Answer each batch in the next iteration of the event loop, without I/O."""

    def __init__(self, server, settings, may_send, on_draining) -> None:
        self.server = server

    async def warm(self) -> None:
        """Open nothing."""

    async def search(self, work_items, send, timeout_s):
        """Answer a batch with 10 hits for each sub-request."""
        send.sent = True
        await asyncio.sleep(0)
        replies = tuple(
            ReplyModel(id=w.id, snapshot="1.1", searched="0-9", hits=HITS)
            for w in work_items
        )
        return Ok(RepliesModel(replies=replies))

    async def close(self) -> None:
        """Close nothing."""


def encode_message(size: int, number: int) -> bytes:
    """Return the coordinator's message for one owner."""
    targets = tuple(
        TargetModel(id=f"q{number}/{i}", backend_server=f"b{i}", shards="0-9")
        for i in range(size)
    )
    model = SearchWorkModel(
        service="docs",
        snapshot="1.1",
        query="two words",
        k=10,
        deadline_ms=10_000,
        targets=targets,
    )
    return model.model_dump_json().encode()


async def measure(dispatcher: SubRequestDispatcher, size: int) -> tuple[float, float]:
    """Return the CPU microseconds per sub-request at coordinator and owner."""
    messages = SUB_REQUESTS_PER_ROUND // size
    coordinator_s = owner_s = 0.0
    for number in range(messages):
        started_at = time.process_time()
        body = encode_message(size, number)
        coordinator_s += time.process_time() - started_at
        parts: list[bytes] = []
        started_at = time.process_time()
        message = IncomingMessage("e1", SEARCH_KIND, number + 1, False, False, body)
        await dispatcher.serve(message, parts.append)
        owner_s += time.process_time() - started_at
        started_at = time.process_time()
        for part in parts:
            for reply in RepliesModel.model_validate_json(part).replies:
                reply.to_domain()
        coordinator_s += time.process_time() - started_at
    scale = 1e6 / (messages * size)
    return coordinator_s * scale, owner_s * scale


async def main() -> None:
    """Measure each message size and print the medians."""
    servers = OwnedServers(AdmissionSettings(), lambda: True, InstantClient)
    await servers.own(
        BackendServer(f"b{i}", "127.0.0.1:1", "lj-a", 2, 25) for i in range(max(SIZES))
    )
    dispatcher = SubRequestDispatcher("e0", servers, None, lambda name: None)
    measurements: dict[int, list[tuple[float, float]]] = {size: [] for size in SIZES}
    for _ in range(ROUNDS):
        for size in SIZES:
            measurements[size].append(await measure(dispatcher, size))
    print("sub-requests per message, coordinator us, owner us (each sub-request)")
    for size, rows in measurements.items():
        coordinator = statistics.median(row[0] for row in rows)
        owner = statistics.median(row[1] for row in rows)
        print(f"{size:4d} {coordinator:8.1f} {owner:8.1f}")
    await servers.close()


if __name__ == "__main__":
    asyncio.run(main())
