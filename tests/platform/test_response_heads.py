"""Heads of responses with spoiled bytes: a caller gets a whole answer or a failure."""

from __future__ import annotations

import re

import pytest
import stand_in_server as behaviours
from multidict import CIMultiDict, CIMultiDictProxy
from scripted_server import Script, run_attempts

from fireflyrack.forwarding import AttemptOutcome, Completed, Interrupted
from fireflyrack.platform import names
from fireflyrack.platform.backend_responses import decode_notice

SAFE = {"prefix": "/safe/", "service": "s"}
ONCE = {"prefix": "/once/", "service": "s", "kind": "unsafe"}
BODY = b"the whole body"
# The server closes the connection, so an attempt ends long before.
DEADLINE_S = 5.0
SIGNATURE = b"3e1b.07.5a2"
VISIBLE = re.compile(r"[!-~]+")
BITS = tuple(1 << number for number in range(8))


def response(*headers: bytes, line: bytes = b"HTTP/1.1 200 OK") -> bytes:
    """Return a response to the request `own` with further headers."""
    head = (
        line,
        names.REQUEST_ID.encode() + b": own",
        b"Content-Length: %d" % len(BODY),
        *headers,
    )
    return b"\r\n".join(head) + b"\r\n\r\n" + BODY


def signed(signature: bytes = SIGNATURE) -> bytes:
    return names.SIGNATURE.encode() + b": " + signature


async def outcome_of(data: bytes) -> AttemptOutcome:
    """Return the outcome of an attempt whose server sends the given bytes."""
    script = Script((data,), 1.0, False, 0)
    (outcome,) = await run_attempts(script, 1, DEADLINE_S)
    return outcome


def spoil(data: bytes, place: int, bit: int) -> bytes:
    spoiled = bytearray(data)
    spoiled[place] ^= bit
    return bytes(spoiled)


SPOILED_SIGNATURES = {
    "control character": signed(b"3e1\x01b"),
    "delete": signed(b"3e1\x7fb"),
    "not ASCII": signed(b"3e1\xe2b"),
    "space": signed(b"3e 1b"),
    "separator of a list": signed(b"3e,1b"),
    "empty": signed(b""),
    "two": signed() + b"\r\n" + signed(b"77c0"),
}


@pytest.mark.parametrize(
    "header", SPOILED_SIGNATURES.values(), ids=SPOILED_SIGNATURES.keys()
)
@pytest.mark.parametrize("line", [b"HTTP/1.1 200 OK", b"HTTP/1.1 500 Fault"])
async def test_response_with_a_spoiled_signature_is_no_answer(header, line):
    """Guards against a status that is relayed without its signature, or with another.

    It would also be listed among the signatures of a search.
    """
    assert isinstance(await outcome_of(response(header, line=line)), Interrupted)


async def test_whole_response_is_an_answer():
    """Guards against a check of heads that rejects sound ones."""
    outcome = await outcome_of(response(signed()))
    assert isinstance(outcome, Completed)
    assert (outcome.signature, outcome.body) == (SIGNATURE.decode(), BODY)


async def test_no_bit_error_in_a_head_separates_a_success_from_its_signature():
    """Guards against a head that is counted as received and relayed otherwise.

    Each bit of the head is inverted alone. What stays a success has one visible
    signature, which is both counted and relayed.
    """
    sound = response(signed(), b"Content-Type: text/plain", b"Connection: keep-alive")
    head_bytes = len(sound) - len(BODY)
    successes = 0
    for place in range(head_bytes):
        for bit in BITS:
            outcome = await outcome_of(spoil(sound, place, bit))
            if not isinstance(outcome, Completed) or not outcome.succeeded:
                continue
            successes += 1
            relayed = [
                value
                for name, value in outcome.headers
                if name.lower() == names.SIGNATURE.lower()
            ]
            assert relayed == [outcome.signature]
            assert VISIBLE.fullmatch(outcome.signature)
    assert successes > 0


INVALID_STATUS_LINES = [
    *(b"HTTP/1.1 %03d Status" % status for status in (0, 7, 99, 101, 600, 999)),
    b"HTTP/0.9 200 OK",
    b"HTTP/2.0 200 OK",
]


@pytest.mark.parametrize("line", INVALID_STATUS_LINES)
@pytest.mark.parametrize("statement", [(), (names.NOT_RUN.encode() + b": 1",)])
async def test_status_line_that_ends_no_request_is_no_answer(line, statement):
    """Guards against a status without a meaning that is relayed or believed.

    A response that is none cannot state that its request did not run.
    """
    outcome = await outcome_of(response(signed(), *statement, line=line))
    assert isinstance(outcome, Interrupted)


@pytest.mark.parametrize("status", ["000 Zero", "099 Low", "600 High", "999 Highest"])
async def test_refusal_with_a_status_that_ends_no_request_is_not_believed(
    cluster, status
):
    """Guards against a request that may run once and runs again, or is refused."""

    async def refuse(server, request) -> behaviours.Reply:
        refusal = {names.NOT_RUN: "1"}
        return behaviours.Reply(
            behaviours.encode_response(request, b"", status, refusal)
        )

    servers = [
        await cluster.add_server(name, "s", behaviour=refuse) for name in ("i-1", "i-2")
    ]
    await cluster.configure({**ONCE, "maxAttempts": 2})
    gateway = await cluster.start()
    assert await gateway.status("/once/x", method="POST", data=b"order") == 502
    assert sum(len(server.requests) for server in servers) == 1


async def test_spoiled_statement_that_nothing_ran_is_no_refusal():
    """Guards against "not run" for a request that runs, by a header that is none."""
    statement = names.NOT_RUN.encode() + b": \x11"
    line = b"HTTP/1.1 503 Service Unavailable"
    outcome = await outcome_of(response(statement, line=line))
    assert isinstance(outcome, Interrupted)


@pytest.mark.parametrize(
    "value", ["5\x1c", "\x0b5", "1_0", "\u0663", "1e3", "+5", "-0"]
)
@pytest.mark.parametrize("name", [names.RATE_LIMIT, "Retry-After"])
def test_spoiled_number_states_nothing(name, value):
    """Guards against a limit or a pause that a backend server did not ask for."""
    notice = decode_notice(503, CIMultiDictProxy(CIMultiDict({name: value})))
    assert (notice.rate_limit, notice.closed_for_s) == (None, None)
    assert [text.partition(":")[0] for text in notice.unreadable] == [name]


@pytest.mark.parametrize("value", ["0", "5", "2.5", "0.125", "1800"])
def test_plain_number_is_decoded(value):
    """Guards against a check of numbers that rejects sound ones."""
    headers = {names.RATE_LIMIT: value, "Retry-After": value}
    notice = decode_notice(503, CIMultiDictProxy(CIMultiDict(headers)))
    assert notice.rate_limit == notice.closed_for_s == float(value)


async def spoil_signature(server, request) -> behaviours.Reply:
    """Answer with a control character in the signature."""
    whole = await behaviours.answer(server, request)
    return behaviours.Reply(whole.data.replace(b": sig.", b": s\x13g."))


class FirstSpoiled:
    """Behaviour of several servers that spoil the first response to each request."""

    def __init__(self) -> None:
        self.spoiled: set[str] = set()

    async def __call__(self, server, request) -> behaviours.Reply:
        request_id = request.headers[names.REQUEST_ID.lower()]
        if request_id in self.spoiled:
            return await behaviours.answer(server, request)
        self.spoiled.add(request_id)
        return await spoil_signature(server, request)


async def test_request_that_may_run_once_is_unknown_after_a_spoiled_signature(cluster):
    """Guards against a success without its signature, and against a second run."""
    server = await cluster.add_server("i-1", "s", behaviour=spoil_signature)
    await cluster.configure(ONCE)
    gateway = await cluster.start()
    async with gateway.get("/once/x", method="POST", data=b"order") as answer:
        assert answer.status == 502
        assert names.SIGNATURE not in answer.headers
    assert len(server.requests) == 1


async def test_request_is_repeated_elsewhere_after_a_spoiled_signature(cluster):
    """Guards against a failure that another server would have prevented."""
    spoiling = FirstSpoiled()
    for name in ("i-1", "i-2"):
        await cluster.add_server(name, "s", behaviour=spoiling)
    await cluster.configure(SAFE)
    gateway = await cluster.start()
    async with gateway.get("/safe/x") as answer:
        assert answer.status == 200
        assert answer.headers[names.SIGNATURE] in ("sig.i-1", "sig.i-2")
    assert spoiling.spoiled == {"rid"}
