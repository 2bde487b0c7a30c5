"""Stand-in for the platform's metadata store, with fault injection."""

from __future__ import annotations

import asyncio
import base64
import copy
import json
from dataclasses import dataclass, field

import falcon
import falcon.asgi

from fireflyrack.core import steady_now
from fireflyrack.gateway import HttpServer
from fireflyrack.platform import names

PAGE_SIZE = 50
POLL_INTERVAL_S = 0.02


@dataclass(slots=True)
class StoredItem:
    """A stored value with its revisions and its lease (0 for none)."""

    value: str
    revision: int
    created: int
    lease: int


@dataclass(slots=True)
class StoreFaults:
    """Active faults, which may change while the store runs, and call counts."""

    # Status of every reply, 0 for normal replies.
    refuse_with: int = 0
    # No replies are sent.
    silent: bool = False
    # POST calls take effect, but their replies are lost.
    lose_replies: bool = False
    # Number of calls by kind, such as "kv-range".
    calls: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Backup of the store."""

    items: dict[str, StoredItem]
    revision: int
    events: list[dict]
    compacted_revision: int
    leases: dict[int, tuple[float, float]]


class StandInStore:
    """Store server in this process; use it as a context manager."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.items: dict[str, StoredItem] = {}
        self.revision = 1
        self.era = 1
        self.events: list[dict] = []
        self.compacted_revision = 0
        self.leases: dict[int, tuple[float, float]] = {}
        self.faults = StoreFaults()
        app = falcon.asgi.App()
        app.add_sink(self.serve, "/-/")
        self.server = HttpServer(app, address, drain_s=0.1)

    async def __aenter__(self) -> StandInStore:
        self.server.bind()
        await self.server.__aenter__()
        return self

    async def __aexit__(self, *details: object) -> None:
        self.faults.silent = False
        await self.server.close()

    async def write(self, key: str, value: bytes | dict, lease: int = 0) -> None:
        """Write a key."""
        raw = json.dumps(value).encode() if isinstance(value, dict) else value
        self.revision += 1
        old = self.items.get(key)
        text = base64.b64encode(raw).decode()
        created = old.created if old else self.revision
        self.items[key] = StoredItem(text, self.revision, created, lease)
        self.events.append(self.encode_item(key))

    async def remove(self, key: str) -> None:
        """Delete a key."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.events.append({"key": key, "revision": self.revision, "deleted": True})

    def compact_history(self) -> None:
        """Drop the history; a watch from an older revision gets status 410."""
        self.events.clear()
        self.compacted_revision = self.revision

    def copy(self) -> StoreCopy:
        """Return a backup of the store."""
        state = (self.items, self.revision, self.events, self.compacted_revision)
        return StoreCopy(*copy.deepcopy(state), dict(self.leases))

    def restore(self, backup: StoreCopy) -> None:
        """Continue from a backup; its revisions and lease ids are given out again."""
        self.items, self.revision = backup.items, backup.revision
        self.events, self.compacted_revision = backup.events, backup.compacted_revision
        now = steady_now()
        self.leases = {id: (now + ttl, ttl) for id, (_, ttl) in backup.leases.items()}
        self.era += 1

    def encode_item(self, key: str) -> dict:
        """Return an item in the format of a reply."""
        item = self.items[key]
        return {
            "key": key,
            "value": item.value,
            "revision": item.revision,
            "created": item.created,
            "lease": item.lease,
        }

    async def expire_leases(self) -> None:
        """End all leases whose time to live has passed."""
        now = steady_now()
        for lease, (until, _) in list(self.leases.items()):
            if now >= until:
                await self.end_lease(lease)

    async def end_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item.lease == lease]:
            await self.remove(key)

    async def serve(self, request, response, **kwargs) -> None:
        """Handle one call with the active faults."""
        call = request.path.split("/")[2]
        self.faults.calls[call] = self.faults.calls.get(call, 0) + 1
        response.set_header(names.STORE_ERA, str(self.era))
        if self.faults.refuse_with:
            response.status = self.faults.refuse_with
            return
        await self.expire_leases()
        body = await request.stream.read()
        status, reply = await self.dispatch(call, request, json.loads(body or b"{}"))
        while self.faults.silent or (
            self.faults.lose_replies and request.method == "POST"
        ):
            await asyncio.sleep(0.05)
        response.status = status
        response.media = reply

    async def dispatch(self, call: str, request, body: dict) -> tuple[int, dict]:
        """Execute a call; return the status and body of its reply."""
        query = request.params
        match call:
            case "kv-range":
                return 200, self.range(query)
            case "kv-watch":
                return await self.watch(query)
            case "kv-txn":
                return await self.transact(body)
            case "kv-lease":
                lease = self.revision * 1000 + len(self.leases)
                ttl_s = body["ttlMs"] / 1000
                self.leases[lease] = (steady_now() + ttl_s, ttl_s)
                return 200, {"lease": lease, "ttlMs": body["ttlMs"]}
            case "kv-keep":
                lease = int(request.path.rpartition("/")[2])
                if lease not in self.leases:
                    return 404, {}
                ttl_s = self.leases[lease][1]
                self.leases[lease] = (steady_now() + ttl_s, ttl_s)
                return 200, {"ttlMs": ttl_s * 1000}
            case "kv-lease-end":
                await self.end_lease(int(request.path.rpartition("/")[2]))
                return 200, {}
        return 404, {}

    def range(self, query: dict) -> dict:
        """Return one page of items below a prefix."""
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        )
        return {
            "items": [self.encode_item(key) for key in keys[:PAGE_SIZE]],
            "morePages": len(keys) > PAGE_SIZE,
            "storeRevision": self.revision,
        }

    async def watch(self, query: dict) -> tuple[int, dict]:
        """Wait for events after a revision; status 410 if they were compacted."""
        after = int(query["after"])
        until = steady_now() + int(query["waitMs"]) / 1000
        while True:
            if after < self.compacted_revision or after > self.revision:
                return 410, {}
            events = [
                event
                for event in self.events
                if event["revision"] > after
                and event["key"].startswith(query["prefix"])
            ]
            remaining_s = until - steady_now()
            if events or remaining_s <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            await asyncio.sleep(POLL_INTERVAL_S)

    async def transact(self, body: dict) -> tuple[int, dict]:
        """Apply writes and deletions if all expected revisions match."""
        for condition in body["expectedRev"]:
            item = self.items.get(condition["key"])
            if (item.revision if item else 0) != condition["revision"]:
                return 412, {"items": []}
        for write in body["writes"]:
            lease = write.get("lease", 0)
            if lease and lease not in self.leases:
                return 404, {}
            await self.write(write["key"], base64.b64decode(write["value"]), lease)
        for key in body["remove"]:
            await self.remove(key)
        return 200, {"revision": self.revision}
