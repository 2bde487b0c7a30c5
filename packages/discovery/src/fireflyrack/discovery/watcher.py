"""Watcher of the store: one waiting call for all prefixes that are followed."""

from __future__ import annotations

import asyncio
import math
import os
from collections.abc import Callable
from dataclasses import dataclass

from fireflyrack.core import Failed
from fireflyrack.telemetry import EventLog

from .follower import PrefixFollower
from .health import StoreHealth
from .log_events import HistoryLost, StoreCallFailed
from .store import MetadataStore, StoreError, StoreProblem

# A watch is renewed after this time. Each renewal of each instance is a call that
# counts for the rate of the whole fleet; the connection's own keep-alive shows
# earlier whether the store is still there.
WATCH_WAIT_S = 15.0
# Changes are gathered this long, because each reply of a watch costs a call; longer
# while replies follow one another.
MIN_GATHER_S = 0.1
MAX_GATHER_S = 0.5
GATHER_GROWTH = 1.5
# Without a change for this time the next one is read soon again.
CALM_S = 1.5
# Pause after a failed call, doubled with each further one: refused calls count for the
# rate of the fleet as well.
MIN_RETRY_PAUSE_S = 0.15
MAX_RETRY_PAUSE_S = 0.8
# Steps in which entries whose wait has ended are looked for.
TICK_S = 0.1


@dataclass(slots=True)
class WatchPace:
    """Hold how long to wait between the calls of a watcher."""

    gather_s: float = MIN_GATHER_S
    replied_at: float = -math.inf
    retry_s: float = MIN_RETRY_PAUSE_S

    def after_reply_s(self, at: float) -> float:
        """Return the pause after a reply."""
        self.retry_s = MIN_RETRY_PAUSE_S
        calm = at - self.replied_at > CALM_S
        grown_s = min(MAX_GATHER_S, GATHER_GROWTH * self.gather_s)
        self.gather_s = MIN_GATHER_S if calm else grown_s
        self.replied_at = at
        return self.gather_s

    def after_failure_s(self) -> float:
        """Return the pause after a failed call."""
        pause_s = self.retry_s
        self.retry_s = min(MAX_RETRY_PAUSE_S, 2 * pause_s)
        return pause_s


class StoreWatcher:
    """List the prefixes of some followers and feed them the changes.

    Run `follow` as a task and `tick` as another.
    """

    def __init__(
        self,
        followers: tuple[PrefixFollower, ...],
        store: MetadataStore,
        log: EventLog,
        health: StoreHealth,
        now: Callable[[], float],
    ) -> None:
        self.followers = followers
        self.store = store
        self.log = log
        self.health = health
        self.now = now
        self.prefix = os.path.commonprefix([f.prefix for f in followers])
        self.pace = WatchPace()
        self.watch: asyncio.Task[bool] | None = None
        health.listeners.append(self.note_store)

    def note_store(self, answers: bool) -> None:
        """Watch anew after an outage: the reply to an older call may be lost."""
        if answers and self.watch is not None:
            self.watch.cancel()

    async def follow(self) -> None:
        """List once and then follow the changes, for ever."""
        while True:
            advanced = await self.list_missing() and await self.watch_once()
            if advanced:
                await asyncio.sleep(self.pace.after_reply_s(self.now()))
            else:
                await asyncio.sleep(self.pace.after_failure_s())

    async def tick(self) -> None:
        """End the wait for missing entries, for ever."""
        while True:
            await asyncio.sleep(TICK_S)
            for follower in self.followers:
                follower.pass_time()

    async def list_missing(self) -> bool:
        """List what has no revision to watch from; return whether that worked."""
        missing = [f for f in self.followers if f.revision is None]
        listed = await asyncio.gather(*(f.list_all() for f in missing))
        return all(listed)

    async def watch_once(self) -> bool:
        """Wait for changes once; return whether the store answered."""
        self.watch = asyncio.create_task(self.wait_for_changes())
        try:
            return await self.watch
        except asyncio.CancelledError:
            if self.watch.cancelled() and not asyncio.current_task().cancelling():
                return False
            self.watch.cancel()
            raise
        finally:
            self.watch = None

    async def wait_for_changes(self) -> bool:
        """Make one call and feed what it gives."""
        after = min(follower.revision for follower in self.followers)
        outcome = await self.store.watch(self.prefix, after, WATCH_WAIT_S)
        if isinstance(outcome, Failed):
            return self.take_failure(outcome.error, after)
        # Not cancelled by what this reply tells.
        self.watch = None
        self.health.succeeded()
        for follower in self.followers:
            follower.take_changes(outcome.value.changes, outcome.value.revision)
        return True

    def take_failure(self, error: StoreError, after: int) -> bool:
        """Follow a watch without result; return whether the store answered."""
        if error.problem is StoreProblem.HISTORY_LOST:
            self.watch = None
            self.health.succeeded()
            self.log.record(HistoryLost(self.prefix, after))
            for follower in self.followers:
                follower.revision = None
            return True
        self.log.record(StoreCallFailed("watch", error.problem.value, error.detail))
        self.health.failed(f"watch: {error.problem.value}")
        return False
