"""Generated interleavings of the store's events, with outages and lapses."""

from __future__ import annotations

import random

import pytest

from fireflyrack.discovery import EntryTable
from fireflyrack.discovery.entries import (
    REREGISTRATION_GRACE_S,
    Deleted,
    Listed,
    StoreLost,
    StoreRegained,
    TimePassed,
    Written,
    decide,
)

OWNERS = tuple("abcdef")
# Owners write their lapsed entries again within this time after an outage.
RETURN_S = 2.0


class World:
    """Simulate a store, its owners and a table that follows it."""

    def __init__(self, number: int) -> None:
        self.rng = random.Random(number)
        self.at = 100.0
        self.alive = set(OWNERS)
        self.stored = {owner: 0 for owner in OWNERS}
        self.table = EntryTable()
        self.feed(Listed(self.at, tuple(self.stored.items())))

    def feed(self, event) -> None:
        decide(event, self.table)

    def pass_time(self, seconds: float) -> None:
        end = self.at + seconds
        while self.at < end:
            self.at = min(end, self.at + 0.1)
            self.feed(TimePassed(self.at))

    def change(self) -> None:
        """Let an owner write, leave, or come back while the store answers."""
        owner = self.rng.choice(OWNERS)
        if owner in self.alive and self.rng.random() < 0.3:
            self.alive.discard(owner)
            self.stored.pop(owner, None)
            self.feed(Deleted(self.at, owner))
        else:
            self.alive.add(owner)
            self.stored[owner] = self.rng.randint(1, 9)
            self.feed(Written(self.at, owner, self.stored[owner]))

    def outage(self) -> None:
        """Let the store be away, entries lapse, some owners die, the rest return."""
        lost_at = self.at
        living_before = set(self.table.entries) & self.alive
        for _ in range(self.rng.randint(3, 8)):
            self.pass_time(0.5)
            self.feed(StoreLost(self.at, lost_at))
        dead = {o for o in self.alive if self.rng.random() < 0.2}
        self.alive -= dead
        lapsed = {o for o in self.stored if self.rng.random() < 0.7} | dead
        for owner in lapsed:
            self.stored.pop(owner, None)
        self.feed(StoreRegained(self.at))
        if self.rng.random() < 0.5:
            self.feed(Listed(self.at, tuple(self.stored.items())))
        else:
            for owner in lapsed:
                self.feed(Deleted(self.at, owner))
        returning = [o for o in lapsed if o in self.alive]
        self.rng.shuffle(returning)
        left_s = RETURN_S
        for owner in returning:
            step_s = self.rng.uniform(0, left_s)
            self.pass_time(step_s)
            left_s -= step_s
            kept = living_before & self.alive
            assert kept <= set(self.table.entries), "a living owner was dropped"
            self.stored[owner] = self.rng.randint(1, 9)
            self.feed(Written(self.at, owner, self.stored[owner]))


@pytest.mark.parametrize("number", range(200))
def test_the_table_keeps_the_living_and_comes_back_to_the_store(number):
    """Guards against outages that take living owners away or keep dead ones."""
    world = World(number)
    for _ in range(12):
        if world.rng.random() < 0.25:
            world.outage()
            world.pass_time(REREGISTRATION_GRACE_S + 0.2)
        else:
            world.change()
            world.pass_time(world.rng.uniform(0, 1))
        assert world.table.entries == world.stored
