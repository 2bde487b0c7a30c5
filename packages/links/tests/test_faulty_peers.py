"""Guard against peers whose frames are malformed or without end."""

from __future__ import annotations

import struct
from contextlib import asynccontextmanager

import pytest

from fireflyrack.core import Ok
from fireflyrack.links import LinkFailureKind, LinkPool, LinkServer, LinkSettings
from fireflyrack.links.link_pb2 import Message
from fireflyrack.links.outbox import Outbox
from fireflyrack.testbed.ports import free_address

SETTINGS = LinkSettings(reconnect_delay_s=0.05, max_message_bytes=100_000)
# A gRPC message: no compression, its length, and bytes that are no protobuf message.
MALFORMED_FRAME = struct.pack(">?I", False, 3) + b"\xff\xff\xff"
OVERSIZED_FRAME = struct.pack(">?I", False, 2**32 - 1) + b"x" * 1000


class FaultyServer(LinkServer):
    """Server that sends scripted bytes on its first stream."""

    def __init__(self, frame):
        super().__init__(SETTINGS, "faulty")
        self.frame = frame

    async def Exchange(self, stream):  # noqa: N802
        frame, self.frame = self.frame, b""
        if frame:
            await stream.send_initial_metadata()
            await stream._stream.send_data(frame)
        await super().Exchange(stream)


async def echo(message, respond):
    return message.body


@asynccontextmanager
async def linked(server):
    """Start a server that echoes, and yield a pool and the address of the server."""
    server.register("echo", echo)
    pool, address = LinkPool(SETTINGS, "client"), free_address()
    await server.start(address)
    try:
        yield pool, address
    finally:
        await pool.close()
        await server.close()


@pytest.mark.parametrize("frame", [MALFORMED_FRAME, OVERSIZED_FRAME])
async def test_link_reopens_after_an_unreadable_frame(frame):
    """Guards against one bad frame that ends a link for good or fills the memory."""
    async with linked(FaultyServer(frame)) as (pool, address):
        failed = await pool.request(address, "echo", b"a", 5)
        assert failed.error.kind is LinkFailureKind.BROKEN
        assert await pool.request(address, "echo", b"b", 5) == Ok(b"b")


async def test_failing_partial_handler_costs_one_stream_only():
    """Guards against an error of a caller that leaves its peer unreachable."""

    async def partial(message, respond):
        respond(b"part")
        return b"whole"

    def fail(body):
        raise ValueError("invalid part")

    server = LinkServer(SETTINGS, "server")
    server.register("partial", partial)
    async with linked(server) as (pool, address):
        outcome = await pool.request(address, "partial", b"", 5, fail)
        assert outcome.error.kind is LinkFailureKind.BROKEN
        assert await pool.request(address, "echo", b"b", 5) == Ok(b"b")


async def test_oversized_frame_to_a_server_ends_only_its_stream():
    """Guards against a peer that makes an instance allocate what it announces."""
    async with linked(LinkServer(SETTINGS, "server")) as (pool, address):
        outcome = await pool.request(address, "echo", b"x" * 200_000, 5)
        assert outcome.error.kind is LinkFailureKind.BROKEN
        assert await pool.request(address, "echo", b"b", 5) == Ok(b"b")


async def test_frames_of_many_large_messages_stay_within_the_limit():
    """Guards against a frame that the peer rejects because a batch is too large."""
    outbox = Outbox(SETTINGS)
    for _ in range(10):
        outbox.put(Message(kind="k", body=b"x" * 20_000))
    taken = []
    while sum(taken) < 10:
        taken.append(len(await outbox.take()))
    assert taken == [2] * 5
