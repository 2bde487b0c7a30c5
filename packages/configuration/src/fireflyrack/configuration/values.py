"""Compression of the values in the store."""

from __future__ import annotations

import zlib

# Limit of the decompressed size, so that a corrupted value cannot exhaust the memory
# of an instance.
MAX_UNPACKED_BYTES = 16 * 1024 * 1024
COMPRESSION_LEVEL = 6


def pack(data: bytes) -> bytes:
    """Return the compressed form of a value."""
    return zlib.compress(data, COMPRESSION_LEVEL)


def unpack(data: bytes) -> bytes:
    """Return the decompressed value; raise ValueError if corrupted or too large."""
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(data, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not decompressor.eof:
        raise ValueError("the value is truncated or too large")
    return value
