from __future__ import annotations

import asyncio
import contextlib
import math

import pytest

from fireflyrack.core import Failed, Ok, steady_now
from fireflyrack.discovery import (
    Changes,
    Deletion,
    Item,
    Listing,
    PrefixCache,
    StoreEra,
    StoreError,
    StoreHealth,
    StoreProblem,
    StoreWatcher,
)
from fireflyrack.discovery.watcher import (
    FLEET_WATCH_CALLS_PER_S,
    MAX_BATCH_DELAY_S,
    MAX_RETRY_DELAY_S,
    MIN_BATCH_DELAY_S,
    MIN_RETRY_DELAY_S,
    QUIET_PERIOD_S,
    WatchDelays,
)

PROPAGATION_BOUND_S = 3.0


class NullLog:
    def record(self, event) -> None:
        pass


class ScriptedStore:
    """Return scripted outcomes; a watch without one blocks."""

    def __init__(self) -> None:
        self.era = StoreEra()
        # None makes list calls fail.
        self.listing = Listing((Item("a/1", b"1", 5), Item("c/1", b"1", 5)), 9)
        self.stale = Listing((Item("a/1", b"0", 2),), 3)
        self.list_calls = []
        self.watch_outcomes = []
        self.on_next_watch = None
        self.watch_calls = []

    async def list(self, prefix, stale=False):
        self.list_calls.append((prefix, stale))
        listing = self.stale if stale else self.listing
        if listing is None:
            return Failed(StoreError(StoreProblem.UNAVAILABLE))
        return Ok(listing)

    async def watch(self, prefix, after, wait_s):
        self.watch_calls.append((prefix, after))
        while not self.watch_outcomes:
            await asyncio.sleep(0.005)
        if self.on_next_watch is not None:
            self.on_next_watch()
            self.on_next_watch = None
        return self.watch_outcomes.pop(0)


@pytest.fixture
async def watched_store():
    log, store = NullLog(), ScriptedStore()
    health = StoreHealth(log, steady_now)
    caches = tuple(
        PrefixCache(prefix, lambda item: item.value, log, health, steady_now)
        for prefix in ("a/", "b/")
    )
    watcher = StoreWatcher(
        caches, store, log, health, PROPAGATION_BOUND_S, lambda: 1, steady_now
    )
    task = asyncio.create_task(watcher.run_watch_loop())
    yield store, caches, health
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


async def wait_until(check) -> None:
    async with asyncio.timeout(5):
        while not check():
            await asyncio.sleep(0.01)


async def test_one_listing_and_one_watch_update_all_caches(watched_store):
    """Guards against entries in the wrong cache, and against a call per prefix."""
    store, (a, b), _ = watched_store
    await wait_until(lambda: b.revision == 9)
    assert (a.table.entries, b.table.entries) == ({"a/1": b"1"}, {})
    changes = (Item("a/2", b"2", 10), Item("b/1", b"3", 11), Deletion("a/1", 12))
    store.watch_outcomes.append(Ok(Changes(changes, 12)))
    await wait_until(lambda: b.revision == 12)
    assert a.table.entries == {"a/2": b"2"}
    assert b.table.entries == {"b/1": b"3"}
    await wait_until(lambda: len(store.watch_calls) == 2)
    assert [after for _, after in store.watch_calls] == [9, 12]
    assert store.list_calls == [("", False)]


async def test_stop_in_the_moment_of_a_reply_cancels_the_watch_loop():
    """Guards against a process that cannot stop since its watch loop has failed.

    The loop is cancelled when the reply was handled and the watch has not returned.
    """
    log, store = NullLog(), ScriptedStore()
    health = StoreHealth(log, steady_now)
    cache = PrefixCache("a/", lambda item: item.value, log, health, steady_now)
    watcher = StoreWatcher(
        (cache,), store, log, health, PROPAGATION_BOUND_S, lambda: 1, steady_now
    )
    task = asyncio.create_task(watcher.run_watch_loop())
    loop = asyncio.get_running_loop()
    store.on_next_watch = lambda: loop.call_soon(task.cancel)
    store.watch_outcomes.append(Ok(Changes((), 12)))
    with pytest.raises(asyncio.CancelledError):
        async with asyncio.timeout(5):
            await task
    assert cache.revision == 12


async def test_stale_listing_is_used_only_before_first_current_listing(watched_store):
    """Guards against starting empty, and against stale entries replacing newer ones."""
    store, (a, b), health = watched_store
    await wait_until(lambda: b.revision == 9)
    store.listing = None
    store.watch_outcomes.append(Failed(StoreError(StoreProblem.HISTORY_LOST)))
    await wait_until(lambda: len(store.list_calls) > 2)
    assert a.table.entries == {"a/1": b"1"}
    assert ("", True) not in store.list_calls
    empty = tuple(
        PrefixCache(prefix, lambda item: item.value, NullLog(), health, steady_now)
        for prefix in ("a/", "b/")
    )
    watcher = StoreWatcher(
        empty, store, NullLog(), health, PROPAGATION_BOUND_S, lambda: 1, steady_now
    )
    assert not await watcher.ensure_listed()
    assert empty[0].table.entries == {"a/1": b"0"}
    assert empty[0].revision is None, "a watch must not start from a stale listing"


async def test_lost_history_triggers_new_listing_of_all_prefixes(watched_store):
    """Guards against caches that miss changes compacted by the store."""
    store, (a, b), _ = watched_store
    store.watch_outcomes.append(Failed(StoreError(StoreProblem.HISTORY_LOST)))
    store.listing = Listing((Item("a/9", b"9", 20), Item("b/1", b"1", 21)), 21)
    await wait_until(lambda: a.revision == 21 and b.revision == 21)
    assert (a.table.entries, b.table.entries) == ({"a/9": b"9"}, {"b/1": b"1"})


async def test_failed_listing_is_retried(watched_store):
    """Guards against a cache that stops updating after a failed listing."""
    store, (a, b), _ = watched_store
    await wait_until(lambda: b.revision == 9)
    store.listing = None
    store.watch_outcomes.append(Failed(StoreError(StoreProblem.HISTORY_LOST)))
    await wait_until(lambda: len(store.list_calls) > 2)
    assert a.table.entries == {"a/1": b"1"}, "cached entries must stay in use"
    store.listing = Listing((), 20)
    await wait_until(lambda: a.revision == b.revision == 20)
    assert a.table.entries == {}


async def test_pending_watch_is_cancelled_after_outage(watched_store):
    """Guards against waiting after an outage for a reply that was lost."""
    store, _, health = watched_store
    await wait_until(lambda: len(store.watch_calls) == 1)
    health.failed("renewal: no reply")
    health.succeeded()
    await wait_until(lambda: len(store.watch_calls) == 2)


async def test_a_restored_store_is_listed_before_it_is_watched_again(watched_store):
    """Guards against changes that took revisions which had already been seen.

    The restored store has written past the watched revision, so the watch succeeds.
    """
    store, (a, _), _ = watched_store
    store.era.observe(1)
    await wait_until(lambda: len(store.watch_calls) == 1)
    store.listing = Listing((Item("a/1", b"restored", 9),), 10, 2)
    store.era.observe(2)
    store.watch_outcomes.append(Ok(Changes((), 10, 2)))
    await wait_until(lambda: a.table.entries == {"a/1": b"restored"})
    await wait_until(lambda: store.watch_calls[-1] == ("", 10))


async def test_the_reply_that_shows_a_restoration_is_not_applied(watched_store):
    """Guards against a revision of the new history that replaces a listing."""
    store, (a, _), _ = watched_store
    store.listing = Listing((Item("a/1", b"1", 5),), 9, 1)
    store.era.observe(1)
    store.watch_outcomes.append(Failed(StoreError(StoreProblem.HISTORY_LOST)))
    await wait_until(lambda: len(store.list_calls) == 2)
    await wait_until(lambda: len(store.watch_calls) == 2)
    store.listing = Listing((Item("a/2", b"2", 7),), 12, 2)
    # The listener runs inside the call, as it does in the client of the store.
    store.on_next_watch = lambda: store.era.observe(2)
    store.watch_outcomes.append(Ok(Changes((Item("a/3", b"3", 13),), 13, 2)))
    await wait_until(lambda: "a/2" in a.table.entries)
    assert "a/3" not in a.table.entries
    await wait_until(lambda: store.watch_calls[-1] == ("", 12))


async def test_a_listing_from_before_a_restoration_is_not_applied(watched_store):
    """Guards against a late reply that brings the old history back."""
    store, (a, _), _ = watched_store
    await wait_until(lambda: len(store.watch_calls) == 1)
    store.listing = Listing((Item("a/1", b"late", 30),), 30, 1)
    store.era.observe(1)
    store.era.observe(2)
    await wait_until(lambda: len(store.list_calls) > 2)
    assert a.table.entries == {"a/1": b"1"}


@pytest.mark.parametrize("bound_s", [0.9, PROPAGATION_BOUND_S, 60.0])
def test_batch_delay_grows_during_continuous_changes(bound_s):
    """Guards against a call for each of many changes, and against a slow first one.

    The rest of the bound is left for the store and for a lost reply.
    """
    delays = WatchDelays(bound_s)
    at, observed_s = 0.0, []
    for _ in range(20):
        observed_s.append(delays.delay_after_reply_s(at, 1))
        at += observed_s[-1] + QUIET_PERIOD_S / 2
    assert observed_s[0] == MIN_BATCH_DELAY_S and observed_s == sorted(observed_s)
    assert observed_s[-1] == pytest.approx(min(MAX_BATCH_DELAY_S, bound_s / 3))
    assert delays.delay_after_reply_s(at + 10.0, 1) == MIN_BATCH_DELAY_S


@pytest.mark.parametrize("instances", [4, 31, 78, 300, 830])
def test_calls_for_a_herd_of_starts_grow_slower_than_the_fleet(instances):
    """Guards against a store that is flooded when all instances start at once.

    Each start is a change that all instances wait for; the starts are spread over five
    seconds. No delay may exceed what the operator's bound allows for.
    """
    delays = WatchDelays(PROPAGATION_BOUND_S)
    at, calls = 0.0, 0
    while at < 5.0:
        delay_s = delays.delay_after_reply_s(at, instances)
        assert delay_s <= min(MAX_BATCH_DELAY_S, PROPAGATION_BOUND_S / 3)
        at += delay_s
        calls += 1
    # A third of the bound between the calls of an instance cannot be exceeded.
    slowest = math.ceil(5.0 / min(MAX_BATCH_DELAY_S, PROPAGATION_BOUND_S / 3))
    most = max(slowest + 1, 5.0 * FLEET_WATCH_CALLS_PER_S / instances + 1)
    assert calls <= most


def test_retry_delay_grows_up_to_maximum():
    """Guards against failed calls that exhaust the fleet-wide rate limit."""
    delays = WatchDelays(PROPAGATION_BOUND_S)
    observed_s = [delays.delay_after_failure_s() for _ in range(6)]
    assert observed_s[0] == MIN_RETRY_DELAY_S and observed_s[-1] == MAX_RETRY_DELAY_S
    delays.delay_after_reply_s(1.0, 1)
    assert delays.delay_after_failure_s() == MIN_RETRY_DELAY_S
