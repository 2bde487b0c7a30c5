"""Entries of another writer among those of the backend servers."""

from __future__ import annotations

import asyncio
import json
import random

import pytest
from hypothesis import given, settings, strategies as st
from yarl import URL

from fireflyrack.availability import AvailabilityTable, SharerCount
from fireflyrack.discovery import Item, UnreadableEntry
from fireflyrack.forwarding import BudgetLimits, FleetHealth, SelectionContext
from fireflyrack.forwarding.choice import select_server
from fireflyrack.platform import names
from fireflyrack.platform.documents import decode_configuration, decode_server

ROUTE = {"prefix": "/a/", "service": "s"}
ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "za",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "coldLeftMs": 0,
    "sequence": 1,
    "born": 1,
}
HUGE = "9" * 400
# Raw JSON, since some of the values cannot be encoded from Python.
ODD_FIELDS = {
    "slots": (HUGE, "1e999", "0", "-1", "null", '"2"', "true"),
    "coldLeftMs": ("Infinity", "NaN", "1e999", HUGE, "[]"),
    "sequence": (HUGE, "1.5", "-1", '"1"'),
    "born": (HUGE, "-1", "1.5"),
    "address": (
        '"10.0.0.1:99999"',
        '"10.0.0.1:0"',
        '"999.0.0.1:80"',
        '"10.0.0.1"',
        '"\\u0661\\u0660.0.0.1:80"',
        "[]",
    ),
    "service": ('""', "null", "[" * 300 + "]" * 300),
    "state": ('"unknown"', "1"),
    "zone": ("null", "{}"),
}
CASES = [(field, value) for field, values in ODD_FIELDS.items() for value in values]


def encode(field: str, value: str) -> bytes:
    parts = {**{name: json.dumps(v) for name, v in ENTRY.items()}, field: value}
    return ("{" + ",".join(f'"{n}":{v}' for n, v in parts.items()) + "}").encode()


@pytest.mark.parametrize(("field", "value"), CASES)
def test_an_entry_with_an_odd_field_names_no_server(field, value):
    """Guards against values that later fail each request, or the cache as a whole."""
    decoded = decode_server(Item("servers/i-1", encode(field, value), 1))
    assert isinstance(decoded, UnreadableEntry)
    assert field in decoded.reason or "JSON" in decoded.reason


@pytest.mark.parametrize("field", sorted(set(ENTRY) - {"born"}))
def test_an_entry_without_a_field_names_no_server(field):
    """Guards against an entry of another writer that moves a server to its service."""
    entry = {name: value for name, value in ENTRY.items() if name != field}
    decoded = decode_server(Item("servers/i-1", json.dumps(entry).encode(), 1))
    assert isinstance(decoded, UnreadableEntry)
    assert decoded.reason.startswith(f"{field}: ")


@pytest.mark.parametrize("id", ["", "a b", "a\r\nX: y", "é", "x" * 300])
def test_an_entry_with_an_odd_id_names_no_server(id):
    """Guards against ids that cannot be sent in a header."""
    item = Item(f"servers/{id}", json.dumps(ENTRY).encode(), 1)
    assert isinstance(decode_server(item), UnreadableEntry)


@pytest.mark.parametrize("version", [HUGE, "-1", "1e999", "null"])
def test_an_odd_version_of_the_configuration_is_rejected(version):
    """Guards against a configuration that ends the task that follows the store."""
    text = f'{{"version": {version}, "routes": [], "services": []}}'
    item = Item(names.CONFIGURATION_KEY, text.encode(), 1)
    assert isinstance(decode_configuration(item), UnreadableEntry)


numbers = st.one_of(
    st.integers(-(10**30), 10**420), st.floats(), st.none(), st.text(max_size=5)
)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(
    slots=numbers,
    cold=numbers,
    sequence=numbers,
    born=numbers,
    host=st.one_of(st.just("10.0.0.1"), st.text("0123456789.", max_size=20)),
    port=st.integers(-5, 10**6),
)
def test_each_entry_that_is_accepted_can_be_used(
    slots, cold, sequence, born, host, port
):
    """Guards against accepted entries that selection or the client cannot handle."""
    value = {
        **ENTRY,
        "slots": slots,
        "coldLeftMs": cold,
        "sequence": sequence,
        "born": born,
        "address": f"{host}:{port}",
    }
    server = decode_server(Item("servers/i-1", json.dumps(value).encode(), 1))
    if isinstance(server, UnreadableEntry):
        return
    selection = select_server(
        SelectionContext("d", random.Random(1)),
        (server,),
        FleetHealth(BudgetLimits(0.2, 10, 10.0)),
        AvailabilityTable(random.Random(1), SharerCount(1)),
        100,
        frozenset(),
        1.0,
    )
    assert 0 < selection.cost < float("inf")
    assert URL(f"http://{server.address}/", encoded=True).host


async def test_a_gateway_serves_and_follows_the_store_beside_odd_entries(cluster):
    """Guards against one odd entry that ends processes or stops the following."""
    await cluster.add_server("i-1", "s")
    await cluster.configure(ROUTE)
    for number, (field, value) in enumerate(CASES):
        await cluster.store.write(f"servers/odd-{number}", encode(field, value))
    deep = b'{"service":' + b"[" * 100_000
    await cluster.store.write("servers/deep", deep)
    gateway = await cluster.start()
    for number in range(20):
        assert await gateway.status("/a/x", request_id=f"r{number}") == 200
    await cluster.store.write("servers/late", encode("slots", HUGE))
    await cluster.configure(ROUTE, {"prefix": "/b/", "service": "t"})
    await cluster.add_server("i-2", "t")
    async with asyncio.timeout(5):
        while await gateway.status("/b/x") != 200:
            await asyncio.sleep(0.05)
    events = [line["event"] for line in gateway.log()]
    assert "internal_fault" not in events
    rejected = {e["key"] for e in gateway.log() if e["event"] == "entry_unreadable"}
    assert "servers/late" in rejected and len(rejected) == len(CASES) + 2
