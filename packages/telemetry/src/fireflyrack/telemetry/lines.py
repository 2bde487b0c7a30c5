"""Writer of lines to a file descriptor that never blocks the event loop."""

from __future__ import annotations

import asyncio
import os
from collections import deque

# A reader that stalls for longer than this many bytes loses lines.
MAX_BUFFERED_BYTES = 256 * 1024
# Pipes take this much at once or nothing, so that no line is cut where several
# processes share one.
MAX_WRITE_BYTES = 4096
# Lines are gathered this long, because each write costs a system call.
FLUSH_INTERVAL_S = 0.02


class LineWriter:
    """Write lines to a non-blocking descriptor; drop lines while the buffer is full.

    `dropped` counts the lines that did not fit. Call `flush` before the process ends.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.pending: deque[bytes] = deque()
        self.pending_bytes = 0
        self.dropped = 0
        self.scheduled = False
        self.waiting = False
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Queue one line without its line end."""
        if self.pending_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self.pending.append(line + b"\n")
        self.pending_bytes += len(line) + 1
        if not self.scheduled and not self.waiting:
            self.scheduled = True
            asyncio.get_running_loop().call_later(FLUSH_INTERVAL_S, self.flush)

    def flush(self) -> None:
        """Write as much as the descriptor takes now."""
        self.scheduled = False
        while self.pending:
            chunk = self.next_chunk()
            try:
                written = os.write(self.descriptor, chunk)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader has gone for good; a log cannot report that itself.
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
        """Take whole lines off the queue, as many as fit into one atomic write."""
        lines = [self.pending.popleft()]
        size = len(lines[0])
        while self.pending and size + len(self.pending[0]) <= MAX_WRITE_BYTES:
            lines.append(self.pending.popleft())
            size += len(lines[-1])
        return b"".join(lines)

    def wait_until_writable(self) -> None:
        """Flush again once the descriptor takes bytes."""
        if self.waiting:
            return
        loop = asyncio.get_running_loop()
        self.waiting = True

        def ready() -> None:
            loop.remove_writer(self.descriptor)
            self.waiting = False
            self.flush()

        loop.add_writer(self.descriptor, ready)
