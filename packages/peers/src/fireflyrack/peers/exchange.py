"""Shell of the messages between peers over the links."""

from __future__ import annotations

from collections.abc import Callable

from fireflyrack.core import Failed
from fireflyrack.discovery import Item
from fireflyrack.forwarding import News
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
    decode_beliefs,
    decode_news,
    encode_beliefs,
    encode_news,
)

NEWS_KIND = "peers.news"
BELIEFS_KIND = "peers.beliefs"
# A peer that lives answers in this time; a stream that went silent is replaced.
REPLY_TIMEOUT_S = 1.0

Items = dict[str, tuple[Item, ...]]


class PeerExchange:
    """Tell peers news and ask them for beliefs; `start` first, `close` at the end.

    `on_news` gets the id of the peer and its news. `beliefs` returns the items that
    this instance believes in, by prefix of the store.
    """

    def __init__(
        self,
        own: str,
        address: str,
        log: EventLog,
        now: Callable[[], float],
        on_news: Callable[[str, News], None],
        beliefs: Callable[[], Items],
    ) -> None:
        self.address = address
        self.log = log
        self.now = now
        self.on_news = on_news
        self.beliefs = beliefs
        settings = LinkSettings()
        self.pool = LinkPool(settings, own, address)
        self.server = LinkServer(settings, own)
        self.server.register(NEWS_KIND, self.receive_news)
        self.server.register(BELIEFS_KIND, self.receive_question)
        self.lost_since: dict[str, float] = {}

    async def start(self) -> None:
        """Accept links; without an address for them only tell and ask."""
        try:
            await self.server.start(self.address)
        except OSError as error:
            self.log.record(LinksUnavailable(self.address, str(error)))

    async def close(self) -> None:
        """End all links."""
        await self.pool.close()
        await self.server.close()

    async def tell(self, address: str, news: News) -> bool:
        """Send news to a peer; return whether it took them."""
        return await self.request(address, NEWS_KIND, encode_news(news)) is not None

    async def ask(self, address: str) -> Items | None:
        """Return what a peer believes, None if it cannot be asked."""
        body = await self.request(address, BELIEFS_KIND, b"")
        if body is None:
            return None
        items = decode_beliefs(body)
        if isinstance(items, InvalidMessage):
            event = PeerMessageRejected(address, BELIEFS_KIND, items.reason)
            self.log.record(event)
            return None
        return items

    async def request(self, address: str, kind: str, body: bytes) -> bytes | None:
        """Send a request and note whether the peer answered."""
        outcome = await self.pool.request(address, kind, body, REPLY_TIMEOUT_S)
        if isinstance(outcome, Failed):
            if address not in self.lost_since:
                self.lost_since[address] = self.now()
                reason = f"{outcome.error.kind.value} {outcome.error.detail}".strip()
                self.log.record(DependencyLost(f"peer {address}", reason))
            # An open stream may have gone silent; the next use opens another.
            await self.pool.disconnect(address)
            return None
        since = self.lost_since.pop(address, None)
        if since is not None:
            self.log.record(DependencyRegained(f"peer {address}", self.now() - since))
        return outcome.value

    async def forget(self, address: str) -> None:
        """Close the link to a peer that is gone."""
        self.lost_since.pop(address, None)
        await self.pool.disconnect(address)

    async def receive_news(self, message: IncomingMessage, respond: Respond) -> bytes:
        """Take the news of a peer."""
        news = decode_news(message.body)
        if isinstance(news, InvalidMessage):
            event = PeerMessageRejected(message.sender, NEWS_KIND, news.reason)
            self.log.record(event)
        else:
            self.on_news(message.sender, news)
        return b""

    async def receive_question(
        self, message: IncomingMessage, respond: Respond
    ) -> bytes:
        """Tell a peer what this instance believes."""
        return encode_beliefs(self.beliefs())
