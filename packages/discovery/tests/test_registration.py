from __future__ import annotations

from fireflyrack.core import Failed, Ok, steady_now
from fireflyrack.discovery import (
    Lease,
    Registration,
    RegistrationEntry,
    StoreEra,
    StoreError,
    StoreHealth,
    StoreProblem,
)


class NullLog:
    def record(self, event) -> None:
        pass


class LeasedStore:
    """Store that gives the same lease id to each owner, as a restored one may."""

    def __init__(self) -> None:
        self.era = StoreEra()
        self.era.observe(1)
        self.granted = 0
        self.written = []
        self.removed = []
        self.during_put = lambda: None

    async def grant_lease(self, ttl_s):
        self.granted += 1
        return Ok(Lease(7, ttl_s))

    async def put(self, key, value, lease):
        self.during_put()
        self.written.append((value, lease))
        return Ok(len(self.written))

    async def renew_lease(self, lease):
        return Ok(2.0)

    async def remove(self, key):
        self.removed.append(key)
        return Failed(StoreError(StoreProblem.UNKNOWN))


def make_registration(store, is_listed=lambda: True) -> Registration:
    entry = RegistrationEntry("e/1", lambda number: b"%d" % number)
    health = StoreHealth(NullLog(), steady_now)
    return Registration(entry, store, NullLog(), health, is_listed)


async def test_a_restored_store_is_registered_with_anew():
    """Guards against renewing a lease whose id now belongs to another owner."""
    store = LeasedStore()
    registration = make_registration(store)
    assert await registration.register()
    store.era.observe(2)
    assert registration.lease is None
    assert await registration.register()
    assert store.granted == 2
    assert store.written == [(b"1", 7), (b"2", 7)]


async def test_a_write_across_a_restoration_does_not_count():
    """Guards against an entry that hangs on a lease of another owner."""
    store = LeasedStore()
    registration = make_registration(store)
    store.during_put = lambda: store.era.observe(2)
    assert not await registration.register()
    assert registration.lease is None
    assert await registration.register()


async def test_an_entry_missing_under_a_valid_lease_is_written_again():
    """Guards against a lease in the backup whose entry was written later."""
    store = LeasedStore()
    listed = True
    registration = make_registration(store, lambda: listed)
    assert await registration.register()
    assert await registration.renew()
    listed = False
    assert not await registration.renew()
    assert await registration.register()


async def test_withdrawing_deletes_the_own_entry_only():
    """Guards against ending a lease that a restored store gave to another owner."""
    store = LeasedStore()
    registration = make_registration(store)
    await registration.register()
    await registration.withdraw()
    assert store.removed == ["e/1"]
