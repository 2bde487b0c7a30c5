"""Decisions of the membership: roster, heartbeats, statements and claims."""

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

CLAIM_PERIOD_S = 0.3
EDIT_RETRY_S = 0.5
MAX_EDIT_RETRY_S = 10.0


def new_state(
    own: Member, settings: MembershipSettings, rng: random.Random
) -> FleetState:
    """Return the state of an instance that has just started."""
    state = FleetState(own, settings, rng, OwnerLease(settings.lease_s))
    state.members = {own.id: own}
    return state


@singledispatch
def decide(event: object, state: FleetState) -> Decision[FleetState]:
    """Return the new state and the actions for one event."""
    raise TypeError(f"not an event: {type(event).__name__}")


@decide.register
def _(event: SeedsReceived, state: FleetState) -> Decision[FleetState]:
    state.seeds = event.members
    if state.roster.version:
        return Decision(state)
    return Decision(state, (*members_changed(state, event.at), *ask_someone(state)))


@decide.register
def _(event: RosterReceived, state: FleetState) -> Decision[FleetState]:
    state.store_read = state.store_read or event.from_store
    actions = adopt(state, event.roster, event.at)
    if actions and event.from_store:
        actions = (*actions, PublishRoster(event.roster))
    return Decision(state, actions)


@decide.register
def _(event: ChangesReceived, state: FleetState) -> Decision[FleetState]:
    roster = state.roster.follow(event.changes)
    if roster is None:
        return Decision(state, ask_someone(state))
    return Decision(state, adopt(state, roster, event.at))


@decide.register
def _(event: HeartbeatReceived, state: FleetState) -> Decision[FleetState]:
    heartbeat = event.heartbeat
    actions: list[object] = []
    if heartbeat.version > state.roster.version:
        actions.append(RequestRoster(event.sender))
    own = state.seat()
    record = state.records.get(event.sender)
    accepted = (
        own is not None
        and state.roster.holds(event.sender, heartbeat.since)
        and (record is None or record.verdict is not Verdict.LAPSED)
    )
    arranged = 0
    if accepted:
        arranged = state.roster.seats[event.sender].arranged
        if record:
            record.heard_at = event.at
            if record.verdict is Verdict.SUSPECTED:
                actions.append(state_verdict(state, event.sender, Verdict.LIVE))
    entered = own.entered if own else 0
    answer = Acknowledgement(
        heartbeat.since, heartbeat.sent_at, entered, state.roster.version, arranged
    )
    actions.append(SendAcknowledgement(event.sender, answer))
    return Decision(state, tuple(actions))


@decide.register
def _(event: AcknowledgementReceived, state: FleetState) -> Decision[FleetState]:
    answer = event.acknowledgement
    seat = state.seat()
    if seat and answer.since == seat.since and answer.arranged:
        state.lease.acknowledge(event.voter, answer.voter_entered, answer.sent_at)
        known = seat.previous.get(event.voter) == answer.voter_entered
        if known and answer.arranged >= seat.arranged:
            state.informed.add(event.voter)
            retire_previous(state)
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
    seat = state.roster.seats.get(state.own.id)
    # An older incarnation of this instance has ended, so its seat yields too.
    since = seat.since if seat else 0
    return Decision(state, (SendYield(event.sender, since, event.since),))


@decide.register
def _(event: YieldReceived, state: FleetState) -> Decision[FleetState]:
    seat = state.seat()
    if seat is None or seat.since != event.since:
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
    delay = min(MAX_EDIT_RETRY_S, EDIT_RETRY_S * 2 ** min(state.edit_failures, 6))
    state.edit_at = event.at + delay * state.rng.uniform(0.2, 1.0)
    return Decision(state)


@decide.register
def _(event: LeaveStarted, state: FleetState) -> Decision[FleetState]:
    state.leaving = True
    return Decision(state, announce(state, MemberState.LEAVING, event.at))


@decide.register
def _(event: ServersReleased, state: FleetState) -> Decision[FleetState]:
    # Set before the announcement: this seat never acts again.
    state.released = True
    return Decision(state, announce(state, MemberState.RELEASED, event.at))


@decide.register
def _(event: TimerFired, state: FleetState) -> Decision[FleetState]:
    at = event.at
    settings = state.settings
    late = state.ticked_at is not None and at - state.ticked_at > settings.suspicion_s
    state.ticked_at = at
    if late:
        # After a pause of this process the heartbeats of others are still unread.
        state.unread_until = at + settings.suspicion_s
    actions: list[object] = []
    seat = state.seat()
    if seat and at >= state.heartbeat_at:
        state.heartbeat_at = at + settings.heartbeat_period_s
        state.lease.acknowledge(state.own.id, seat.entered, at)
        voters = {*seat.voters, *seat.previous, *state.wanted} - {state.own.id}
        heartbeat = Heartbeat(seat.since, state.roster.version, at)
        actions.append(SendHeartbeat(tuple(sorted(voters)), heartbeat))
        informed_self(state)
    known = state.announcements.get(state.own.id)
    told = known is not None and seat is not None and known.since == seat.since
    if seat and state.ready and not state.leaving and not told:
        actions.extend(announce(state, MemberState.LIVE, at))
    if at >= state.matures_at + settings.takeover_s:
        later = [t for t in state.replaced.values() if at < t + settings.takeover_s]
        state.matures_at = min(later, default=float("inf"))
        actions.extend(members_changed(state, at))
    actions.extend(check_others(state, at))
    actions.extend(claim(state, at))
    actions.extend(choose_edit(state, at))
    return Decision(state, tuple(actions))


def adopt(state: FleetState, roster: Roster, at: float) -> tuple[object, ...]:
    """Take a newer roster; an older one is ignored."""
    if roster.version <= state.roster.version:
        return ()
    before = state.seat()
    state.roster = roster
    seat = state.seat()
    if seat and (before is None or before.since != seat.since):
        state.entered = seat.entered
        take_seat(state, at)
    if seat and (before is None or before.arranged != seat.arranged):
        state.informed = set()
        state.lease.arrange(seat.voters, seat.previous)
    retire_previous(state)
    for name, since in tuple(state.pending_yields.items()):
        if not roster.holds(name, since):
            del state.pending_yields[name]
    keep_records(state, at)
    state.note_replaced(at)
    return members_changed(state, at) or (
        MembersChanged(tuple(state.members.values())),
    )


def take_seat(state: FleetState, at: float) -> None:
    """Start with a new own seat: older seats must yield before it acts."""
    seat = state.seat()
    state.lease = OwnerLease(state.settings.lease_s)
    state.lease_lost_at = at
    state.heartbeat_at = state.claim_at = at
    state.pending_yields = {
        name: other.since
        for name, other in state.roster.seats.items()
        if other.since < seat.since
    }


def retire_previous(state: FleetState) -> None:
    """Stop needing the previous voters once a quorum of them knows the new ones."""
    seat = state.seat()
    if seat and (not seat.previous or is_quorum(state.informed, seat.previous)):
        state.lease.arrange(seat.voters, {})


def informed_self(state: FleetState) -> None:
    """Count this instance among the previous voters that know its arrangement."""
    seat = state.seat()
    if seat.previous.get(state.own.id) == seat.entered:
        state.informed.add(state.own.id)
        retire_previous(state)


def keep_records(state: FleetState, at: float) -> None:
    """Keep a record of each seat this instance votes on; new ones start now.

    A voter without memory of a seat states nothing until `takeover_s` has passed.
    """
    own = state.seat()
    records = {}
    for name, seat in state.roster.seats.items():
        known = state.records.get(name)
        voters = (seat.voters.get(state.own.id), seat.previous.get(state.own.id))
        votes = own is not None and name != state.own.id and own.entered in voters
        if known and known.since == seat.since:
            if votes and not known.votes:
                known.heard_at = at
            known.votes = votes
            records[name] = known
        elif votes:
            records[name] = VoterRecord(seat.since, at)
    state.records = records
    seats = state.roster.seats
    state.statements = {
        key: statement
        for key, statement in state.statements.items()
        if key[0] not in seats or seats[key[0]].since <= statement.since
    }


def check_others(state: FleetState, at: float) -> list[PublishStatement]:
    """State which seats have been silent for too long."""
    own = state.seat()
    found = []
    if own is None or at < state.unread_until:
        return found
    for name, record in state.records.items():
        silent_s = at - record.heard_at
        if record.verdict is Verdict.LAPSED or not record.votes:
            continue
        if silent_s >= state.settings.takeover_s:
            found.append(state_verdict(state, name, Verdict.LAPSED))
        elif silent_s >= state.settings.suspicion_s:
            if record.verdict is Verdict.LIVE:
                found.append(state_verdict(state, name, Verdict.SUSPECTED))
    return found


def state_verdict(state: FleetState, name: str, verdict: Verdict) -> PublishStatement:
    """Record a verdict on a seat and return its publication."""
    record = state.records[name]
    record.verdict = verdict
    return PublishStatement(
        Statement(
            subject=name,
            since=record.since,
            arranged=state.roster.seats[name].arranged,
            voter=state.own.id,
            voter_entered=state.seat().entered,
            verdict=verdict,
            number=state.next_number(),
        )
    )


def claim(state: FleetState, at: float) -> tuple[SendClaim, ...]:
    """Ask the seats that have not yielded yet."""
    seat = state.seat()
    if seat is None or not state.pending_yields or at < state.claim_at:
        return ()
    state.claim_at = at + CLAIM_PERIOD_S
    return (SendClaim(tuple(state.pending_yields), seat.since),)


def announce(
    state: FleetState, announced: MemberState, at: float
) -> tuple[object, ...]:
    """Return the announcement of an own state."""
    seat = state.seat()
    if seat is None:
        return members_changed(state, at)
    own = Announcement(state.own.id, seat.since, announced, state.next_number())
    state.announcements[state.own.id] = own
    return (PublishAnnouncement(own), *members_changed(state, at))


def members_changed(state: FleetState, at: float) -> tuple[MembersChanged, ...]:
    """Recompute the members and report a change."""
    changed = state.refresh(at)
    for name in state.ended:
        state.pending_yields.pop(name, None)
    if not changed:
        return ()
    return (MembersChanged(tuple(state.members.values())),)


def ask_someone(state: FleetState) -> tuple[RequestRoster, ...]:
    """Ask a random known member for the whole roster."""
    names = sorted(state.members.keys() - {state.own.id})
    return (RequestRoster(state.rng.choice(names)),) if names else ()
