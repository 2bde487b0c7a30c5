"""Simulation of a fleet's membership in virtual time, without sockets."""

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

TIMER_INTERVAL_S = 0.25
COMPARISON_INTERVAL_S = 1.0
WATCH_INTERVAL_S = 0.5
PUSH_FANOUT = 4
MAX_CLOCK_DRIFT = 0.01
SETTINGS = MembershipSettings(list_url="http://127.0.0.1:1")

Decide = Callable[[Any, FleetState], Decision[FleetState]]


@dataclass(slots=True)
class Node:
    """Incarnation of an instance with its state, clock and registers."""

    name: str
    state: FleetState
    ownership: Ownership
    # Local time is offset + rate * simulated time.
    rate: float
    offset: float
    alive: bool = True
    paused: bool = False
    buffered_events: list[Any] = field(default_factory=list)
    registers: dict[tuple[str, str], tuple[int, Any]] = field(default_factory=dict)

    def local_time(self, now: float) -> float:
        """Return the node's monotonic time at a simulated time."""
        return self.offset + self.rate * now


@dataclass(slots=True)
class Network:
    """Delays, loss and partition of the network."""

    loss: float = 0.0
    min_delay_s: float = 0.0002
    max_delay_s: float = 0.002
    # Nodes on the side of a partition that cannot reach the store.
    apart: frozenset[str] = frozenset()

    def connects(self, one: str, other: str) -> bool:
        """Return whether two nodes are on the same side of the partition."""
        return (one in self.apart) == (other in self.apart)


@dataclass(slots=True)
class Store:
    """Roster in the store, injected faults and call counters."""

    roster: Roster = field(default_factory=Roster)
    down: bool = False
    reply_loss: float = 0.0
    calls: Counter[str] = field(default_factory=Counter)


class FleetModel:
    """Fleet of instances in virtual time.

    Call `start` for each instance, then `run` with a simulated time; `check` is called
    after each event. A faulty `decide` shows that a check detects a fault.
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
        # Called with sender, message and number of receivers, to count traffic.
        self.on_send: Callable[[str, Any, int], None] = lambda *_: None

    def call_at(self, at: float, callback: Callable[[], None]) -> None:
        """Schedule a callback at a simulated time."""
        self.order += 1
        heapq.heappush(self.queue, (at, self.order, callback))

    def call_in(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay in simulated seconds."""
        self.call_at(self.now + delay_s, callback)

    def run(self, until: float) -> None:
        """Run all callbacks that are due at or before a simulated time."""
        while self.queue and self.queue[0][0] <= until:
            self.now, _, callback = heapq.heappop(self.queue)
            callback()
            self.steps += 1
            self.check()
        self.now = until

    def start(self, name: str) -> Node:
        """Start a new incarnation of an instance with empty state."""
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
            rate=self.rng.uniform(1 - MAX_CLOCK_DRIFT, 1 + MAX_CLOCK_DRIFT),
            offset=self.rng.uniform(0, 1000),
        )
        state.ready = True
        self.nodes[name] = node
        seeds = tuple(n.state.own for n in self.nodes.values() if n is not node)
        self.feed(node, lambda at: events.SeedsReceived(at, seeds))
        for period_s, callback in (
            (TIMER_INTERVAL_S, self.fire_timer),
            (COMPARISON_INTERVAL_S, self.compare_registers),
            (WATCH_INTERVAL_S, self.watch_roster),
        ):
            self.call_periodically(node, period_s, callback)
        return node

    def call_periodically(
        self, node: Node, period_s: float, callback: Callable[[Node], None]
    ) -> None:
        """Run a callback periodically with jitter while a node is alive."""

        def call() -> None:
            if node.alive:
                if not node.paused:
                    callback(node)
                self.call_in(period_s * self.rng.uniform(0.9, 1.1), call)

        self.call_in(period_s * self.rng.random(), call)

    def kill(self, name: str) -> None:
        """Crash a node."""
        self.nodes[name].alive = False

    def pause(self, name: str) -> None:
        """Pause a node; the messages it receives are buffered."""
        self.nodes[name].paused = True

    def resume(self, node: Node) -> None:
        """Resume a node; it may act before it handles its buffered messages."""
        if not node.paused:
            return
        node.paused = False
        self.check()
        buffered_events, node.buffered_events = node.buffered_events, []
        for make_event in buffered_events:
            self.feed(node, make_event)

    def leave(self, name: str) -> None:
        """Shut a node down gracefully."""
        node = self.nodes[name]
        self.feed(node, events.LeaveStarted)
        self.call_in(1.0, lambda: self.feed(node, events.ServersReleased))

    def feed(self, node: Node, make_event: Callable[[float], Any]) -> None:
        """Create an event for the node's local time and handle it, or buffer it."""
        if not node.alive:
            return
        if node.paused:
            node.buffered_events.append(make_event)
            return
        event = make_event(node.local_time(self.now))
        for action in self.decide(event, node.state).actions:
            self.perform(action, node)

    def fire_timer(self, node: Node) -> None:
        """Fire a node's timer, which sends heartbeats and checks timeouts."""
        self.feed(node, events.TimerFired)

    def compare_registers(self, node: Node) -> None:
        """Send the registers that a random peer lacks or has in an older version."""
        others = [n for n in self.nodes.values() if n.alive and n is not node]
        if others:
            other = self.rng.choice(others)
            for topic, key in tuple(node.registers):
                number, value = node.registers[topic, key]
                known = other.registers.get((topic, key))
                if known is None or known[0] < number:
                    self.deliver(node, other, topic, key, number, value)

    def watch_roster(self, node: Node) -> None:
        """Read the roster until it was read once, and always on watchers."""
        if not node.state.store_read or node.state.is_watcher():
            self.read_roster(node, lambda _: None, "watch")

    def send(self, sender: Node, name: str, make_event: Callable[[float], Any]) -> None:
        """Send an event to another node; the network may lose it."""
        network = self.network
        lost = self.rng.random() < network.loss
        delay_s = self.rng.uniform(network.min_delay_s, network.max_delay_s)

        def arrive() -> None:
            if network.connects(sender.name, name) and name in self.nodes:
                self.feed(self.nodes[name], make_event)

        if not lost and network.connects(sender.name, name):
            self.call_in(delay_s, arrive)

    def publish(
        self, node: Node, topic: str, key: str, number: int, value: Any
    ) -> None:
        """Store a newer register and push it to random peers."""
        known = node.registers.get((topic, key))
        if known and known[0] >= number:
            return
        node.registers[topic, key] = (number, value)
        names = [name for name in self.nodes if name != node.name]
        peers = self.rng.sample(names, min(PUSH_FANOUT, len(names)))
        self.on_send(node.name, value, len(peers))
        for peer in peers:
            self.deliver(node, self.nodes[peer], topic, key, number, value)

    def deliver(
        self, node: Node, peer: Node, topic: str, key: str, number: int, value: Any
    ) -> None:
        """Send a register; the receiver publishes it if it is newer."""

        def make_event(at: float) -> Any:
            known = peer.registers.get((topic, key))
            if known and known[0] >= number:
                return events.ChangesReceived(at, ())
            self.publish(peer, topic, key, number, value)
            return register_event(value, at)

        self.send(node, peer.name, make_event)

    def read_roster(
        self, node: Node, on_read: Callable[[bool], None], kind: str = "read"
    ) -> None:
        """Read the roster from the store; pass success to a callback."""
        self.store.calls[kind] += 1

        def answer() -> None:
            if self.store.down or node.name in self.network.apart:
                on_read(False)
                return
            roster = self.store.roster
            self.feed(node, lambda at: events.RosterReceived(at, roster, True))
            on_read(True)

        self.call_in(self.rng.uniform(0.002, 0.02), answer)

    @singledispatchmethod
    def perform(self, action: object, node: Node) -> None:
        """Perform one action of a node."""
        raise TypeError(f"unsupported action type: {type(action).__name__}")

    @perform.register
    def _(self, action: events.MembersChanged, node: Node) -> None:
        """Need no action: owners are computed from the state on demand."""

    @perform.register
    def _(self, action: events.SendHeartbeat, node: Node) -> None:
        self.on_send(node.name, action.heartbeat, len(action.peers))
        for peer in action.peers:
            self.send(
                node,
                peer,
                lambda at: events.HeartbeatReceived(at, node.name, action.heartbeat),
            )

    @perform.register
    def _(self, action: events.SendAcknowledgement, node: Node) -> None:
        answer = action.acknowledgement
        self.on_send(node.name, answer, 1)
        self.send(
            node,
            action.peer,
            lambda at: events.AcknowledgementReceived(at, node.name, answer),
        )

    @perform.register
    def _(self, action: events.SendClaim, node: Node) -> None:
        self.on_send(node.name, action, len(action.peers))
        for peer in action.peers:
            self.send(
                node,
                peer,
                lambda at: events.ClaimReceived(at, node.name, action.since),
            )

    @perform.register
    def _(self, action: events.SendYield, node: Node) -> None:
        self.on_send(node.name, action, 1)
        self.send(
            node,
            action.peer,
            lambda at: events.YieldReceived(
                at, node.name, action.sender_since, action.since
            ),
        )

    @perform.register
    def _(self, action: events.RequestRoster, node: Node) -> None:
        peer = self.nodes[action.peer]

        def answer(at: float) -> Any:
            roster = peer.state.roster
            self.on_send(peer.name, roster, 1)
            self.send(peer, node.name, lambda at: events.RosterReceived(at, roster))
            return events.ChangesReceived(at, ())

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
            self.feed(node, lambda at: events.EditFinished(at, succeeded))

        def write(read_succeeded: bool) -> None:
            if not read_succeeded:
                end(False)
                return
            base = self.store.roster
            roster = apply_edit(base, action, node.state)
            if roster.version == base.version:
                end(True)
                return
            self.store.calls["write"] += 1
            delay_s = self.rng.uniform(0.002, 0.02)
            self.call_in(delay_s, lambda: self.write_roster(node, roster, end))

        self.read_roster(node, write)

    def write_roster(
        self, node: Node, roster: Roster, end: Callable[[bool], None]
    ) -> None:
        """Replace the roster unless its version changed since it was read."""
        store = self.store
        reachable = not store.down and node.name not in self.network.apart
        if not reachable or store.roster.version != roster.version - 1:
            end(False)
            return
        store.roster = roster
        if self.rng.random() < store.reply_loss:
            self.call_in(1.0, lambda: end(False))
            return
        self.feed(node, lambda at: events.RosterReceived(at, roster, True))
        end(True)

    def actors(self) -> dict[str, list[str]]:
        """Return the nodes that may act as owner at present, by backend server."""
        found: dict[str, list[str]] = {server: [] for server in self.servers}
        for node in self.nodes.values():
            at = node.local_time(self.now)
            if node.alive and not node.paused and node.state.may_own(at):
                for server, names in found.items():
                    if node.ownership.may_act(server, at):
                        names.append(node.name)
        return found


def register_event(value: Any, at: float) -> Any:
    """Return the event for the value of a received register."""
    match value:
        case events.Statement():
            return events.StatementReceived(at, value)
        case events.Announcement():
            return events.AnnouncementReceived(at, value)
        case _:
            return events.ChangesReceived(at, value)


def lease_from_acknowledgement(event: Any, state: FleetState) -> Decision[FleetState]:
    """Decide with a fault: start the lease at the acknowledgement's arrival."""
    if isinstance(event, events.AcknowledgementReceived):
        acknowledgement = replace(event.acknowledgement, sent_at=event.at)
        event = replace(event, acknowledgement=acknowledgement)
    return decide(event, state)


def reset_verdicts(event: Any, state: FleetState) -> Decision[FleetState]:
    """Decide with a fault: acknowledge a member after stating that it expired."""
    if isinstance(event, events.HeartbeatReceived):
        if record := state.records.get(event.sender):
            record.verdict = events.Verdict.LIVE
    return decide(event, state)


def skip_claims(event: Any, state: FleetState) -> Decision[FleetState]:
    """Decide with a fault: act without waiting for previous owners to yield."""
    decision = decide(event, state)
    state.pending_yields.clear()
    return decision
