"""Framing of a response: which received bytes belong to it.

The parser does not tell at which byte a response ends. Heads are passed to it one by
one, so that a response is known before the bytes after it are parsed. Bodies are passed
in whole blocks: a block cut at each possible end would cost a call for every few bytes.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from functools import singledispatch

# Bare line feeds count, since the parser accepts them in responses.
BLANK_LINE = re.compile(rb"\n\r?\n")
LEADING_BLANKS = re.compile(rb"[\r\n]+")
LAST_CHUNK = re.compile(rb"\r\n0\r\n\r\n\Z")
LAST_CHUNK_BYTES = 7


@dataclass(slots=True)
class Head:
    """Heads up to the end of the first one that is not interim; mutable."""

    # Whether a byte of a head was received since the last blank line.
    started: bool = False
    # Last bytes of the block before, since a blank line may be split.
    ending: bytes = b""


@dataclass(slots=True)
class SizedBody:
    """Body of a known length; mutable."""

    remaining: int


@dataclass(slots=True)
class ChunkedBody:
    """Body in chunks; mutable."""

    # Last bytes that were received.
    ending: bytes = b"\r\n"


@dataclass(frozen=True, slots=True)
class BodyUntilClose:
    """Body that ends with its connection."""


Framing = Head | SizedBody | ChunkedBody | BodyUntilClose


def framing_of_body(headers: Mapping[str, str], chunked: bool) -> Framing:
    """Return the framing of the body that follows a head."""
    if chunked:
        return ChunkedBody()
    length = headers.get("Content-Length")
    return BodyUntilClose() if length is None else SizedBody(int(length))


@singledispatch
def take(framing: Framing, data: bytes, start: int) -> int:
    """Return the end of the bytes from `start` on that are parsed in one piece.

    They count as received.
    """
    raise TypeError(f"unsupported framing: {type(framing).__name__}")


@take.register
def _(framing: Head, data: bytes, start: int) -> int:
    if not framing.started:
        blanks = LEADING_BLANKS.match(data, start)
        if blanks is not None:
            return blanks.end()
        framing.started = True
    end = end_of_head(framing, data, start)
    if end is None:
        recent = data[max(start, len(data) - 2) :]
        framing.ending = (framing.ending + recent)[-2:]
        return len(data)
    framing.started = False
    framing.ending = b""
    return end


@take.register
def _(framing: SizedBody, data: bytes, start: int) -> int:
    size = min(framing.remaining, len(data) - start)
    framing.remaining -= size
    return start + size


@take.register
def _(framing: ChunkedBody, data: bytes, start: int) -> int:
    recent = data[max(start, len(data) - LAST_CHUNK_BYTES) :]
    framing.ending = (framing.ending + recent)[-LAST_CHUNK_BYTES:]
    return len(data)


@take.register
def _(framing: BodyUntilClose, data: bytes, start: int) -> int:
    return len(data)


@singledispatch
def may_have_extra_bytes(framing: Framing) -> bool:
    """Return whether bytes after the end of the response may have been parsed."""
    return False


@may_have_extra_bytes.register
def _(framing: ChunkedBody) -> bool:
    # A body with trailers counts as well; they are rare.
    return LAST_CHUNK.search(framing.ending) is None


def end_of_head(framing: Head, data: bytes, start: int) -> int | None:
    """Return the end of the blank line that ends a head, None if it is to come."""
    split = BLANK_LINE.search(framing.ending + data[start : start + 2])
    if split is not None:
        return start + split.end() - len(framing.ending)
    blank_line = BLANK_LINE.search(data, start)
    return None if blank_line is None else blank_line.end()
