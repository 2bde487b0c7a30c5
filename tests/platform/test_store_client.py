"""The client of the metadata store, tested against the stand-in."""

from __future__ import annotations

import pytest

from fireflyrack.platform.store_client import PlatformStore, decode_era


@pytest.mark.parametrize(
    ("text", "era"), [("3", 3), (None, None), ("", None), ("-1", None), ("x", None)]
)
def test_the_era_is_a_whole_number(text, era):
    """Guards against a malformed header that looks like a restoration."""
    assert decode_era(text) == era
    assert decode_era("9" * 400) is None


async def test_each_reply_reports_the_era(cluster):
    """Guards against a restoration that only some of the calls notice."""
    store = PlatformStore(cluster.store.address)
    restorations = []
    store.era.listeners.append(lambda: restorations.append(store.era.current))
    calls = (
        lambda: store.list("op/"),
        lambda: store.watch("op/", 1, 0.0),
        lambda: store.watch("op/", -1, 0.0),
        lambda: store.put("fireflyrack/x", b"", 0),
        lambda: store.renew_lease(99),
    )
    for era, call in enumerate(calls, start=1):
        cluster.store.era = era
        await call()
        assert store.era.current == era
    assert restorations == [2, 3, 4, 5]
    await store.close()
