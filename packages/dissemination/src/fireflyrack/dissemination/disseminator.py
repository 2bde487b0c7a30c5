"""Runner of the gossip protocol: sends and receives its messages over links."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable, Mapping
from functools import singledispatchmethod

from fireflyrack.core import StateMachine
from fireflyrack.links import IncomingMessage, LinkPool, LinkServer, Respond

from .gossip import (
    ComparisonTimerFired,
    Deliver,
    DigestReceived,
    LinkOpened,
    NamesReceived,
    PeersChanged,
    Published,
    RegistersReceived,
    RequestReceived,
    RoundTimerFired,
    SendDigest,
    SendNames,
    SendRegisters,
    SendRequest,
    Withdrawn,
    decide,
)
from .messages import (
    decode_digest,
    decode_names,
    decode_registers,
    encode_digest,
    encode_names,
    encode_registers,
)
from .registers import GossipState, Register
from .settings import DisseminationSettings

REGISTERS_KIND = "dissemination.registers"
NAMES_KIND = "dissemination.names"
REQUEST_KIND = "dissemination.request"
DIGEST_KIND = "dissemination.digest"

# Maximum number of peers outside the member list that get replies. An instance that
# starts while the store is down sends digests before its neighbours know it as a
# member.
MAX_UNLISTED_PEERS = 64

Subscriber = Callable[[Register], None]


class Disseminator:
    """Disseminate registers to all entry instances by gossip.

    Call `subscribe` for each topic, `publish` for each new value and `set_peers` when
    the link addresses of the peers change; run `run_gossip_loops` as a task.
    """

    def __init__(
        self, own: str, settings: DisseminationSettings, links: LinkPool
    ) -> None:
        self.settings = settings
        self.links = links
        self.loop = asyncio.get_running_loop()
        self.addresses: Mapping[str, str] = {}
        self.peers_by_address: dict[str, str] = {}
        # Link addresses of peers that sent messages and are not in `addresses`.
        self.unlisted_addresses: dict[str, str] = {}
        self.subscribers: dict[str, list[Subscriber]] = {}
        links.open_listeners.append(self.handle_link_opened)
        rng = random.Random(secrets.randbits(64))
        self.machine = StateMachine(
            GossipState(own, settings, rng), decide, self.perform
        )

    def register_handlers(self, server: LinkServer) -> None:
        """Register the handlers of gossip messages at the link server."""
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
        """Publish a value; without a version, take the one after the newest known.

        An urgent value is pushed at once, which suits small and rare values. A value
        that expires is removed `ttl_s` after its publication. With `renew`, this
        instance renews it until it is withdrawn or another instance publishes a
        newer one; each renewal is delivered to the subscribers.
        """
        at = self.loop.time()
        event = Published(at, topic, key, body, version, urgent, expires, renew)
        self.machine.feed(event)

    def withdraw(self, topic: str, key: str) -> None:
        """Stop renewing a value, so that it expires."""
        self.machine.feed(Withdrawn(self.loop.time(), topic, key))

    def set_peers(self, addresses: Mapping[str, str]) -> None:
        """Set the link addresses of the peers, by instance."""
        self.addresses = dict(addresses)
        self.peers_by_address = {a: peer for peer, a in addresses.items()}
        self.machine.feed(PeersChanged(self.loop.time(), tuple(addresses)))

    def handle_link_opened(self, address: str) -> None:
        """Feed the opening of the link to a peer."""
        if peer := self.peers_by_address.get(address):
            self.machine.feed(LinkOpened(self.loop.time(), peer))

    async def run_gossip_loops(self) -> None:
        """Run the announcement and comparison timers until cancelled."""
        async with asyncio.TaskGroup() as group:
            settings = self.settings
            group.create_task(self.run_timer(settings.round_s, RoundTimerFired))
            group.create_task(
                self.run_timer(settings.urgent_period_s, ComparisonTimerFired)
            )

    async def run_timer(self, period_s: float, event: type) -> None:
        """Feed an event periodically; jitter keeps instances from synchronizing."""
        rng = self.machine.state.rng
        while True:
            await asyncio.sleep(period_s * rng.uniform(0.5, 1.5))
            self.machine.feed(event(self.loop.time()))

    async def receive_registers(
        self, message: IncomingMessage, respond: Respond
    ) -> None:
        """Process the registers that a peer sent."""
        self.record_sender_address(message)
        registers = decode_registers(message.body)
        event = RegistersReceived(self.loop.time(), message.sender, registers)
        self.machine.feed(event)

    async def receive_names(self, message: IncomingMessage, respond: Respond) -> None:
        """Process the short fingerprints of a peer's registers."""
        self.record_sender_address(message)
        names, buckets = decode_names(message.body)
        event = NamesReceived(self.loop.time(), message.sender, names, buckets)
        self.machine.feed(event)

    async def receive_request(self, message: IncomingMessage, respond: Respond) -> None:
        """Send a peer the registers that it requests."""
        self.record_sender_address(message)
        names, _ = decode_names(message.body)
        event = RequestReceived(self.loop.time(), message.sender, names)
        self.machine.feed(event)

    async def receive_digest(self, message: IncomingMessage, respond: Respond) -> None:
        """Compare the digest of a peer with the local one."""
        self.record_sender_address(message)
        urgent, buckets = decode_digest(message.body)
        event = DigestReceived(self.loop.time(), message.sender, urgent, buckets)
        self.machine.feed(event)

    def record_sender_address(self, message: IncomingMessage) -> None:
        """Record the reply address of a peer that is not in `addresses`."""
        self.unlisted_addresses.pop(message.sender, None)
        if message.sender not in self.addresses and message.sender_address:
            self.unlisted_addresses[message.sender] = message.sender_address
            if len(self.unlisted_addresses) > MAX_UNLISTED_PEERS:
                del self.unlisted_addresses[next(iter(self.unlisted_addresses))]

    def send(self, peer: str, kind: str, body: bytes) -> None:
        """Send a message to a peer; drop it if the address is unknown."""
        if address := self.addresses.get(peer) or self.unlisted_addresses.get(peer):
            self.links.notify(address, kind, body)

    @singledispatchmethod
    def perform(self, action: object) -> None:
        """Perform one action of the gossip protocol."""
        raise TypeError(f"unsupported action type: {type(action).__name__}")

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
