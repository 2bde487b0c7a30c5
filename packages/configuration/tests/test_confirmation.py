"""Guard against plans that are lost, applied twice, altered or misreported."""

from __future__ import annotations

import pytest

from fireflyrack.configuration import (
    ConfirmationModel,
    ConfirmationOutcomeUnknown,
    ConfirmationUnavailable,
    PlanAltered,
    PlanConflict,
    PlanExpired,
    PlanRejected,
    StoreReverted,
    VersionNotFound,
    digest_of,
    verify_chain,
    verify_head,
)
from fireflyrack.configuration.audit import MAX_LOOKUP_RECORDS, SEGMENT_RECORDS
from fireflyrack.configuration.values import pack, unpack
from fireflyrack.core import Failed, Ok

from .memory_store import MemoryStore, declare, make_confirmation_service, request, run


@pytest.fixture
def confirmations():
    return make_confirmation_service(MemoryStore())


def plan_of(confirmations, intent):
    outcome = run(confirmations.plan(request(intent)))
    assert isinstance(outcome, Ok), outcome
    return outcome.value


def confirm(confirmations, plan, operator="ana", call_results=()):
    confirmation = ConfirmationModel(operator=operator, plan=plan)
    return run(confirmations.confirm(confirmation), call_results)


def change(confirmations, service, slots, operator="ana"):
    plan = plan_of(confirmations, declare(service, [f"{service}-1"], slots))
    outcome = confirm(confirmations, plan, operator)
    assert isinstance(outcome, Ok), outcome
    return plan, outcome.value.version


def head_version(confirmations):
    return run(confirmations.repository.read_head()).value[0].version


def test_repeated_confirmation_is_recognized_after_later_changes(confirmations):
    """Guards against applying a plan again when its record is in a closed segment."""
    first, version = change(confirmations, "a", 1)
    for number in range(SEGMENT_RECORDS + 5):
        change(confirmations, "b", number + 1)
    outcome = confirm(confirmations, first)
    assert outcome.value.version == version == 1
    assert head_version(confirmations) == SEGMENT_RECORDS + 6


def test_plan_older_than_the_lookup_limit_is_refused(confirmations, monkeypatch):
    """Guards against applying a plan again that is beyond the searched records."""
    monkeypatch.setattr("fireflyrack.configuration.confirmation.MAX_LOOKUP_RECORDS", 3)
    assert MAX_LOOKUP_RECORDS >= 3300
    first, _ = change(confirmations, "a", 1)
    for number in range(4):
        change(confirmations, "b", number + 1)
    assert confirm(confirmations, first) == Failed(PlanExpired(0, 5))
    assert head_version(confirmations) == 5


# The fifth call of a first confirmation is the head write, after one read and the
# writes of three values.
LOST_HEAD_WRITE = ["ok"] * 4 + ["lost"]


@pytest.mark.parametrize("fate", ["lost", "delayed"])
def test_head_write_with_lost_reply_is_resolved_by_reading_the_head(
    confirmations, fate
):
    """Guards against a head write that is applied twice or reported as failed."""
    plan = plan_of(confirmations, declare("a", ["a-1"]))
    outcome = confirm(confirmations, plan, call_results=["ok"] * 4 + [fate])
    assert outcome.value.version == 1
    for call in confirmations.repository.store.delayed:
        assert not confirmations.repository.store.apply(*call)
    assert confirm(confirmations, plan).value.version == 1


def test_outage_after_lost_reply_reports_unknown_outcome(confirmations):
    """Guards against reporting failure while a head write may be applied."""
    plan = plan_of(confirmations, declare("a", ["a-1"]))
    outcome = confirm(
        confirmations, plan, call_results=[*LOST_HEAD_WRITE, *["down"] * 20]
    )
    assert isinstance(outcome.error, ConfirmationOutcomeUnknown)
    assert confirm(confirmations, plan).value.version == 1


def test_outage_before_the_head_write_changes_nothing(confirmations):
    """Guards against an unknown outcome, or a change, without any head write."""
    plan = plan_of(confirmations, declare("a", ["a-1"]))
    outcome = confirm(confirmations, plan, call_results=["ok", "down"])
    assert isinstance(outcome.error, ConfirmationUnavailable)
    assert head_version(confirmations) == 0


def test_conflict_returns_the_changes_and_a_new_plan(confirmations):
    """Guards against overwriting a concurrent change or refusing without a reason."""
    change(confirmations, "a", 1)
    outdated_plan = plan_of(confirmations, declare("a", ["a-1"], 5))
    change(confirmations, "a", 3, operator="bor")
    change(confirmations, "b", 1, operator="cene")
    error = confirm(confirmations, outdated_plan).error
    assert isinstance(error, PlanConflict)
    (since,) = error.conflict.since
    assert (since.operator, since.version) == ("bor", 2)
    assert "3 slots" in since.changes[0].after
    assert confirm(confirmations, error.conflict.plan).value.version == 4


def test_plans_for_different_services_are_both_accepted(confirmations):
    """Guards against refusing a plan because another service has changed."""
    first = plan_of(confirmations, declare("a", ["a-1"]))
    second = plan_of(confirmations, declare("b", ["b-1"]))
    assert confirm(confirmations, first).value.version == 1
    assert confirm(confirmations, second).value.version == 2


def test_backend_server_id_of_another_service_is_a_conflict(confirmations):
    """Guards against a backend server that belongs to two services."""
    first = plan_of(confirmations, declare("a", ["x"]))
    second = plan_of(confirmations, declare("b", ["x"]))
    confirm(confirmations, first, "bor")
    conflict = confirm(confirmations, second).error.conflict
    assert "backend server x belongs to service a" in conflict.reason
    assert conflict.plan is None
    assert conflict.since[0].operator == "bor"


def with_values(plan, **values):
    return plan.model_copy(update=values)


def with_matching_operation(plan):
    return with_values(plan, operation=plan.expected_operation())


@pytest.mark.parametrize("reseal", [False, True])
def test_altered_plan_is_refused(confirmations, reseal):
    """Guards against applying content other than what was planned."""
    plan = plan_of(confirmations, declare("a", ["a-1"]))
    other = request(declare("a", ["a-1"], 9)).intent
    for changed in (
        with_values(plan, intent=other),
        with_values(plan, changes=()),
        with_values(plan, effects=("none",)),
        with_values(plan, document="0" * 64),
        with_values(plan, base_version=7),
    ):
        given = with_matching_operation(changed) if reseal else changed
        assert isinstance(confirm(confirmations, given).error, PlanAltered)
    assert head_version(confirmations) == 0


def test_rollback_restores_the_declaration_of_an_earlier_version(confirmations):
    """Guards against a rollback to another version, in open or closed segments."""
    for slots in range(1, SEGMENT_RECORDS + 9):
        change(confirmations, "a", slots)
    for version in (1, SEGMENT_RECORDS, SEGMENT_RECORDS + 3):
        plan = plan_of(
            confirmations, {"kind": "rollback", "service": "a", "version": version}
        )
        assert isinstance(confirm(confirmations, plan), Ok)
        deployed, _ = run(confirmations.repository.read_deployed()).value
        assert deployed.document("a").backend_servers[0].slots == version
    later = {"kind": "rollback", "service": "a", "version": 9999}
    assert isinstance(run(confirmations.plan(request(later))).error, PlanRejected)
    before = {"kind": "rollback", "service": "a", "version": 0}
    confirm(confirmations, plan_of(confirmations, before))
    deployed, _ = run(confirmations.repository.read_deployed()).value
    assert deployed.document("a") is None


def test_confirmation_is_refused_if_the_store_has_reverted():
    """Guards against new versions on top of a store restored from an old copy."""
    store = MemoryStore()
    plan, _ = change(make_confirmation_service(store), "a", 1)
    reverted = make_confirmation_service(store, known_version=lambda: 5)
    assert confirm(reverted, plan) == Failed(StoreReverted(1, 5))


def page(confirmations, first=1, limit=1000):
    return run(confirmations.audit(first, limit)).value


def test_audit_trail_matches_the_changes_across_segments(confirmations):
    """Guards against records that are lost or misordered when a segment is closed."""
    total = 2 * SEGMENT_RECORDS + 7
    for number in range(total):
        change(confirmations, "ab"[number % 2], number + 1, operator=f"o{number}")
    full_page = page(confirmations)
    assert [r.operator for r in full_page.records] == [f"o{n}" for n in range(total)]
    assert verify_chain(full_page.records, "", 1) == verify_head(full_page) == ()
    partial_page = page(confirmations, SEGMENT_RECORDS - 1, 4)
    assert (
        partial_page.records
        == full_page.records[SEGMENT_RECORDS - 2 : SEGMENT_RECORDS + 2]
    )
    fresh = make_confirmation_service(confirmations.repository.store)
    for version in (1, 2, SEGMENT_RECORDS, SEGMENT_RECORDS + 1, total):
        found = run(fresh.services_at(version)).value
        assert found.record == full_page.records[version - 1]
        assert found.changed.get("a") == version - (version + 1) % 2
    assert run(fresh.services_at(total + 1)).error == VersionNotFound(total + 1, total)


def test_changed_record_is_identified(confirmations):
    """Guards against a changed record that verification does not find."""
    for number in range(SEGMENT_RECORDS + 1):
        change(confirmations, "a", number + 1)
    records = list(page(confirmations).records)
    records[3] = records[3].model_copy(update={"operator": "mallory"})
    (defect,) = verify_chain(records, "", 1)
    assert defect.version == 4


def test_missing_record_is_identified(confirmations):
    """Guards against a removed record that verification does not find."""
    for number in range(8):
        change(confirmations, "a", number + 1)
    records = list(page(confirmations).records)
    del records[5]
    (defect,) = verify_chain(records, "", 1)
    assert defect.version == 6


def test_changed_segment_is_detected_from_the_head(confirmations):
    """Guards against trusting a segment that does not match the hash chain."""
    for number in range(SEGMENT_RECORDS + 1):
        change(confirmations, "a", number + 1)
    store = confirmations.repository.store
    key = "audit/segments/0"
    value, revision = store.values[key]
    store.values[key] = (pack(unpack(value).replace(b'"ana"', b'"eve"')), revision)
    fresh = make_confirmation_service(store)
    head = run(fresh.repository.read_head()).value[0]
    outcome = run(fresh.repository.records_after(head, 0))
    assert f"version {SEGMENT_RECORDS} was changed" in outcome.error.detail


def test_head_of_each_past_version_can_be_reconstructed(confirmations):
    """Guards against evidence of an earlier version that cannot be verified."""
    digests = []
    for number in range(SEGMENT_RECORDS + 3):
        change(confirmations, "abc"[number % 3], number + 1)
        head = run(confirmations.repository.read_head()).value[0]
        digests.append(digest_of(head.encode()))
    for version, digest in enumerate(digests, start=1):
        found = run(confirmations.services_at(version)).value
        assert digest_of(found.head().encode()) == digest
