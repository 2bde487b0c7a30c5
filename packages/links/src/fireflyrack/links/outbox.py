"""Send queue of a stream."""

from __future__ import annotations

import asyncio

from .link_pb2 import Message


class Outbox:
    """Bounded queue of messages that the writer of a stream sends in batches.

    Call `put` for each message; the writer calls `take` for each frame.
    """

    def __init__(self, max_messages: int, max_frame_messages: int) -> None:
        self.max_messages = max_messages
        self.max_frame_messages = max_frame_messages
        self.messages: list[Message] = []
        self.available = asyncio.Event()

    def put(self, message: Message) -> bool:
        """Add a message; return False if the queue is full."""
        if len(self.messages) >= self.max_messages:
            return False
        self.messages.append(message)
        self.available.set()
        return True

    async def take(self) -> list[Message]:
        """Wait for messages and remove and return those of the next frame."""
        await self.available.wait()
        batch = self.messages[: self.max_frame_messages]
        self.messages = self.messages[self.max_frame_messages :]
        if not self.messages:
            self.available.clear()
        return batch
