"""Guard against bodies of requests that are lost or read as other requests."""

from __future__ import annotations

import asyncio
import contextlib
import os

import pytest
from hypothesis import HealthCheck, Phase, given, settings, strategies as st
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from fireflyrack.gateway import HttpServer, serving
from fireflyrack.testbed.ports import free_address

# More examples and fresh ones where the variable is set.
EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "0"))
# Answers take milliseconds; a request that waits for its body has none.
TIMEOUT_S = 0.5
SETTLE_S = 0.005
OFFER = (b"Connection: Upgrade, HTTP2-Settings", b"Upgrade: h2c", b"HTTP2-Settings: AA")
WEBSOCKET = (b"Connection: upgrade", b"Upgrade: websocket")
EXPECT = (b"Expect: 100-continue",)
# A body that reads as a request of its own.
SMUGGLED = b"GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"


class RecordingApp:
    """Application that records requests and answers each with its number."""

    def __init__(self, delay_s=0.0):
        self.delay_s = delay_s
        self.requests = []
        self.headers = []

    async def __call__(self, scope, receive, send):
        body = b""
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            body += message.get("body", b"")
            if not message.get("more_body"):
                break
        await asyncio.sleep(self.delay_s)
        self.headers = scope["headers"]
        self.requests.append((scope["method"], scope["path"], body))
        answer = b"%d" % len(self.requests)
        headers = [(b"content-length", b"%d" % len(answer))]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": answer})


def by_length(path, body, *headers):
    length = b"Content-Length: %d" % len(body)
    return encode(b"POST", path, length, *headers) + body


def in_chunks(path, body, *headers):
    chunks = b"".join(
        b"%x\r\n%s\r\n" % (len(part), part) for part in (body[:4], body[4:]) if part
    )
    head = encode(b"POST", path, b"Transfer-Encoding: chunked", *headers)
    return head + chunks + b"0\r\n\r\n"


def without_body(path, body, *headers):
    return encode(b"GET", path, *headers)


def encode(method, path, *headers):
    line = b"%s %s HTTP/1.1" % (method, path)
    return b"\r\n".join((line, b"Host: h", *headers, b"", b""))


async def exchange(expected, *segments, app=None):
    """Send segments over one connection; return the requests served and the answers.

    It ends once the expected number of answers came, and whatever follows at once.
    """
    app = app or RecordingApp()
    server = HttpServer(app, free_address())
    server.bind()
    async with server:
        host, _, port = server.addresses[0].rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        answers = b""
        for segment in segments:
            writer.write(segment)
            # A segment is read before the next one is sent.
            await asyncio.sleep(0.002)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(TIMEOUT_S):
                while answers.count(b" 200 OK") < expected:
                    received = await reader.read(65536)
                    answers += received
                    if not received:
                        break
        await asyncio.sleep(SETTLE_S)
        writer.close()
        await writer.wait_closed()
    return app.requests, answers


@pytest.mark.parametrize("headers", [OFFER, WEBSOCKET, (*OFFER, *EXPECT), EXPECT])
@pytest.mark.parametrize("framing", [by_length, in_chunks])
@pytest.mark.parametrize("apart", [False, True])
async def test_request_that_offers_an_upgrade_keeps_its_body(headers, framing, apart):
    """Guards against an order that runs empty, and a body that is read as a request."""
    data = framing(b"/order", SMUGGLED, *headers)
    cut = data.index(b"\r\n\r\n") + 4
    segments = (data[:cut], data[cut:]) if apart else (data,)
    requests, answer = await exchange(2, *segments, encode(b"GET", b"/next"))
    assert requests == [("POST", "/order", SMUGGLED), ("GET", "/next", b"")]
    assert answer.count(b"HTTP/1.1 200 OK") == 2


async def test_trailers_are_no_headers():
    """Guards against a request id that a trailer replaces after the head."""
    data = in_chunks(b"/order", b"whole", b"X-Id: head")
    trailers = b"X-Id: trailer\r\nX-Other: trailer\r\n"
    app = RecordingApp()
    await exchange(1, data[:-2] + trailers + b"\r\n", app=app)
    assert app.requests == [("POST", "/order", b"whole")]
    assert dict(app.headers)[b"x-id"] == b"head"
    assert b"x-other" not in dict(app.headers)


@pytest.mark.parametrize("garbage", [b"\x00\x01", b"GET\r\n\r\n", b"{}\r\n\r\n"])
@pytest.mark.parametrize("apart", [False, True])
async def test_invalid_bytes_do_not_answer_the_request_before_them(garbage, apart):
    """Guards against a 400 that a caller takes for the answer to its request."""
    request = by_length(b"/order", b"whole")
    segments = (request, garbage) if apart else (request + garbage,)
    app = RecordingApp(delay_s=0.05)
    requests, answers = await exchange(1, *segments, app=app)
    assert requests == [("POST", "/order", b"whole")]
    assert answers.startswith(b"HTTP/1.1 200 OK")
    # What is in the place of the next request is not answered as if it were one.
    assert answers.count(b"HTTP/1.1") == 1
    assert b"connection: close" in answers


async def test_invalid_body_is_refused():
    """Guards against a request that waits for a body that cannot be completed."""
    head = encode(b"POST", b"/order", b"Transfer-Encoding: chunked")
    requests, answers = await exchange(1, head + b"4\r\nbodyx\r\n")
    assert requests == []
    assert answers.startswith(b"HTTP/1.1 400")


async def test_tunnel_is_refused():
    """Guards against bytes of a tunnel that are read as requests."""
    tunnel = encode(b"CONNECT", b"h:1") + SMUGGLED
    requests, answer = await exchange(1, tunnel)
    assert requests == []
    assert answer.startswith(b"HTTP/1.1 400")


framed = st.builds(
    lambda framing, path, body, offers: (
        framing(b"/" + path, body, *offers),
        (
            "GET" if framing is without_body else "POST",
            f"/{path.decode()}",
            b"" if framing is without_body else body,
        ),
    ),
    st.sampled_from([by_length, in_chunks, without_body]),
    st.sampled_from([b"a", b"b", b"c"]),
    st.sampled_from([SMUGGLED, b"", b"x", b"0\r\n\r\n", b"order" * 20]),
    st.sampled_from([(), OFFER, WEBSOCKET, EXPECT, (*OFFER, *EXPECT)]),
)


def cut(data, places):
    """Return the data cut at places that are given as fractions."""
    ends = sorted({round(place * len(data)) for place in places} | {0, len(data)})
    return [data[a:b] for a, b in zip(ends, ends[1:], strict=False)]


def fuzz(examples):
    @settings(
        max_examples=EXAMPLES or examples,
        derandomize=not EXAMPLES,
        deadline=None,
        database=None,
        report_multiple_bugs=False,
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    @given(
        st.lists(framed, min_size=1, max_size=4), st.lists(st.floats(0, 1), max_size=4)
    )
    def property_holds(requests, places):
        data = b"".join(encoded for encoded, _ in requests)
        served, _ = asyncio.run(exchange(len(requests), *cut(data, places)))
        assert served == [expected for _, expected in requests]

    property_holds()


def test_only_framed_requests_are_served_with_their_whole_bodies():
    """Guards against requests that no caller sent, however the bytes are cut."""
    fuzz(60)


def test_the_statement_finds_a_protocol_that_drops_bodies(monkeypatch):
    """Guards against a property that cannot fail."""
    monkeypatch.setattr(serving, "DecliningHttpProtocol", HttpToolsProtocol)
    with pytest.raises(AssertionError):
        fuzz(60)
