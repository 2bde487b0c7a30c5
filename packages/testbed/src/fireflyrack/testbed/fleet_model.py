"""Model of a fleet's membership in virtual time: decisions without sockets."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import singledispatchmethod
from typing import Any

from fireflyrack.core import Decision
from fireflyrack.membership import (
    FleetState,
    Member,
    MembershipSettings,
    Ownership,
    Roster,
    apply_edit,
    decide,
    events,
    new_state,
)

TICK_S = 0.25
COMPARE_S = 1.0
WATCH_S = 0.5
FANOUT = 4
MAX_DRIFT = 0.01
SETTINGS = MembershipSettings(list_url="http://127.0.0.1:1")

Decide = Callable[[Any, FleetState], Decision[FleetState]]


@dataclass(slots=True)
class Node:
    """Hold one run of an instance: its state, clock and registers."""

    name: str
    state: FleetState
    ownership: Ownership
    # Local time is offset + rate * true time.
    rate: float
    offset: float
    alive: bool = True
    paused: bool = False
    backlog: list[Any] = field(default_factory=list)
    registers: dict[tuple[str, str], tuple[int, Any]] = field(default_factory=dict)

    def local(self, now: float) -> float:
        """Return the node's monotonic time at a true time."""
        return self.offset + self.rate * now


@dataclass(slots=True)
class Network:
    """Hold the faults of the network."""

    loss: float = 0.0
    min_delay_s: float = 0.0002
    max_delay_s: float = 0.002
    # Nodes that cannot reach the others.
    apart: frozenset[str] = frozenset()

    def connects(self, one: str, other: str) -> bool:
        """Return whether two nodes reach each other."""
        return (one in self.apart) == (other in self.apart)


@dataclass(slots=True)
class Store:
    """Hold the roster in the store and the faults of the store."""

    roster: Roster = field(default_factory=Roster)
    down: bool = False
    reply_loss: float = 0.0
    calls: Counter[str] = field(default_factory=Counter)


class FleetModel:
    """Run many instances in virtual time.

    Call `start` for each instance and `run` with a true time; `check` is called after
    each event. Another `decide` shows that a check finds a fault.
    """

    def __init__(
        self,
        seed: int,
        servers: dict[str, str],
        decide: Decide = decide,
        domains: int = 3,
    ) -> None:
        self.rng = random.Random(seed)
        self.servers = servers
        self.decide = decide
        self.domains = domains
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.order = 0
        self.nodes: dict[str, Node] = {}
        self.network = Network()
        self.store = Store()
        self.steps = 0
        self.check: Callable[[], None] = lambda: None
        # Called with sender, action and number of messages, to count bytes.
        self.sent: Callable[[str, Any, int], None] = lambda *_: None

    def call_at(self, at: float, work: Callable[[], None]) -> None:
        """Run work at a true time."""
        self.order += 1
        heapq.heappush(self.queue, (at, self.order, work))

    def call_in(self, delay_s: float, work: Callable[[], None]) -> None:
        """Run work after a delay."""
        self.call_at(self.now + delay_s, work)

    def run(self, until: float) -> None:
        """Run all events up to a true time."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, work = heapq.heappop(self.queue)
            work()
            self.steps += 1
            self.check()
        self.now = until

    def start(self, name: str) -> Node:
        """Start a new incarnation of an instance with empty memory."""
        number = int(name[1:])
        member = Member(
            id=name,
            incarnation=f"{self.rng.getrandbits(64):016x}",
            failure_domain=f"d{number % self.domains}",
            http_address=f"10.0.{number // 250}.{number % 250}:8000",
            link_address=f"10.0.{number // 250}.{number % 250}:8001",
        )
        state = new_state(member, SETTINGS, random.Random(self.rng.random()))
        node = Node(
            name,
            state,
            Ownership(lambda: state, self.servers.get),
            rate=self.rng.uniform(1 - MAX_DRIFT, 1 + MAX_DRIFT),
            offset=self.rng.uniform(0, 1000),
        )
        state.ready = True
        self.nodes[name] = node
        seeds = tuple(n.state.own for n in self.nodes.values() if n is not node)
        self.feed(node, lambda at: events.SeedsReceived(at, seeds))
        for period_s, work in (
            (TICK_S, self.tick),
            (COMPARE_S, self.compare),
            (WATCH_S, self.watch),
        ):
            self.repeat(node, period_s, work)
        return node

    def repeat(self, node: Node, period_s: float, work: Callable[[Node], None]) -> None:
        """Run periodic work of a node while it is alive."""

        def again() -> None:
            if node.alive:
                if not node.paused:
                    work(node)
                self.call_in(period_s * self.rng.uniform(0.9, 1.1), again)

        self.call_in(period_s * self.rng.random(), again)

    def kill(self, name: str) -> None:
        """End a node without notice."""
        self.nodes[name].alive = False

    def pause(self, name: str) -> None:
        """Stop a node; what it receives waits in its sockets."""
        self.nodes[name].paused = True

    def resume(self, node: Node) -> None:
        """Continue a paused node; it may act before it reads what has waited."""
        if not node.paused:
            return
        node.paused = False
        self.check()
        backlog, node.backlog = node.backlog, []
        for make in backlog:
            self.feed(node, make)

    def leave(self, name: str) -> None:
        """Shut a node down gracefully."""
        node = self.nodes[name]
        self.feed(node, events.LeaveStarted)
        self.call_in(1.0, lambda: self.feed(node, events.ServersReleased))

    def feed(self, node: Node, make: Callable[[float], Any]) -> None:
        """Feed an event, made for the node's local time."""
        if not node.alive:
            return
        if node.paused:
            node.backlog.append(make)
            return
        event = make(node.local(self.now))
        for action in self.decide(event, node.state).actions:
            self.perform(action, node)

    def tick(self, node: Node) -> None:
        """Let a node send its heartbeats and make its checks."""
        self.feed(node, events.Ticked)

    def compare(self, node: Node) -> None:
        """Give all registers of a node to a random other one."""
        others = [n for n in self.nodes.values() if n.alive and n is not node]
        if others:
            other = self.rng.choice(others)
            for topic, key in tuple(node.registers):
                number, value = node.registers[topic, key]
                known = other.registers.get((topic, key))
                if known is None or known[0] < number:
                    self.deliver(node, other, topic, key, number, value)

    def watch(self, node: Node) -> None:
        """Read the roster at the start and on watchers."""
        if not node.state.store_read or node.state.is_watcher():
            self.read(node, lambda _: None, "watch")

    def send(self, sender: Node, name: str, make: Callable[[float], Any]) -> None:
        """Send an event to another node, unless the network loses it."""
        network = self.network
        lost = self.rng.random() < network.loss
        delay_s = self.rng.uniform(network.min_delay_s, network.max_delay_s)

        def arrive() -> None:
            if network.connects(sender.name, name) and name in self.nodes:
                self.feed(self.nodes[name], make)

        if not lost and network.connects(sender.name, name):
            self.call_in(delay_s, arrive)

    def publish(
        self, node: Node, topic: str, key: str, number: int, value: Any
    ) -> None:
        """Keep a register and push it to some nodes."""
        known = node.registers.get((topic, key))
        if known and known[0] >= number:
            return
        node.registers[topic, key] = (number, value)
        names = [name for name in self.nodes if name != node.name]
        peers = self.rng.sample(names, min(FANOUT, len(names)))
        self.sent(node.name, value, len(peers))
        for peer in peers:
            self.deliver(node, self.nodes[peer], topic, key, number, value)

    def deliver(
        self, node: Node, peer: Node, topic: str, key: str, number: int, value: Any
    ) -> None:
        """Send a register; the receiver takes it and pushes it on."""

        def make(at: float) -> Any:
            known = peer.registers.get((topic, key))
            if known and known[0] >= number:
                return events.ChangesOffered(at, ())
            self.publish(peer, topic, key, number, value)
            return received(value, at)

        self.send(node, peer.name, make)

    def read(
        self, node: Node, then: Callable[[bool], None], kind: str = "read"
    ) -> None:
        """Read the roster from the store."""
        self.store.calls[kind] += 1

        def answer() -> None:
            if self.store.down or node.name in self.network.apart:
                then(False)
                return
            roster = self.store.roster
            self.feed(node, lambda at: events.RosterOffered(at, roster, True))
            then(True)

        self.call_in(self.rng.uniform(0.002, 0.02), answer)

    @singledispatchmethod
    def perform(self, action: object, node: Node) -> None:
        """Perform one action of a node."""
        raise TypeError(f"not an action: {type(action).__name__}")

    @perform.register
    def _(self, action: events.MembersChanged, node: Node) -> None:
        """Owners are computed from the state when they are asked for."""

    @perform.register
    def _(self, action: events.SendHeartbeat, node: Node) -> None:
        self.sent(node.name, action.heartbeat, len(action.peers))
        for peer in action.peers:
            self.send(
                node,
                peer,
                lambda at: events.HeartbeatReceived(at, node.name, action.heartbeat),
            )

    @perform.register
    def _(self, action: events.SendAcknowledgement, node: Node) -> None:
        answer = action.acknowledgement
        self.sent(node.name, answer, 1)
        self.send(
            node,
            action.peer,
            lambda at: events.AcknowledgementReceived(at, node.name, answer),
        )

    @perform.register
    def _(self, action: events.SendClaim, node: Node) -> None:
        self.sent(node.name, action, len(action.peers))
        for peer in action.peers:
            self.send(
                node,
                peer,
                lambda at: events.ClaimReceived(at, node.name, action.since),
            )

    @perform.register
    def _(self, action: events.SendYield, node: Node) -> None:
        self.sent(node.name, action, 1)
        self.send(
            node,
            action.peer,
            lambda at: events.YieldReceived(
                at, node.name, action.sender_since, action.since
            ),
        )

    @perform.register
    def _(self, action: events.AskRoster, node: Node) -> None:
        peer = self.nodes[action.peer]

        def answer(at: float) -> Any:
            roster = peer.state.roster
            self.sent(peer.name, roster, 1)
            self.send(peer, node.name, lambda at: events.RosterOffered(at, roster))
            return events.ChangesOffered(at, ())

        self.send(node, action.peer, answer)

    @perform.register
    def _(self, action: events.PublishStatement, node: Node) -> None:
        statement = action.statement
        self.feed(node, lambda at: events.StatementReceived(at, statement))
        key = f"{statement.subject}/{statement.voter}"
        self.publish(node, "statements", key, statement.number, statement)

    @perform.register
    def _(self, action: events.PublishAnnouncement, node: Node) -> None:
        own = action.announcement
        self.publish(node, "announcements", own.member, own.number, own)

    @perform.register
    def _(self, action: events.PublishRoster, node: Node) -> None:
        roster = action.roster
        self.publish(node, "roster", "roster", roster.version, roster.changes)

    @perform.register
    def _(self, action: events.EditRoster, node: Node) -> None:
        def end(succeeded: bool) -> None:
            self.feed(node, lambda at: events.EditEnded(at, succeeded))

        def write(read: bool) -> None:
            if not read:
                end(False)
                return
            base = self.store.roster
            roster = apply_edit(base, action, node.state)
            if roster.version == base.version:
                end(True)
                return
            self.store.calls["write"] += 1
            delay_s = self.rng.uniform(0.002, 0.02)
            self.call_in(delay_s, lambda: self.write(node, roster, end))

        self.read(node, write)

    def write(self, node: Node, roster: Roster, end: Callable[[bool], None]) -> None:
        """Replace the roster if nobody has changed it since it was read."""
        store = self.store
        reachable = not store.down and node.name not in self.network.apart
        if not reachable or store.roster.version != roster.version - 1:
            end(False)
            return
        store.roster = roster
        if self.rng.random() < store.reply_loss:
            self.call_in(1.0, lambda: end(False))
            return
        self.feed(node, lambda at: events.RosterOffered(at, roster, True))
        end(True)

    def actors(self) -> dict[str, list[str]]:
        """Return the nodes that may act now by backend server."""
        found: dict[str, list[str]] = {server: [] for server in self.servers}
        for node in self.nodes.values():
            at = node.local(self.now)
            if node.alive and not node.paused and node.state.may_own(at):
                for server, names in found.items():
                    if node.ownership.may_act(server, at):
                        names.append(node.name)
        return found


def received(value: Any, at: float) -> Any:
    """Return the event for a register."""
    match value:
        case events.Statement():
            return events.StatementReceived(at, value)
        case events.Announcement():
            return events.AnnouncementReceived(at, value)
        case _:
            return events.ChangesOffered(at, value)


def lease_from_acknowledgement(event: Any, state: FleetState) -> Decision[FleetState]:
    """Decide with a fault: count the lease from the acknowledgement's arrival."""
    if isinstance(event, events.AcknowledgementReceived):
        late = replace(event.acknowledgement, sent_at=event.at)
        event = replace(event, acknowledgement=late)
    return decide(event, state)


def reset_verdicts(event: Any, state: FleetState) -> Decision[FleetState]:
    """Decide with a fault: acknowledge a seat after stating that it lapsed."""
    if isinstance(event, events.HeartbeatReceived):
        if record := state.records.get(event.sender):
            record.verdict = events.Verdict.LIVE
    return decide(event, state)


def skip_claims(event: Any, state: FleetState) -> Decision[FleetState]:
    """Decide with a fault: act without waiting for older seats to yield."""
    decision = decide(event, state)
    state.unyielded.clear()
    return decision
