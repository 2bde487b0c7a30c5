"""Caller that looks up, caches and uses the addresses of entry instances."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

import aiohttp

from fireflyrack.core import Failed, Ok, Outcome


@dataclass(frozen=True, slots=True)
class CallFailure:
    """Call without a reply; `sent` is False if no byte of it was sent."""

    kind: str
    detail: str
    sent: bool


class Caller:
    """Client of the entry instances that behaves as the users' programs do.

    Call `open` before `post`. The addresses are looked up again when they have
    expired or when one of them cannot be reached.
    """

    def __init__(
        self,
        name: str,
        seed_addresses: tuple[str, ...],
        failure_domain: str,
        timeout_s: float,
    ) -> None:
        self.name = name
        self.seed_addresses = seed_addresses
        self.failure_domain = failure_domain
        self.timeout_s = timeout_s
        self.addresses: tuple[str, ...] = ()
        self.expires_at = 0.0
        self.session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Open the connection pool."""
        timeout = aiohttp.ClientTimeout(total=self.timeout_s)
        connector = aiohttp.TCPConnector(limit=0)
        self.session = aiohttp.ClientSession(timeout=timeout, connector=connector)

    async def close(self) -> None:
        """Close the connection pool."""
        await self.session.close()

    async def refresh(self) -> None:
        """Look up the addresses; keep the old ones if no instance replies."""
        query = f"?caller={self.name}&failure_domain={self.failure_domain}"
        for seed in (*self.addresses, *self.seed_addresses):
            try:
                url = f"http://{seed}/v1/addresses{query}"
                async with self.session.get(url) as response:
                    answer = await response.json()
            except (TimeoutError, aiohttp.ClientError, OSError):
                continue
            self.addresses = tuple(a["address"] for a in answer["addresses"])
            now = asyncio.get_running_loop().time()
            self.expires_at = now + answer["ttl_s"]
            return

    async def post(self, path: str, body: Any) -> Outcome[tuple[int, Any], CallFailure]:
        """Send a request; try the next address only if no byte of it was sent."""
        if asyncio.get_running_loop().time() >= self.expires_at:
            await self.refresh()
        failure = CallFailure("no_address", "", sent=False)
        for address in self.addresses:
            try:
                url = f"http://{address}{path}"
                async with self.session.post(url, json=body) as response:
                    return Ok((response.status, await response.json()))
            except aiohttp.ClientConnectorError as error:
                failure = CallFailure("unreachable", str(error), sent=False)
                self.expires_at = 0.0
            except (TimeoutError, aiohttp.ClientError, OSError) as error:
                kind = type(error).__name__
                return Failed(CallFailure(kind, str(error), sent=True))
        return Failed(failure)
