"""Creation of client sessions."""

from __future__ import annotations

from typing import Any

import aiohttp

from .connector import CheckedConnector
from .response import CheckedResponse
from .settings import ResponseLimits


def open_session(
    limits: ResponseLimits,
    connector: CheckedConnector | None = None,
    skip_auto_headers: tuple[str, ...] = ("Accept-Encoding",),
    **options: Any,
) -> aiohttp.ClientSession:
    """Return a session with bounded responses; call it in a running loop.

    A request is sent once: retries are decided by the code that uses the session.
    Bodies are neither requested nor decoded in a compressed form, since the limits
    apply to bytes as received.
    """
    session = aiohttp.ClientSession(
        connector=connector or CheckedConnector(limits),
        response_class=CheckedResponse,
        max_line_size=limits.max_line_bytes,
        max_field_size=limits.max_line_bytes,
        max_headers=limits.max_headers,
        skip_auto_headers=skip_auto_headers,
        auto_decompress=False,
        **options,
    )
    session._retry_connection = False
    return session
