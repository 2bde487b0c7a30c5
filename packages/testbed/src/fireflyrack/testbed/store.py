"""Stand-in for the platform's key-value store."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from dataclasses import dataclass, field

import falcon
import falcon.asgi

from fireflyrack.configuration import REVISION_HEADER

from .http import run_stand_in
from .settings import StoreStandInSettings

# A lost reply is sent after this delay, which is longer than the clients' timeout and
# shorter than the time allowed for stopping the process.
LOST_REPLY_DELAY_S = 5.0


@dataclass(slots=True)
class StoreState:
    """Stored values with their revisions, call counters and the faults to inject."""

    settings: StoreStandInSettings
    values: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    revision: int = 0
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)
    calls: Counter[str] = field(default_factory=Counter)
    down: bool = False
    delay_s: float = 0.0
    # Number of further writes that are applied but whose replies are lost.
    lose_replies: int = 0
    # Replies are lost only for keys that contain this text; empty for all keys.
    lose_key: str = ""
    # Values and revision that a restore brings back, as after a disk loss.
    backup: tuple[dict[str, tuple[bytes, int]], int] = ({}, 0)


class KeyResource:
    """Reads, watches and conditional writes of one key."""

    def __init__(self, state: StoreState) -> None:
        self.state = state

    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response, key):
        """Return the value at once, or when its revision exceeds `after`."""
        state = self.state
        after = req.get_param_as_int("after")
        state.calls["read" if after is None else "watch"] += 1
        await self.apply_faults()
        if after is not None:
            wait_s = req.get_param_as_float("wait_s", default=20.0)
            await self.wait_for_revision(key, after, wait_s)
        value, revision = state.values.get(key, (b"", 0))
        if state.down:
            raise falcon.HTTPServiceUnavailable
        resp.set_header(REVISION_HEADER, str(revision))
        if revision == 0:
            resp.status = 404
            return
        resp.data = value
        resp.content_type = "application/octet-stream"

    async def wait_for_revision(self, key: str, after: int, wait_s: float) -> None:
        """Wait until the revision of a key exceeds `after` or the time is over."""
        state = self.state

        def is_newer() -> bool:
            return state.down or state.values.get(key, (b"", 0))[1] > after

        try:
            async with asyncio.timeout(wait_s), state.changed:
                await state.changed.wait_for(is_newer)
        except TimeoutError:
            return

    async def on_put(self, req: falcon.asgi.Request, resp: falcon.asgi.Response, key):
        """Replace the value if its revision equals `expected`; else return 409."""
        state = self.state
        state.calls["write"] += 1
        await self.apply_faults()
        expected = req.get_param_as_int("expected", required=True)
        body = await req.stream.read(state.settings.max_value_bytes + 1)
        if len(body) > state.settings.max_value_bytes:
            raise falcon.HTTPContentTooLarge
        if state.values.get(key, (b"", 0))[1] != expected:
            resp.status = 409
            return
        state.revision += 1
        state.values[key] = (body, state.revision)
        resp.set_header(REVISION_HEADER, str(state.revision))
        async with state.changed:
            state.changed.notify_all()
        if state.lose_replies > 0 and state.lose_key in key:
            state.lose_replies -= 1
            await asyncio.sleep(LOST_REPLY_DELAY_S)

    async def apply_faults(self) -> None:
        """Apply the injected delay; raise 503 while the store is down."""
        await asyncio.sleep(self.state.settings.delay_s + self.state.delay_s)
        if self.state.down:
            raise falcon.HTTPServiceUnavailable


class ControlResource:
    """Fault injection and call counters."""

    def __init__(self, state: StoreState) -> None:
        self.state = state

    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response):
        """Return the number of calls by kind and the stored keys."""
        resp.media = {
            "calls": dict(self.state.calls),
            "keys": sorted(self.state.values),
        }

    async def on_post(self, req: falcon.asgi.Request, resp: falcon.asgi.Response):
        """Set the faults in the body; the others stay unchanged."""
        faults = await req.get_media()
        state = self.state
        state.down = bool(faults.get("down", state.down))
        state.delay_s = float(faults.get("delay_s", state.delay_s))
        state.lose_replies = int(faults.get("lose_replies", state.lose_replies))
        state.lose_key = str(faults.get("lose_key", state.lose_key))
        if faults.get("copy"):
            state.backup = (dict(state.values), state.revision)
        if faults.get("restore"):
            state.values, state.revision = dict(state.backup[0]), state.backup[1]
        async with state.changed:
            state.changed.notify_all()
        resp.media = {}


def create_app(settings: StoreStandInSettings) -> falcon.asgi.App:
    """Return the ASGI application of the store."""
    state = StoreState(settings)
    app = falcon.asgi.App()
    app.add_route("/v1/kv/{key:path}", KeyResource(state))
    app.add_route("/control", ControlResource(state))
    return app


if __name__ == "__main__":
    sys.exit(run_stand_in(StoreStandInSettings, create_app))
