"""Replica of the configuration on this instance, fed from the store and peers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping
from functools import singledispatchmethod

import logbook

from fireflyrack.configuration import (
    BUNDLE_KIND,
    HEAD_KEY,
    HEAD_KIND,
    ApplyConfiguration,
    BundleHistory,
    BundleModel,
    BundleRequestModel,
    Configuration,
    ConfigurationOffered,
    ConfigurationSource,
    ConfirmationService,
    DeployedConfiguration,
    FetchVersion,
    HeadAnnounced,
    PeerAnswer,
    PeerAnswered,
    PeerHeadModel,
    PeersListed,
    PeersPolled,
    ReplicaState,
    ReportReady,
    ReportRefusedOffer,
    Repository,
    StoreClient,
    apply_bundle,
    decide,
    watchers,
)
from fireflyrack.core import Failed, Ok, StateMachine
from fireflyrack.dissemination import Disseminator, Register
from fireflyrack.links import IncomingMessage, LinkPool, LinkServer, Respond

HEAD_TOPIC = "configuration.head"
HEAD_REGISTER = "head"
# Peers polled at once for their version, so that a start opens few links.
POLL_BATCH_SIZE = 8
# Peers tried in each round, and rounds before the store is read as the last resort.
# The number of holders grows with each round: a version that only the watchers hold
# reaches 830 instances in at most seven rounds (simulated, 50 seeds).
FETCH_PEERS_PER_ROUND = 3
FETCH_ROUNDS = 8
FETCH_DELAY_S = 0.2
# How long a start waits for the instance list before it continues without it.
MEMBER_LIST_TIMEOUT_S = 2.0
log = logbook.Logger("configuration")


class ConfigurationReplica:
    """Keep the newest configuration; run `bootstrap` and `run_loop` as tasks.

    Call `register_handlers` before the links start and `set_member_addresses` with the
    link addresses of the members, this instance included. `on_change` is called with
    each configuration that becomes active.
    """

    def __init__(
        self,
        own: str,
        store: StoreClient,
        links: LinkPool,
        disseminator: Disseminator,
        on_change: Callable[[Configuration], None],
    ) -> None:
        self.own = own
        self.store = store
        self.links = links
        self.disseminator = disseminator
        self.on_change = on_change
        self.repository = Repository(store)
        self.confirmations = ConfirmationService(
            self.repository, store.settings, lambda: self.configuration.version
        )
        self.history = BundleHistory()
        self.machine = StateMachine(ReplicaState(own), decide, self.perform)
        self.rng = random.Random()
        self.store_reachable = True
        self.addresses: Mapping[str, str] = {}
        self.members_changed = asyncio.Event()
        self.fetch_task: asyncio.Task[None] | None = None

    @property
    def configuration(self) -> Configuration:
        """Return the active configuration."""
        return self.machine.state.configuration

    def register_handlers(self, server: LinkServer) -> None:
        """Register the message handlers and subscribe to announced heads."""
        server.register(HEAD_KIND, self.serve_head)
        server.register(BUNDLE_KIND, self.serve_bundle)
        self.disseminator.subscribe(HEAD_TOPIC, self.receive_head)

    def set_member_addresses(self, addresses: Mapping[str, str]) -> None:
        """Set the link addresses of the members by instance."""
        self.addresses = dict(addresses)
        peers = frozenset(addresses) - {self.own}
        self.machine.feed(PeersListed(peers))
        self.members_changed.set()

    def is_watcher(self) -> bool:
        """Return whether this instance is to watch the head in the store."""
        members = {*self.addresses, self.own}
        return self.own in watchers(members, self.store.settings.watchers)

    async def bootstrap(self) -> None:
        """Poll peers for their version until this instance may serve."""
        try:
            async with asyncio.timeout(MEMBER_LIST_TIMEOUT_S):
                await self.members_changed.wait()
        except TimeoutError:
            log.warning("no instance list yet; starting without polling peers")
        attempt = 0
        while not self.machine.state.confirmed:
            await self.poll_peers()
            self.machine.feed(PeersPolled())
            attempt += 1
            await self.wait_before_retry(attempt)

    async def poll_peers(self) -> None:
        """Poll peers in batches: one if the store was read, else up to a quorum."""
        peers = sorted(self.machine.state.peers)
        self.rng.shuffle(peers)
        for start in range(0, len(peers), POLL_BATCH_SIZE):
            batch = peers[start : start + POLL_BATCH_SIZE]
            async with asyncio.TaskGroup() as group:
                for peer in batch:
                    group.create_task(self.poll_peer(peer))
            state = self.machine.state
            if state.store_read or state.confirmed:
                return

    async def poll_peer(self, peer: str) -> None:
        """Poll one peer for its version."""
        body = await self.request(peer, HEAD_KIND, b"")
        if body is None:
            return
        model = PeerHeadModel.model_validate_json(body)
        answer = PeerAnswer(model.version, model.digest, model.confirmed)
        self.machine.feed(PeerAnswered(peer, answer))

    async def request(self, peer: str, kind: str, body: bytes) -> bytes | None:
        """Send a request to a peer; return its reply, or None on a failure."""
        address = self.addresses.get(peer)
        if address is None:
            return None
        timeout_s = self.store.settings.peer_timeout_s
        match await self.links.request(address, kind, body, timeout_s):
            case Ok(answer):
                return answer
            case Failed():
                return None

    async def run_loop(self) -> None:
        """Read the head once, then watch it while this instance is a watcher."""
        attempt = 0
        while True:
            state = self.machine.state
            if not self.is_watcher() and (state.store_read or state.confirmed):
                self.members_changed.clear()
                await self.members_changed.wait()
                continue
            revision = await self.read_store()
            if revision is not None and await self.wait_for_change(revision):
                attempt = 0
                continue
            attempt += 1
            await self.wait_before_retry(attempt)

    async def read_store(self) -> int | None:
        """Apply the stored configuration; return its revision, or None on failure."""
        requested_at_version = self.configuration.version
        match await self.repository.read_deployed():
            case Ok((deployed, revision)):
                self.set_store_reachable(True)
                self.apply_if_newer(
                    deployed, ConfigurationSource.STORE, requested_at_version
                )
                return revision
            case Failed(error):
                self.set_store_reachable(False, error.detail)
                return None

    async def wait_for_change(self, revision: int) -> bool:
        """Watch the head until its revision changes; return False on a failure."""
        while self.is_watcher():
            match await self.store.watch(HEAD_KEY, revision):
                case Ok(entry):
                    # A lower revision means that the store was restored from a backup.
                    if entry.revision != revision:
                        return True
                case Failed(error):
                    self.set_store_reachable(False, error.detail)
                    return False
        return True

    async def wait_before_retry(self, attempt: int) -> None:
        """Wait for the backoff delay of an attempt."""
        await asyncio.sleep(self.store.settings.backoff_s(attempt, self.rng))

    def apply_if_newer(
        self,
        deployed: DeployedConfiguration,
        source: ConfigurationSource,
        requested_at_version: int,
    ) -> None:
        """Activate a configuration if it is newer than the active one."""
        before = self.configuration.version
        self.machine.feed(
            ConfigurationOffered(deployed.configuration(), source, requested_at_version)
        )
        if self.configuration.version > before:
            self.history.put(deployed)

    def set_store_reachable(self, reachable: bool, detail: str = "") -> None:
        """Record whether the store is reachable, and log a change."""
        if reachable != self.store_reachable:
            self.store_reachable = reachable
            if reachable:
                log.info("the store is reachable again")
            else:
                log.warning("the store is unreachable: {}", detail)

    async def serve_head(self, message: IncomingMessage, respond: Respond) -> bytes:
        """Return the active version to a peer."""
        model = PeerHeadModel(
            version=self.configuration.version,
            digest=self.configuration.digest,
            confirmed=self.machine.state.confirmed,
        )
        return model.model_dump_json().encode()

    async def serve_bundle(self, message: IncomingMessage, respond: Respond) -> bytes:
        """Return the documents that a peer lacks of the active configuration."""
        request = BundleRequestModel.model_validate_json(message.body)
        return self.history.encoded_bundle_since(request)

    def receive_head(self, register: Register) -> None:
        """Feed a version that a peer announced."""
        self.machine.feed(HeadAnnounced(register.version, register.body.decode()))

    async def fetch(self, version: int, holders: tuple[str, ...]) -> None:
        """Fetch a version from peers, else from the store, until it is active."""
        while True:
            for _ in range(FETCH_ROUNDS):
                peers = list(holders) or sorted(self.machine.state.peers)
                for peer in self.rng.sample(
                    peers, min(FETCH_PEERS_PER_ROUND, len(peers))
                ):
                    await self.fetch_from(peer)
                    if self.configuration.version >= version:
                        return
                # The holders that were announced may have stopped.
                holders = ()
                await asyncio.sleep(FETCH_DELAY_S * self.rng.uniform(0.5, 1.0))
            await self.read_store()
            if self.configuration.version >= version:
                return

    async def fetch_from(self, peer: str) -> None:
        """Fetch and apply the documents that this instance lacks from a peer."""
        own = self.configuration
        request = BundleRequestModel(version=own.version, digest=own.digest)
        body = await self.request(peer, BUNDLE_KIND, request.model_dump_json().encode())
        if body is None:
            return
        try:
            deployed = apply_bundle(BundleModel.decode(body), self.history.deployed)
        except ValueError as error:
            log.warning(
                "ignoring an invalid configuration bundle from {}: {}", peer, error
            )
            return
        self.apply_if_newer(deployed, ConfigurationSource.PEER, own.version)

    async def close(self) -> None:
        """Cancel a fetch in progress."""
        if self.fetch_task:
            self.fetch_task.cancel()
            await asyncio.gather(self.fetch_task, return_exceptions=True)

    @singledispatchmethod
    def perform(self, action: object) -> None:
        """Perform one action of the replica."""
        raise TypeError(f"unsupported action type: {type(action).__name__}")

    @perform.register
    def _(self, action: ApplyConfiguration) -> None:
        configuration = action.configuration
        log.info("configuration version {} is active", configuration.version)
        self.on_change(configuration)
        self.disseminator.publish(
            HEAD_TOPIC,
            HEAD_REGISTER,
            configuration.digest.encode(),
            configuration.version,
            urgent=True,
            expires=False,
        )

    @perform.register
    def _(self, action: FetchVersion) -> None:
        # A fetch in progress continues to the newest version that its peers hold.
        if self.fetch_task is None or self.fetch_task.done():
            work = self.fetch(action.version, action.peers)
            self.fetch_task = asyncio.create_task(work)
            self.fetch_task.add_done_callback(self.refetch_if_behind)

    def refetch_if_behind(self, task: asyncio.Task[None]) -> None:
        """Fetch again if a later version was announced meanwhile."""
        announced = self.machine.state.announced_version
        if not task.cancelled() and announced > self.configuration.version:
            self.perform(FetchVersion(announced))

    @perform.register
    def _(self, action: ReportRefusedOffer) -> None:
        log.error(
            "refused what the {} offers, version {} ({}): version {} is active",
            action.source.value,
            action.version,
            action.problem,
            action.known_version,
        )

    @perform.register
    def _(self, action: ReportReady) -> None:
        log.info("serving version {}: {}", action.version, action.basis)
