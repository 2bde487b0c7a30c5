"""Wire encoding of gossip messages: protobuf, with zlib above a minimum size."""

from __future__ import annotations

import zlib

from google.protobuf.message import DecodeError, Message

from .errors import InvalidSpreadMessage
from .registers import BUCKETS, Register
from .spread_pb2 import Digest, Names, RegisterEntry, Registers

# Values of the first byte, which gives the encoding of the rest.
PLAIN = b"\x00"
COMPRESSED = b"\x01"
# Compression hardly shrinks shorter messages.
MIN_COMPRESSED_BYTES = 200
MAX_MESSAGE_BYTES = 8 * 1024 * 1024


def encode(message: Message) -> bytes:
    """Encode a message, compressed if it is large enough to shrink."""
    data = message.SerializeToString()
    if len(data) < MIN_COMPRESSED_BYTES:
        return PLAIN + data
    return COMPRESSED + zlib.compress(data, 1)


def decode(data: bytes, message: Message) -> Message:
    """Decode data into a message; raise InvalidSpreadMessage if it is malformed."""
    try:
        content = data[1:]
        if data[:1] == COMPRESSED:
            decompressor = zlib.decompressobj()
            content = decompressor.decompress(content, MAX_MESSAGE_BYTES)
            if not decompressor.eof:
                raise InvalidSpreadMessage(
                    f"compressed message is truncated or over {MAX_MESSAGE_BYTES} bytes"
                )
        message.ParseFromString(content)
    except (DecodeError, zlib.error) as error:
        raise InvalidSpreadMessage(str(error)) from error
    return message


def encode_registers(registers: tuple[tuple[Register, float], ...]) -> bytes:
    """Encode registers with their ages in seconds."""
    topics = sorted({register.topic for register, _ in registers})
    numbers = {topic: number for number, topic in enumerate(topics)}
    entries = [
        RegisterEntry(
            topic=numbers[register.topic],
            key=register.key,
            version=register.version,
            body=register.body,
            age_s=int(age_s),
            urgent=register.urgent,
            expires=register.expires,
        )
        for register, age_s in registers
    ]
    return encode(Registers(topics=topics, registers=entries))


def decode_registers(data: bytes) -> tuple[tuple[Register, float], ...]:
    """Decode registers and their ages in seconds; raise InvalidSpreadMessage."""
    message = decode(data, Registers())
    topics = message.topics
    if any(entry.topic >= len(topics) for entry in message.registers):
        raise InvalidSpreadMessage("topic index of a register is out of range")
    return tuple(
        (
            Register(
                topics[entry.topic],
                entry.key,
                entry.version,
                entry.body,
                entry.urgent,
                entry.expires,
            ),
            float(entry.age_s),
        )
        for entry in message.registers
    )


def encode_names(names: tuple[int, ...], buckets: tuple[int, ...] = ()) -> bytes:
    """Encode short fingerprints and the buckets that they list completely."""
    return encode(Names(names=names, buckets=buckets))


def decode_names(data: bytes) -> tuple[tuple[int, ...], tuple[int, ...]]:
    """Decode short fingerprints and the buckets that they list completely.

    Raise InvalidSpreadMessage if the message is malformed.
    """
    message = decode(data, Names())
    if any(bucket >= BUCKETS for bucket in message.buckets):
        raise InvalidSpreadMessage(f"bucket index is not below {BUCKETS}")
    return tuple(message.names), tuple(message.buckets)


def encode_digest(urgent: int, buckets: tuple[int, ...]) -> bytes:
    """Encode the digest of the urgent registers and those of all buckets."""
    return encode(Digest(urgent=urgent, buckets=buckets))


def decode_digest(data: bytes) -> tuple[int, tuple[int, ...]]:
    """Decode the digest of the urgent registers and those of all buckets.

    Raise InvalidSpreadMessage if the message is malformed.
    """
    message = decode(data, Digest())
    if len(message.buckets) not in (0, BUCKETS):
        raise InvalidSpreadMessage(
            f"digest has {len(message.buckets)} buckets, not 0 or {BUCKETS}"
        )
    return message.urgent, tuple(message.buckets)
