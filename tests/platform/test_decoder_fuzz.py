"""Bytes from outside that are no message: each decoder returns a result.

By hand, with fresh examples for some minutes:

    FUZZ_EXAMPLES=100000 pytest tests/platform/test_decoder_fuzz.py
"""

from __future__ import annotations

import json
import os

import pytest
from hypothesis import given, settings, strategies as st
from multidict import CIMultiDict, CIMultiDictProxy
from pydantic import ValidationError

from fireflyrack.core import SettingsError
from fireflyrack.discovery import Item
from fireflyrack.gateway.instances import decode_instance
from fireflyrack.peers.messages import (
    InvalidMessage,
    decode_items,
    decode_update,
    encode_items,
    encode_update,
)
from fireflyrack.platform import names
from fireflyrack.platform.backend_responses import decode_notice
from fireflyrack.platform.caller_app import decode_caller_timeout, decode_request
from fireflyrack.platform.documents import decode_configuration, decode_server
from fireflyrack.platform.node_file import read_node_file
from fireflyrack.platform.store_client import RangeModel, WatchModel, decode_era

EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "0"))
fuzzed = settings(
    max_examples=EXAMPLES or 200,
    derandomize=not EXAMPLES,
    deadline=None,
    database=None,
)

KEYS = (
    "version routes services limits name host prefix kind timeoutMs sloMs service "
    "split gather topK minCoverage maxAttempts weight healthPath maxConns address "
    "zone slots state coldLeftMs sequence born id incarnation failure_domain "
    "peer_address strained registration servers requests statements items key value "
    "revision fingerprint storeRevision morePages events deleted listen bounds "
    "platform seeds nodeName"
).split()
scalars = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(10**40), 10**400),
    st.floats(),
    st.text(max_size=8),
    st.sampled_from(["ready", "safe", "10.0.0.1:80", "s"]),
)
documents = st.recursive(
    scalars,
    lambda inner: st.one_of(
        st.lists(inner, max_size=4),
        st.dictionaries(st.sampled_from(KEYS), inner, max_size=8),
    ),
    max_leaves=25,
)
messages = st.one_of(
    st.binary(max_size=200), documents.map(lambda value: json.dumps(value).encode())
)


@fuzzed
@given(messages)
def test_documents_of_the_store_are_decoded_or_rejected(value):
    """Guards against an entry that raises in the task that follows the store."""
    decode_server(Item("servers/i-1", value, 1))
    decode_configuration(Item(names.CONFIGURATION_KEY, value, 1))
    decode_instance(Item("fireflyrack/instances/e", value, 1))


@fuzzed
@given(messages)
def test_messages_of_peers_are_decoded_or_rejected(value):
    """Guards against a message that raises, or that cannot be passed on."""
    update = decode_update(value)
    if not isinstance(update, InvalidMessage):
        encode_update(update)
    items = decode_items(value)
    if not isinstance(items, InvalidMessage):
        encode_items(items)


@fuzzed
@given(documents)
def test_replies_of_the_store_are_decoded_or_rejected(value):
    """Guards against a reply that raises anything but a validation error."""
    for model in (RangeModel, WatchModel):
        try:
            reply = model.model_validate(value)
        except ValidationError:
            continue
        for event in getattr(reply, "items", None) or getattr(reply, "events", ()):
            event.to_item()


@fuzzed
@given(
    st.dictionaries(
        st.sampled_from(
            [names.RATE_LIMIT, names.LEAVING, names.SERVER_LOAD, "Retry-After"]
        ),
        st.one_of(
            st.text(max_size=12),
            st.sampled_from(
                [
                    "1",
                    "0",
                    "nan",
                    "-inf",
                    "1e999",
                    "1,2,3",
                    "9" * 400,
                    f"1,{'9' * 400},2",
                ]
            ),
        ),
    ),
    st.sampled_from([200, 421, 429, 503]),
)
def test_statements_of_servers_are_finite_or_unreadable(headers, status):
    """Guards against a limit or a time that no clock reaches."""
    notice = decode_notice(status, CIMultiDictProxy(CIMultiDict(headers)))
    for number in (notice.rate_limit, notice.closed_for_s):
        assert number is None or 0 <= number < float("inf")
    load = notice.load
    assert load is None or 0 <= load.running + load.waiting + load.slots < 10**10
    era = decode_era(headers.get(names.RATE_LIMIT))
    assert era is None or 0 <= era < 10**18


@fuzzed
@given(
    st.lists(st.tuples(st.binary(max_size=20), st.binary(max_size=30)), max_size=5),
    st.binary(max_size=30),
    st.binary(max_size=30),
    st.text(max_size=12),
)
def test_requests_of_callers_are_decoded(headers, path, query, timeout):
    """Guards against a head that raises before the request has an answer."""
    scope = {
        "headers": headers,
        "raw_path": path,
        "query_string": query,
        "method": "GET",
    }
    decode_request(scope, b"", 0.0)
    timeout_s = decode_caller_timeout(timeout)
    assert timeout_s is None or 0 <= timeout_s < float("inf")


@fuzzed
@given(messages)
def test_settings_are_read_or_rejected_with_their_keys(tmp_path_factory, value):
    """Guards against a settings file that ends the program with a traceback."""
    path = tmp_path_factory.getbasetemp() / "node.json"
    path.write_bytes(value)
    with pytest.raises(SettingsError) as raised:
        read_node_file(str(path), None)
    assert str(path) in str(raised.value)
