"""Responses of backend servers that are cut, doubled, reordered and stretched.

One statement holds for all of them: an attempt ends with the whole response to its own
request, or as a failure. By hand, with fresh examples for some minutes:

    FUZZ_EXAMPLES=20000 pytest tests/platform/test_response_fuzz.py
"""

from __future__ import annotations

import asyncio
import os
from dataclasses import replace

import pytest
from hypothesis import HealthCheck, given, settings, strategies as st
from scripted_server import LIMITS, Script, run_attempts

from fireflyrack.forwarding import AttemptOutcome, Completed
from fireflyrack.http_client import CheckedResponse
from fireflyrack.platform import backend_client, names

# More examples and fresh ones where the variable is set.
EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "0"))
BODY = b"the whole body"


def head(request_id: str, *lines: str) -> bytes:
    fields = (
        "HTTP/1.1 200 OK",
        f"{names.REQUEST_ID}: {request_id}",
        f"{names.SIGNATURE}: sig",
        *lines,
    )
    return "\r\n".join(fields).encode() + b"\r\n\r\n"


def by_length(request_id: str, body: bytes) -> bytes:
    return head(request_id, f"Content-Length: {len(body)}") + body


def in_chunks(request_id: str, body: bytes) -> bytes:
    chunks = (b"%x\r\n%s\r\n" % (len(part), part) for part in (body[:5], body[5:], b""))
    return head(request_id, "Transfer-Encoding: chunked") + b"".join(chunks)


def until_close(request_id: str, body: bytes) -> bytes:
    return head(request_id, "Connection: close") + body


FRAMINGS = (by_length, in_chunks)
own = st.sampled_from([framing("own", BODY) for framing in FRAMINGS])
foreign = st.sampled_from([framing("other", b"foreign body") for framing in FRAMINGS])
noise = st.sampled_from(
    [
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n",
        b"\r\n",
        b"\x00\x01\x02",
        b"x" * (2 * LIMITS.max_line_bytes),
        b"Content-Length: 3\r\n\r\nabc",
        b"0\r\n\r\n",
    ]
)
parts = st.lists(st.one_of(own, own, foreign, noise), min_size=1, max_size=4)
packets = st.sampled_from([0, 1, 7, 64])
framed = st.builds(
    Script,
    parts.map(tuple),
    st.one_of(st.just(1.0), st.floats(0, 1)),
    st.booleans(),
    packets,
)
# A body without a length is all that comes until its connection closes. Only a reset
# tells that something is missing, so it is cut only together with one.
unframed = st.builds(
    Script,
    st.just((until_close("own", BODY),)),
    st.floats(0, 1),
    st.just(True),
    packets,
)
scripts = st.one_of(framed, framed, unframed)


def check(outcome: AttemptOutcome) -> None:
    """Check that an attempt ended with the whole own response, or as a failure."""
    if isinstance(outcome, Completed):
        assert outcome.body == BODY, "a body that is not the whole own one"
        assert (outcome.status, outcome.signature) == (200, "sig")


def fuzz(examples: int = 150) -> None:
    @settings(
        max_examples=EXAMPLES or examples,
        derandomize=not EXAMPLES,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(scripts)
    def property_holds(script: Script) -> None:
        for outcome in asyncio.run(run_attempts(script)):
            check(outcome)

    property_holds()


def test_an_attempt_gets_the_whole_own_response_or_fails():
    """Guards against responses of others, and parts of responses, for a caller."""
    fuzz()


def ignore_request_id(original):
    def decode(response, body, request):
        echoed = response.headers.get(names.REQUEST_ID, request.id)
        return original(response, body, replace(request, id=echoed))

    return decode


def test_the_statement_finds_a_client_that_ignores_request_ids(monkeypatch):
    """Guards against a property that cannot fail."""
    patched = ignore_request_id(backend_client.decode_response)
    monkeypatch.setattr(backend_client, "decode_response", patched)
    with pytest.raises(AssertionError):
        fuzz()


def test_the_statement_finds_a_client_that_ignores_resets(monkeypatch):
    """Guards against a property that cannot fail."""
    monkeypatch.setattr(CheckedResponse, "is_complete", lambda self: True)
    with pytest.raises(AssertionError):
        fuzz(600)
