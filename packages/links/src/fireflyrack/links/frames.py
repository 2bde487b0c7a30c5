"""Conversion between frames on the wire and data classes."""

from __future__ import annotations

from dataclasses import dataclass

from .link_pb2 import Frame, Message

# Reserved kind of a response that says why the peer did not handle a request.
REJECTED_KIND = "links.rejected"
# Reserved kind of a message that cancels the request with the same correlation.
CANCEL_KIND = "links.cancel"


@dataclass(frozen=True, slots=True)
class IncomingMessage:
    """Hold one message from a peer."""

    sender: str
    kind: str
    correlation: int
    response: bool
    partial: bool
    body: bytes
    # Where the sender accepts links; empty if it did not say.
    sender_address: str = ""


def decode_frame(frame: Frame) -> tuple[IncomingMessage, ...]:
    """Return the messages of a frame."""
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
