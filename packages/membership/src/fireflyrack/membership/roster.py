"""Roster: the versioned document of seats that decides owners and voters."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field, replace

from fireflyrack.core import rank

from .members import Member

ROSTER_KEY = "roster"
MAX_VOTERS = 5
# Changes that travel with a new version; an instance further behind asks a peer for
# the whole roster. Whole rosters of 830 seats in each push exceed the byte limit.
MAX_CHANGES = 8

Voters = Mapping[str, int]


@dataclass(frozen=True, slots=True)
class Seat:
    """Hold the right of one incarnation to own backend servers.

    `since` is the roster version that created the seat, `arranged` the one that set
    its voters, `entered` the one in which its incarnation first had a seat. Voters
    are incarnations, given by instance and `entered`. `previous` are the voters of
    the last arrangement until the owner no longer needs them.
    """

    member: Member
    entered: int
    since: int
    arranged: int
    voters: Voters
    previous: Voters = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Change:
    """Record one change: a seat that was written, or None for a removal."""

    version: int
    id: str
    seat: Seat | None


@dataclass(frozen=True, slots=True)
class Roster:
    """Hold the seats by instance and the latest changes."""

    version: int = 0
    seats: Mapping[str, Seat] = field(default_factory=dict)
    changes: tuple[Change, ...] = ()

    def with_seat(self, name: str, seat: Seat | None) -> Roster:
        """Return the next version with a seat written or removed."""
        return self.apply_change(Change(self.version + 1, name, seat))

    def apply_change(self, change: Change) -> Roster:
        """Return the roster with the change of the next version."""
        seats = dict(self.seats)
        if change.seat is None:
            seats.pop(change.id, None)
        else:
            seats[change.id] = change.seat
        changes = (*self.changes, change)[-MAX_CHANGES:]
        return Roster(change.version, seats, changes)

    def apply_changes(self, changes: Collection[Change]) -> Roster | None:
        """Return the roster after newer changes, or None if some are missing."""
        roster = self
        for change in sorted(changes, key=lambda c: c.version):
            if change.version <= roster.version:
                continue
            if change.version != roster.version + 1:
                return None
            roster = roster.apply_change(change)
        return roster

    def has_seat(self, name: str, since: int) -> bool:
        """Return whether a seat is in the roster."""
        seat = self.seats.get(name)
        return seat is not None and seat.since == since


def choose_voters(
    roster: Roster, name: str, entered: int, excluded: Collection[str] = ()
) -> Voters:
    """Return the voters of a seat: itself and up to four peers."""
    peers = [n for n in roster.seats if n != name and n not in excluded]
    chosen = rank(f"voters/{name}", peers)[: MAX_VOTERS - 1]
    return {name: entered, **{n: roster.seats[n].entered for n in chosen}}


def add_seat(
    roster: Roster, member: Member, entered: int, excluded: Collection[str] = ()
) -> Roster:
    """Return the roster with a new seat of a member, which replaces an older one.

    `entered` is 0 unless this incarnation had a seat before. It stays a voter with
    its memory then, so that a new seat does not take voters from the others.
    """
    version = roster.version + 1
    entered = entered or version
    voters = choose_voters(roster, member.id, entered, excluded)
    return roster.with_seat(member.id, Seat(member, entered, version, version, voters))


def remove_seat(roster: Roster, name: str, since: int) -> Roster:
    """Return the roster without a seat; unchanged if the seat is not there."""
    return roster.with_seat(name, None) if roster.has_seat(name, since) else roster


def change_voters(roster: Roster, name: str, since: int, excluded: Collection[str]):
    """Return the roster with the voters that a seat should have now."""
    if not roster.has_seat(name, since) or roster.seats[name].previous:
        return roster
    seat = roster.seats[name]
    voters = choose_voters(roster, name, seat.entered, excluded)
    if voters == seat.voters:
        return roster
    changed = replace(
        seat, arranged=roster.version + 1, voters=voters, previous=seat.voters
    )
    return roster.with_seat(name, changed)


def drop_previous_voters(
    roster: Roster, name: str, since: int, arranged: int
) -> Roster:
    """Return the roster without the previous voters of a seat."""
    if not roster.has_seat(name, since):
        return roster
    seat = roster.seats[name]
    if seat.arranged != arranged or not seat.previous:
        return roster
    return roster.with_seat(name, replace(seat, previous={}))


def is_quorum(names: Collection[str], voters: Voters) -> bool:
    """Return whether the names include a majority of the voters."""
    return 2 * len(voters.keys() & set(names)) > len(voters)
