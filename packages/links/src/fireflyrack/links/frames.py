"""Conversion between protobuf frames and data classes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from .errors import FrameTooLarge
from .link_pb2 import Frame, Message

# Reserved kind of a response that holds the reason why a request was rejected.
REJECTED_KIND = "links.rejected"
# Reserved kind of a message that cancels the request with the same correlation id.
CANCEL_KIND = "links.cancel"


@dataclass(frozen=True, slots=True)
class IncomingMessage:
    """A message received from a peer."""

    sender: str
    kind: str
    correlation: int
    response: bool
    partial: bool
    body: bytes
    # Address at which the sender accepts links; empty if unknown.
    sender_address: str = ""


def decode_frame(frame: Frame) -> tuple[IncomingMessage, ...]:
    """Return the messages of a frame, each with the sender of the frame."""
    return tuple(
        IncomingMessage(
            sender=frame.sender,
            kind=message.kind,
            correlation=message.correlation,
            response=message.response,
            partial=message.partial,
            body=message.body,
            sender_address=frame.sender_address,
        )
        for message in frame.messages
    )


def encode_frame(
    sender: str, messages: list[Message], sender_address: str = ""
) -> Frame:
    """Return a frame that carries the messages."""
    return Frame(sender=sender, messages=messages, sender_address=sender_address)


def bound_frames(stream: Any, max_bytes: int) -> None:
    """Make an open stream raise FrameTooLarge for a longer frame, before reading it.

    grpclib itself reads a message of any announced length into memory.
    """
    transport = stream._stream
    receive = transport.recv_data

    async def receive_bounded(size: int) -> bytes:
        if size > max_bytes:
            raise FrameTooLarge(f"frame of {size} bytes exceeds {max_bytes} bytes")
        return await receive(size)

    transport.recv_data = receive_bounded
