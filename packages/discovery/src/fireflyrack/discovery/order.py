"""Order of the states that an owner has written of itself under one key.

A store that was restored from a backup lists earlier states again, and a write whose
answer was lost may be executed seconds late.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch
from typing import Any

from .servers import BackendServer, EntryInstance


@dataclass(frozen=True, slots=True)
class WriteOrder:
    """Position of a state among the writes of its owner.

    Positions of different incarnations compare only if their numbers say which one
    started later; such owners use one incarnation name for all.
    """

    incarnation: str
    number: tuple[int, ...]


@singledispatch
def write_order(value: Any) -> WriteOrder | None:
    """Return the position of a state, None if its type has no order."""
    return None


@write_order.register
def _(value: BackendServer) -> WriteOrder:
    return WriteOrder("", (value.incarnation, value.sequence))


@write_order.register
def _(value: EntryInstance) -> WriteOrder:
    return WriteOrder(value.incarnation, (value.registration,))


def is_earlier(value: Any, known: Any) -> bool:
    """Return whether a state was written before a known one; False if unknown."""
    first, second = write_order(value), write_order(known)
    return comparable(first, second) and first.number < second.number


def is_not_later(value: Any, known: Any) -> bool:
    """Return whether a state was written before a known one or is the same."""
    first, second = write_order(value), write_order(known)
    return comparable(first, second) and first.number <= second.number


def comparable(first: WriteOrder | None, second: WriteOrder | None) -> bool:
    """Return whether it is known which of two positions is the later one."""
    if first is None or second is None:
        return False
    return first.incarnation == second.incarnation
