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
    decode_beliefs,
    decode_news,
    encode_beliefs,
    encode_news,
)


def test_news_arrive_as_they_were_sent():
    news = PeerUpdate(
        (ServerReport("i-1", 7, 4.25, 0.5, 0.75), ServerReport("i-2", 0, 1.0, 1.0)),
        (CrashReport("f1", Crash("i-1", 7, "r1")), ClearedReport("f2")),
    )
    assert decode_news(encode_news(news)) == news


def test_beliefs_arrive_as_they_were_sent():
    """Guards against values that are no text."""
    items = {"a/": (Item("a/1", b"\x00\xff{}", 5),), "b/": ()}
    assert decode_beliefs(encode_beliefs(items)) == items


@pytest.mark.parametrize(
    "body",
    [b"", b"\xff", b"[]", b'{"servers": [["i-1"]]}', b'{"items": {"a/": [{}]}}'],
)
def test_a_message_that_cannot_be_read_gives_its_reason(body):
    """Guards against a peer of another release that ends the task of a stream."""
    outcomes = [decode_news(body), decode_beliefs(body)]
    invalid = [o for o in outcomes if isinstance(o, InvalidMessage)]
    assert invalid and all(outcome.reason for outcome in invalid)


def test_keys_that_are_not_known_are_ignored():
    assert decode_news(b'{"servers": [], "later": 1}') == PeerUpdate()
