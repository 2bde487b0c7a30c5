"""Non-blocking line writer for a file descriptor."""

from __future__ import annotations

import asyncio
import os
from collections import deque

# Lines beyond this backlog are dropped while the reader stalls.
MAX_BUFFERED_BYTES = 256 * 1024
# Writes of up to PIPE_BUF bytes are atomic, so lines of several processes that share
# a pipe do not interleave.
MAX_WRITE_BYTES = 4096
# Lines are batched for this long, because each write costs a system call.
FLUSH_INTERVAL_S = 0.02


class LineWriter:
    """Write lines to a file descriptor without blocking; drop lines on overflow.

    `dropped` counts the lines that did not fit. Call `flush` before the process ends.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.pending: deque[bytes] = deque()
        self.pending_bytes = 0
        self.dropped = 0
        self.flush_scheduled = False
        self.writer_registered = False
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Queue one line without its newline, or drop it if the buffer is full."""
        if self.pending_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self.pending.append(line + b"\n")
        self.pending_bytes += len(line) + 1
        if not self.flush_scheduled and not self.writer_registered:
            self.flush_scheduled = True
            asyncio.get_running_loop().call_later(FLUSH_INTERVAL_S, self.flush)

    def flush(self) -> None:
        """Write queued lines until the descriptor would block."""
        self.flush_scheduled = False
        while self.pending:
            chunk = self.next_chunk()
            try:
                written = os.write(self.descriptor, chunk)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader closed the pipe, so the error cannot be logged.
                self.dropped += chunk.count(b"\n") + len(self.pending)
                self.pending.clear()
                self.pending_bytes = 0
                return
            self.pending_bytes -= written
            if written < len(chunk):
                self.pending.appendleft(chunk[written:])
                self.wait_until_writable()
                return

    def next_chunk(self) -> bytes:
        """Dequeue as many whole lines as fit into one atomic write."""
        lines = [self.pending.popleft()]
        size = len(lines[0])
        while self.pending and size + len(self.pending[0]) <= MAX_WRITE_BYTES:
            lines.append(self.pending.popleft())
            size += len(lines[-1])
        return b"".join(lines)

    def wait_until_writable(self) -> None:
        """Flush again when the event loop reports the descriptor writable."""
        if self.writer_registered:
            return
        loop = asyncio.get_running_loop()
        self.writer_registered = True

        def on_writable() -> None:
            loop.remove_writer(self.descriptor)
            self.writer_registered = False
            self.flush()

        loop.add_writer(self.descriptor, on_writable)
