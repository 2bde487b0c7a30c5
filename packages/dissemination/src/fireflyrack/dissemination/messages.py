"""Wire form of the dissemination: protobuf, compressed where it pays."""

from __future__ import annotations

import zlib

from google.protobuf.message import DecodeError, Message

from .errors import InvalidGossipMessage
from .registers import BUCKETS, Register
from .spread_pb2 import Digest, Names, RegisterEntry, Registers

# The first byte says how the rest is encoded.
PLAIN = b"\x00"
COMPRESSED = b"\x01"
# Shorter messages hardly shrink.
MIN_COMPRESSED_BYTES = 200
MAX_MESSAGE_BYTES = 8 * 1024 * 1024


def encode(message: Message) -> bytes:
    """Return the wire form of a message."""
    data = message.SerializeToString()
    if len(data) < MIN_COMPRESSED_BYTES:
        return PLAIN + data
    return COMPRESSED + zlib.compress(data, 1)


def decode(data: bytes, message: Message) -> Message:
    """Read a wire form into a message; raise InvalidGossipMessage if it is wrong."""
    try:
        content = data[1:]
        if data[:1] == COMPRESSED:
            decompressor = zlib.decompressobj()
            content = decompressor.decompress(content, MAX_MESSAGE_BYTES)
            if not decompressor.eof:
                raise InvalidGossipMessage("truncated or too large")
        message.ParseFromString(content)
    except (DecodeError, zlib.error) as error:
        raise InvalidGossipMessage(str(error)) from error
    return message


def encode_registers(registers: tuple[tuple[Register, float], ...]) -> bytes:
    """Return the wire form of registers with their ages in seconds."""
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
    """Return registers with their ages in seconds."""
    message = decode(data, Registers())
    topics = message.topics
    if any(entry.topic >= len(topics) for entry in message.registers):
        raise InvalidGossipMessage("a register names no topic")
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
    """Return the wire form of short fingerprints."""
    return encode(Names(names=names, buckets=buckets))


def decode_names(data: bytes) -> tuple[tuple[int, ...], tuple[int, ...]]:
    """Return short fingerprints and the buckets that they list completely."""
    message = decode(data, Names())
    if any(bucket >= BUCKETS for bucket in message.buckets):
        raise InvalidGossipMessage("a bucket is out of range")
    return tuple(message.names), tuple(message.buckets)


def encode_digest(urgent: int, buckets: tuple[int, ...]) -> bytes:
    """Return the wire form of a digest."""
    return encode(Digest(urgent=urgent, buckets=buckets))


def decode_digest(data: bytes) -> tuple[int, tuple[int, ...]]:
    """Return the digest of the urgent registers and those of all buckets."""
    message = decode(data, Digest())
    if len(message.buckets) not in (0, BUCKETS):
        raise InvalidGossipMessage(f"a digest has {BUCKETS} buckets")
    return message.urgent, tuple(message.buckets)
