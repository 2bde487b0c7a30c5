"""Client of the platform's key-value store."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

import aiohttp

from fireflyrack.core import Failed, Ok, Outcome

from .errors import StoreFailure, StoreFailureKind
from .settings import StoreSettings

REVISION_HEADER = "X-Revision"


@dataclass(frozen=True, slots=True)
class Entry:
    """Hold a value of the store; revision 0 means that the key does not exist."""

    value: bytes
    revision: int


class StoreClient:
    """Call the store over HTTP; each call gives an outcome and never raises.

    Call `open` before the first call and `close` at the end. `calls` counts every
    call by kind, because the store's rate is a budget of the whole fleet.
    """

    def __init__(self, settings: StoreSettings) -> None:
        self.settings = settings
        self.calls: Counter[str] = Counter()
        self.session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Open the connection pool."""
        self.session = aiohttp.ClientSession(base_url=self.settings.url)

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
        """Wait until the revision of a key passes a revision, or for watch_s."""
        settings = self.settings
        query = {"after": str(after_revision), "wait_s": str(settings.watch_s)}
        timeout_s = settings.watch_s + settings.timeout_s
        return await self.get_entry("watch", key, query, timeout_s)

    async def get_entry(
        self, kind: str, key: str, query: dict[str, str], timeout_s: float
    ) -> Outcome[Entry, StoreFailure]:
        """Send a GET for a key."""
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
        """Replace a key whose revision is the expected one; give its new revision.

        The failure is UNKNOWN if the write may have taken effect.
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
        """Return the path of a key."""
        return f"/v1/kv/{self.settings.prefix}/{key}"


def total_timeout(timeout_s: float) -> aiohttp.ClientTimeout:
    """Return a limit for the whole call."""
    return aiohttp.ClientTimeout(total=timeout_s)


def unavailable(detail: str) -> Failed[StoreFailure]:
    """Return the outcome of a call that had no effect."""
    return Failed(StoreFailure(StoreFailureKind.UNAVAILABLE, detail))


def describe_error(error: Exception) -> str:
    """Return the error in one line."""
    return str(error) or type(error).__name__
