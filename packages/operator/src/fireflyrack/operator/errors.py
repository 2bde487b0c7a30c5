"""Errors of commands and of calls to the HTTP API."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class CallFailed:
    """Failure of a command with its kind and the HTTP status, 0 without a response."""

    kind: str
    message: str
    status: int = 0
    detail: Any = None
