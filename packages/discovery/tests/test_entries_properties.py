"""Randomized interleavings of store events, with outages and expired leases."""

from __future__ import annotations

import random

import pytest

from fireflyrack.discovery import EntryTable
from fireflyrack.discovery.entries import (
    REREGISTRATION_GRACE_S,
    EntryDeleted,
    EntryWritten,
    ExpiryTimerFired,
    ListingReceived,
    StoreLost,
    StoreRecovered,
    decide,
)

OWNERS = tuple("abcdef")
# Owners register expired entries again within this time after an outage.
OWNER_RETURN_S = 2.0


class StoreSimulation:
    """Simulate a store, the owners of its entries and a table fed from it."""

    def __init__(self, number: int) -> None:
        self.rng = random.Random(number)
        self.at = 100.0
        self.live_owners = set(OWNERS)
        self.stored = {owner: 0 for owner in OWNERS}
        self.table = EntryTable()
        self.feed(ListingReceived(self.at, tuple(self.stored.items())))

    def feed(self, event) -> None:
        decide(event, self.table)

    def advance(self, seconds: float) -> None:
        end = self.at + seconds
        while self.at < end:
            self.at = min(end, self.at + 0.1)
            self.feed(ExpiryTimerFired(self.at))

    def change_owner(self) -> None:
        """Let a random owner write, deregister or return; the store is available."""
        owner = self.rng.choice(OWNERS)
        if owner in self.live_owners and self.rng.random() < 0.3:
            self.live_owners.discard(owner)
            self.stored.pop(owner, None)
            self.feed(EntryDeleted(self.at, owner))
        else:
            self.live_owners.add(owner)
            self.stored[owner] = self.rng.randint(1, 9)
            self.feed(EntryWritten(self.at, owner, self.stored[owner]))

    def simulate_outage(self) -> None:
        """Expire entries and crash owners in an outage; live owners register again."""
        lost_at = self.at
        live_before = set(self.table.entries) & self.live_owners
        for _ in range(self.rng.randint(3, 8)):
            self.advance(0.5)
            self.feed(StoreLost(self.at, lost_at))
        crashed = {o for o in self.live_owners if self.rng.random() < 0.2}
        self.live_owners -= crashed
        expired = {o for o in self.stored if self.rng.random() < 0.7} | crashed
        for owner in expired:
            self.stored.pop(owner, None)
        self.feed(StoreRecovered(self.at))
        if self.rng.random() < 0.5:
            self.feed(ListingReceived(self.at, tuple(self.stored.items())))
        else:
            for owner in expired:
                self.feed(EntryDeleted(self.at, owner))
        returning = [o for o in expired if o in self.live_owners]
        self.rng.shuffle(returning)
        remaining_s = OWNER_RETURN_S
        for owner in returning:
            step_s = self.rng.uniform(0, remaining_s)
            self.advance(step_s)
            remaining_s -= step_s
            kept = live_before & self.live_owners
            assert kept <= set(self.table.entries), "a live owner's entry was removed"
            self.stored[owner] = self.rng.randint(1, 9)
            self.feed(EntryWritten(self.at, owner, self.stored[owner]))


@pytest.mark.parametrize("number", range(200))
def test_table_retains_live_entries_and_converges_to_store(number):
    """Guards against outages that remove live owners or retain crashed ones."""
    simulation = StoreSimulation(number)
    for _ in range(12):
        if simulation.rng.random() < 0.25:
            simulation.simulate_outage()
            simulation.advance(REREGISTRATION_GRACE_S + 0.2)
        else:
            simulation.change_owner()
            simulation.advance(simulation.rng.uniform(0, 1))
        assert simulation.table.entries == simulation.stored
