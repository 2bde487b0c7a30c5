"""Guard against uneven addresses and leases that outlive their heartbeats."""

from __future__ import annotations

from collections import Counter

from fireflyrack.membership import Member, MemberState, OwnerLease, addresses_for


def make_member(number, state=MemberState.LIVE):
    return Member(f"e{number}", "i", f"d{number % 3}", f"a{number}", "l", state)


def test_callers_of_a_lost_instance_spread_evenly():
    members = [make_member(number) for number in range(4)]
    callers = [f"c{number}" for number in range(3000)]
    before = {c: addresses_for(c, "", members)[0].id for c in callers}
    after = {c: addresses_for(c, "", members[:3])[0].id for c in callers}
    moved = Counter(after[c] for c in callers if before[c] == "e3")
    assert all(after[c] == before[c] for c in callers if before[c] != "e3")
    # An even share of about 750 callers is 250; 50 is over three deviations.
    assert max(moved.values()) - min(moved.values()) < 100
    assert len(moved) == 3


def test_near_addresses_come_first_and_unfit_members_are_left_out():
    members = [make_member(number) for number in range(6)]
    members[0] = make_member(0, MemberState.SUSPECTED)
    members[1] = make_member(1, MemberState.LEAVING)
    found = [member.id for member in addresses_for("c", "d2", members)]
    assert set(found[:2]) == {"e2", "e5"}
    assert set(found) == {"e2", "e3", "e4", "e5"}


def test_lease_counts_from_sending_and_needs_a_quorum_of_both_arrangements():
    lease = OwnerLease(2.0)
    lease.set_voters({"a": 1, "b": 1, "c": 1}, {"a": 1, "d": 1})
    lease.record_acknowledgement("a", 1, 10.0)
    lease.record_acknowledgement("b", 1, 10.5)
    assert not lease.is_held(10.6)
    lease.record_acknowledgement("d", 2, 10.5)
    assert not lease.is_held(10.6), "an older incarnation of d was the voter"
    lease.record_acknowledgement("d", 1, 10.4)
    assert lease.is_held(11.9)
    assert not lease.is_held(12.0)
