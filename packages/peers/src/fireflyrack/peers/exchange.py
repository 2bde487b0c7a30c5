"""Exchange of messages with peers over links."""

from __future__ import annotations

from collections.abc import Callable

from fireflyrack.core import Failed
from fireflyrack.discovery import Item
from fireflyrack.forwarding import PeerUpdate
from fireflyrack.links import (
    IncomingMessage,
    LinkPool,
    LinkServer,
    LinkSettings,
    Respond,
)
from fireflyrack.telemetry import DependencyLost, DependencyRegained, EventLog

from .log_events import LinksUnavailable, PeerMessageRejected
from .messages import (
    InvalidMessage,
    decode_items,
    decode_update,
    encode_items,
    encode_update,
)

UPDATE_KIND = "peers.news"
ITEMS_KIND = "peers.beliefs"
# A live peer replies within this time; after it the stream is replaced.
REPLY_TIMEOUT_S = 1.0

ItemsByPrefix = dict[str, tuple[Item, ...]]


class PeerExchange:
    """Send updates to peers and fetch their cached items; call `start`, then `close`.

    `on_update` is called with the id of a peer and its update. `cached_items` returns
    the store items that this instance uses, by store prefix.
    """

    def __init__(
        self,
        own_id: str,
        address: str,
        log: EventLog,
        now: Callable[[], float],
        on_update: Callable[[str, PeerUpdate], None],
        cached_items: Callable[[], ItemsByPrefix],
    ) -> None:
        self.address = address
        self.log = log
        self.now = now
        self.on_update = on_update
        self.cached_items = cached_items
        settings = LinkSettings()
        self.pool = LinkPool(settings, own_id, address)
        self.server = LinkServer(settings, own_id)
        self.server.register(UPDATE_KIND, self.handle_update)
        self.server.register(ITEMS_KIND, self.handle_items_request)
        self.unreachable_since: dict[str, float] = {}

    async def start(self) -> None:
        """Listen for links; if the address is unavailable, log it and only dial out."""
        try:
            await self.server.start(self.address)
        except OSError as error:
            self.log.record(LinksUnavailable(self.address, str(error)))

    async def close(self) -> None:
        """Close all links."""
        await self.pool.close()
        await self.server.close()

    async def send_update(self, address: str, update: PeerUpdate) -> bool:
        """Send an update to a peer; return whether the peer acknowledged it."""
        return (
            await self.request(address, UPDATE_KIND, encode_update(update)) is not None
        )

    async def fetch_items(self, address: str, prefix: str = "") -> ItemsByPrefix | None:
        """Return the cached items of a peer below a store prefix, None on failure.

        A peer of an earlier release sends the items of all prefixes.
        """
        body = await self.request(address, ITEMS_KIND, prefix.encode())
        if body is None:
            return None
        items = decode_items(body)
        if isinstance(items, InvalidMessage):
            event = PeerMessageRejected(address, ITEMS_KIND, items.reason)
            self.log.record(event)
            return None
        return items

    async def request(self, address: str, kind: str, body: bytes) -> bytes | None:
        """Return the reply of a peer, None on failure; log changes of reachability."""
        outcome = await self.pool.request(address, kind, body, REPLY_TIMEOUT_S)
        if isinstance(outcome, Failed):
            if address not in self.unreachable_since:
                self.unreachable_since[address] = self.now()
                reason = f"{outcome.error.kind.value} {outcome.error.detail}".strip()
                self.log.record(DependencyLost(f"peer {address}", reason))
            # The stream may be half-open; the next request opens a new one.
            await self.pool.disconnect(address)
            return None
        since = self.unreachable_since.pop(address, None)
        if since is not None:
            self.log.record(DependencyRegained(f"peer {address}", self.now() - since))
        return outcome.value

    async def close_link(self, address: str) -> None:
        """Close the link to a removed peer."""
        self.unreachable_since.pop(address, None)
        await self.pool.disconnect(address)

    async def handle_update(self, message: IncomingMessage, respond: Respond) -> bytes:
        """Pass the update of a peer to `on_update`; log and discard an invalid one."""
        update = decode_update(message.body)
        if isinstance(update, InvalidMessage):
            event = PeerMessageRejected(message.sender, UPDATE_KIND, update.reason)
            self.log.record(event)
        else:
            self.on_update(message.sender, update)
        return b""

    async def handle_items_request(
        self, message: IncomingMessage, respond: Respond
    ) -> bytes:
        """Return the encoded cached items below the prefix in the request."""
        wanted = message.body.decode("utf-8", "replace")
        items = self.cached_items()
        return encode_items({p: items[p] for p in items if p.startswith(wanted)})
