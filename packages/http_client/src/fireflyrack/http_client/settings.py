"""Limits of the responses that a client accepts."""

from __future__ import annotations

from pydantic import Field

from fireflyrack.core import SettingsModel


class ResponseLimits(SettingsModel):
    """Largest response that is read; the connection of a larger one is closed."""

    # Longest status line and longest header.
    max_line_bytes: int = Field(default=8190, gt=0)
    max_headers: int = Field(default=128, gt=0)
    # All bytes before the body, including interim responses.
    max_head_bytes: int = Field(default=64 * 1024, gt=0)
    # As received, so with the framing of chunks.
    max_body_bytes: int = Field(default=8 * 1024 * 1024, gt=0)
    # All responses in progress; above it the largest one is given up.
    max_total_bytes: int = Field(default=64 * 1024 * 1024, gt=0)
