from __future__ import annotations

import pytest

from fireflyrack.discovery import Item
from fireflyrack.forwarding import (
    ClearedReport,
    Crash,
    CrashReport,
    PeerUpdate,
    ServerReport,
)
from fireflyrack.peers.messages import (
    InvalidMessage,
    decode_items,
    decode_update,
    encode_items,
    encode_update,
)


def test_update_round_trip():
    """Guards against report fields that are lost or swapped on the wire."""
    update = PeerUpdate(
        (ServerReport("i-1", 7, 4.25, 0.5, 0.75), ServerReport("i-2", 0, 1.0, 1.0)),
        (CrashReport("f1", Crash("i-1", 7, "r1")), ClearedReport("f2")),
    )
    assert decode_update(encode_update(update)) == update


def test_cached_items_round_trip():
    """Guards against item values that are not valid UTF-8."""
    items = {"a/": (Item("a/1", b"\x00\xff{}", 5),), "b/": ()}
    assert decode_items(encode_items(items)) == items


@pytest.mark.parametrize(
    "body",
    [b"", b"\xff", b"[]", b'{"servers": [["i-1"]]}', b'{"items": {"a/": [{}]}}'],
)
def test_undecodable_message_returns_a_reason(body):
    """Guards against an invalid message that terminates the task of a stream."""
    outcomes = [decode_update(body), decode_items(body)]
    invalid = [o for o in outcomes if isinstance(o, InvalidMessage)]
    assert invalid and all(outcome.reason for outcome in invalid)


def test_unknown_keys_are_ignored():
    """Guards against rejecting messages of a newer release during an upgrade."""
    assert decode_update(b'{"servers": [], "later": 1}') == PeerUpdate()
