"""Guard against a write that the store executes late and that undoes a later state."""

from __future__ import annotations

import dataclasses
import random

import pytest

from fireflyrack.discovery import BackendServer, EntryTable, ServerState, entries
from fireflyrack.discovery.entries import (
    EntryDeleted,
    EntryOutdated,
    EntryWritten,
    ListingReceived,
    StoreRestored,
    decide,
)

READY = BackendServer(
    "b", "s", "10.0.0.1:80", "d", 2, ServerState.READY, incarnation=7, sequence=3
)
DRAINING = dataclasses.replace(READY, state=ServerState.DRAINING, sequence=9)
RESTARTED = dataclasses.replace(READY, incarnation=8, sequence=1)
# Chance that the answer to a write is lost, so that it is executed late or never.
LOST = 0.4
WRITES = 6


def feed(table, *events):
    return [a for event in events for a in decide(event, table).actions]


@pytest.mark.parametrize("later", [DRAINING, RESTARTED], ids=["draining", "restarted"])
@pytest.mark.parametrize(
    "late",
    [EntryWritten(2.0, "b", READY), ListingReceived(2.0, (("b", READY),))],
    ids=["watch", "listing"],
)
def test_late_write_does_not_undo_a_later_state(later, late):
    """Guards against a leaving server, or an ended incarnation, that is used again."""
    table = EntryTable()
    feed(table, EntryWritten(0.0, "b", READY), EntryWritten(1.0, "b", later))
    assert feed(table, late) == [EntryOutdated("b", departed=False)]
    assert table.entries["b"] is later


def test_late_write_does_not_bring_a_departed_server_back():
    """Guards against requests to an address that may belong to another service."""
    table = EntryTable()
    feed(table, EntryWritten(0.0, "b", RESTARTED), EntryDeleted(1.0, "b"))
    for late in (READY, DRAINING, RESTARTED):
        written = EntryWritten(2.0, "b", late)
        assert feed(table, written) == [EntryOutdated("b", departed=True)]
    assert not table.entries


def test_heartbeat_after_a_lapse_is_used():
    """Guards against a live server that stays away after its entry expired."""
    table = EntryTable()
    feed(table, EntryWritten(0.0, "b", READY), EntryDeleted(1.0, "b"))
    feed(table, EntryWritten(2.0, "b", dataclasses.replace(READY, sequence=4)))
    assert table.entries["b"].sequence == 4


class LateStore:
    """Store that executes some writes of two incarnations late, or never.

    Each executed write, deletion and listing is fed to the table.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.table = EntryTable()
        self.at = 0.0
        self.stored: BackendServer | None = None
        self.backup: BackendServer | None = None
        self.late: list[BackendServer] = []
        # Newest state that the table was given, and whether it was deleted since.
        self.newest = (0, 0)
        self.deleted = False

    def run(self) -> None:
        """Let two incarnations write, then execute what is left."""
        for incarnation in (7, 8):
            for sequence in range(1, WRITES + 1):
                state = ServerState.DRAINING if sequence > 4 else ServerState.READY
                written = dataclasses.replace(
                    READY, incarnation=incarnation, sequence=sequence, state=state
                )
                if self.rng.random() < LOST:
                    self.late.append(written)
                else:
                    self.execute(written)
                self.disturb()
            if self.rng.random() < 0.5:
                self.delete()
        while self.late:
            self.disturb()

    def disturb(self) -> None:
        """Execute or drop a late write, list, or restore the store from its backup."""
        self.at += 1.0
        kind = self.rng.randrange(5)
        if kind in (0, 1) and self.late:
            write = self.late.pop(self.rng.randrange(len(self.late)))
            if kind == 0:
                self.execute(write)
        elif kind == 2:
            self.list_entries()
        elif kind == 3:
            self.backup = self.stored
        elif kind == 4 and self.backup is not None:
            self.stored = self.backup
            decide(StoreRestored(self.at), self.table)
            self.list_entries()

    def execute(self, written: BackendServer) -> None:
        """Execute a write, which the watch reports."""
        self.stored = written
        decide(EntryWritten(self.at, "b", written), self.table)
        self.check(written)

    def delete(self) -> None:
        """Delete the entry, as its owner does when it ends."""
        self.stored = None
        decide(EntryDeleted(self.at + 10.0, "b"), self.table)
        self.deleted = True
        assert "b" not in self.table.entries

    def list_entries(self) -> None:
        """Feed a listing of what the store holds."""
        if self.stored is not None:
            decide(ListingReceived(self.at, (("b", self.stored),)), self.table)
            self.check(self.stored)

    def check(self, given: BackendServer) -> None:
        """Check that the table holds the newest state that it was given."""
        order = (given.incarnation, given.sequence)
        if order > self.newest:
            self.newest, self.deleted = order, False
        known = self.table.entries.get("b")
        expected = None if self.deleted else self.newest
        assert (known and (known.incarnation, known.sequence)) == expected


@pytest.mark.parametrize("seed", range(300))
def test_every_interleaving_ends_with_the_newest_state(seed):
    """Guards against late, lost and restored writes of two incarnations."""
    LateStore(seed).run()


def test_the_property_finds_a_table_that_takes_each_write_for_the_newest(monkeypatch):
    """Guards against a property that cannot fail."""
    monkeypatch.setattr(entries, "is_outdated", lambda table, key, value: False)
    with pytest.raises(AssertionError):
        for seed in range(20):
            LateStore(seed).run()
