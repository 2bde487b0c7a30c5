"""Client of the HTTP API of the entry instances."""

from __future__ import annotations

import json
from typing import Any

import aiohttp

from fireflyrack.core import Failed, Ok, Outcome

from .errors import CallFailed

UNREACHABLE_KIND = "unreachable"


class ApiClient:
    """HTTP client that sends each call to the first entry instance it can connect to.

    Use it as an async context manager. Failures of a call are returned, not raised.
    """

    def __init__(self, addresses: tuple[str, ...], timeout_s: float = 10.0) -> None:
        self.addresses = addresses
        self.timeout_s = timeout_s
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> ApiClient:
        timeout = aiohttp.ClientTimeout(total=self.timeout_s)
        self.session = aiohttp.ClientSession(timeout=timeout)
        return self

    async def __aexit__(self, *details: object) -> None:
        await self.session.close()

    async def call(
        self, method: str, path: str, body: Any = None
    ) -> Outcome[Any, CallFailed]:
        """Send a request and return the decoded JSON object of the response.

        Stop at the first address that accepts a connection.
        """
        outcome = Failed(CallFailed(UNREACHABLE_KIND, "no instance address was given"))
        for address in self.addresses:
            outcome = await self.call_address(address, method, path, body)
            # Only a request that was never sent is safe to repeat at the next address.
            if not is_unreachable(outcome):
                break
        return outcome

    async def call_address(
        self, address: str, method: str, path: str, body: Any = None
    ) -> Outcome[Any, CallFailed]:
        """Send a request to one address; map connection errors to a failed call."""
        try:
            return await self.send_request(address, method, path, body)
        except (aiohttp.ClientConnectorError, aiohttp.InvalidURL) as error:
            return Failed(CallFailed(UNREACHABLE_KIND, f"{address}: {error}"))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            detail = str(error) or type(error).__name__
            return Failed(CallFailed("no_answer", f"{address}: {detail}"))

    async def send_request(
        self, address: str, method: str, path: str, body: Any
    ) -> Outcome[Any, CallFailed]:
        """Send a request and decode its JSON response."""
        url = f"http://{address}{path}"
        async with self.session.request(method, url, json=body) as response:
            data = await response.read()
            try:
                content = json.loads(data)
            except ValueError:
                content = None
            if not isinstance(content, dict):
                detail = (
                    f"{address} returned status {response.status} without a JSON object"
                )
                return Failed(CallFailed("no_answer", detail, response.status))
            if response.status < 400:
                return Ok(content)
            error = content.get("error")
            error = error if isinstance(error, dict) else {}
            return Failed(
                CallFailed(
                    str(error.get("kind", "unknown")),
                    str(error.get("message", f"status {response.status}")),
                    response.status,
                    error.get("detail"),
                )
            )


def is_unreachable(outcome: Outcome[Any, CallFailed]) -> bool:
    """Return whether the call failed before the request was sent."""
    return isinstance(outcome, Failed) and outcome.error.kind == UNREACHABLE_KIND
