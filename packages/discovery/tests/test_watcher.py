from __future__ import annotations

import asyncio
import contextlib

import pytest

from fireflyrack.core import Failed, Ok, steady_now
from fireflyrack.discovery import (
    Changes,
    Deletion,
    Item,
    Listing,
    PrefixCache,
    StoreError,
    StoreHealth,
    StoreProblem,
    StoreWatcher,
)
from fireflyrack.discovery.watcher import (
    CALM_S,
    MAX_GATHER_S,
    MAX_RETRY_PAUSE_S,
    MIN_GATHER_S,
    MIN_RETRY_PAUSE_S,
    WatchPace,
)

BOUND_S = 3.0


class Log:
    def record(self, event) -> None:
        pass


class Store:
    """Answer calls from a script; a watch without a script waits."""

    def __init__(self) -> None:
        # None while the store refuses to list.
        self.listing = Listing((Item("a/1", b"1", 5), Item("c/1", b"1", 5)), 9)
        self.stale = Listing((Item("a/1", b"0", 2),), 3)
        self.listed = []
        self.watches = []
        self.asked = []

    async def list(self, prefix, stale=False):
        self.listed.append((prefix, stale))
        listing = self.stale if stale else self.listing
        if listing is None:
            return Failed(StoreError(StoreProblem.UNAVAILABLE))
        return Ok(listing)

    async def watch(self, prefix, after, wait_s):
        self.asked.append((prefix, after))
        while not self.watches:
            await asyncio.sleep(0.005)
        return self.watches.pop(0)


@pytest.fixture
async def world():
    log, store = Log(), Store()
    health = StoreHealth(log, steady_now)
    followers = tuple(
        PrefixCache(prefix, lambda item: item.value, log, health, steady_now)
        for prefix in ("a/", "b/")
    )
    watcher = StoreWatcher(followers, store, log, health, BOUND_S, steady_now)
    task = asyncio.create_task(watcher.run_watch_loop())
    yield store, followers, health
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


async def eventually(check) -> None:
    async with asyncio.timeout(5):
        while not check():
            await asyncio.sleep(0.01)


async def test_one_listing_and_one_watch_feed_all_followers(world):
    """Guards against an entry that reaches the wrong prefix, and a call for each."""
    store, (a, b), _ = world
    await eventually(lambda: b.revision == 9)
    assert (a.table.entries, b.table.entries) == ({"a/1": b"1"}, {})
    changes = (Item("a/2", b"2", 10), Item("b/1", b"3", 11), Deletion("a/1", 12))
    store.watches.append(Ok(Changes(changes, 12)))
    await eventually(lambda: b.revision == 12)
    assert a.table.entries == {"a/2": b"2"}
    assert b.table.entries == {"b/1": b"3"}
    await eventually(lambda: len(store.asked) == 2)
    assert [after for _, after in store.asked] == [9, 12]
    assert store.listed == [("", False)]


async def test_stale_entries_serve_until_the_first_listing_only(world):
    """Guards against an empty start, and against old entries that undo newer ones."""
    store, (a, b), health = world
    await eventually(lambda: b.revision == 9)
    store.listing = None
    store.watches.append(Failed(StoreError(StoreProblem.HISTORY_LOST)))
    await eventually(lambda: len(store.listed) > 2)
    assert a.table.entries == {"a/1": b"1"}
    assert ("", True) not in store.listed
    empty = tuple(
        PrefixCache(prefix, lambda item: item.value, Log(), health, steady_now)
        for prefix in ("a/", "b/")
    )
    watcher = StoreWatcher(empty, store, Log(), health, BOUND_S, steady_now)
    assert not await watcher.list_once()
    assert empty[0].table.entries == {"a/1": b"0"}
    assert empty[0].revision is None, "stale entries are no base for changes"


async def test_lost_history_lists_all_prefixes_again(world):
    store, (a, b), _ = world
    store.watches.append(Failed(StoreError(StoreProblem.HISTORY_LOST)))
    store.listing = Listing((Item("a/9", b"9", 20), Item("b/1", b"1", 21)), 21)
    await eventually(lambda: a.revision == 21 and b.revision == 21)
    assert (a.table.entries, b.table.entries) == ({"a/9": b"9"}, {"b/1": b"1"})


async def test_entries_that_cannot_be_listed_are_listed_later(world):
    """Guards against an instance that stops following after a refused listing."""
    store, (a, b), _ = world
    await eventually(lambda: b.revision == 9)
    store.listing = None
    store.watches.append(Failed(StoreError(StoreProblem.HISTORY_LOST)))
    await eventually(lambda: len(store.listed) > 2)
    assert a.table.entries == {"a/1": b"1"}, "what was known stays in use"
    store.listing = Listing((), 20)
    await eventually(lambda: a.revision == b.revision == 20)
    assert a.table.entries == {}


async def test_an_outage_ends_a_watch_that_waits(world):
    """Guards against a watch whose reply was lost, which waits on after the outage."""
    store, _, health = world
    await eventually(lambda: len(store.asked) == 1)
    health.failed("renewal: no reply")
    health.succeeded()
    await eventually(lambda: len(store.asked) == 2)


@pytest.mark.parametrize("bound_s", [0.9, BOUND_S, 60.0])
def test_changes_are_gathered_longer_while_they_go_on(bound_s):
    """Guards against a call for each of many changes, and against a slow first one.

    The time left of the bound has to do for the store and for a lost reply.
    """
    pace = WatchPace(bound_s)
    at, pauses = 0.0, []
    for _ in range(20):
        pauses.append(pace.after_reply_s(at))
        at += pauses[-1] + CALM_S / 2
    assert pauses[0] == MIN_GATHER_S and pauses == sorted(pauses)
    assert pauses[-1] == pytest.approx(min(MAX_GATHER_S, bound_s / 3))
    assert pace.after_reply_s(at + 10.0) == MIN_GATHER_S


def test_calls_that_fail_are_repeated_ever_later_up_to_a_bound():
    """Guards against refused calls that use up the rate of the whole fleet."""
    pace = WatchPace(BOUND_S)
    pauses = [pace.after_failure_s() for _ in range(6)]
    assert pauses[0] == MIN_RETRY_PAUSE_S and pauses[-1] == MAX_RETRY_PAUSE_S
    pace.after_reply_s(1.0)
    assert pace.after_failure_s() == MIN_RETRY_PAUSE_S
