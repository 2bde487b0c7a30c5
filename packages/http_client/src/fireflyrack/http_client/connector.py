"""Pool of connections without unsolicited data."""

from __future__ import annotations

import functools
from typing import Any

import aiohttp

from .budget import ReceiveBudget
from .handler import CheckedResponseHandler
from .settings import ResponseLimits


class CheckedConnector(aiohttp.TCPConnector):
    """Connector that bounds responses and checks connections before reusing them.

    The aiohttp pool does not check for bytes received while a connection was idle;
    they would be taken for the response to the next request.
    Connectors of one process may share a budget for the bytes of their responses.
    """

    def __init__(
        self,
        limits: ResponseLimits,
        budget: ReceiveBudget | None = None,
        **options: Any,
    ) -> None:
        super().__init__(**options)
        self.budget = budget or ReceiveBudget(limits.max_total_bytes)
        self._factory = functools.partial(
            CheckedResponseHandler, limits, self.budget, loop=self._loop
        )

    async def _get(
        self, key: Any, traces: list[Any]
    ) -> aiohttp.connector.Connection | None:
        """Return an idle connection without unsolicited data, or None."""
        while connection := await super()._get(key, traces):
            if not connection.protocol.should_close:
                return connection
            connection.close()
        return None

    def close_idle(self) -> None:
        """Close the idle connections, so that the next requests open new ones."""
        for connections in self._conns.values():
            for protocol, _ in connections:
                protocol.close()
