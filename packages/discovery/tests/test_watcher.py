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
    PrefixFollower,
    StoreError,
    StoreHealth,
    StoreProblem,
    StoreWatcher,
)
from fireflyrack.discovery.watcher import (
    MAX_GATHER_S,
    MAX_RETRY_PAUSE_S,
    MIN_GATHER_S,
    MIN_RETRY_PAUSE_S,
    WatchPace,
)


class Log:
    def record(self, event) -> None:
        pass


class Store:
    """Answer calls from a script; a watch without a script waits."""

    def __init__(self) -> None:
        self.listings = {
            "a/": Listing((Item("a/1", b"1", 5),), 5),
            "b/": Listing((), 9),
        }
        self.watches = []
        self.asked = []

    async def list(self, prefix, stale=False):
        listing = self.listings.get(prefix)
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
        PrefixFollower(prefix, store, lambda item: item.value, log, health, steady_now)
        for prefix in ("a/", "b/")
    )
    watcher = StoreWatcher(followers, store, log, health, steady_now)
    task = asyncio.create_task(watcher.follow())
    yield store, followers, health
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


async def eventually(check) -> None:
    async with asyncio.timeout(5):
        while not check():
            await asyncio.sleep(0.01)


async def test_one_watch_feeds_all_followers(world):
    """Guards against a change that reaches the wrong prefix or none."""
    store, (a, b), _ = world
    changes = (Item("a/2", b"2", 10), Item("b/1", b"3", 11), Deletion("a/1", 12))
    store.watches.append(Ok(Changes(changes, 12)))
    await eventually(lambda: b.revision == 12)
    assert a.table.entries == {"a/2": b"2"}
    assert b.table.entries == {"b/1": b"3"}
    await eventually(lambda: len(store.asked) == 2)
    assert [after for _, after in store.asked] == [5, 12]


async def test_changes_before_a_listing_do_not_undo_it(world):
    """Guards against an old value where one prefix was listed after another."""
    store, (_, b), _ = world
    store.watches.append(Ok(Changes((Item("b/1", b"old", 7),), 12)))
    await eventually(lambda: b.revision == 12)
    assert b.table.entries == {}


async def test_lost_history_lists_all_prefixes_again(world):
    store, (a, b), _ = world
    store.watches.append(Failed(StoreError(StoreProblem.HISTORY_LOST)))
    store.listings["a/"] = Listing((Item("a/9", b"9", 20),), 20)
    store.listings["b/"] = Listing((), 21)
    await eventually(lambda: a.revision == 20 and b.revision == 21)
    assert a.table.entries == {"a/9": b"9"}


async def test_a_prefix_that_cannot_be_listed_is_tried_again(world):
    store, (a, b), _ = world
    await eventually(lambda: b.revision == 9)
    listing = store.listings.pop("b/")
    store.listings["a/"] = Listing((), 20)
    store.watches.append(Failed(StoreError(StoreProblem.HISTORY_LOST)))
    await eventually(lambda: a.revision == 20)
    assert b.revision is None
    store.listings["b/"] = listing
    await eventually(lambda: b.revision == 9)


async def test_an_outage_ends_a_watch_that_waits(world):
    """Guards against a watch whose reply was lost, which waits on after the outage."""
    store, _, health = world
    await eventually(lambda: len(store.asked) == 1)
    health.failed("renewal: no reply")
    health.succeeded()
    await eventually(lambda: len(store.asked) == 2)


def test_changes_are_gathered_longer_while_they_go_on():
    """Guards against a call for each of many changes, and against a slow first one."""
    pace = WatchPace()
    pauses = [pace.after_reply_s(at / 10) for at in range(20)]
    assert pauses[0] == MIN_GATHER_S and pauses[-1] == MAX_GATHER_S
    assert pace.after_reply_s(10.0) == MIN_GATHER_S


def test_calls_that_fail_are_repeated_ever_later_up_to_a_bound():
    """Guards against refused calls that use up the rate of the whole fleet."""
    pace = WatchPace()
    pauses = [pace.after_failure_s() for _ in range(6)]
    assert pauses[0] == MIN_RETRY_PAUSE_S and pauses[-1] == MAX_RETRY_PAUSE_S
    pace.after_reply_s(1.0)
    assert pace.after_failure_s() == MIN_RETRY_PAUSE_S
