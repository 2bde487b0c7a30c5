"""Guard against uneven load from addresses and against leases that expire late."""

from __future__ import annotations

from collections import Counter

from fireflyrack.membership import Member, MemberState, OwnerLease, addresses_for


def make_member(number, state=MemberState.LIVE):
    return Member(f"e{number}", "i", f"d{number % 3}", f"a{number}", "l", state)


def test_callers_of_a_failed_instance_are_distributed_evenly():
    """Guards against an overload of one instance after another one failed."""
    members = [make_member(number) for number in range(4)]
    callers = [f"c{number}" for number in range(3000)]
    before = {c: addresses_for(c, "", members)[0].id for c in callers}
    after = {c: addresses_for(c, "", members[:3])[0].id for c in callers}
    moved = Counter(after[c] for c in callers if before[c] == "e3")
    assert all(after[c] == before[c] for c in callers if before[c] != "e3")
    # About 750 callers move, 250 to each; 50 is over three standard deviations.
    assert max(moved.values()) - min(moved.values()) < 100
    assert len(moved) == 3


def test_local_addresses_come_first_and_only_live_members_are_listed():
    """Guards against callers sent to suspected, leaving or remote instances."""
    members = [make_member(number) for number in range(6)]
    members[0] = make_member(0, MemberState.SUSPECTED)
    members[1] = make_member(1, MemberState.LEAVING)
    found = [member.id for member in addresses_for("c", "d2", members)]
    assert set(found[:2]) == {"e2", "e5"}
    assert set(found) == {"e2", "e3", "e4", "e5"}


def test_lease_starts_at_sending_and_needs_a_quorum_of_both_voter_sets():
    """Guards against an owner that acts longer than its voters expect."""
    lease = OwnerLease(2.0)
    lease.set_voters({"a": 1, "b": 1, "c": 1}, {"a": 1, "d": 1})
    lease.record_acknowledgement("a", 1, 10.0)
    lease.record_acknowledgement("b", 1, 10.5)
    assert not lease.is_held(10.6)
    lease.record_acknowledgement("d", 2, 10.5)
    assert not lease.is_held(10.6), "the voter is incarnation 1 of d, not 2"
    lease.record_acknowledgement("d", 1, 10.4)
    assert lease.is_held(11.9)
    assert not lease.is_held(12.0)
