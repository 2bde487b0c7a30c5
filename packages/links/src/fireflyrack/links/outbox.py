"""Send queue of a stream."""

from __future__ import annotations

import asyncio

from .link_pb2 import Message
from .settings import LinkSettings

# A frame gets no further message once it holds this part of the largest frame.
FILL_DIVISOR = 4


class Outbox:
    """Bounded queue of messages that the writer of a stream sends in batches.

    Call `put` for each message; the writer calls `take` for each frame.
    """

    def __init__(self, settings: LinkSettings) -> None:
        self.settings = settings
        self.messages: list[Message] = []
        self.available = asyncio.Event()

    def put(self, message: Message) -> bool:
        """Add a message; return False if the queue is full."""
        if len(self.messages) >= self.settings.max_waiting_messages:
            return False
        self.messages.append(message)
        self.available.set()
        return True

    async def take(self) -> list[Message]:
        """Wait for messages and remove and return those of the next frame."""
        await self.available.wait()
        count = self.frame_size()
        batch = self.messages[:count]
        self.messages = self.messages[count:]
        if not self.messages:
            self.available.clear()
        return batch

    def frame_size(self) -> int:
        """Return how many messages the next frame carries, at least one."""
        waiting = self.messages[: self.settings.max_frame_messages]
        filled_bytes = 0
        for count, message in enumerate(waiting, start=1):
            filled_bytes += len(message.body)
            if filled_bytes * FILL_DIVISOR >= self.settings.max_message_bytes:
                return count
        return len(waiting)
