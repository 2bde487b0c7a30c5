"""Client of the platform's key-value store."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

import aiohttp

from fireflyrack.core import Failed, Ok, Outcome
from fireflyrack.http_client import open_session

from .errors import StoreFailure, StoreFailureKind
from .settings import StoreSettings

REVISION_HEADER = "X-Revision"


@dataclass(frozen=True, slots=True)
class Entry:
    """A value in the store; revision 0 means that the key does not exist."""

    value: bytes
    revision: int


class StoreClient:
    """HTTP client of the store; calls return an outcome and do not raise.

    Call `open` first and `close` at the end. `calls` counts calls by kind, because
    the rate limit of the store is shared by the whole fleet.
    """

    def __init__(self, settings: StoreSettings) -> None:
        self.settings = settings
        self.calls: Counter[str] = Counter()
        self.session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Open the connection pool."""
        self.session = open_session(
            self.settings.response_limits, base_url=self.settings.url
        )

    async def close(self) -> None:
        """Close the connection pool."""
        if self.session:
            await self.session.close()

    async def read(self, key: str) -> Outcome[Entry, StoreFailure]:
        """Read a key."""
        return await self.get_entry("read", key, {}, self.settings.timeout_s)

    async def watch(
        self, key: str, after_revision: int
    ) -> Outcome[Entry, StoreFailure]:
        """Wait for at most watch_s seconds until a key has a later revision."""
        settings = self.settings
        query = {"after": str(after_revision), "wait_s": str(settings.watch_s)}
        timeout_s = settings.watch_s + settings.timeout_s
        return await self.get_entry("watch", key, query, timeout_s)

    async def get_entry(
        self, kind: str, key: str, query: dict[str, str], timeout_s: float
    ) -> Outcome[Entry, StoreFailure]:
        """Send a GET request for a key."""
        self.calls[kind] += 1
        try:
            async with self.session.get(
                self.path(key), params=query, timeout=total_timeout(timeout_s)
            ) as response:
                if response.status not in (200, 404):
                    return unavailable(f"status {response.status}")
                revision = int(response.headers.get(REVISION_HEADER, "0"))
                value = await response.read() if response.status == 200 else b""
                return Ok(Entry(value, revision))
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            return unavailable(describe_error(error))

    async def write(
        self, key: str, value: bytes, expected_revision: int
    ) -> Outcome[int, StoreFailure]:
        """Replace a value if it has the expected revision; return the new revision.

        The failure kind is UNKNOWN if the write may have taken effect.
        """
        self.calls["write"] += 1
        try:
            async with self.session.put(
                self.path(key),
                params={"expected": str(expected_revision)},
                data=value,
                timeout=total_timeout(self.settings.timeout_s),
            ) as response:
                if response.status == 409:
                    return Failed(StoreFailure(StoreFailureKind.CONFLICT))
                if response.status == 503:
                    return unavailable("status 503")
                if response.status != 200:
                    detail = f"status {response.status}"
                    return Failed(StoreFailure(StoreFailureKind.INVALID, detail))
                return Ok(int(response.headers[REVISION_HEADER]))
        except aiohttp.ClientConnectorError as error:
            return unavailable(describe_error(error))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            # The request may have reached the store before the connection failed.
            return Failed(StoreFailure(StoreFailureKind.UNKNOWN, describe_error(error)))

    def path(self, key: str) -> str:
        """Return the URL path of a key."""
        return f"/v1/kv/{self.settings.prefix}/{key}"


def total_timeout(timeout_s: float) -> aiohttp.ClientTimeout:
    """Return a time limit for the whole call, including the connection."""
    return aiohttp.ClientTimeout(total=timeout_s)


def unavailable(detail: str) -> Failed[StoreFailure]:
    """Return the failure of a call that had no effect."""
    return Failed(StoreFailure(StoreFailureKind.UNAVAILABLE, detail))


def describe_error(error: Exception) -> str:
    """Return the error message, or the type name if the message is empty."""
    return str(error) or type(error).__name__
