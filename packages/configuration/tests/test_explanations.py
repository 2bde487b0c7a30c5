"""Guard against forged evidence that verifies, and valid evidence that does not."""

from __future__ import annotations

import json

import pytest

from fireflyrack.configuration import (
    ConfirmationModel,
    SignatureState,
    check_signature,
    compute_signature,
    digest_of,
    explain,
)

from .memory_store import MemoryStore, declare, make_confirmation_service, request, run

KEYS = {"new": "a key of 2027", "old": "a key of 2026"}


def evidence(**values):
    given = {
        "service": "a",
        "configuration_version": 1,
        "configuration_digest": "",
        "coverage": {"share": 1.0, "lacking": {}},
        "decisions": {"hedges": [{"after_ms": 2.5}]},
        "key_id": "old",
        **values,
    }
    return {**given, "signature": compute_signature(given, KEYS["old"])}


def test_signature_of_an_older_key_is_valid():
    """Guards against evidence that becomes invalid when the key is rotated."""
    assert check_signature(evidence(), KEYS) is SignatureState.VALID
    renamed = evidence(key_id="lost")
    assert check_signature(renamed, KEYS) is SignatureState.UNKNOWN_KEY
    assert check_signature(evidence(key_id="new"), KEYS) is SignatureState.INVALID


def test_signature_survives_json_reserialization():
    """Guards against signatures that depend on key order or number format."""
    text = json.dumps(evidence(), sort_keys=True).replace("1.0", "1")
    assert check_signature(json.loads(text), KEYS) is SignatureState.VALID


@pytest.mark.parametrize(
    "change",
    [
        {"configuration_version": 2},
        {"decisions": {}},
        {"coverage": {"share": 0.5, "lacking": {}}},
        {"signature": "\u00e9"},
        {"added": 1},
    ],
)
def test_changed_evidence_has_an_invalid_signature(change):
    """Guards against changed evidence that still verifies."""
    assert check_signature({**evidence(), **change}, KEYS) is SignatureState.INVALID


def test_explanation_names_past_document_and_operator():
    """Guards against an explanation from a later version than that of the answer."""
    confirmations = make_confirmation_service(MemoryStore())
    digests = []
    for operator, intent in (
        ("ana", declare("a", ["a-1"], 2)),
        ("bor", declare("b", ["b-1"])),
        ("cene", declare("a", ["a-1"], 7)),
    ):
        plan = run(confirmations.plan(request(intent))).value
        run(confirmations.confirm(ConfirmationModel(operator=operator, plan=plan)))
        head, _ = run(confirmations.repository.read_head()).value
        digests.append(digest_of(head.encode()))
    given = evidence(configuration_version=2, configuration_digest=digests[1])
    found = run(explain(given, KEYS, confirmations)).value
    assert found.signature is SignatureState.VALID and found.configuration_matches
    assert found.configuration.operator == "bor"
    assert (found.service_confirmed.operator, found.service_confirmed.version) == (
        "ana",
        1,
    )
    assert found.document.backend_servers[0].slots == 2
    given = evidence(configuration_version=2, configuration_digest=digests[2])
    assert not run(explain(given, KEYS, confirmations)).value.configuration_matches
