"""Membership state of one instance: its view of the fleet and its own lease."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from fireflyrack.core import rank

from .events import Announcement, Statement, Verdict
from .leases import OwnerLease
from .members import Member, MemberState
from .roster import Roster, RosterEntry, Voters, is_quorum
from .settings import MembershipSettings


@dataclass(slots=True)
class VoterRecord:
    """Last heartbeat and verdict for a roster entry that this instance votes on."""

    created_version: int
    last_heartbeat_at: float
    verdict: Verdict = Verdict.LIVE
    # False once the entry has other voters; a final verdict is still kept.
    votes: bool = True


@dataclass(slots=True)
class FleetState:
    """Roster, own lease and verdicts on other members; updated in place."""

    own: Member
    settings: MembershipSettings
    rng: random.Random
    lease: OwnerLease
    roster: Roster = field(default_factory=Roster)
    # False until the store was read; a roster from peers may lack the own entry.
    store_read: bool = False
    seeds: tuple[Member, ...] = ()
    # `created_version` of the entry that this incarnation no longer uses, though the
    # roster may still hold it.
    abandoned_version: int = 0
    # Roster version that created the first entry of this incarnation; 0 until then.
    joined_version: int = 0
    # Set by the runner once this instance gives complete answers.
    ready: bool = False
    leaving: bool = False
    released: bool = False
    # Previous voters that acknowledged the present voter set.
    confirmed_previous: set[str] = field(default_factory=set)
    # `created_version` of each entry whose holder has not yielded yet, by instance.
    pending_yields: dict[str, int] = field(default_factory=dict)
    records: dict[str, VoterRecord] = field(default_factory=dict)
    statements: dict[tuple[str, str], Statement] = field(default_factory=dict)
    # Instances with statements about them or with replaced voters.
    needs_vote_count: set[str] = field(default_factory=set)
    announcements: dict[str, Announcement] = field(default_factory=dict)
    # Instances whose entries can never be used again, with the time this became known.
    ended: dict[str, float] = field(default_factory=dict)
    members: Mapping[str, Member] = field(default_factory=dict)
    # Members that can own backend servers; a new tuple after each change.
    owners: tuple[Member, ...] = ()
    # Voters to change to; they acknowledge heartbeats before the roster names them.
    desired_voters: Voters = field(default_factory=dict)
    # Members that are dead, released or leaving.
    ineligible_voters: frozenset[str] = frozenset()
    # Roster version and ineligible members for which no change of voters was needed.
    voters_checked: tuple[int, frozenset[str]] = (0, frozenset())
    # Number of rejoins since the lease was last held.
    rejoins: int = 0
    # Time at which a voter was seen replaced by a newer incarnation, by voter and
    # `joined_version`.
    replaced_voters: dict[tuple[str, int], float] = field(default_factory=dict)
    entries_with_replaced_voters: set[str] = field(default_factory=set)
    # Earliest replacement that is not yet `takeover_s` old; infinite without one.
    oldest_replacement_at: float = float("inf")
    editing: bool = False
    next_edit_at: float = 0.0
    edit_failures: int = 0
    lease_lost_at: float | None = None
    last_timer_at: float | None = None
    # Silence is ignored until this time, since received heartbeats may be unread.
    ignore_silence_until: float = -math.inf
    next_heartbeat_at: float = 0.0
    next_claim_at: float = 0.0
    # Counter in the low bits of register versions; see `next_number`.
    number: int = 0

    def own_entry(self) -> RosterEntry | None:
        """Return the entry of this incarnation; None if it is absent or abandoned."""
        entry = self.roster.entries.get(self.own.id)
        if entry is None or entry.member.incarnation != self.own.incarnation:
            return None
        return None if entry.created_version == self.abandoned_version else entry

    def may_own(self, at: float) -> bool:
        """Return whether this instance may act as an owner of any backend server."""
        return (
            self.own_entry() is not None
            and not self.released
            and not self.pending_yields
            and self.lease.is_held(at)
        )

    def next_number(self) -> int:
        """Return a register version above all from earlier entries of this instance."""
        self.number += 1
        return (self.roster.version << 24) + self.number

    def record_replaced_voters(self, at: float) -> None:
        """Record which voters were replaced by a newer incarnation, and since when."""
        entries = self.roster.entries
        known, self.replaced_voters, self.entries_with_replaced_voters = (
            self.replaced_voters,
            {},
            set(),
        )
        for entry in entries.values():
            for voter, joined_version in (
                *entry.voters.items(),
                *entry.previous_voters.items(),
            ):
                if voter in entries and entries[voter].joined_version > joined_version:
                    key = (voter, joined_version)
                    self.replaced_voters[key] = known.get(key, at)
                    self.entries_with_replaced_voters.add(entry.member.id)
        self.oldest_replacement_at = min(
            self.replaced_voters.values(), default=float("inf")
        )

    def cannot_vote(self, voter: str, joined_version: int, at: float) -> bool:
        """Return whether a voter was replaced too long ago for a lease to count it."""
        replaced_at = self.replaced_voters.get((voter, joined_version), float("inf"))
        return at - replaced_at >= self.settings.takeover_s

    def is_declared_expired(
        self, entry: RosterEntry, voter: str, joined_version: int
    ) -> bool:
        """Return whether a voter has declared an entry expired.

        A statement under a newer voter set than the known one is ignored: the entry
        may have changed to voters that this instance does not know.
        """
        statement = self.statements.get((entry.member.id, voter))
        return (
            statement is not None
            and statement.verdict is Verdict.EXPIRED
            and statement.since == entry.created_version
            and statement.voter_entered == joined_version
            and statement.arranged <= entry.voters_version
        )

    def has_lost_quorum(self, entry: RosterEntry, at: float) -> bool:
        """Return whether no quorum of its voters can acknowledge an entry any more.

        Counts the remaining voters, which neither declared the entry expired nor were
        replaced, instead of requiring a majority of declarations: with two voters,
        one is the owner itself, which never declares its own entry expired.
        """
        for voters in (entry.voters, entry.previous_voters):
            remaining = [
                voter
                for voter, joined_version in voters.items()
                if not self.is_declared_expired(entry, voter, joined_version)
                and not self.cannot_vote(voter, joined_version, at)
            ]
            if is_quorum(remaining, voters):
                return False
        return True

    def is_suspected(self, entry: RosterEntry) -> bool:
        """Return whether a quorum of its voters misses the heartbeats for an entry."""
        name = entry.member.id
        suspecting = [
            voter
            for voter in entry.voters
            if (statement := self.statements.get((name, voter)))
            and statement.since == entry.created_version
            and statement.verdict is not Verdict.LIVE
        ]
        return is_quorum(suspecting, entry.voters)

    def member_state(self, entry: RosterEntry, at: float) -> MemberState:
        """Return the state of the member that holds an entry."""
        announced = self.announcements.get(entry.member.id)
        if announced and announced.since == entry.created_version:
            if announced.state is MemberState.RELEASED:
                return MemberState.RELEASED
        else:
            announced = None
        needs_vote_count = entry.member.id in self.needs_vote_count
        if needs_vote_count and self.has_lost_quorum(entry, at):
            return MemberState.DEAD
        if announced and announced.state is MemberState.LEAVING:
            return MemberState.LEAVING
        if needs_vote_count and self.is_suspected(entry):
            return MemberState.SUSPECTED
        return MemberState.LIVE if announced else MemberState.STARTING

    def refresh_members(self, at: float) -> bool:
        """Recompute the members; return whether they changed."""
        # Counting votes only for these entries avoids the cost for nearly all others.
        self.needs_vote_count = {
            subject for subject, _ in self.statements
        } | self.entries_with_replaced_voters
        members = {}
        for name, entry in self.roster.entries.items():
            known = self.members.get(name)
            state = self.member_state(entry, at)
            if not known or (known.state, known.incarnation) != (
                state,
                entry.member.incarnation,
            ):
                known = replace(entry.member, state=state)
            members[name] = known
        self.ended = {
            name: self.ended.get(name, at)
            for name, member in members.items()
            if member.state in (MemberState.RELEASED, MemberState.DEAD)
        }
        self.owners = tuple(m for n, m in members.items() if n not in self.ended)
        if not members:
            members = {member.id: member for member in self.seeds}
        if self.own_entry() is None:
            state = MemberState.LIVE if self.ready else MemberState.STARTING
            if self.leaving:
                state = MemberState.LEAVING
            members[self.own.id] = replace(self.own, state=state)
        changed = members != self.members
        self.members = members
        return changed

    def is_watcher(self) -> bool:
        """Return whether this instance is chosen to watch the roster in the store."""
        names = [n for n in self.roster.entries if n not in self.ended]
        return self.own.id in rank("roster/watch", names)[: self.settings.watchers]
