"""Watcher of the store: one long poll for all cached prefixes."""

from __future__ import annotations

import asyncio
import math
import os
from collections.abc import Callable
from dataclasses import dataclass

from fireflyrack.core import Failed
from fireflyrack.telemetry import EventLog

from .health import StoreHealth
from .log_events import HistoryLost, StoreCallFailed, StoreRestored
from .prefix_cache import PrefixCache
from .store import MetadataStore, StoreError, StoreProblem

# Duration of a long poll without changes. Each poll of each instance counts toward
# the fleet-wide rate limit; TCP keep-alive detects a lost store earlier.
WATCH_WAIT_S = 15.0
# Delay after a reply, in which further changes accumulate, since each reply costs a
# call. It grows while replies follow one another, up to a fraction of the operator's
# bound for a change; the rest of the bound is left for the store and its outages.
MIN_BATCH_DELAY_S = 0.1
# Watch calls that all instances together make while changes go on. Each change costs
# one call of each instance, so the delay starts higher in a larger fleet.
FLEET_WATCH_CALLS_PER_S = 50.0
BATCH_DELAY_FRACTION = 1 / 3
# Removed instances and backend servers must not stay in use for longer than this.
MAX_BATCH_DELAY_S = 2.0
BATCH_DELAY_GROWTH = 1.5
# The delay returns to its minimum if no reply arrives for this time after it.
QUIET_PERIOD_S = 0.5
# Delay after a failed call, doubled with each further failure: refused calls count
# toward the fleet-wide rate limit as well.
MIN_RETRY_DELAY_S = 0.15
MAX_RETRY_DELAY_S = 0.8
# Interval between checks for retained entries whose retention has ended.
EXPIRY_CHECK_INTERVAL_S = 0.1


@dataclass(slots=True)
class WatchDelays:
    """Adaptive delays between the calls of a watcher."""

    # Time within which a change has to take effect.
    propagation_bound_s: float
    batch_delay_s: float = MIN_BATCH_DELAY_S
    replied_at: float = -math.inf
    retry_delay_s: float = MIN_RETRY_DELAY_S

    def delay_after_reply_s(self, at: float, instances: int) -> float:
        """Return the delay after a reply received at a monotonic time.

        `instances` is the number of instances that watch the same changes.
        """
        self.retry_delay_s = MIN_RETRY_DELAY_S
        quiet = at - self.replied_at > self.batch_delay_s + QUIET_PERIOD_S
        max_delay_s = min(
            MAX_BATCH_DELAY_S, BATCH_DELAY_FRACTION * self.propagation_bound_s
        )
        min_delay_s = max(MIN_BATCH_DELAY_S, instances / FLEET_WATCH_CALLS_PER_S)
        grown_s = 0.0 if quiet else BATCH_DELAY_GROWTH * self.batch_delay_s
        self.batch_delay_s = min(max_delay_s, max(min_delay_s, grown_s))
        self.replied_at = at
        return self.batch_delay_s

    def delay_after_failure_s(self) -> float:
        """Return the delay after a failed call and double the next one."""
        delay_s = self.retry_delay_s
        self.retry_delay_s = min(MAX_RETRY_DELAY_S, 2 * delay_s)
        return delay_s


class StoreWatcher:
    """List and watch the store, and apply the results to a set of caches.

    Run `run_watch_loop` and `run_expiry_loop` as separate tasks. `instances` returns
    how many instances watch the store, this one included.
    """

    def __init__(
        self,
        caches: tuple[PrefixCache, ...],
        store: MetadataStore,
        log: EventLog,
        health: StoreHealth,
        propagation_bound_s: float,
        instances: Callable[[], int],
        now: Callable[[], float],
    ) -> None:
        self.caches = caches
        self.store = store
        self.log = log
        self.health = health
        self.instances = instances
        self.now = now
        # One call covers all prefixes: each counts toward the fleet-wide rate limit.
        self.prefix = os.path.commonprefix([c.prefix for c in caches])
        # Store revision to watch from, None if a listing is needed first.
        self.revision: int | None = None
        # Era of the store that this revision belongs to, None if it states none.
        self.era: int | None = None
        self.delays = WatchDelays(propagation_bound_s)
        self.watch: asyncio.Task[bool] | None = None
        health.listeners.append(self.on_store_health)
        store.era.listeners.append(self.on_store_restored)

    def on_store_restored(self) -> None:
        """List anew: a restored store gives revisions out again.

        Once it has written past the watched revision, a watch from there succeeds and
        misses the changes before.
        """
        after_revision, self.revision = self.revision or 0, None
        self.log.record(StoreRestored(self.store.era.current, after_revision))
        for cache in self.caches:
            cache.on_store_restored()
        if self.watch is not None and self.watch is not asyncio.current_task():
            self.watch.cancel()

    def on_store_health(self, available: bool) -> None:
        """Restart the watch after an outage: its pending reply may be lost."""
        if available and self.watch is not None:
            self.watch.cancel()

    async def run_watch_loop(self) -> None:
        """List once and then watch for changes; never returns."""
        while True:
            advanced = await self.ensure_listed() and await self.watch_once()
            if advanced:
                delay_s = self.delays.delay_after_reply_s(self.now(), self.instances())
                await asyncio.sleep(delay_s)
            else:
                await asyncio.sleep(self.delays.delay_after_failure_s())

    async def run_expiry_loop(self) -> None:
        """Remove expired entries periodically; never returns."""
        while True:
            await asyncio.sleep(EXPIRY_CHECK_INTERVAL_S)
            for cache in self.caches:
                cache.expire_missing()

    async def ensure_listed(self) -> bool:
        """List all entries if needed; return whether a watch can start."""
        if self.revision is not None:
            return True
        outcome = await self.store.list(self.prefix)
        if isinstance(outcome, Failed):
            if outcome.error.problem is StoreProblem.HISTORY_LOST:
                return False
            self.record_failure("list", outcome.error)
            # An instance that starts during an outage serves from stale entries rather
            # than from none.
            if any(cache.first_listed_at is None for cache in self.caches):
                await self.list_stale()
            return False
        self.health.succeeded()
        self.era = outcome.value.era
        if self.era is not None and self.era != self.store.era.current:
            # The store was restored while this reply was on its way.
            return False
        self.revision = outcome.value.revision
        for cache in self.caches:
            cache.apply_current_listing(outcome.value.items, self.revision)
        return True

    async def list_stale(self) -> None:
        """Load a stale listing into the caches that have none."""
        outcome = await self.store.list(self.prefix, stale=True)
        if isinstance(outcome, Failed):
            self.record_failure("stale list", outcome.error)
            return
        for cache in self.caches:
            if cache.first_listed_at is None:
                cache.apply_listing(outcome.value.items)

    async def watch_once(self) -> bool:
        """Run one watch; return whether the store answered."""
        watch = self.watch = asyncio.create_task(self.wait_for_changes())
        try:
            return await watch
        except asyncio.CancelledError:
            if watch.cancelled() and not asyncio.current_task().cancelling():
                return False
            watch.cancel()
            raise
        finally:
            self.watch = None

    async def wait_for_changes(self) -> bool:
        """Make one watch call and apply its changes."""
        outcome = await self.store.watch(self.prefix, self.revision, WATCH_WAIT_S)
        if isinstance(outcome, Failed):
            return self.handle_watch_failure(outcome.error)
        # Keeps on_store_health from cancelling this task while it handles the reply.
        self.watch = None
        self.health.succeeded()
        if outcome.value.era not in (None, self.era):
            # The revision to watch from belongs to another history of the store.
            self.revision = None
            return False
        self.revision = outcome.value.revision
        for cache in self.caches:
            cache.apply_changes(outcome.value.changes, self.revision)
        return True

    def handle_watch_failure(self, error: StoreError) -> bool:
        """Handle a failed watch; return whether the store answered."""
        if error.problem is StoreProblem.HISTORY_LOST:
            self.watch = None
            self.health.succeeded()
            self.log.record(HistoryLost(self.prefix, self.revision))
            self.revision = None
            return True
        self.record_failure("watch", error)
        return False

    def record_failure(self, call: str, error: StoreError) -> None:
        """Record a failed call."""
        self.log.record(StoreCallFailed(call, error.problem.value, error.detail))
        self.health.failed(f"{call}: {error.problem.value}")
