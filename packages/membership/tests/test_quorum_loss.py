"""Guard against members declared dead while they can act, or never declared dead."""

from __future__ import annotations

import itertools
import random

import pytest

from fireflyrack.membership import Member, MembershipSettings, new_state
from fireflyrack.membership.events import Statement, Verdict
from fireflyrack.membership.leases import OwnerLease
from fireflyrack.membership.roster import RosterEntry

SETTINGS = MembershipSettings(list_url="http://127.0.0.1:1")
NAMES = ("e1", "e2", "e3", "e4", "e5")
ENTRY_VERSION = 7
SENT_AT = 10.0


def member(name: str) -> Member:
    return Member(name, f"i-{name}", "d", "127.0.0.1:1", "127.0.0.1:2")


def observer_state(declared_by):
    """Return the state of an observer after some voters declared e1 expired."""
    state = new_state(member("e9"), SETTINGS, random.Random(1))
    for voter in declared_by:
        state.statements["e1", voter] = Statement(
            subject="e1",
            since=ENTRY_VERSION,
            arranged=ENTRY_VERSION,
            voter=voter,
            voter_entered=1,
            verdict=Verdict.EXPIRED,
            number=1,
        )
    return state


def make_entry(voters, previous=()):
    return RosterEntry(
        member("e1"),
        joined_version=1,
        created_version=ENTRY_VERSION,
        voters_version=ENTRY_VERSION,
        voters=dict.fromkeys(voters, 1),
        previous_voters=dict.fromkeys(previous, 1),
    )


def can_act(voters, previous, declared_by) -> bool:
    """Return whether e1 holds its lease if all other voters acknowledge it."""
    lease = OwnerLease(SETTINGS.lease_s)
    lease.set_voters(dict.fromkeys(voters, 1), dict.fromkeys(previous, 1))
    for voter in {*voters, *previous} - set(declared_by):
        lease.record_acknowledgement(voter, 1, SENT_AT)
    return lease.is_held(SENT_AT)


CASES = [
    (voters, previous, declared_by)
    for voters in (NAMES[:size] for size in range(1, 6))
    for previous in ((), *(NAMES[:size] for size in range(1, 6)))
    for number in range(5)
    for declared_by in itertools.combinations(NAMES[1:], number)
]


def test_quorum_is_lost_only_when_the_lease_cannot_be_held():
    """Guards against a second owner beside one that can still hold its lease."""
    for voters, previous, declared_by in CASES:
        if observer_state(declared_by).has_lost_quorum(
            make_entry(voters, previous), SENT_AT
        ):
            assert not can_act(voters, previous, declared_by), (
                voters,
                previous,
                declared_by,
            )


@pytest.mark.parametrize("size", [2, 3, 4, 5])
def test_quorum_is_lost_when_all_other_voters_declare_expiry(size):
    """Guards against a silent member that its only other voter could not replace."""
    voters = NAMES[:size]
    assert observer_state(voters[1:]).has_lost_quorum(make_entry(voters), SENT_AT)
    changing_voters = make_entry(NAMES, previous=voters)
    assert observer_state(NAMES[1:]).has_lost_quorum(changing_voters, SENT_AT)


def test_quorum_is_kept_when_a_minority_declares_expiry():
    """Guards against one voter with a broken link that ends the ownership of others."""
    for voters in (NAMES[:3], NAMES[:5]):
        assert not observer_state(voters[1:2]).has_lost_quorum(
            make_entry(voters), SENT_AT
        )
