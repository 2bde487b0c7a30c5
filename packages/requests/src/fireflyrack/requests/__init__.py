"""Non-idempotent requests that run at most once."""

from __future__ import annotations

__all__: list[str] = []
