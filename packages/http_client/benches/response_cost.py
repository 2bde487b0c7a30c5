"""Measure the processor time for each byte of the responses that cost most.

.venv/bin/python packages/http_client/benches/response_cost.py
"""

from __future__ import annotations

import asyncio
import time

from fireflyrack.http_client import ReceiveBudget, ResponseLimits
from fireflyrack.http_client.handler import CheckedResponseHandler

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
BLOCK_BYTES = (64 * 1024, 256 * 1024)
ROUNDS = 5
# Start of a response and the bytes that follow it without end.
RESPONSES = {
    "letters, no length": (HEAD + b"\r\n", b"b"),
    "blank lines, no length": (HEAD + b"\r\n", b"\r\n"),
    "blank lines in a chunk": (CHUNKED + b"fffffff\r\n", b"\r\n"),
    "chunks of blank lines": (CHUNKED, b"4\r\n\r\n\r\n\r\n"),
    "smallest chunks": (CHUNKED, b"1\r\nb\r\n"),
    "chunk extension": (CHUNKED + b"4;", b"x"),
    "chunk size": (CHUNKED, b"0"),
    "trailers": (CHUNKED + b"0\r\n", b"X: y\r\n"),
    "blank lines before a head": (b"", b"\r\n"),
    "interim responses": (b"", b"HTTP/1.1 103 A\r\n\r\n"),
    "headers": (HEAD, b"A:\r\n"),
}


class Connection(asyncio.Transport):
    """Transport that discards what is done with it."""

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def close(self) -> None:
        pass

    abort = close

    def is_closing(self) -> bool:
        return False


def new_handler() -> CheckedResponseHandler:
    """Return the handler of a connection with a budget of its own."""
    limits = ResponseLimits()
    budget = ReceiveBudget(limits.max_total_bytes)
    return CheckedResponseHandler(limits, budget, asyncio.get_running_loop())


def measure(start: bytes, filler: bytes, size: int) -> float:
    """Return the processor time of one block, in seconds."""
    handler = new_handler()
    handler.connection_made(Connection())
    handler.set_response_params(read_until_eof=True, auto_decompress=False)
    if start:
        handler.data_received(start)
    block = filler * (size // len(filler))
    started_at = time.process_time()
    handler.data_received(block)
    return time.process_time() - started_at


async def main() -> None:
    """Print the time for each kind of response and size of block."""
    for name, (start, filler) in RESPONSES.items():
        times = [
            min(measure(start, filler, size) for _ in range(ROUNDS))
            for size in BLOCK_BYTES
        ]
        columns = (
            f"{size // 1024} KiB {1e3 * time_s:8.2f} ms {1e9 * time_s / size:7.1f} ns/B"
            for size, time_s in zip(BLOCK_BYTES, times, strict=True)
        )
        print(f"{name:28}", *columns)


if __name__ == "__main__":
    asyncio.run(main())
