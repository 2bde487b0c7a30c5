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

from .registers import (
    GossipState,
    Name,
    Register,
    StoredRegister,
    remove_register,
    store_if_newer,
)

# How long an instance waits for an announced register before it asks another peer.
REQUEST_TIMEOUT_S = 2.0
RENEWALS_PER_TTL = 3
AgedRegister = tuple[Register, float]


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
    registers: tuple[AgedRegister, ...]


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
    registers: tuple[AgedRegister, ...]


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
    current = state.get(event.topic, event.key)
    version = event.version
    if version is None:
        version = current.version + 1 if current else 1
    register = Register(
        event.topic, event.key, version, event.body, event.urgent, event.expires
    )
    stored = store_if_newer(state, register, event.at)
    if stored is None:
        return Decision(state)
    if event.expires and event.renew:
        state.written.add(register.name())
    return Decision(
        state, (Deliver(register), *disseminate(state, (stored,), event.at))
    )


@decide.register
def _(event: Withdrawn, state: GossipState) -> Decision[GossipState]:
    state.written.discard((event.topic, event.key))
    return Decision(state)


@decide.register
def _(event: RegistersReceived, state: GossipState) -> Decision[GossipState]:
    accepted = []
    for register, age_s in event.registers:
        if register.expires and age_s >= state.settings.ttl_s:
            continue
        if stored := store_if_newer(state, register, event.at - age_s):
            state.requested_at.pop(stored.short_fingerprint(), None)
            accepted.append(stored)
    if not accepted:
        return Decision(state)
    delivered = tuple(Deliver(stored.register) for stored in accepted)
    return Decision(
        state, (*delivered, *disseminate(state, accepted, event.at, event.sender))
    )


@decide.register
def _(event: RoundTimerFired, state: GossipState) -> Decision[GossipState]:
    if not state.unannounced or not state.neighbours:
        return Decision(state)
    names = tuple(state.unannounced)
    state.unannounced.clear()
    return Decision(state, (SendNames(state.neighbours, names),))


@decide.register
def _(event: NamesReceived, state: GossipState) -> Decision[GossipState]:
    missing = tuple(
        name
        for name in event.names
        if name not in state.short_fingerprints
        and event.at - state.requested_at.get(name, -REQUEST_TIMEOUT_S)
        >= REQUEST_TIMEOUT_S
    )
    for name in missing:
        state.requested_at[name] = event.at
    actions: tuple[object, ...] = ()
    if missing:
        actions = (SendRequest(event.sender, missing),)
    if event.buckets:
        peer_fingerprints = set(event.names)
        missing_at_peer = [
            stored
            for bucket in event.buckets
            for name in state.buckets[bucket]
            if (stored := state.registers[name]).short_fingerprint()
            not in peer_fingerprints
        ]
        if missing_at_peer:
            # The peer keeps what is newer; it has asked for nothing itself.
            answer = SendRegisters(
                (event.sender,), with_ages(missing_at_peer, event.at)
            )
            actions = (*actions, answer)
    return Decision(state, actions)


@decide.register
def _(event: RequestReceived, state: GossipState) -> Decision[GossipState]:
    found = [
        state.registers[name]
        for short in event.names
        if (name := state.short_fingerprints.get(short))
    ]
    if not found:
        return Decision(state)
    return Decision(
        state, (SendRegisters((event.sender,), with_ages(found, event.at)),)
    )


@decide.register
def _(event: ComparisonTimerFired, state: GossipState) -> Decision[GossipState]:
    state.requested_at = {
        n: t for n, t in state.requested_at.items() if event.at - t < REQUEST_TIMEOUT_S
    }
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
            state.registers[name].short_fingerprint()
            for bucket in differing
            for name in state.buckets[bucket]
        )
        return Decision(state, (SendNames((event.sender,), names, differing),))
    if event.urgent == state.urgent_digest or not state.urgent:
        return Decision(state)
    # Urgent registers are few, so all of them are sent.
    stored = [state.registers[name] for name in state.urgent]
    return Decision(
        state, (SendRegisters((event.sender,), with_ages(stored, event.at)),)
    )


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


def disseminate(
    state: GossipState,
    accepted: Iterable[StoredRegister],
    at: float,
    sender: str = "",
) -> tuple[SendRegisters, ...]:
    """Return the push of urgent registers; note the others for the next round."""
    urgent = []
    for stored in accepted:
        if stored.register.urgent:
            urgent.append(stored)
        else:
            state.unannounced.add(stored.short_fingerprint())
    peers = tuple(peer for peer in state.neighbours if peer != sender)
    if not urgent or not peers:
        return ()
    return (SendRegisters(peers, with_ages(urgent, at)),)


def with_ages(stored: Iterable[StoredRegister], at: float) -> tuple[AgedRegister, ...]:
    """Return registers with their ages, so that all instances drop them together."""
    return tuple((h.register, max(at - h.published_at, 0.0)) for h in stored)


def expire_and_renew(state: GossipState, at: float) -> tuple[object, ...]:
    """Drop the registers that nobody renews and renew the own ones that are due."""
    ttl_s = state.settings.ttl_s
    for stored in list(state.registers.values()):
        if stored.register.expires and at - stored.published_at >= ttl_s:
            remove_register(state, stored)
    due: list[Name] = [
        name
        for name in state.written
        if at - state.registers[name].published_at >= ttl_s / RENEWALS_PER_TTL
    ]
    renewed = []
    for name in due:
        old = state.registers[name].register
        register = replace(old, version=old.version + 1)
        renewed.append(store_if_newer(state, register, at))
        state.written.add(name)
    return disseminate(state, renewed, at)
