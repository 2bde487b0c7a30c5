"""Decisions of the dissemination: pushes, announcements and comparisons.

Urgent registers are pushed to all neighbours. Others are announced by short names
once a round, so that a body reaches each instance about once. Comparisons of
digests repair what both missed.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from functools import singledispatch

from fireflyrack.core import Decision, rank

from .registers import GossipState, Held, Name, Register, keep, remove

# How long an instance waits for an announced register before it asks another peer.
ASK_AGAIN_S = 2.0
RENEWALS_PER_TTL = 3
Aged = tuple[Register, float]


@dataclass(frozen=True, slots=True)
class Published:
    """Report a new value of a register that this instance writes."""

    at: float
    topic: str
    key: str
    body: bytes
    # None takes the version after the newest known one.
    version: int | None = None
    urgent: bool = False
    expires: bool = True
    renew: bool = False


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """Report that this instance no longer renews a register."""

    at: float
    topic: str
    key: str


@dataclass(frozen=True, slots=True)
class RegistersReceived:
    """Report registers that a peer sent, with their ages in seconds."""

    at: float
    sender: str
    registers: tuple[Aged, ...]


@dataclass(frozen=True, slots=True)
class NamesReceived:
    """Report short names of a peer's registers.

    With buckets, the names list these buckets completely.
    """

    at: float
    sender: str
    names: tuple[int, ...]
    buckets: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """Report that a peer asks for registers by short names."""

    at: float
    sender: str
    names: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class DigestReceived:
    """Report the digests of a peer; no buckets if it compares urgent ones only."""

    at: float
    sender: str
    urgent: int
    buckets: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class RoundTimerFired:
    """Report that it is time to announce new registers."""

    at: float


@dataclass(frozen=True, slots=True)
class ComparisonTimerFired:
    """Report that it is time to compare digests."""

    at: float


@dataclass(frozen=True, slots=True)
class PeersChanged:
    """Report the instances that may become neighbours."""

    at: float
    peers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SendRegisters:
    """Ask the shell to send registers with their ages to peers."""

    peers: tuple[str, ...]
    registers: tuple[Aged, ...]


@dataclass(frozen=True, slots=True)
class SendNames:
    """Ask the shell to send short names to peers."""

    peers: tuple[str, ...]
    names: tuple[int, ...]
    buckets: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class SendRequest:
    """Ask the shell to ask a peer for registers."""

    peer: str
    names: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class SendDigest:
    """Ask the shell to send the digests to a peer."""

    peer: str
    urgent: int
    buckets: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Deliver:
    """Give a register that is new on this instance to its subscribers."""

    register: Register


@singledispatch
def decide(event: object, state: GossipState) -> Decision[GossipState]:
    """Return the new state and the actions for one event."""
    raise TypeError(f"not an event: {type(event).__name__}")


@decide.register
def _(event: Published, state: GossipState) -> Decision[GossipState]:
    known = state.get(event.topic, event.key)
    version = event.version
    if version is None:
        version = known.version + 1 if known else 1
    register = Register(
        event.topic, event.key, version, event.body, event.urgent, event.expires
    )
    held = keep(state, register, event.at)
    if held is None:
        return Decision(state)
    if event.expires and event.renew:
        state.written.add(register.name())
    return Decision(state, (Deliver(register), *spread(state, (held,), event.at)))


@decide.register
def _(event: Withdrawn, state: GossipState) -> Decision[GossipState]:
    state.written.discard((event.topic, event.key))
    return Decision(state)


@decide.register
def _(event: RegistersReceived, state: GossipState) -> Decision[GossipState]:
    fresh = []
    for register, age_s in event.registers:
        if register.expires and age_s >= state.settings.ttl_s:
            continue
        if held := keep(state, register, event.at - age_s):
            state.asked.pop(held.short_name(), None)
            fresh.append(held)
    if not fresh:
        return Decision(state)
    delivered = tuple(Deliver(held.register) for held in fresh)
    return Decision(state, (*delivered, *spread(state, fresh, event.at, event.sender)))


@decide.register
def _(event: RoundTimerFired, state: GossipState) -> Decision[GossipState]:
    if not state.fresh or not state.neighbours:
        return Decision(state)
    names = tuple(state.fresh)
    state.fresh.clear()
    return Decision(state, (SendNames(state.neighbours, names),))


@decide.register
def _(event: NamesReceived, state: GossipState) -> Decision[GossipState]:
    missing = tuple(
        name
        for name in event.names
        if name not in state.short_names
        and event.at - state.asked.get(name, -ASK_AGAIN_S) >= ASK_AGAIN_S
    )
    for name in missing:
        state.asked[name] = event.at
    actions: tuple[object, ...] = ()
    if missing:
        actions = (SendRequest(event.sender, missing),)
    if event.buckets:
        theirs = set(event.names)
        lacking = [
            held
            for bucket in event.buckets
            for name in state.buckets[bucket]
            if (held := state.held[name]).short_name() not in theirs
        ]
        if lacking:
            # The peer keeps what is newer; it has asked for nothing itself.
            answer = SendRegisters((event.sender,), aged(lacking, event.at))
            actions = (*actions, answer)
    return Decision(state, actions)


@decide.register
def _(event: RequestReceived, state: GossipState) -> Decision[GossipState]:
    found = [
        state.held[name]
        for short in event.names
        if (name := state.short_names.get(short))
    ]
    if not found:
        return Decision(state)
    return Decision(state, (SendRegisters((event.sender,), aged(found, event.at)),))


@decide.register
def _(event: ComparisonTimerFired, state: GossipState) -> Decision[GossipState]:
    state.asked = {n: t for n, t in state.asked.items() if event.at - t < ASK_AGAIN_S}
    if not state.neighbours:
        return Decision(state)
    due = state.compared_at is None or (
        event.at - state.compared_at >= state.settings.digest_period_s
    )
    actions: tuple[object, ...] = ()
    buckets: tuple[int, ...] = ()
    if due:
        first = state.compared_at is None
        # The jitter keeps instances that started together apart.
        jitter = state.rng.uniform(0, 0.5) * state.settings.digest_period_s
        state.compared_at = event.at - (0 if first else jitter)
        actions = expire_and_renew(state, event.at)
        buckets = tuple(state.digest)
    peer = state.rng.choice(state.neighbours)
    return Decision(state, (*actions, SendDigest(peer, state.urgent_digest, buckets)))


@decide.register
def _(event: DigestReceived, state: GossipState) -> Decision[GossipState]:
    if event.buckets:
        pairs = zip(state.digest, event.buckets, strict=True)
        differing = tuple(n for n, (own, other) in enumerate(pairs) if own != other)
        if not differing:
            return Decision(state)
        names = tuple(
            state.held[name].short_name()
            for bucket in differing
            for name in state.buckets[bucket]
        )
        return Decision(state, (SendNames((event.sender,), names, differing),))
    if event.urgent == state.urgent_digest or not state.urgent:
        return Decision(state)
    # Urgent registers are few, so all of them are sent.
    held = [state.held[name] for name in state.urgent]
    return Decision(state, (SendRegisters((event.sender,), aged(held, event.at)),))


@decide.register
def _(event: PeersChanged, state: GossipState) -> Decision[GossipState]:
    others = [peer for peer in event.peers if peer != state.own]
    # Ranking by the own name gives each instance other neighbours, and keeps
    # most of them when one instance comes or goes.
    state.neighbours = rank(state.own, others)[: state.settings.neighbours]
    if state.compared_at is None and state.neighbours:
        # An instance that starts empty needs the reports before it can search.
        return decide(ComparisonTimerFired(event.at), state)
    return Decision(state)


def spread(
    state: GossipState, fresh: Iterable[Held], at: float, sender: str = ""
) -> tuple[SendRegisters, ...]:
    """Return the push of urgent registers; note the others for the next round."""
    urgent = []
    for held in fresh:
        if held.register.urgent:
            urgent.append(held)
        else:
            state.fresh.add(held.short_name())
    peers = tuple(peer for peer in state.neighbours if peer != sender)
    if not urgent or not peers:
        return ()
    return (SendRegisters(peers, aged(urgent, at)),)


def aged(held: Iterable[Held], at: float) -> tuple[Aged, ...]:
    """Return registers with their ages, so that all instances drop them together."""
    return tuple((h.register, max(at - h.published_at, 0.0)) for h in held)


def expire_and_renew(state: GossipState, at: float) -> tuple[object, ...]:
    """Drop the registers that nobody renews and renew the own ones that are due."""
    ttl_s = state.settings.ttl_s
    for held in list(state.held.values()):
        if held.register.expires and at - held.published_at >= ttl_s:
            remove(state, held)
    due: list[Name] = [
        name
        for name in state.written
        if at - state.held[name].published_at >= ttl_s / RENEWALS_PER_TTL
    ]
    renewed = []
    for name in due:
        old = state.held[name].register
        register = replace(old, version=old.version + 1)
        renewed.append(keep(state, register, at))
        state.written.add(name)
    return spread(state, renewed, at)
