"""Result types that layers return instead of raising exceptions."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")
E = TypeVar("E")


@dataclass(frozen=True, slots=True)
class Ok(Generic[T]):
    """Result of an operation that succeeded."""

    value: T


@dataclass(frozen=True, slots=True)
class Failed(Generic[E]):
    """Result of an operation that failed, with an error type of the layer."""

    error: E


Outcome = Ok[T] | Failed[E]
