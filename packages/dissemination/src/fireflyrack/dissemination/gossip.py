"""Decisions of the gossip protocol: push, lazy pull and anti-entropy.

Urgent registers are pushed to all neighbours. Others are announced by short
fingerprint once per round and pulled by the peers that lack them, so that a body
reaches each instance about once. Comparisons of digests repair lost messages. The
`names` in events and actions are short fingerprints, as in the wire message.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from functools import singledispatch

from fireflyrack.core import Decision, rank

from .registers import (
    GossipState,
    Register,
    RegisterName,
    StoredRegister,
    remove_register,
    store_if_newer,
)

# Time to wait for a requested register before requesting it from another peer.
REQUEST_TIMEOUT_S = 2.0
RENEWALS_PER_TTL = 3
AgedRegister = tuple[Register, float]


@dataclass(frozen=True, slots=True)
class Published:
    """This instance publishes a new value of a register."""

    at: float
    topic: str
    key: str
    body: bytes
    # None stands for the version after the newest known one.
    version: int | None = None
    urgent: bool = False
    expires: bool = True
    renew: bool = False


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """This instance no longer renews a register."""

    at: float
    topic: str
    key: str


@dataclass(frozen=True, slots=True)
class RegistersReceived:
    """Registers that a peer sent, with their ages in seconds."""

    at: float
    sender: str
    registers: tuple[AgedRegister, ...]


@dataclass(frozen=True, slots=True)
class NamesReceived:
    """Short fingerprints of a peer's registers.

    If buckets are given, the fingerprints list these buckets completely.
    """

    at: float
    sender: str
    names: tuple[int, ...]
    buckets: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A peer's request for registers by short fingerprint."""

    at: float
    sender: str
    names: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class DigestReceived:
    """Digests of a peer; without buckets, only urgent registers are compared."""

    at: float
    sender: str
    urgent: int
    buckets: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class RoundTimerFired:
    """The timer for announcing new registers fired."""

    at: float


@dataclass(frozen=True, slots=True)
class ComparisonTimerFired:
    """The timer for comparing digests fired."""

    at: float


@dataclass(frozen=True, slots=True)
class PeersChanged:
    """The peers from which neighbours are chosen have changed."""

    at: float
    peers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class LinkOpened:
    """The link to a peer opened; messages may have been lost before."""

    at: float
    peer: str


@dataclass(frozen=True, slots=True)
class SendRegisters:
    """Send registers with their ages in seconds to peers."""

    peers: tuple[str, ...]
    registers: tuple[AgedRegister, ...]


@dataclass(frozen=True, slots=True)
class SendNames:
    """Send short fingerprints to peers."""

    peers: tuple[str, ...]
    names: tuple[int, ...]
    buckets: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class SendRequest:
    """Request registers from a peer by short fingerprint."""

    peer: str
    names: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class SendDigest:
    """Send the digests to a peer."""

    peer: str
    urgent: int
    buckets: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Deliver:
    """Deliver a register that is new on this instance to its subscribers."""

    register: Register


@singledispatch
def decide(event: object, state: GossipState) -> Decision[GossipState]:
    """Process one event; return the new state and the resulting actions."""
    raise TypeError(f"unsupported event type: {type(event).__name__}")


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
        state.renewed_names.add(register.name())
    return Decision(
        state, (Deliver(register), *disseminate(state, (stored,), event.at))
    )


@decide.register
def _(event: Withdrawn, state: GossipState) -> Decision[GossipState]:
    state.renewed_names.discard((event.topic, event.key))
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
    fingerprints = tuple(state.unannounced)
    state.unannounced.clear()
    return Decision(state, (SendNames(state.neighbours, fingerprints),))


@decide.register
def _(event: NamesReceived, state: GossipState) -> Decision[GossipState]:
    missing = tuple(
        fingerprint
        for fingerprint in event.names
        if fingerprint not in state.short_fingerprints
        and event.at - state.requested_at.get(fingerprint, -REQUEST_TIMEOUT_S)
        >= REQUEST_TIMEOUT_S
    )
    for fingerprint in missing:
        state.requested_at[fingerprint] = event.at
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
            # Sent unrequested; the peer stores only what is newer than its own.
            answer = SendRegisters(
                (event.sender,), with_ages(missing_at_peer, event.at)
            )
            actions = (*actions, answer)
    return Decision(state, actions)


@decide.register
def _(event: RequestReceived, state: GossipState) -> Decision[GossipState]:
    found = [
        state.registers[name]
        for fingerprint in event.names
        if (name := state.short_fingerprints.get(fingerprint))
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
    if (
        state.compared_at is None
        or event.at - state.compared_at >= state.comparison_delay_s
    ):
        return compare_all(state, event.at)
    peer = state.rng.choice(state.neighbours)
    return Decision(state, (SendDigest(peer, state.urgent_digest, ()),))


@decide.register
def _(event: DigestReceived, state: GossipState) -> Decision[GossipState]:
    if event.buckets:
        pairs = zip(state.digest, event.buckets, strict=True)
        differing = tuple(n for n, (own, other) in enumerate(pairs) if own != other)
        if not differing:
            return Decision(state)
        fingerprints = tuple(
            state.registers[name].short_fingerprint()
            for bucket in differing
            for name in state.buckets[bucket]
        )
        return Decision(state, (SendNames((event.sender,), fingerprints, differing),))
    if event.urgent == state.urgent_digest or not state.urgent:
        return Decision(state)
    # There are few urgent registers, so all of them are sent.
    stored = [state.registers[name] for name in state.urgent]
    return Decision(
        state, (SendRegisters((event.sender,), with_ages(stored, event.at)),)
    )


@decide.register
def _(event: PeersChanged, state: GossipState) -> Decision[GossipState]:
    others = [peer for peer in event.peers if peer != state.own]
    # Rendezvous hashing with the own name gives each instance different neighbours
    # and keeps most of them when an instance joins or leaves.
    previous = state.neighbours
    state.neighbours = rank(state.own, others)[: state.settings.neighbours]
    state.uncompared = {p: None for p in state.uncompared if p in state.neighbours}
    # What was announced before one of the two knew the other has to be compared.
    for peer in state.neighbours:
        if peer not in previous:
            compare_soon(state, peer)
    if state.compared_at is None and state.neighbours:
        # A starting instance has no registers, and cannot search without the status
        # reports of backend servers in them.
        return decide(ComparisonTimerFired(event.at), state)
    return Decision(state)


@decide.register
def _(event: LinkOpened, state: GossipState) -> Decision[GossipState]:
    if event.peer in state.neighbours:
        compare_soon(state, event.peer)
    return Decision(state)


def compare_soon(state: GossipState, peer: str) -> None:
    """Compare with a neighbour at the next timer, and more often for some time.

    A message of the comparison may be lost, and the neighbour may lack registers that
    it gets later.
    """
    state.uncompared[peer] = None
    state.comparison_delay_s = 0.0


def compare_all(state: GossipState, at: float) -> Decision[GossipState]:
    """Compare all registers with a neighbour; set the time to the next comparison."""
    settings = state.settings
    if state.uncompared:
        peer = next(iter(state.uncompared))
        del state.uncompared[peer]
    else:
        peer = state.rng.choice(state.neighbours)
        grown_s = max(2 * state.comparison_delay_s, settings.urgent_period_s)
        state.comparison_delay_s = min(grown_s, settings.digest_period_s)
    # Jitter spreads the comparisons of instances that started together.
    jitter_s = state.rng.uniform(0, 0.5) * state.comparison_delay_s
    state.compared_at = at - jitter_s
    actions = expire_and_renew(state, at)
    digest = SendDigest(peer, state.urgent_digest, tuple(state.digest))
    return Decision(state, (*actions, digest))


def disseminate(
    state: GossipState,
    accepted: Iterable[StoredRegister],
    at: float,
    sender: str = "",
) -> tuple[SendRegisters, ...]:
    """Return the push of urgent registers; queue the others for the next round."""
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
    """Return registers with their ages, so that all instances expire them together."""
    return tuple((each.register, max(at - each.published_at, 0.0)) for each in stored)


def expire_and_renew(state: GossipState, at: float) -> tuple[object, ...]:
    """Remove expired registers and renew those published here that are due."""
    ttl_s = state.settings.ttl_s
    for stored in list(state.registers.values()):
        if stored.register.expires and at - stored.published_at >= ttl_s:
            remove_register(state, stored)
    due: list[RegisterName] = [
        name
        for name in state.renewed_names
        if at - state.registers[name].published_at >= ttl_s / RENEWALS_PER_TTL
    ]
    renewed = []
    for name in due:
        old = state.registers[name].register
        register = replace(old, version=old.version + 1)
        renewed.append(store_if_newer(state, register, at))
        state.renewed_names.add(name)
    return disseminate(state, renewed, at)
