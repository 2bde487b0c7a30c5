"""Guard against instances that revert to, or serve, an outdated version."""

from __future__ import annotations

import pytest

from fireflyrack.configuration import (
    ApplyConfiguration,
    BundleHistory,
    BundleModel,
    BundleRequestModel,
    Configuration,
    ConfigurationOffered,
    ConfigurationSource,
    ConfirmationModel,
    FetchVersion,
    HeadAnnounced,
    PeerAnswer,
    PeerAnswered,
    PeersListed,
    PeersPolled,
    ReplicaState,
    ReportRefusedOffer,
    apply_bundle,
    decide,
    digest_of,
    watchers,
)

from .memory_store import MemoryStore, declare, make_confirmation_service, request, run

PEERS = frozenset({"e1", "e2", "e3"})
LATEST_VERSION = 100


def configuration(version, digest=""):
    return Configuration(version, digest or f"d{version}")


def offer(
    version,
    source=ConfigurationSource.PEER,
    digest="",
    requested_at_version=LATEST_VERSION,
):
    return ConfigurationOffered(
        configuration(version, digest), source, requested_at_version
    )


def answered(peer, version, confirmed=True):
    return PeerAnswered(peer, PeerAnswer(version, f"d{version}", confirmed))


def feed(*events, peers=PEERS):
    state, actions = ReplicaState("e0"), []
    for event in (PeersListed(peers), *events):
        decision = decide(event, state)
        state = decision.state
        actions += decision.actions
    return state, actions


def test_store_read_is_sufficient_after_polling_peers():
    """Guards against serving before the poll, or waiting for more than the store."""
    assert not feed(offer(3, ConfigurationSource.STORE))[0].confirmed
    assert feed(offer(3, ConfigurationSource.STORE), PeersPolled())[0].confirmed
    assert feed(offer(0, ConfigurationSource.STORE), PeersPolled(), peers=frozenset())[
        0
    ].confirmed


def test_quorum_of_serving_peers_is_sufficient_without_the_store():
    """Guards against an instance that cannot start while the store is unavailable."""
    state, _ = feed(answered("e1", 3), answered("e2", 3), offer(3), PeersPolled())
    assert state.confirmed
    assert "2 of 3 listed peers answered" in state.basis


@pytest.mark.parametrize(
    "events",
    [
        (answered("e1", 3), offer(3), PeersPolled()),
        (answered("e1", 3), answered("e2", 0, False), offer(3), PeersPolled()),
        (answered("e1", 3), answered("e2", 4), offer(3), PeersPolled()),
        (answered("e1", 3), answered("e2", 3), HeadAnnounced(5, "d5"), offer(3)),
        (answered("e1", 3), answered("e9", 3), offer(3), PeersPolled()),
        (PeersPolled(),),
    ],
    ids=["minority", "empty peer", "lags", "behind gossip", "not listed", "none"],
)
def test_instance_without_proof_of_the_newest_version_is_not_ready(events):
    """Guards against serving a version that may be outdated."""
    assert not feed(*events)[0].confirmed


def test_restored_store_does_not_hide_a_later_version_of_a_peer():
    """Guards against serving the old version of a store restored from a copy."""
    events = (offer(3, ConfigurationSource.STORE), answered("e1", 5), PeersPolled())
    state, actions = feed(*events)
    assert not state.confirmed
    assert FetchVersion(5, ("e1",)) in actions
    assert feed(*events, offer(5))[0].confirmed


@pytest.mark.parametrize("source", list(ConfigurationSource))
@pytest.mark.parametrize(
    ("version", "digest", "problem"), [(2, "", "stale"), (4, "other", "mismatch")]
)
def test_refused_offers_are_counted_and_reported_once(source, version, digest, problem):
    """Guards against invalid offers that are applied, ignored or logged each time."""
    wrong = offer(version, source, digest)
    state, actions = feed(offer(4, ConfigurationSource.STORE), wrong, wrong, wrong)
    assert state.configuration == configuration(4)
    assert state.refused == {(source, problem): 3}
    reports = [a for a in actions if isinstance(a, ReportRefusedOffer)]
    assert reports == [ReportRefusedOffer(source, problem, version, 4)]


@pytest.mark.parametrize("source", list(ConfigurationSource))
def test_offer_overtaken_by_a_newer_version_is_not_reported(source):
    """Guards against reporting a store or peer that replied as it should.

    A reply that was requested at version 3 arrives once version 4 is active, which
    another reply or a peer delivered first. The store is restored only afterwards.
    """
    overtaken = offer(3, source, requested_at_version=3)
    restored = offer(3, source, requested_at_version=4)
    state, actions = feed(offer(4), overtaken, restored, overtaken, restored)
    assert state.configuration == configuration(4)
    assert state.refused == {(source, "stale"): 2}
    reports = [a for a in actions if isinstance(a, ReportRefusedOffer)]
    assert reports == [ReportRefusedOffer(source, "stale", 3, 4)]


def test_announced_digest_mismatch_is_counted():
    """Guards against two documents of one version that go unnoticed."""
    state, _ = feed(offer(4), HeadAnnounced(4, "other"))
    assert state.refused == {(ConfigurationSource.PEER, "mismatch"): 1}


def test_newer_version_is_applied_once():
    """Guards against applying a version twice or returning to an earlier one."""
    _, actions = feed(offer(1), offer(2), offer(2), offer(1))
    changed = [a for a in actions if isinstance(a, ApplyConfiguration)]
    assert [a.configuration.version for a in changed] == [1, 2]


def test_losing_a_watcher_replaces_only_that_watcher():
    """Guards against all watchers moving when one instance leaves."""
    members = [f"e{n}" for n in range(830)]
    chosen = watchers(members, 3)
    remaining = watchers([m for m in members if m != chosen[0]], 3)
    assert len(chosen) == 3 and set(chosen[1:]) < set(remaining)


def test_bundle_updates_any_earlier_version_to_the_newest():
    """Guards against bundles that lose changes or apply to the wrong base."""
    confirmations = make_confirmation_service(MemoryStore())
    history = BundleHistory()
    versions = [history.deployed]
    intents = [
        declare("a", ["a-1"]),
        declare("b", ["b-1"]),
        declare("a", ["a-1"], 5),
        {"kind": "remove", "service": "b"},
        declare("a", ["a-1"]),
    ]
    for intent in intents:
        plan = run(confirmations.plan(request(intent))).value
        run(confirmations.confirm(ConfirmationModel(operator="ana", plan=plan)))
        deployed, _ = run(confirmations.repository.read_deployed()).value
        history.put(deployed)
        versions.append(deployed)
    for own in versions:
        digest = digest_of(own.head.encode())
        request_model = BundleRequestModel(version=own.head.version, digest=digest)
        bundle = BundleModel.decode(history.encoded_bundle_since(request_model))
        assert apply_bundle(bundle, own) == versions[-1]
    with pytest.raises(ValueError, match="starts from version"):
        apply_bundle(bundle, versions[1])
    with pytest.raises(ValueError):
        BundleModel.decode(b"damaged")
