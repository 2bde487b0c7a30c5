"""Event loop whose clock jumps to the next timer, so that tests do not wait."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class JumpingSelector(selectors.DefaultSelector):
    """Selector that advances a virtual clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        """Return the ready files; without any, advance the clock by the timeout."""
        ready = super().select(0)
        if not ready and timeout is not None and timeout > 0:
            self.now += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop with virtual time; nothing may wait for other threads or sockets."""

    def __init__(self) -> None:
        self.clock = JumpingSelector()
        super().__init__(self.clock)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.clock.now


def run_virtual(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
