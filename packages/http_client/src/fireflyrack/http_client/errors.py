"""Errors of the HTTP client, in addition to those of aiohttp."""

from __future__ import annotations

import aiohttp


class ResponseTooLarge(aiohttp.ClientPayloadError):
    """A response exceeds its limit, or is the largest of too many bytes."""
