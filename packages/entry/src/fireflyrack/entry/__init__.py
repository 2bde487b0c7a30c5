"""Entry instance: the HTTP API for callers and operators, and the wiring of slices."""

from __future__ import annotations

from .app import create_app
from .errors import ApiError
from .instance import EntryInstance
from .settings import EntrySettings

__all__ = [
    "ApiError",
    "EntryInstance",
    "EntrySettings",
    "create_app",
]
