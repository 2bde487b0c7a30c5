from __future__ import annotations

import asyncio
import os
import time

from fireflyrack.telemetry import LineWriter
from fireflyrack.telemetry.lines import MAX_BUFFERED_BYTES, MAX_WRITE_BYTES


async def read_all(descriptor: int, size: int) -> bytes:
    data = b""
    os.set_blocking(descriptor, False)
    async with asyncio.timeout(5):
        while len(data) < size:
            try:
                data += os.read(descriptor, 1 << 16)
            except BlockingIOError:
                await asyncio.sleep(0.01)
    return data


async def test_stalled_reader_blocks_nothing_and_later_gets_whole_lines():
    """Guards against a full pipe that blocks the event loop."""
    reader, descriptor = os.pipe()
    writer = LineWriter(descriptor)
    line = b"x" * 199
    started = time.monotonic()
    for _ in range(4000):
        writer.write(line)
    writer.flush()
    await asyncio.sleep(0.1)
    assert time.monotonic() - started < 1.0
    assert writer.dropped > 0
    assert writer.pending_bytes <= MAX_BUFFERED_BYTES
    kept = 4000 - writer.dropped
    data = await read_all(reader, kept * 200)
    assert data == (line + b"\n") * kept
    os.close(reader)
    os.close(descriptor)


async def test_chunk_holds_whole_lines_within_atomic_write_size():
    """Guards against interleaved lines of two processes on a shared pipe."""
    reader, descriptor = os.pipe()
    writer = LineWriter(descriptor)
    for _ in range(50):
        writer.write(b"y" * 300)
    chunk = writer.next_chunk()
    assert len(chunk) <= MAX_WRITE_BYTES
    assert chunk.endswith(b"\n")
    os.close(reader)
    os.close(descriptor)


async def test_closed_reader_drops_lines_without_an_error():
    """Guards against a broken pipe that terminates the process."""
    reader, descriptor = os.pipe()
    os.close(reader)
    writer = LineWriter(descriptor)
    writer.write(b"z")
    writer.flush()
    assert writer.dropped == 1
    os.close(descriptor)
