"""Errors of the HTTP client, in addition to those of aiohttp."""

from __future__ import annotations

import aiohttp


class ResponseTooLarge(aiohttp.ClientPayloadError):
    """The head or the body of a response exceeds its limit."""
