"""Decides which change an instance makes to the roster next, and applies it."""

from __future__ import annotations

from .events import EditRoster, RosterEdit
from .members import MemberState
from .roster import (
    Roster,
    add_entry,
    change_voters,
    choose_voters,
    drop_previous_voters,
    remove_entry,
)
from .state import FleetState

# Limits the growth of the delay between attempts to rejoin.
MAX_REJOIN_DOUBLINGS = 2
# Offset between the removal attempts of the voters of a dead member.
REMOVAL_STAGGER_S = 1.0


def choose_edit(state: FleetState, at: float) -> tuple[EditRoster, ...]:
    """Return the roster change that is due, if any; only one is in progress."""
    if state.editing or at < state.next_edit_at or not state.store_read:
        return ()
    edit = choose_own_edit(state, at) or choose_removal(state, at)
    if edit is None:
        return ()
    state.editing = True
    return (edit,)


def choose_own_edit(state: FleetState, at: float) -> EditRoster | None:
    """Return the due change to the entry of this instance, or None."""
    entry = state.own_entry()
    name = state.own.id
    if state.leaving:
        announcement = state.announcements.get(name)
        # Until the release is announced, requests may still run on backend servers.
        if (
            entry is None
            or announcement is None
            or announcement.state is not MemberState.RELEASED
        ):
            return None
        return EditRoster(RosterEdit.LEAVE, name, entry.created_version, frozenset())
    excluded = frozenset(state.ended)
    if entry is None:
        return EditRoster(RosterEdit.JOIN, name, 0, excluded - {name})
    if must_rejoin(state, at):
        # The old entry must not be used again, even if the reply to this change is
        # lost.
        state.abandoned_version = entry.created_version
        state.rejoins += 1
        return EditRoster(RosterEdit.JOIN, name, 0, excluded - {name})
    if entry.previous_voters:
        if state.lease.previous_voters:
            return None
        return EditRoster(
            RosterEdit.DROP_PREVIOUS_VOTERS, name, entry.voters_version, excluded
        )
    # Changing voters before a quorum of the new ones acknowledges would interrupt
    # the lease.
    if needs_other_voters(state) and state.lease.would_be_held(
        state.desired_voters, at
    ):
        ineligible = state.ineligible_voters
        return EditRoster(
            RosterEdit.CHANGE_VOTERS, name, entry.created_version, ineligible
        )
    return None


def must_rejoin(state: FleetState, at: float) -> bool:
    """Return whether this instance lost its quorum, or its lease for too long."""
    if state.lease.is_held(at):
        state.lease_lost_at, state.rejoins = None, 0
        return False
    if state.lease_lost_at is None:
        state.lease_lost_at = at
    member = state.members.get(state.own.id)
    if member and member.state is MemberState.DEAD:
        return True
    # Exponential backoff limits writes to the store while no quorum is reachable.
    rejoin_delay_s = state.settings.rejoin_s * 2 ** min(
        state.rejoins, MAX_REJOIN_DOUBLINGS
    )
    return at - state.lease_lost_at >= rejoin_delay_s


def needs_other_voters(state: FleetState) -> bool:
    """Return whether a voter is ineligible or the voter set could be larger.

    A new member that would only replace an eligible voter causes no change, which
    limits writes to the store.
    """
    entry = state.own_entry()
    leaving = (n for n, m in state.members.items() if m.state is MemberState.LEAVING)
    # A leaving voter is replaced while it still acknowledges heartbeats.
    ineligible = frozenset((*state.ended, *leaving))
    state.ineligible_voters = ineligible
    checked = (state.roster.version, ineligible)
    if checked == state.voters_checked:
        return False
    desired_voters = choose_voters(
        state.roster, state.own.id, entry.joined_version, ineligible
    )
    voter_lost = any(
        voter not in state.roster.entries
        or state.roster.entries[voter].joined_version != joined_version
        or voter in ineligible
        for voter, joined_version in entry.voters.items()
    )
    needed = desired_voters != entry.voters and (
        voter_lost or len(desired_voters) > len(entry.voters)
    )
    state.desired_voters = desired_voters if needed else {}
    if not needed:
        state.voters_checked = checked
    return needed


def choose_removal(state: FleetState, at: float) -> EditRoster | None:
    """Return the due removal of a dead member that this instance votes on."""
    for name, ended_at in state.ended.items():
        record = state.records.get(name)
        if (
            record is None
            or not record.votes
            or state.members[name].state is not MemberState.DEAD
        ):
            continue
        # Staggering lets the write of the first voter make the others unnecessary.
        voters = state.roster.entries[name].voters
        position = list(voters).index(state.own.id) if state.own.id in voters else 0
        if at - ended_at >= state.settings.removal_s + position * REMOVAL_STAGGER_S:
            excluded = frozenset(state.ended)
            return EditRoster(RosterEdit.REMOVE, name, record.created_version, excluded)
    return None


def apply_edit(roster: Roster, edit: EditRoster, state: FleetState) -> Roster:
    """Apply a change to a roster; return it unchanged if it is no longer needed."""
    match edit.edit:
        case RosterEdit.JOIN:
            entry = roster.entries.get(edit.subject)
            # An earlier attempt may have been stored although its reply was lost.
            if entry and entry.member.incarnation == state.own.incarnation:
                if entry.created_version != state.abandoned_version:
                    return roster
            return add_entry(roster, state.own, state.joined_version, edit.excluded)
        case RosterEdit.LEAVE | RosterEdit.REMOVE:
            return remove_entry(roster, edit.subject, edit.expected_version)
        case RosterEdit.CHANGE_VOTERS:
            return change_voters(
                roster, edit.subject, edit.expected_version, edit.excluded
            )
        case RosterEdit.DROP_PREVIOUS_VOTERS:
            own = state.own_entry()
            created_version = own.created_version if own else 0
            return drop_previous_voters(
                roster, edit.subject, created_version, edit.expected_version
            )
