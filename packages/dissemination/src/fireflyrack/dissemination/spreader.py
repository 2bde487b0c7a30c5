"""Shell of the dissemination: messages over the links."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable, Mapping
from functools import singledispatchmethod

from fireflyrack.core import StateMachine
from fireflyrack.links import IncomingMessage, LinkPool, LinkServer, Respond

from .messages import (
    decode_digest,
    decode_names,
    decode_registers,
    encode_digest,
    encode_names,
    encode_registers,
)
from .registers import Register, SpreadState
from .settings import DisseminationSettings
from .spreading import (
    CompareTicked,
    Deliver,
    DigestReceived,
    NamesReceived,
    NeighboursChanged,
    Published,
    RegistersReceived,
    RequestReceived,
    RoundTicked,
    SendDigest,
    SendNames,
    SendRegisters,
    SendRequest,
    Withdrawn,
    decide,
)

REGISTERS_KIND = "dissemination.registers"
NAMES_KIND = "dissemination.names"
REQUEST_KIND = "dissemination.request"
DIGEST_KIND = "dissemination.digest"

# An instance that starts while the store is down compares with its neighbours
# before they know it as a member; this many such peers are answered.
MAX_UNLISTED_PEERS = 64

Subscriber = Callable[[Register], None]


class Spreader:
    """Spread registers to all entry instances.

    Call `subscribe` for each topic, `publish` for each new value, `follow` with the
    link addresses of the peers when they change, and run `compare` as a task.
    """

    def __init__(
        self, own: str, settings: DisseminationSettings, links: LinkPool
    ) -> None:
        self.settings = settings
        self.links = links
        self.loop = asyncio.get_running_loop()
        self.addresses: Mapping[str, str] = {}
        # Peers that have sent messages and are not among the addresses.
        self.unlisted: dict[str, str] = {}
        self.subscribers: dict[str, list[Subscriber]] = {}
        rng = random.Random(secrets.randbits(64))
        self.machine = StateMachine(
            SpreadState(own, settings, rng), decide, self.perform
        )

    def register_handlers(self, server: LinkServer) -> None:
        """Register the handlers of the messages."""
        server.register(REGISTERS_KIND, self.receive_registers)
        server.register(NAMES_KIND, self.receive_names)
        server.register(REQUEST_KIND, self.receive_request)
        server.register(DIGEST_KIND, self.receive_digest)

    def subscribe(self, topic: str, subscriber: Subscriber) -> None:
        """Call a subscriber with each new register of a topic."""
        self.subscribers.setdefault(topic, []).append(subscriber)

    def publish(
        self,
        topic: str,
        key: str,
        body: bytes,
        version: int | None = None,
        *,
        urgent: bool = False,
        expires: bool = True,
        renew: bool = False,
    ) -> None:
        """Spread a value; without a version it supersedes the newest known one.

        An urgent value is pushed at once; use it for small and rare ones. A value
        that expires is dropped `ttl_s` after it was published, unless `renew` makes
        this instance renew it until it is withdrawn or another instance publishes
        a newer one. Subscribers get a renewed value again.
        """
        at = self.loop.time()
        event = Published(at, topic, key, body, version, urgent, expires, renew)
        self.machine.feed(event)

    def withdraw(self, topic: str, key: str) -> None:
        """Stop to renew a value, so that it expires."""
        self.machine.feed(Withdrawn(self.loop.time(), topic, key))

    def follow(self, addresses: Mapping[str, str]) -> None:
        """Take the link addresses of the peers by instance."""
        self.addresses = dict(addresses)
        self.machine.feed(NeighboursChanged(self.loop.time(), tuple(addresses)))

    async def compare(self) -> None:
        """Announce new registers and compare digests until cancelled."""
        async with asyncio.TaskGroup() as group:
            settings = self.settings
            group.create_task(self.tick(settings.round_s, RoundTicked))
            group.create_task(self.tick(settings.urgent_period_s, CompareTicked))

    async def tick(self, period_s: float, event: type) -> None:
        """Feed an event periodically, with jitter that keeps instances apart."""
        rng = self.machine.state.rng
        while True:
            await asyncio.sleep(period_s * rng.uniform(0.5, 1.5))
            self.machine.feed(event(self.loop.time()))

    async def receive_registers(
        self, message: IncomingMessage, respond: Respond
    ) -> None:
        """Take registers from a peer."""
        self.note_sender(message)
        registers = decode_registers(message.body)
        event = RegistersReceived(self.loop.time(), message.sender, registers)
        self.machine.feed(event)

    async def receive_names(self, message: IncomingMessage, respond: Respond) -> None:
        """Take short names of a peer's registers."""
        self.note_sender(message)
        names, buckets = decode_names(message.body)
        event = NamesReceived(self.loop.time(), message.sender, names, buckets)
        self.machine.feed(event)

    async def receive_request(self, message: IncomingMessage, respond: Respond) -> None:
        """Give a peer the registers that it asks for."""
        self.note_sender(message)
        names, _ = decode_names(message.body)
        event = RequestReceived(self.loop.time(), message.sender, names)
        self.machine.feed(event)

    async def receive_digest(self, message: IncomingMessage, respond: Respond) -> None:
        """Compare with the digest of a peer."""
        self.note_sender(message)
        urgent, buckets = decode_digest(message.body)
        event = DigestReceived(self.loop.time(), message.sender, urgent, buckets)
        self.machine.feed(event)

    def note_sender(self, message: IncomingMessage) -> None:
        """Remember where to answer a peer that is not listed."""
        self.unlisted.pop(message.sender, None)
        if message.sender not in self.addresses and message.sender_address:
            self.unlisted[message.sender] = message.sender_address
            if len(self.unlisted) > MAX_UNLISTED_PEERS:
                del self.unlisted[next(iter(self.unlisted))]

    def send(self, peer: str, kind: str, body: bytes) -> None:
        """Send a message to a peer whose address is known."""
        if address := self.addresses.get(peer) or self.unlisted.get(peer):
            self.links.notify(address, kind, body)

    @singledispatchmethod
    def perform(self, action: object) -> None:
        """Perform one action of the dissemination."""
        raise TypeError(f"not an action: {type(action).__name__}")

    @perform.register
    def _(self, action: Deliver) -> None:
        for subscriber in self.subscribers.get(action.register.topic, ()):
            subscriber(action.register)

    @perform.register
    def _(self, action: SendRegisters) -> None:
        body = encode_registers(action.registers)
        for peer in action.peers:
            self.send(peer, REGISTERS_KIND, body)

    @perform.register
    def _(self, action: SendNames) -> None:
        body = encode_names(action.names, action.buckets)
        for peer in action.peers:
            self.send(peer, NAMES_KIND, body)

    @perform.register
    def _(self, action: SendRequest) -> None:
        self.send(action.peer, REQUEST_KIND, encode_names(action.names))

    @perform.register
    def _(self, action: SendDigest) -> None:
        body = encode_digest(action.urgent, action.buckets)
        self.send(action.peer, DIGEST_KIND, body)
