from __future__ import annotations

from fireflyrack.discovery import EntryChanged, EntryRemoved, EntryTable
from fireflyrack.discovery.entries import (
    REREGISTRATION_GRACE_S,
    EntryDeleted,
    EntryRetained,
    EntryWritten,
    ExpiryTimerFired,
    ListingReceived,
    StoreLost,
    StoreRecovered,
    decide,
)


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
