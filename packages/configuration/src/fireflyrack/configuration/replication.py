"""Replica of the configuration on an instance; its version never decreases."""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from functools import singledispatch

from fireflyrack.core import Decision, rank

from .documents import Configuration

# Rendezvous hashing key for the selection of the watchers of the head.
WATCHERS_KEY = "configuration.head"


class ConfigurationSource(enum.Enum):
    """Where a configuration was received from."""

    STORE = "store"
    PEER = "peer"


@dataclass(frozen=True, slots=True)
class PeerAnswer:
    """Response of a peer to a version request."""

    version: int
    digest: str
    # Whether the peer serves it; requires the store or a quorum to have confirmed it.
    confirmed: bool


@dataclass(frozen=True, slots=True)
class ReplicaState:
    """Active configuration of this instance, and versions known from others."""

    instance_id: str
    configuration: Configuration = Configuration()
    # Whether the store or a quorum of the peers has confirmed the version as newest.
    confirmed: bool = False
    # How the version was confirmed, as text for operators.
    basis: str = ""
    store_read: bool = False
    peers: frozenset[str] = frozenset()
    # Whether the first poll of the peers has ended.
    peers_polled: bool = False
    answers: Mapping[str, PeerAnswer] = field(default_factory=dict)
    announced_version: int = 0
    # Kinds of refused offers that were reported, until the source offers a valid one.
    reported: frozenset[tuple[ConfigurationSource, str]] = frozenset()
    # Refused offers by source and problem (`stale` or `mismatch`).
    refused: Counter[tuple[ConfigurationSource, str]] = field(default_factory=Counter)


@dataclass(frozen=True, slots=True)
class ConfigurationOffered:
    """A configuration was received from the store or a peer."""

    configuration: Configuration
    source: ConfigurationSource
    # Version that was active when the offer was requested.
    requested_at_version: int


@dataclass(frozen=True, slots=True)
class PeersListed:
    """The list of the other instances was received."""

    peers: frozenset[str]


@dataclass(frozen=True, slots=True)
class PeerAnswered:
    """A peer responded with its version."""

    peer: str
    answer: PeerAnswer


@dataclass(frozen=True, slots=True)
class PeersPolled:
    """Each listed peer has responded or timed out."""


@dataclass(frozen=True, slots=True)
class HeadAnnounced:
    """A version was announced by gossip dissemination."""

    version: int
    digest: str


@dataclass(frozen=True, slots=True)
class ApplyConfiguration:
    """Activate a configuration in all parts of this instance."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class FetchVersion:
    """Fetch a version from peers, or else from the store."""

    version: int
    # Peers that have reported this version; empty if none is known.
    peers: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ReportRefusedOffer:
    """Log a refused offer."""

    source: ConfigurationSource
    problem: str
    version: int
    known_version: int


@dataclass(frozen=True, slots=True)
class ReportReady:
    """Log that the instance is ready, and how its version was confirmed."""

    version: int
    basis: str


def watchers(members: Iterable[str], count: int) -> tuple[str, ...]:
    """Return the members that watch the head in the store."""
    return rank(WATCHERS_KEY, members)[:count]


def quorum(peers: int) -> int:
    """Return how many listed peers must be serving if the store was not read."""
    return peers // 2 + 1


@singledispatch
def decide(event: object, state: ReplicaState) -> Decision[ReplicaState]:
    """Return the new state and the actions that result from an event."""
    raise TypeError(f"unsupported event type: {type(event).__name__}")


@decide.register
def _(event: ConfigurationOffered, state: ReplicaState) -> Decision[ReplicaState]:
    offered, known = event.configuration, state.configuration
    if event.source is ConfigurationSource.STORE:
        state = replace(state, store_read=True)
    if event.requested_at_version <= offered.version < known.version:
        # A newer version became active while the request was in progress.
        return update_readiness(state, ())
    if offered.version < known.version:
        return refuse_offer(state, event.source, offered.version, "stale")
    if digest_differs(known, offered.version, offered.digest):
        return refuse_offer(state, event.source, offered.version, "mismatch")
    ended_reports = {r for r in state.reported if r[0] is event.source}
    state = replace(state, reported=state.reported - ended_reports)
    if offered.version == known.version:
        return update_readiness(state, ())
    state = replace(state, configuration=offered)
    return update_readiness(state, (ApplyConfiguration(offered),))


@decide.register
def _(event: PeersListed, state: ReplicaState) -> Decision[ReplicaState]:
    answers = {p: a for p, a in state.answers.items() if p in event.peers}
    return update_readiness(replace(state, peers=event.peers, answers=answers), ())


@decide.register
def _(event: PeerAnswered, state: ReplicaState) -> Decision[ReplicaState]:
    if event.peer not in state.peers:
        return Decision(state)
    state = replace(state, answers={**state.answers, event.peer: event.answer})
    return update_readiness(state, fetch_missing(state))


@decide.register
def _(event: PeersPolled, state: ReplicaState) -> Decision[ReplicaState]:
    return update_readiness(replace(state, peers_polled=True), fetch_missing(state))


@decide.register
def _(event: HeadAnnounced, state: ReplicaState) -> Decision[ReplicaState]:
    if digest_differs(state.configuration, event.version, event.digest):
        return refuse_offer(state, ConfigurationSource.PEER, event.version, "mismatch")
    announced = max(state.announced_version, event.version)
    state = replace(state, announced_version=announced)
    return Decision(state, fetch_missing(state))


def digest_differs(known: Configuration, version: int, digest: str) -> bool:
    """Return whether a digest contradicts the known one of the same version."""
    return 0 < version == known.version and digest != known.digest


def newest_known_version(state: ReplicaState) -> int:
    """Return the highest version that was offered, reported or announced."""
    versions = (answer.version for answer in state.answers.values())
    return max(state.configuration.version, state.announced_version, *versions, 0)


def fetch_missing(state: ReplicaState) -> tuple[FetchVersion, ...]:
    """Return an action to fetch the newest version if this instance is behind."""
    newest = newest_known_version(state)
    if newest <= state.configuration.version:
        return ()
    holders = tuple(p for p, a in state.answers.items() if a.version >= newest)
    return (FetchVersion(newest, holders),)


def update_readiness(
    state: ReplicaState, actions: tuple[object, ...]
) -> Decision[ReplicaState]:
    """Mark the instance as ready once its version is confirmed as the newest."""
    if state.confirmed:
        return Decision(state, actions)
    basis = readiness_basis(state)
    if basis is None:
        return Decision(state, actions)
    state = replace(state, confirmed=True, basis=basis)
    ready = ReportReady(state.configuration.version, basis)
    return Decision(state, (*actions, ready))


def readiness_basis(state: ReplicaState) -> str | None:
    """Return how the active version is confirmed as the newest, or None."""
    if not state.peers_polled or state.configuration.version < newest_known_version(
        state
    ):
        return None
    if state.store_read:
        return "read from the store"
    needed = quorum(len(state.peers))
    # A peer that is not serving yet may not know of earlier confirmations.
    confirmed = sum(answer.confirmed for answer in state.answers.values())
    if confirmed < needed:
        return None
    known = state.configuration
    holders = sorted(
        peer
        for peer, answer in state.answers.items()
        if answer.confirmed
        and (answer.version, answer.digest) == (known.version, known.digest)
    )
    if not holders or known.version == 0:
        return None
    return (
        f"{confirmed} of {len(state.peers)} listed peers answered, none "
        f"with a later version; confirmed by {', '.join(holders[:3])}"
    )


def refuse_offer(
    state: ReplicaState, source: ConfigurationSource, version: int, problem: str
) -> Decision[ReplicaState]:
    """Count a refused offer; report it unless its kind is reported already."""
    kind = (source, problem)
    state.refused[kind] += 1
    if kind in state.reported:
        return Decision(state)
    state = replace(state, reported=state.reported | {kind})
    known = state.configuration.version
    return Decision(state, (ReportRefusedOffer(source, problem, version, known),))
