"""Command line for operators, a client of the HTTP API."""

from __future__ import annotations

from .client import ApiClient
from .errors import CallFailed

__all__ = ["ApiClient", "CallFailed"]
