"""Roster: the versioned membership document that determines owners and voters."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field, replace

from fireflyrack.core import rank

from .members import Member

ROSTER_KEY = "roster"
MAX_VOTERS = 5
# Number of changes disseminated with a new version; an instance further behind
# requests the full roster from a peer. Pushing full rosters of 830 entries would exceed
# the byte limit.
MAX_CHANGES = 8

Voters = Mapping[str, int]


@dataclass(frozen=True, slots=True)
class RosterEntry:
    """Registration of one incarnation in the roster, which lets it own servers.

    `created_version` is the roster version that created the entry, `voters_version`
    the one that set its voters, and `joined_version` the one that created the first
    entry of its incarnation. Voters are incarnations, identified by instance and
    `joined_version`. `previous_voters` holds the voters before the last change while
    the lease may still depend on them.
    """

    member: Member
    joined_version: int
    created_version: int
    voters_version: int
    voters: Voters
    previous_voters: Voters = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Change:
    """One change of the roster: the entry that was written, or None if removed."""

    version: int
    id: str
    entry: RosterEntry | None


@dataclass(frozen=True, slots=True)
class Roster:
    """A version of the roster: entries by instance and the latest changes."""

    version: int = 0
    entries: Mapping[str, RosterEntry] = field(default_factory=dict)
    changes: tuple[Change, ...] = ()

    def with_entry(self, name: str, entry: RosterEntry | None) -> Roster:
        """Return the next version with an entry replaced, or removed if None."""
        return self.apply_change(Change(self.version + 1, name, entry))

    def apply_change(self, change: Change) -> Roster:
        """Return the roster after the change to the next version."""
        entries = dict(self.entries)
        if change.entry is None:
            entries.pop(change.id, None)
        else:
            entries[change.id] = change.entry
        changes = (*self.changes, change)[-MAX_CHANGES:]
        return Roster(change.version, entries, changes)

    def apply_changes(self, changes: Collection[Change]) -> Roster | None:
        """Return the roster after newer changes, or None if a version is missing."""
        roster = self
        for change in sorted(changes, key=lambda c: c.version):
            if change.version <= roster.version:
                continue
            if change.version != roster.version + 1:
                return None
            roster = roster.apply_change(change)
        return roster

    def has_entry(self, name: str, created_version: int) -> bool:
        """Return whether the entry of an instance is the one created in a version."""
        entry = self.entries.get(name)
        return entry is not None and entry.created_version == created_version


def choose_voters(
    roster: Roster, name: str, joined_version: int, excluded: Collection[str] = ()
) -> Voters:
    """Return the voters of an entry: its own instance and up to four peers."""
    peers = [n for n in roster.entries if n != name and n not in excluded]
    chosen = rank(f"voters/{name}", peers)[: MAX_VOTERS - 1]
    return {
        name: joined_version,
        **{n: roster.entries[n].joined_version for n in chosen},
    }


def add_entry(
    roster: Roster, member: Member, joined_version: int, excluded: Collection[str] = ()
) -> Roster:
    """Return the roster with a new entry of a member, which replaces an older one.

    `joined_version` is 0 unless this incarnation had an entry before. Keeping the
    value lets the incarnation remain a voter of other entries, because it still has
    its verdicts.
    """
    version = roster.version + 1
    joined_version = joined_version or version
    voters = choose_voters(roster, member.id, joined_version, excluded)
    return roster.with_entry(
        member.id, RosterEntry(member, joined_version, version, version, voters)
    )


def remove_entry(roster: Roster, name: str, created_version: int) -> Roster:
    """Return the roster without an entry; unchanged if it has no such entry."""
    return (
        roster.with_entry(name, None)
        if roster.has_entry(name, created_version)
        else roster
    )


def change_voters(
    roster: Roster, name: str, created_version: int, excluded: Collection[str]
):
    """Return the roster with newly chosen voters of an entry.

    The roster is unchanged while a change of voters is in progress or if the voters
    stay the same.
    """
    if (
        not roster.has_entry(name, created_version)
        or roster.entries[name].previous_voters
    ):
        return roster
    entry = roster.entries[name]
    voters = choose_voters(roster, name, entry.joined_version, excluded)
    if voters == entry.voters:
        return roster
    changed = replace(
        entry,
        voters_version=roster.version + 1,
        voters=voters,
        previous_voters=entry.voters,
    )
    return roster.with_entry(name, changed)


def drop_previous_voters(
    roster: Roster, name: str, created_version: int, voters_version: int
) -> Roster:
    """Return the roster with the change of an entry's voters completed."""
    if not roster.has_entry(name, created_version):
        return roster
    entry = roster.entries[name]
    if entry.voters_version != voters_version or not entry.previous_voters:
        return roster
    return roster.with_entry(name, replace(entry, previous_voters={}))


def is_quorum(names: Collection[str], voters: Voters) -> bool:
    """Return whether the instances include a majority of the voters."""
    return 2 * len(voters.keys() & set(names)) > len(voters)
