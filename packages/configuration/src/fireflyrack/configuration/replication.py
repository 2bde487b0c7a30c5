"""Newest configuration that an instance has seen; it never goes back."""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from functools import singledispatch

from fireflyrack.core import Decision, rank

from .documents import Configuration

# Key under which rendezvous hashing chooses the watchers of the head.
WATCHERS_KEY = "configuration.head"


class ConfigurationSource(enum.Enum):
    """Name where a configuration comes from."""

    STORE = "store"
    PEER = "peer"


@dataclass(frozen=True, slots=True)
class PeerAnswer:
    """Hold what a peer said about its configuration."""

    version: int
    digest: str
    # Whether the peer serves it, which it does only after the store or a quorum.
    confirmed: bool


@dataclass(frozen=True, slots=True)
class ReplicaState:
    """Hold the configuration in force on this instance and what others showed."""

    instance_id: str
    configuration: Configuration = Configuration()
    # False until the store or a quorum of the peers has shown the newest version.
    confirmed: bool = False
    # How this instance knows that its version was the newest; for operators.
    basis: str = ""
    store_read: bool = False
    peers: frozenset[str] = frozenset()
    # Whether the first round of questions to the peers is over.
    peers_polled: bool = False
    answers: Mapping[str, PeerAnswer] = field(default_factory=dict)
    announced_version: int = 0
    # Kinds of wrong offers that are reported and have not ended.
    reported: frozenset[tuple[ConfigurationSource, str]] = frozenset()
    # Offers that were not taken: by source, and `stale` or `mismatch`.
    refused: Counter[tuple[ConfigurationSource, str]] = field(default_factory=Counter)


@dataclass(frozen=True, slots=True)
class ConfigurationOffered:
    """Report a configuration that the store or a peer has shown."""

    configuration: Configuration
    source: ConfigurationSource


@dataclass(frozen=True, slots=True)
class PeersListed:
    """Report the listed instances other than this one."""

    peers: frozenset[str]


@dataclass(frozen=True, slots=True)
class PeerAnswered:
    """Report which version a peer has."""

    peer: str
    answer: PeerAnswer


@dataclass(frozen=True, slots=True)
class PeersPolled:
    """Report that each listed peer has answered or let its time pass."""


@dataclass(frozen=True, slots=True)
class HeadAnnounced:
    """Report a version that the dissemination has brought."""

    version: int
    digest: str


@dataclass(frozen=True, slots=True)
class ApplyConfiguration:
    """Ask the shell to put a configuration in force in every slice."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class FetchVersion:
    """Ask the shell to get a version: from peers, else from the store."""

    version: int
    # Peers that said they have it; empty if none is known.
    peers: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ReportRefusedOffer:
    """Ask the shell to log an offer that was not taken."""

    source: ConfigurationSource
    problem: str
    version: int
    known_version: int


@dataclass(frozen=True, slots=True)
class ReportReady:
    """Ask the shell to log that the instance serves, and on which basis."""

    version: int
    basis: str


def watchers(members: Iterable[str], count: int) -> tuple[str, ...]:
    """Return the members that watch the head in the store."""
    return rank(WATCHERS_KEY, members)[:count]


def quorum(peers: int) -> int:
    """Return how many of the listed peers must answer without the store."""
    return peers // 2 + 1


@singledispatch
def decide(event: object, state: ReplicaState) -> Decision[ReplicaState]:
    """Return the new state and the actions for one event."""
    raise TypeError(f"not an event: {type(event).__name__}")


@decide.register
def _(event: ConfigurationOffered, state: ReplicaState) -> Decision[ReplicaState]:
    offered, known = event.configuration, state.configuration
    if event.source is ConfigurationSource.STORE:
        state = replace(state, store_read=True)
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
    """Return whether a digest is another one than that of the version in force."""
    return 0 < version == known.version and digest != known.digest


def newest_known_version(state: ReplicaState) -> int:
    """Return the highest version that anyone has shown or named."""
    versions = (answer.version for answer in state.answers.values())
    return max(state.configuration.version, state.announced_version, *versions, 0)


def fetch_missing(state: ReplicaState) -> tuple[FetchVersion, ...]:
    """Return the request for the newest version if this instance lacks it."""
    newest = newest_known_version(state)
    if newest <= state.configuration.version:
        return ()
    holders = tuple(p for p, a in state.answers.items() if a.version >= newest)
    return (FetchVersion(newest, holders),)


def update_readiness(
    state: ReplicaState, actions: tuple[object, ...]
) -> Decision[ReplicaState]:
    """Start to serve once the version in force is known to be the newest."""
    if state.confirmed:
        return Decision(state, actions)
    basis = readiness_basis(state)
    if basis is None:
        return Decision(state, actions)
    state = replace(state, confirmed=True, basis=basis)
    ready = ReportReady(state.configuration.version, basis)
    return Decision(state, (*actions, ready))


def readiness_basis(state: ReplicaState) -> str | None:
    """Return how the version in force is known to be the newest, or None."""
    if not state.peers_polled or state.configuration.version < newest_known_version(
        state
    ):
        return None
    if state.store_read:
        return "read from the store"
    needed = quorum(len(state.peers))
    # A peer that does not serve yet knows nothing of earlier confirmations.
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
    """Count an offer that was not taken, and report the first of its kind."""
    kind = (source, problem)
    state.refused[kind] += 1
    if kind in state.reported:
        return Decision(state)
    state = replace(state, reported=state.reported | {kind})
    known = state.configuration.version
    return Decision(state, (ReportRefusedOffer(source, problem, version, known),))
