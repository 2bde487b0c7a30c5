from __future__ import annotations

from fireflyrack.discovery import EntryChanged, EntryRemoved, EntryTable
from fireflyrack.discovery.entries import (
    REREGISTRATION_GRACE_S,
    Deleted,
    EntryRetained,
    Listed,
    StoreLost,
    StoreRegained,
    TimePassed,
    Written,
    decide,
)


def feed(table: EntryTable, *events):
    actions = []
    for event in events:
        actions += decide(event, table).actions
    return actions


def test_a_deleted_entry_is_gone_at_once_while_the_store_answers():
    """Guards against work that goes on to a backend server that has left."""
    table = EntryTable()
    feed(table, Listed(0.0, (("a", 1), ("b", 2))))
    assert feed(table, Deleted(1.0, "a")) == [EntryRemoved("a", 1, "deleted")]
    assert table.entries == {"b": 2}


def test_a_listing_removes_what_it_lacks():
    """Guards against a deletion that fell into lost history."""
    table = EntryTable()
    feed(table, Listed(0.0, (("a", 1), ("b", 2))))
    actions = feed(table, Listed(1.0, (("b", 3),)))
    assert actions == [EntryChanged("b", 3, 2), EntryRemoved("a", 1, "deleted")]


def test_entries_that_lapse_in_an_outage_stay_until_owners_could_return():
    """Guards against an outage of the store that takes all backend servers away."""
    table = EntryTable()
    feed(
        table,
        Listed(0.0, (("a", 1), ("b", 2))),
        StoreLost(3.0, since=1.0),
        StoreRegained(6.0),
    )
    assert feed(table, Listed(6.0, ())) == [
        EntryRetained("a", 6.0 + REREGISTRATION_GRACE_S),
        EntryRetained("b", 6.0 + REREGISTRATION_GRACE_S),
    ]
    assert feed(table, Written(7.0, "a", 1)) == []
    assert feed(table, TimePassed(8.0)) == []
    (gone,) = feed(table, TimePassed(6.0 + REREGISTRATION_GRACE_S))
    assert (gone.key, gone.value) == ("b", 2)
    assert table.entries == {"a": 1}


def test_a_deletion_during_an_outage_waits_for_its_end():
    """Guards against lapses that a half-dead store tells while it is away."""
    table = EntryTable()
    feed(table, Listed(0.0, (("a", 1),)), StoreLost(5.0, since=1.0))
    feed(table, Deleted(5.0, "a"), TimePassed(60.0))
    assert table.entries == {"a": 1}
    feed(table, StoreRegained(70.0), TimePassed(70.0 + REREGISTRATION_GRACE_S))
    assert table.entries == {}


def test_a_short_silence_is_no_outage():
    """Guards against a cut watch that keeps a leaving backend server in use."""
    table = EntryTable()
    feed(
        table,
        Listed(0.0, (("a", 1),)),
        StoreLost(1.5, since=1.0),
        StoreRegained(1.6),
    )
    assert feed(table, Deleted(1.7, "a")) == [EntryRemoved("a", 1, "deleted")]


def test_an_unreadable_entry_names_nothing_and_harms_no_other():
    """Guards against one bad register that takes others down."""
    table = EntryTable()
    actions = feed(table, Listed(0.0, (("a", 1), ("b", None), ("c", 3))))
    assert table.entries == {"a": 1, "c": 3}
    assert len(actions) == 2
    assert feed(table, Written(1.0, "a", None)) == [EntryRemoved("a", 1, "unreadable")]
