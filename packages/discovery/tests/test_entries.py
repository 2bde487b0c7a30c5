from __future__ import annotations

import dataclasses

from fireflyrack.discovery import (
    BackendServer,
    EntryChanged,
    EntryInstance,
    EntryRemoved,
    EntryTable,
    ServerState,
)
from fireflyrack.discovery.entries import (
    REREGISTRATION_GRACE_S,
    EntryDeleted,
    EntryOutdated,
    EntryRetained,
    EntryWritten,
    ExpiryTimerFired,
    ListingReceived,
    StoreLost,
    StoreRecovered,
    StoreRestored,
    decide,
)

READY = BackendServer(
    "b", "s", "10.0.0.1:80", "d", 2, ServerState.READY, incarnation=7, sequence=3
)
DRAINING = dataclasses.replace(READY, state=ServerState.DRAINING, sequence=9)
INSTANCE = EntryInstance("e", "i1", "d", "10.0.0.2:1", registration=2)


def feed(table: EntryTable, *events):
    actions = []
    for event in events:
        actions += decide(event, table).actions
    return actions


def test_deletion_removes_entry_immediately_while_store_is_available():
    """Guards against requests to a backend server that has deregistered."""
    table = EntryTable()
    feed(table, ListingReceived(0.0, (("a", 1), ("b", 2))))
    assert feed(table, EntryDeleted(1.0, "a")) == [EntryRemoved("a", 1, "deleted")]
    assert table.entries == {"b": 2}


def test_listing_removes_entries_it_does_not_contain():
    """Guards against missing a deletion that the store compacted."""
    table = EntryTable()
    feed(table, ListingReceived(0.0, (("a", 1), ("b", 2))))
    actions = feed(table, ListingReceived(1.0, (("b", 3),)))
    assert actions == [EntryChanged("b", 3, 2), EntryRemoved("a", 1, "deleted")]


def test_entries_expired_in_outage_are_retained_for_grace_period():
    """Guards against a store outage that removes all backend servers."""
    table = EntryTable()
    feed(
        table,
        ListingReceived(0.0, (("a", 1), ("b", 2))),
        StoreLost(3.0, since=1.0),
        StoreRecovered(6.0),
    )
    assert feed(table, ListingReceived(6.0, ())) == [
        EntryRetained("a", 6.0 + REREGISTRATION_GRACE_S),
        EntryRetained("b", 6.0 + REREGISTRATION_GRACE_S),
    ]
    assert feed(table, EntryWritten(7.0, "a", 1)) == []
    assert feed(table, ExpiryTimerFired(8.0)) == []
    (removed,) = feed(table, ExpiryTimerFired(6.0 + REREGISTRATION_GRACE_S))
    assert (removed.key, removed.value) == ("b", 2)
    assert table.entries == {"a": 1}


def test_deletion_during_outage_is_deferred_until_recovery():
    """Guards against removals reported by a partially failed store."""
    table = EntryTable()
    feed(table, ListingReceived(0.0, (("a", 1),)), StoreLost(5.0, since=1.0))
    feed(table, EntryDeleted(5.0, "a"), ExpiryTimerFired(60.0))
    assert table.entries == {"a": 1}
    feed(table, StoreRecovered(70.0), ExpiryTimerFired(70.0 + REREGISTRATION_GRACE_S))
    assert table.entries == {}


def test_short_unavailability_is_not_an_outage():
    """Guards against one broken watch that keeps a deregistered server in use."""
    table = EntryTable()
    feed(
        table,
        ListingReceived(0.0, (("a", 1),)),
        StoreLost(1.5, since=1.0),
        StoreRecovered(1.6),
    )
    assert feed(table, EntryDeleted(1.7, "a")) == [EntryRemoved("a", 1, "deleted")]


def test_unreadable_entry_does_not_affect_other_entries():
    """Guards against one invalid entry that makes valid ones unusable."""
    table = EntryTable()
    actions = feed(table, ListingReceived(0.0, (("a", 1), ("b", None), ("c", 3))))
    assert table.entries == {"a": 1, "c": 3}
    assert len(actions) == 2
    assert feed(table, EntryWritten(1.0, "a", None)) == [
        EntryRemoved("a", 1, "unreadable")
    ]


def test_entries_that_a_restored_store_lacks_are_retained():
    """Guards against live servers that vanish with the last writes of the store."""
    table = EntryTable()
    feed(table, ListingReceived(0.0, (("a", 1), ("b", 2))), StoreRestored(5.0))
    (retained,) = feed(table, ListingReceived(5.0, (("a", 1),)))
    assert retained == EntryRetained("b", 5.0 + REREGISTRATION_GRACE_S)
    (removed,) = feed(table, ExpiryTimerFired(5.0 + REREGISTRATION_GRACE_S))
    assert removed.key == "b"


def test_a_drained_server_is_not_ready_again_in_a_restored_store():
    """Guards against new work for a server that has said that it leaves."""
    table = EntryTable()
    feed(table, EntryWritten(0.0, "b", READY), EntryWritten(1.0, "b", DRAINING))
    feed(table, StoreRestored(2.0))
    for at in (2.0, 3.0):
        listing = ListingReceived(at, (("b", READY),))
        assert feed(table, listing) == [EntryOutdated("b", departed=False)]
    assert table.entries["b"] == DRAINING
    feed(table, EntryDeleted(6.0, "b"))
    assert not table.entries


def test_a_departed_server_is_not_back_in_a_restored_store():
    """Guards against requests to an address that may belong to another service."""
    table = EntryTable()
    feed(table, EntryWritten(0.0, "b", DRAINING), EntryDeleted(1.0, "b"))
    feed(table, StoreRestored(2.0))
    for listed in (READY, DRAINING):
        listing = ListingReceived(3.0, (("b", listed),))
        assert feed(table, listing) == [EntryOutdated("b", departed=True)]
    assert not table.entries
    returned = dataclasses.replace(READY, sequence=10)
    assert feed(table, EntryWritten(4.0, "b", returned))
    restarted = dataclasses.replace(READY, incarnation=8, sequence=1)
    feed(table, EntryDeleted(5.0, "b"), StoreRestored(6.0))
    assert feed(table, ListingReceived(6.0, (("b", restarted),)))


def test_a_departed_instance_is_not_back_in_a_restored_store():
    """Guards against callers that are sent to an instance which has stopped."""
    table = EntryTable()
    feed(table, EntryWritten(0.0, "e", INSTANCE), EntryDeleted(1.0, "e"))
    feed(table, StoreRestored(2.0), ListingReceived(2.0, (("e", INSTANCE),)))
    assert not table.entries
    again = dataclasses.replace(INSTANCE, registration=3)
    other = dataclasses.replace(INSTANCE, incarnation="i2", registration=1)
    for listed in (again, other):
        assert feed(table, ListingReceived(3.0, (("e", listed),)))


def test_entries_without_a_lease_stay_when_the_store_lacks_them():
    """Guards against a configuration that is forgotten with the writes of the store."""
    table = EntryTable(leased=False)
    feed(table, EntryWritten(0.0, "c", 1), StoreRestored(1.0), ListingReceived(1.0, ()))
    feed(table, ExpiryTimerFired(60.0))
    assert table.entries == {"c": 1}
