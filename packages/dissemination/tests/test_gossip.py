"""Guard against gossip that misses registers, reverts them or never expires them."""

from __future__ import annotations

import pytest
from gossip_fleet import SETTINGS, SimulatedFleet

from fireflyrack.dissemination import (
    DigestReceived,
    InvalidSpreadMessage,
    Register,
    RegistersReceived,
    Withdrawn,
    decide,
    decode_digest,
    decode_names,
    decode_registers,
)


@pytest.mark.parametrize("size", [2, 4, 100])
@pytest.mark.parametrize("urgent", [False, True])
def test_digest_comparison_repairs_lost_messages(size, urgent):
    """Guards against registers that stay missing after message loss."""
    fleet = SimulatedFleet(size, seed=size, loss=0.3)
    for number in range(20):
        fleet.publish("e0", "t", f"k{number}", b"v", urgent=urgent)
    fleet.advance(20 if urgent else 10 * SETTINGS.digest_period_s)
    for number in range(20):
        assert fleet.holders(Register("t", f"k{number}", 1, b"v")) == size


def test_urgent_register_is_pushed_without_waiting_for_a_round():
    """Guards against an urgent register that is only announced with the others."""
    fleet = SimulatedFleet(100, seed=1)
    fleet.publish("e0", "t", "k", b"v", urgent=True)
    assert fleet.holders(Register("t", "k", 1, b"v")) == 100


def test_older_version_never_replaces_a_newer_one():
    """Guards against a late or replayed message that reverts a register."""
    fleet = SimulatedFleet(4, seed=1)
    fleet.publish("e0", "t", "k", b"new", version=5, urgent=True)
    old = ((Register("t", "k", 4, b"old"), 0.0),)
    fleet.feed("e1", RegistersReceived(0.0, "e3", old))
    fleet.publish("e2", "t", "k", b"old", version=3)
    fleet.advance(60)
    assert fleet.holders(Register("t", "k", 5, b"new")) == 4


def test_equal_digests_cause_no_message():
    """Guards against traffic between instances that are already in sync."""
    fleet = SimulatedFleet(3, seed=1)
    fleet.publish("e0", "t", "k", b"v")
    fleet.advance(3)
    state = fleet.states["e0"]
    event = DigestReceived(0.0, "e0", state.urgent_digest, tuple(state.digest))
    assert decide(event, fleet.states["e1"]).actions == ()


def test_register_expires_everywhere_when_its_writer_stops_renewing():
    """Guards against stale registers that peers pass to each other for ever."""
    fleet = SimulatedFleet(5, seed=2)
    fleet.publish("e0", "t", "k", b"v", renew=True)
    fleet.publish("e1", "t", "once", b"v")
    fleet.advance(5)
    decide(Withdrawn(fleet.now, "t", "k"), fleet.states["e0"])
    fleet.advance(SETTINGS.ttl_s + 2 * SETTINGS.digest_period_s)
    assert all(state.get("t", "k") is None for state in fleet.states.values())
    for state in fleet.states.values():
        assert set(state.digest) == {0}
        assert not state.short_fingerprints and not any(state.buckets)


def test_renewed_and_permanent_registers_are_kept():
    """Guards against the expiry of a register that is still in use."""
    fleet = SimulatedFleet(3, seed=3)
    fleet.publish("e0", "t", "k", b"v", renew=True)
    fleet.publish("e1", "t", "fixed", b"w", version=1, expires=False)
    fleet.advance(2 * SETTINGS.ttl_s)
    for state in fleet.states.values():
        assert state.get("t", "k").body == b"v"
        assert state.get("t", "fixed") == Register("t", "fixed", 1, b"w")


@pytest.mark.parametrize("data", [b"", b"\x01abc", b"\x00\xff", b"\x01"])
@pytest.mark.parametrize("read", [decode_registers, decode_names, decode_digest])
def test_malformed_message_raises_invalid_gossip_message(data, read):
    """Guards against decoder errors of libraries that reach the link server."""
    if data:
        with pytest.raises(InvalidSpreadMessage):
            read(data)
