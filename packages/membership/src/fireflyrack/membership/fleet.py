"""Decisions of the membership protocol: heartbeats, failure detection, claims."""

from __future__ import annotations

import random
from functools import singledispatch

from fireflyrack.core import Decision

from .edits import choose_edit
from .events import (
    Acknowledgement,
    AcknowledgementReceived,
    Announcement,
    AnnouncementReceived,
    ChangesReceived,
    ClaimReceived,
    EditFinished,
    Heartbeat,
    HeartbeatReceived,
    LeaveStarted,
    MembersChanged,
    PublishAnnouncement,
    PublishRoster,
    PublishStatement,
    RequestRoster,
    RosterReceived,
    SeedsReceived,
    SendAcknowledgement,
    SendClaim,
    SendHeartbeat,
    SendYield,
    ServersReleased,
    Statement,
    StatementReceived,
    TimerFired,
    Verdict,
    YieldReceived,
)
from .leases import OwnerLease
from .members import Member, MemberState
from .roster import Roster, is_quorum
from .settings import MembershipSettings
from .state import FleetState, VoterRecord

CLAIM_INTERVAL_S = 0.3
# Delay before the next change, doubled after each failure up to a maximum, and then
# reduced by jitter.
EDIT_RETRY_DELAY_S = 0.5
MAX_EDIT_RETRY_DELAY_S = 10.0


def new_state(
    own: Member, settings: MembershipSettings, rng: random.Random
) -> FleetState:
    """Return the initial state of an instance, which knows only itself."""
    state = FleetState(own, settings, rng, OwnerLease(settings.lease_s))
    state.members = {own.id: own}
    return state


@singledispatch
def decide(event: object, state: FleetState) -> Decision[FleetState]:
    """Process one event; return the new state and the resulting actions."""
    raise TypeError(f"unsupported event type: {type(event).__name__}")


@decide.register
def _(event: SeedsReceived, state: FleetState) -> Decision[FleetState]:
    state.seeds = event.members
    if state.roster.version:
        return Decision(state)
    return Decision(state, (*members_changed(state, event.at), *request_roster(state)))


@decide.register
def _(event: RosterReceived, state: FleetState) -> Decision[FleetState]:
    state.store_read = state.store_read or event.from_store
    actions = adopt_roster(state, event.roster, event.at)
    if actions and event.from_store:
        actions = (*actions, PublishRoster(event.roster))
    return Decision(state, actions)


@decide.register
def _(event: ChangesReceived, state: FleetState) -> Decision[FleetState]:
    roster = state.roster.apply_changes(event.changes)
    if roster is None:
        return Decision(state, request_roster(state))
    return Decision(state, adopt_roster(state, roster, event.at))


@decide.register
def _(event: HeartbeatReceived, state: FleetState) -> Decision[FleetState]:
    heartbeat = event.heartbeat
    actions: list[object] = []
    if heartbeat.version > state.roster.version:
        actions.append(RequestRoster(event.sender))
    own = state.own_entry()
    record = state.records.get(event.sender)
    accepted = (
        own is not None
        and state.roster.has_entry(event.sender, heartbeat.since)
        and (record is None or record.verdict is not Verdict.EXPIRED)
    )
    voters_version = 0
    if accepted:
        voters_version = state.roster.entries[event.sender].voters_version
        if record:
            record.last_heartbeat_at = event.at
            if record.verdict is Verdict.SUSPECTED:
                actions.append(record_verdict(state, event.sender, Verdict.LIVE))
    joined_version = own.joined_version if own else 0
    answer = Acknowledgement(
        heartbeat.since,
        heartbeat.sent_at,
        joined_version,
        state.roster.version,
        voters_version,
    )
    actions.append(SendAcknowledgement(event.sender, answer))
    return Decision(state, tuple(actions))


@decide.register
def _(event: AcknowledgementReceived, state: FleetState) -> Decision[FleetState]:
    answer = event.acknowledgement
    entry = state.own_entry()
    if entry and answer.since == entry.created_version and answer.arranged:
        state.lease.record_acknowledgement(
            event.voter, answer.voter_entered, answer.sent_at
        )
        known = entry.previous_voters.get(event.voter) == answer.voter_entered
        if known and answer.arranged >= entry.voters_version:
            state.confirmed_previous.add(event.voter)
            use_current_voters_only(state)
    if answer.version > state.roster.version:
        return Decision(state, (RequestRoster(event.voter),))
    return Decision(state)


@decide.register
def _(event: StatementReceived, state: FleetState) -> Decision[FleetState]:
    statement = event.statement
    key = (statement.subject, statement.voter)
    known = state.statements.get(key)
    if known and known.number >= statement.number:
        return Decision(state)
    state.statements[key] = statement
    return Decision(state, members_changed(state, event.at))


@decide.register
def _(event: AnnouncementReceived, state: FleetState) -> Decision[FleetState]:
    announcement = event.announcement
    known = state.announcements.get(announcement.member)
    if known and known.number >= announcement.number:
        return Decision(state)
    state.announcements[announcement.member] = announcement
    return Decision(state, members_changed(state, event.at))


@decide.register
def _(event: ClaimReceived, state: FleetState) -> Decision[FleetState]:
    if state.roster.version < event.since:
        return Decision(state, (RequestRoster(event.sender),))
    entry = state.roster.entries.get(state.own.id)
    # An entry of an older incarnation of this instance yields too: that process has
    # ended.
    created_version = entry.created_version if entry else 0
    return Decision(state, (SendYield(event.sender, created_version, event.since),))


@decide.register
def _(event: YieldReceived, state: FleetState) -> Decision[FleetState]:
    entry = state.own_entry()
    if entry is None or entry.created_version != event.since:
        return Decision(state)
    if state.pending_yields.get(event.sender) != event.sender_since:
        return Decision(state)
    del state.pending_yields[event.sender]
    if state.pending_yields:
        return Decision(state)
    return Decision(state, (MembersChanged(tuple(state.members.values())),))


@decide.register
def _(event: EditFinished, state: FleetState) -> Decision[FleetState]:
    state.editing = False
    state.edit_failures = 0 if event.succeeded else state.edit_failures + 1
    delay = min(
        MAX_EDIT_RETRY_DELAY_S, EDIT_RETRY_DELAY_S * 2 ** min(state.edit_failures, 6)
    )
    state.next_edit_at = event.at + delay * state.rng.uniform(0.2, 1.0)
    return Decision(state)


@decide.register
def _(event: LeaveStarted, state: FleetState) -> Decision[FleetState]:
    state.leaving = True
    return Decision(state, announce(state, MemberState.LEAVING, event.at))


@decide.register
def _(event: ServersReleased, state: FleetState) -> Decision[FleetState]:
    # Set before the announcement, after which this entry must never be used again.
    state.released = True
    return Decision(state, announce(state, MemberState.RELEASED, event.at))


@decide.register
def _(event: TimerFired, state: FleetState) -> Decision[FleetState]:
    at = event.at
    settings = state.settings
    resumed = (
        state.last_timer_at is not None
        and at - state.last_timer_at > settings.suspicion_s
    )
    state.last_timer_at = at
    if resumed:
        # After a pause of this process, received heartbeats may still be unread.
        state.ignore_silence_until = at + settings.suspicion_s
    actions: list[object] = []
    entry = state.own_entry()
    if entry and at >= state.next_heartbeat_at:
        state.next_heartbeat_at = at + settings.heartbeat_period_s
        state.lease.record_acknowledgement(state.own.id, entry.joined_version, at)
        voters = {*entry.voters, *entry.previous_voters, *state.desired_voters} - {
            state.own.id
        }
        heartbeat = Heartbeat(entry.created_version, state.roster.version, at)
        actions.append(SendHeartbeat(tuple(sorted(voters)), heartbeat))
        confirm_own_voter(state)
    known = state.announcements.get(state.own.id)
    announced = (
        known is not None and entry is not None and known.since == entry.created_version
    )
    if entry and state.ready and not state.leaving and not announced:
        actions.extend(announce(state, MemberState.LIVE, at))
    if at >= state.oldest_replacement_at + settings.takeover_s:
        later = [
            t for t in state.replaced_voters.values() if at < t + settings.takeover_s
        ]
        state.oldest_replacement_at = min(later, default=float("inf"))
        actions.extend(members_changed(state, at))
    actions.extend(detect_failures(state, at))
    actions.extend(send_claims(state, at))
    actions.extend(choose_edit(state, at))
    return Decision(state, tuple(actions))


def adopt_roster(state: FleetState, roster: Roster, at: float) -> tuple[object, ...]:
    """Replace the roster by a newer one; ignore one that is not newer."""
    if roster.version <= state.roster.version:
        return ()
    before = state.own_entry()
    state.roster = roster
    entry = state.own_entry()
    if entry and (before is None or before.created_version != entry.created_version):
        state.joined_version = entry.joined_version
        reset_for_new_entry(state, at)
    if entry and (before is None or before.voters_version != entry.voters_version):
        state.confirmed_previous = set()
        state.lease.set_voters(entry.voters, entry.previous_voters)
    use_current_voters_only(state)
    for name, created_version in tuple(state.pending_yields.items()):
        if not roster.has_entry(name, created_version):
            del state.pending_yields[name]
    update_voter_records(state, at)
    state.record_replaced_voters(at)
    return members_changed(state, at) or (
        MembersChanged(tuple(state.members.values())),
    )


def reset_for_new_entry(state: FleetState, at: float) -> None:
    """Reset the lease for a new own entry, and wait for all older entries to yield."""
    entry = state.own_entry()
    state.lease = OwnerLease(state.settings.lease_s)
    state.lease_lost_at = at
    state.next_heartbeat_at = state.next_claim_at = at
    state.pending_yields = {
        name: other.created_version
        for name, other in state.roster.entries.items()
        if other.created_version < entry.created_version
    }


def use_current_voters_only(state: FleetState) -> None:
    """Drop the previous voters from the lease once a quorum of them confirmed.

    A previous voter confirms by acknowledging under the present voter set.
    """
    entry = state.own_entry()
    if entry and (
        not entry.previous_voters
        or is_quorum(state.confirmed_previous, entry.previous_voters)
    ):
        state.lease.set_voters(entry.voters, {})


def confirm_own_voter(state: FleetState) -> None:
    """Count this instance as confirmed if it is one of its previous voters."""
    entry = state.own_entry()
    if entry.previous_voters.get(state.own.id) == entry.joined_version:
        state.confirmed_previous.add(state.own.id)
        use_current_voters_only(state)


def update_voter_records(state: FleetState, at: float) -> None:
    """Update the records of the entries that this instance votes on.

    The silence for an entry without a record counts from now, so a voter that has
    just started declares no entry expired before `takeover_s` has passed.
    """
    own = state.own_entry()
    records = {}
    for name, entry in state.roster.entries.items():
        known = state.records.get(name)
        voters = (
            entry.voters.get(state.own.id),
            entry.previous_voters.get(state.own.id),
        )
        votes = (
            own is not None and name != state.own.id and own.joined_version in voters
        )
        if known and known.created_version == entry.created_version:
            if votes and not known.votes:
                known.last_heartbeat_at = at
            known.votes = votes
            records[name] = known
        elif votes:
            records[name] = VoterRecord(entry.created_version, at)
    state.records = records
    entries = state.roster.entries
    state.statements = {
        key: statement
        for key, statement in state.statements.items()
        if key[0] not in entries or entries[key[0]].created_version <= statement.since
    }


def detect_failures(state: FleetState, at: float) -> list[PublishStatement]:
    """Return verdicts to publish on the entries whose heartbeats are overdue."""
    own = state.own_entry()
    found = []
    if own is None or at < state.ignore_silence_until:
        return found
    for name, record in state.records.items():
        silent_s = at - record.last_heartbeat_at
        if record.verdict is Verdict.EXPIRED or not record.votes:
            continue
        if silent_s >= state.settings.takeover_s:
            found.append(record_verdict(state, name, Verdict.EXPIRED))
        elif silent_s >= state.settings.suspicion_s:
            if record.verdict is Verdict.LIVE:
                found.append(record_verdict(state, name, Verdict.SUSPECTED))
    return found


def record_verdict(state: FleetState, name: str, verdict: Verdict) -> PublishStatement:
    """Record a verdict on an entry and return the action that publishes it."""
    record = state.records[name]
    record.verdict = verdict
    return PublishStatement(
        Statement(
            subject=name,
            since=record.created_version,
            arranged=state.roster.entries[name].voters_version,
            voter=state.own.id,
            voter_entered=state.own_entry().joined_version,
            verdict=verdict,
            number=state.next_number(),
        )
    )


def send_claims(state: FleetState, at: float) -> tuple[SendClaim, ...]:
    """Return the due claims to the members that have not yielded yet."""
    entry = state.own_entry()
    if entry is None or not state.pending_yields or at < state.next_claim_at:
        return ()
    state.next_claim_at = at + CLAIM_INTERVAL_S
    return (SendClaim(tuple(state.pending_yields), entry.created_version),)


def announce(
    state: FleetState, announced: MemberState, at: float
) -> tuple[object, ...]:
    """Record and publish the state of this instance, if it has an entry."""
    entry = state.own_entry()
    if entry is None:
        return members_changed(state, at)
    own = Announcement(
        state.own.id, entry.created_version, announced, state.next_number()
    )
    state.announcements[state.own.id] = own
    return (PublishAnnouncement(own), *members_changed(state, at))


def members_changed(state: FleetState, at: float) -> tuple[MembersChanged, ...]:
    """Recompute the members; return an action if they changed."""
    changed = state.refresh_members(at)
    for name in state.ended:
        state.pending_yields.pop(name, None)
    if not changed:
        return ()
    return (MembersChanged(tuple(state.members.values())),)


def request_roster(state: FleetState) -> tuple[RequestRoster, ...]:
    """Request the full roster from a random known member."""
    names = sorted(state.members.keys() - {state.own.id})
    return (RequestRoster(state.rng.choice(names)),) if names else ()
