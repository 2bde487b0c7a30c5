"""Guard against an instance that joins and lacks what was announced before."""

from __future__ import annotations

import random

import pytest
from gossip_fleet import SETTINGS, SimulatedFleet

from fireflyrack.dissemination import (
    DigestReceived,
    LinkOpened,
    NamesReceived,
    Register,
    RegistersReceived,
    RequestReceived,
)

# From the last join until each instance holds everything.
COMPLETE_S = 5
OTHERS = ("e0", "e1", "e2")
ALL = (*OTHERS, "e3")
REPORT = Register("t", "k", 1, b"v")


def fleet_before_join(seed=1):
    """Return a fleet of three that do not know the joiner e3."""
    fleet = SimulatedFleet(4, seed, joined=False)
    for name in OTHERS:
        fleet.learn(name, *OTHERS)
    return fleet


def announce(fleet):
    """Publish a report and let all rounds announce it."""
    fleet.publish("e0", "t", "k", b"v")
    fleet.advance(3)


def join(fleet):
    """Make e3 and the others know each other."""
    fleet.learn("e3", *ALL)
    for name in OTHERS:
        fleet.learn(name, *ALL)


def test_joiner_gets_what_was_announced_before_it_was_known():
    """Guards against a report that is announced once, to whoever is known then."""
    fleet = fleet_before_join()
    announce(fleet)
    join(fleet)
    fleet.advance(COMPLETE_S)
    assert fleet.holders(REPORT) == 4


@pytest.mark.parametrize("seed", range(10))
def test_joiner_compares_again_after_a_peer_that_holds_nothing(seed):
    """Guards against a first comparison that comes before its peers hold anything.

    The joiner knows the others at once; they announce a report before they know it.
    """
    fleet = fleet_before_join(seed)
    fleet.learn("e3", *ALL)
    announce(fleet)
    for name in OTHERS:
        fleet.learn(name, *ALL)
    fleet.advance(COMPLETE_S)
    assert fleet.holders(REPORT) == 4


@pytest.mark.parametrize(
    "kind", [DigestReceived, NamesReceived, RequestReceived, RegistersReceived]
)
@pytest.mark.parametrize("seed", range(5))
def test_lost_message_of_the_first_comparison_is_repaired(seed, kind):
    """Guards against a comparison that is not repeated if one of its messages is lost.

    All messages of a kind to and from the joiner are lost for a second.
    """
    fleet = fleet_before_join(seed)
    announce(fleet)
    joined_at = fleet.now
    fleet.drops = lambda sender, receiver, event: (
        "e3" in (sender, receiver)
        and isinstance(event, kind)
        and fleet.now < joined_at + 1
    )
    join(fleet)
    fleet.advance(COMPLETE_S + 2)
    assert fleet.holders(REPORT) == 4


@pytest.mark.parametrize("seed", range(5))
def test_announcement_lost_with_a_link_is_repaired_when_it_opens(seed):
    """Guards against a report that waits for the next comparison of all registers."""
    fleet = SimulatedFleet(4, seed)
    fleet.advance(2 * SETTINGS.digest_period_s)
    fleet.drops = lambda sender, receiver, event: "e3" in (sender, receiver)
    announce(fleet)
    assert fleet.holders(REPORT) == 3
    fleet.drops = lambda *message: False
    for name in OTHERS:
        fleet.feed(name, LinkOpened(fleet.now, "e3"))
    fleet.advance(2)
    assert fleet.holders(REPORT) == 4


@pytest.mark.parametrize("size", [4, 30])
@pytest.mark.parametrize("seed", range(20))
def test_all_starts_are_complete_soon_after_the_last_join(size, seed):
    """Guards against any order of joins, reports and knowledge of members."""
    rng = random.Random(seed)
    fleet = SimulatedFleet(size, seed, joined=False)
    names = tuple(fleet.states)
    joins = {name: rng.randrange(4) for name in names}
    reports = {name: rng.randrange(5) for name in names}
    for second in range(6):
        for name in names:
            if rng.random() < 0.7 or second == 5:
                known = [n for n in names if joins[n] <= second]
                if name in known:
                    fleet.learn(name, *known)
            if reports[name] == second:
                fleet.publish(name, "t", name, b"v")
        fleet.advance(1)
    fleet.advance(COMPLETE_S - 1)
    for name in names:
        assert fleet.holders(Register("t", name, 1, b"v")) == size


def test_comparisons_are_rare_in_a_fleet_that_does_not_change():
    """Guards against a short period that all instances pay for all the time."""
    fleet = SimulatedFleet(4, seed=1)
    announce(fleet)
    fleet.advance(60)
    digests = []
    fleet.drops = lambda sender, receiver, event: (
        isinstance(event, DigestReceived) and event.buckets and digests.append(sender)
    )
    fleet.advance(10 * SETTINGS.digest_period_s)
    # The period is shortened by jitter of up to half of it.
    assert 4 * 10 <= len(digests) <= 4 * 20
