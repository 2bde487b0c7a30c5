"""Watcher of the store: one waiting call for all prefixes that are followed."""

from __future__ import annotations

import asyncio
import math
import os
from collections.abc import Callable
from dataclasses import dataclass

from fireflyrack.core import Failed
from fireflyrack.telemetry import EventLog

from .follower import PrefixCache
from .health import StoreHealth
from .log_events import HistoryLost, StoreCallFailed
from .store import MetadataStore, StoreError, StoreProblem

# A watch is renewed after this time. Each renewal of each instance is a call that
# counts for the rate of the whole fleet; the connection's own keep-alive shows
# earlier whether the store is still there.
WATCH_WAIT_S = 15.0
# Changes are gathered this long, because each reply of a watch costs a call; longer
# while replies follow one another, up to a part of the operator's bound for a change.
# The rest of the bound is for the store and its outages.
MIN_GATHER_S = 0.1
GATHER_PART = 1 / 3
# Registers of instances and backend servers that are gone are of no use for longer.
MAX_GATHER_S = 2.0
GATHER_GROWTH = 1.5
# Without a change for this time after gathering the next one is read soon again.
CALM_S = 0.5
# Pause after a failed call, doubled with each further one: refused calls count for the
# rate of the fleet as well.
MIN_RETRY_PAUSE_S = 0.15
MAX_RETRY_PAUSE_S = 0.8
# Steps in which entries whose wait has ended are looked for.
TICK_S = 0.1


@dataclass(slots=True)
class WatchPace:
    """Hold how long to wait between the calls of a watcher."""

    # Within which a change has to take effect, in seconds.
    change_bound_s: float
    gather_s: float = MIN_GATHER_S
    replied_at: float = -math.inf
    retry_s: float = MIN_RETRY_PAUSE_S

    def after_reply_s(self, at: float) -> float:
        """Return the pause after a reply."""
        self.retry_s = MIN_RETRY_PAUSE_S
        calm = at - self.replied_at > self.gather_s + CALM_S
        longest_s = min(MAX_GATHER_S, GATHER_PART * self.change_bound_s)
        grown_s = min(longest_s, GATHER_GROWTH * self.gather_s)
        self.gather_s = MIN_GATHER_S if calm else grown_s
        self.replied_at = at
        return self.gather_s

    def after_failure_s(self) -> float:
        """Return the pause after a failed call."""
        pause_s = self.retry_s
        self.retry_s = min(MAX_RETRY_PAUSE_S, 2 * pause_s)
        return pause_s


class StoreWatcher:
    """List what some followers follow and feed them the changes.

    Run `run_watch_loop` as a task and `run_expiry_loop` as another.
    """

    def __init__(
        self,
        followers: tuple[PrefixCache, ...],
        store: MetadataStore,
        log: EventLog,
        health: StoreHealth,
        change_bound_s: float,
        now: Callable[[], float],
    ) -> None:
        self.followers = followers
        self.store = store
        self.log = log
        self.health = health
        self.now = now
        # Each call counts for the rate of the whole fleet, so one serves all prefixes.
        self.prefix = os.path.commonprefix([f.prefix for f in followers])
        # Revision to watch from, None while a listing is needed.
        self.revision: int | None = None
        self.pace = WatchPace(change_bound_s)
        self.watch: asyncio.Task[bool] | None = None
        health.listeners.append(self.note_store)

    def note_store(self, answers: bool) -> None:
        """Watch anew after an outage: the reply to an older call may be lost."""
        if answers and self.watch is not None:
            self.watch.cancel()

    async def run_watch_loop(self) -> None:
        """List once and then follow the changes, for ever."""
        while True:
            advanced = await self.list_once() and await self.watch_once()
            if advanced:
                await asyncio.sleep(self.pace.after_reply_s(self.now()))
            else:
                await asyncio.sleep(self.pace.after_failure_s())

    async def run_expiry_loop(self) -> None:
        """End the wait for missing entries, for ever."""
        while True:
            await asyncio.sleep(TICK_S)
            for follower in self.followers:
                follower.pass_time()

    async def list_once(self) -> bool:
        """List all entries unless changes can be watched; return whether they can."""
        if self.revision is not None:
            return True
        outcome = await self.store.list(self.prefix)
        if isinstance(outcome, Failed):
            self.note_failure("list", outcome.error)
            # An instance that starts in an outage is better off with old entries
            # than with none.
            if any(follower.first_listed_at is None for follower in self.followers):
                await self.list_stale()
            return False
        self.health.succeeded()
        self.revision = outcome.value.revision
        for follower in self.followers:
            follower.take_current(outcome.value.items, self.revision)
        return True

    async def list_stale(self) -> None:
        """Read entries that may be old while the store refuses current ones."""
        outcome = await self.store.list(self.prefix, stale=True)
        if isinstance(outcome, Failed):
            self.note_failure("stale list", outcome.error)
            return
        for follower in self.followers:
            if follower.first_listed_at is None:
                follower.take_listing(outcome.value.items)

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
        outcome = await self.store.watch(self.prefix, self.revision, WATCH_WAIT_S)
        if isinstance(outcome, Failed):
            return self.take_failure(outcome.error)
        # Not cancelled by what this reply tells.
        self.watch = None
        self.health.succeeded()
        self.revision = outcome.value.revision
        for follower in self.followers:
            follower.take_changes(outcome.value.changes, self.revision)
        return True

    def take_failure(self, error: StoreError) -> bool:
        """Follow a watch without result; return whether the store answered."""
        if error.problem is StoreProblem.HISTORY_LOST:
            self.watch = None
            self.health.succeeded()
            self.log.record(HistoryLost(self.prefix, self.revision))
            self.revision = None
            return True
        self.note_failure("watch", error)
        return False

    def note_failure(self, call: str, error: StoreError) -> None:
        """Record a call without result."""
        self.log.record(StoreCallFailed(call, error.problem.value, error.detail))
        self.health.failed(f"{call}: {error.problem.value}")
