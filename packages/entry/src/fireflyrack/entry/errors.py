"""Errors of the HTTP API."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class ApiError:
    """Error response of the API: a stable kind, an HTTP status and a message."""

    kind: str
    status: int
    message: str
    detail: Any = None


def unknown_service(name: str) -> ApiError:
    """Return the error for a service that is not configured."""
    return ApiError("unknown_service", 404, f"service {name!r} is not configured")


def not_ready() -> ApiError:
    """Return the error of an instance without a confirmed configuration."""
    return ApiError(
        "not_ready", 503, "this instance has no confirmed configuration yet"
    )
