"""Runner of the membership: heartbeats and claims on links, roster in the store."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Awaitable, Callable, Coroutine
from functools import singledispatchmethod
from typing import Any

import aiohttp
import logbook
from pydantic import ValidationError

from fireflyrack.configuration import StoreClient
from fireflyrack.core import Failed, Ok, StateMachine
from fireflyrack.dissemination import Disseminator, Register
from fireflyrack.links import IncomingMessage, LinkPool, LinkServer, Respond
from fireflyrack.membership import (
    ROSTER_KEY,
    AcknowledgementModel,
    AnnouncementModel,
    ChangesModel,
    ClaimModel,
    FleetState,
    HeartbeatModel,
    Member,
    MembershipSettings,
    MemberState,
    Roster,
    RosterModel,
    StatementModel,
    YieldModel,
    apply_edit,
    change_models,
    decide,
    events,
    new_state,
    read_instance_list,
    roster_model,
)

HEARTBEAT_KIND = "membership.heartbeat"
CLAIM_KIND = "membership.claim"
ROSTER_KIND = "membership.roster"
ROSTER_TOPIC = "membership.roster"
STATEMENTS_TOPIC = "membership.statements"
ANNOUNCEMENTS_TOPIC = "membership.announcements"

TIMER_INTERVAL_S = 0.25
# How long a peer may take to finish its work on backend servers that it yields.
YIELD_TIMEOUT_S = 10.0
ROSTER_TIMEOUT_S = 2.0
# A service without reports must not keep a new instance unready forever.
READY_TIMEOUT_S = 10.0

log = logbook.Logger("membership")


class MembershipRunner:
    """Run the membership protocol of this instance.

    Call `register_handlers` before the links start, then run the coroutines of
    `background_loops` as tasks. `on_change` is called when members or owners may have
    changed; `wait_yielded` returns once nothing runs on backend servers that the
    current roster assigns to others. `is_ready` returns whether this instance gives
    complete answers.
    """

    def __init__(
        self,
        own: Member,
        settings: MembershipSettings,
        store: StoreClient,
        links: LinkPool,
        disseminator: Disseminator,
        on_change: Callable[[], None],
        wait_yielded: Callable[[], Awaitable[None]],
        is_ready: Callable[[], bool],
    ) -> None:
        self.settings = settings
        self.store = store
        self.links = links
        self.disseminator = disseminator
        self.on_change = on_change
        self.wait_yielded = wait_yielded
        self.is_ready = is_ready
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(secrets.randbits(64))
        state = new_state(own, settings, self.rng)
        self.machine = StateMachine(state, decide, self.perform)
        # Reply to the message that was fed last; its handler reads it at once.
        self.reply: Any = None
        self.pending_claims: set[str] = set()
        self.roster_requested = False
        self.last_may_own = False
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def state(self) -> FleetState:
        """Return the state of the membership."""
        return self.machine.state

    def active_addresses(self) -> dict[str, str]:
        """Return the link addresses of the members that are not dead or released."""
        inactive = (MemberState.DEAD, MemberState.RELEASED)
        members = self.state.members.values()
        return {m.id: m.link_address for m in members if m.state not in inactive}

    def may_own(self) -> bool:
        """Return whether this instance may act as an owner now."""
        return self.state.may_own(self.loop.time())

    def register_handlers(self, server: LinkServer) -> None:
        """Register the message handlers and subscribe to the topics."""
        server.register(HEARTBEAT_KIND, self.serve_heartbeat)
        server.register(CLAIM_KIND, self.serve_claim)
        server.register(ROSTER_KIND, self.serve_roster)
        self.disseminator.subscribe(ROSTER_TOPIC, self.receive_changes)
        self.disseminator.subscribe(STATEMENTS_TOPIC, self.receive_statement)
        self.disseminator.subscribe(ANNOUNCEMENTS_TOPIC, self.receive_announcement)

    def background_loops(self, session: aiohttp.ClientSession) -> tuple[Coroutine, ...]:
        """Return the coroutines of the background loops."""
        return (
            self.poll_instance_list(session),
            self.run_roster_loop(),
            self.run_timer_loop(),
        )

    def feed(self, make_event: Callable[[float], Any]) -> None:
        """Feed the event that `make_event` returns for the current time."""
        self.machine.feed(make_event(self.loop.time()))

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Run work as a task that `close` cancels."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def close(self) -> None:
        """Cancel the tasks in progress."""
        tasks = tuple(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def run_timer_loop(self) -> None:
        """Check readiness and ownership and feed timer events until cancelled."""
        started_at = self.loop.time()
        while True:
            if not self.state.ready:
                timed_out = self.loop.time() - started_at >= READY_TIMEOUT_S
                self.state.ready = self.is_ready() or timed_out
            self.feed(events.TimerFired)
            if self.may_own() != self.last_may_own:
                self.last_may_own = not self.last_may_own
                log.info("may own backend servers: {}", self.last_may_own)
                self.on_change()
            await asyncio.sleep(TIMER_INTERVAL_S)

    async def poll_instance_list(self, session: aiohttp.ClientSession) -> None:
        """Read seed members from the platform's list until a roster is known."""
        while not self.state.roster.version:
            outcome = await read_instance_list(session, self.settings)
            if isinstance(outcome, Ok):
                self.machine.feed(events.SeedsReceived(self.loop.time(), outcome.value))
            await asyncio.sleep(self.settings.list_period_s)

    async def run_roster_loop(self) -> None:
        """Read the roster once, then watch it while this instance is a watcher."""
        revision = 0
        while True:
            if not self.state.store_read:
                outcome = await self.store.read(ROSTER_KEY)
            elif self.state.is_watcher():
                outcome = await self.store.watch(ROSTER_KEY, revision)
            else:
                await self.wait_before_retry()
                continue
            match outcome:
                case Ok(entry):
                    if entry.revision > revision or not self.state.store_read:
                        revision = entry.revision
                        self.receive_stored_roster(entry.value)
                case Failed():
                    await self.wait_before_retry()

    async def wait_before_retry(self) -> None:
        """Wait before the next call, with jitter to keep instances out of step."""
        delay_s = self.store.settings.retry_delay_s
        await asyncio.sleep(delay_s * self.rng.uniform(0.5, 1.5))

    def receive_stored_roster(self, value: bytes) -> Roster | None:
        """Feed the roster that the store holds; return None if it is invalid."""
        try:
            roster = parse_roster(value)
        except ValidationError as error:
            log.error(
                "ignoring the roster in the store: {} validation errors",
                error.error_count(),
            )
            return None
        self.feed(lambda at: events.RosterReceived(at, roster, True))
        return roster

    async def edit(self, action: events.EditRoster) -> None:
        """Change the roster in the store by compare-and-swap."""
        succeeded = await self.try_edit(action)
        self.feed(lambda at: events.EditFinished(at, succeeded))

    async def try_edit(self, action: events.EditRoster) -> bool:
        """Attempt an edit once; return whether the roster contains it."""
        read = await self.store.read(ROSTER_KEY)
        if isinstance(read, Failed):
            return False
        base = self.receive_stored_roster(read.value.value)
        if base is None:
            return False
        roster = apply_edit(base, action, self.state)
        if roster.version == base.version:
            return True
        body = roster_model(roster).model_dump_json().encode()
        outcome = await self.store.write(ROSTER_KEY, body, read.value.revision)
        if isinstance(outcome, Failed):
            return False
        subject = action.subject
        log.info("roster version {}: {} {}", roster.version, action.edit.value, subject)
        self.feed(lambda at: events.RosterReceived(at, roster, True))
        return True

    async def serve_heartbeat(
        self, message: IncomingMessage, respond: Respond
    ) -> bytes:
        """Acknowledge the heartbeat of a peer."""
        heartbeat = HeartbeatModel.model_validate_json(message.body).to_domain()
        self.feed(lambda at: events.HeartbeatReceived(at, message.sender, heartbeat))
        reply: events.Acknowledgement = self.reply
        return (
            AcknowledgementModel(
                since=reply.since,
                sent_at=reply.sent_at,
                voter_entered=reply.voter_entered,
                version=reply.version,
                arranged=reply.arranged,
            )
            .model_dump_json()
            .encode()
        )

    async def serve_claim(self, message: IncomingMessage, respond: Respond) -> bytes:
        """Reply to a claim once nothing runs on the backend servers that it covers."""
        since = ClaimModel.model_validate_json(message.body).since
        self.reply = None
        self.feed(lambda at: events.ClaimReceived(at, message.sender, since))
        reply: events.SendYield | None = self.reply
        if reply is None:
            # No roster entry has version 0, so the peer ignores this reply.
            return YieldModel(sender_since=0, since=0).model_dump_json().encode()
        await self.wait_yielded()
        model = YieldModel(sender_since=reply.sender_since, since=reply.since)
        return model.model_dump_json().encode()

    async def serve_roster(self, message: IncomingMessage, respond: Respond) -> bytes:
        """Return the whole roster to a peer."""
        return roster_model(self.state.roster).model_dump_json().encode()

    def receive_changes(self, register: Register) -> None:
        """Feed the changes of a new roster version."""
        changes = ChangesModel.model_validate_json(register.body).to_domain()
        self.feed(lambda at: events.ChangesReceived(at, changes))

    def receive_statement(self, register: Register) -> None:
        """Feed the statement of a voter."""
        model = StatementModel.model_validate_json(register.body)
        statement = model.to_domain(register.version)
        self.feed(lambda at: events.StatementReceived(at, statement))

    def receive_announcement(self, register: Register) -> None:
        """Feed the announcement of a member."""
        model = AnnouncementModel.model_validate_json(register.body)
        announcement = model.to_domain(register.version)
        self.feed(lambda at: events.AnnouncementReceived(at, announcement))

    async def request(
        self, peer: str, kind: str, body: bytes, timeout_s: float
    ) -> bytes | None:
        """Send a request to a member; return its reply, or None on a failure."""
        member = self.state.members.get(peer)
        if member is None:
            return None
        outcome = await self.links.request(member.link_address, kind, body, timeout_s)
        return outcome.value if isinstance(outcome, Ok) else None

    async def heartbeat(self, peer: str, body: bytes) -> None:
        """Send a heartbeat and feed its acknowledgement."""
        timeout_s = self.settings.lease_s
        if reply := await self.request(peer, HEARTBEAT_KIND, body, timeout_s):
            model = AcknowledgementModel.model_validate_json(reply)
            acknowledgement = model.to_domain()
            self.feed(
                lambda at: events.AcknowledgementReceived(at, peer, acknowledgement)
            )

    async def claim(self, peer: str, since: int) -> None:
        """Claim the backend servers of this instance from a peer and feed its reply."""
        body = ClaimModel(since=since).model_dump_json().encode()
        try:
            reply = await self.request(peer, CLAIM_KIND, body, YIELD_TIMEOUT_S)
        finally:
            self.pending_claims.discard(peer)
        if reply:
            model = YieldModel.model_validate_json(reply)
            self.feed(
                lambda at: events.YieldReceived(
                    at, peer, model.sender_since, model.since
                )
            )

    async def request_roster(self, peer: str) -> None:
        """Request the whole roster from a peer and feed it."""
        try:
            reply = await self.request(peer, ROSTER_KIND, b"", ROSTER_TIMEOUT_S)
        finally:
            self.roster_requested = False
        if reply:
            roster = parse_roster(reply)
            self.feed(lambda at: events.RosterReceived(at, roster))

    @singledispatchmethod
    def perform(self, action: object) -> None:
        """Perform one action of the membership."""
        raise TypeError(f"unsupported action type: {type(action).__name__}")

    @perform.register
    def _(self, action: events.MembersChanged) -> None:
        names = ", ".join(f"{m.id} {m.state.value}" for m in action.members)
        log.debug("roster version {}: {}", self.state.roster.version, names)
        self.disseminator.set_peers(self.active_addresses())
        self.on_change()

    @perform.register
    def _(self, action: events.SendHeartbeat) -> None:
        heartbeat = action.heartbeat
        model = HeartbeatModel(
            since=heartbeat.since,
            version=heartbeat.version,
            sent_at=heartbeat.sent_at,
        )
        body = model.model_dump_json().encode()
        for peer in action.peers:
            self.start(self.heartbeat(peer, body))

    @perform.register
    def _(self, action: events.SendAcknowledgement) -> None:
        self.reply = action.acknowledgement

    @perform.register
    def _(self, action: events.SendYield) -> None:
        self.reply = action

    @perform.register
    def _(self, action: events.SendClaim) -> None:
        for peer in action.peers:
            if peer not in self.pending_claims:
                self.pending_claims.add(peer)
                self.start(self.claim(peer, action.since))

    @perform.register
    def _(self, action: events.RequestRoster) -> None:
        if not self.roster_requested:
            self.roster_requested = True
            self.start(self.request_roster(action.peer))

    @perform.register
    def _(self, action: events.EditRoster) -> None:
        self.start(self.edit(action))

    @perform.register
    def _(self, action: events.PublishRoster) -> None:
        model = ChangesModel(changes=change_models(action.roster.changes))
        body = model.model_dump_json().encode()
        version = action.roster.version
        self.disseminator.publish(ROSTER_TOPIC, "roster", body, version, urgent=True)

    @perform.register
    def _(self, action: events.PublishStatement) -> None:
        statement = action.statement
        model = StatementModel(
            subject=statement.subject,
            since=statement.since,
            arranged=statement.arranged,
            voter=statement.voter,
            voter_entered=statement.voter_entered,
            verdict=statement.verdict,
        )
        log.info(
            "stated that member {} is {}", statement.subject, statement.verdict.value
        )
        key = f"{statement.subject}/{statement.voter}"
        body = model.model_dump_json().encode()
        self.disseminator.publish(
            STATEMENTS_TOPIC, key, body, statement.number, urgent=True
        )

    @perform.register
    def _(self, action: events.PublishAnnouncement) -> None:
        own = action.announcement
        model = AnnouncementModel(member=own.member, since=own.since, state=own.state)
        body = model.model_dump_json().encode()
        self.disseminator.publish(
            ANNOUNCEMENTS_TOPIC, own.member, body, own.number, urgent=True
        )


def parse_roster(value: bytes) -> Roster:
    """Return the roster of a stored document, an empty one if it is absent."""
    return RosterModel.model_validate_json(value).to_roster() if value else Roster()
