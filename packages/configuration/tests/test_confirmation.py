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

from .memory_store import MemoryStore, confirmations_on, declare, request, run


@pytest.fixture
def site():
    return confirmations_on(MemoryStore())


def plan_of(site, intent):
    outcome = run(site.plan(request(intent)))
    assert isinstance(outcome, Ok), outcome
    return outcome.value


def confirm(site, plan, operator="ana", fates=()):
    confirmation = ConfirmationModel(operator=operator, plan=plan)
    return run(site.confirm(confirmation), fates)


def change(site, service, slots, operator="ana"):
    plan = plan_of(site, declare(service, [f"{service}-1"], slots))
    outcome = confirm(site, plan, operator)
    assert isinstance(outcome, Ok), outcome
    return plan, outcome.value.version


def head_version(site):
    return run(site.repository.read_head()).value[0].version


def test_an_operation_is_found_after_others_followed(site):
    first, version = change(site, "a", 1)
    for number in range(SEGMENT_RECORDS + 5):
        change(site, "b", number + 1)
    outcome = confirm(site, first)
    assert outcome.value.version == version == 1
    assert head_version(site) == SEGMENT_RECORDS + 6


def test_a_plan_beyond_the_lookup_bound_is_refused_and_not_applied(site, monkeypatch):
    monkeypatch.setattr("fireflyrack.configuration.confirmation.MAX_LOOKUP_RECORDS", 3)
    assert MAX_LOOKUP_RECORDS >= 3300
    first, _ = change(site, "a", 1)
    for number in range(4):
        change(site, "b", number + 1)
    assert confirm(site, first) == Failed(PlanExpired(0, 5))
    assert head_version(site) == 5


# The head write is the fourth write of a first confirmation; reads come before.
LOST_HEAD = ["ok"] * 4 + ["lost"]


@pytest.mark.parametrize("fate", ["lost", "delayed"])
def test_a_write_with_a_lost_reply_is_settled_by_reading_back(site, fate):
    plan = plan_of(site, declare("a", ["a-1"]))
    outcome = confirm(site, plan, fates=["ok"] * 4 + [fate])
    assert outcome.value.version == 1
    for call in site.repository.store.delayed:
        assert not site.repository.store.apply(*call)
    assert confirm(site, plan).value.version == 1


def test_an_outage_after_a_lost_reply_is_reported_as_unknown(site):
    plan = plan_of(site, declare("a", ["a-1"]))
    outcome = confirm(site, plan, fates=[*LOST_HEAD, *["down"] * 20])
    assert isinstance(outcome.error, ConfirmationOutcomeUnknown)
    assert confirm(site, plan).value.version == 1


def test_an_outage_before_the_head_is_written_changes_nothing(site):
    plan = plan_of(site, declare("a", ["a-1"]))
    outcome = confirm(site, plan, fates=["ok", "down"])
    assert isinstance(outcome.error, ConfirmationUnavailable)
    assert head_version(site) == 0


def test_the_loser_of_a_conflict_learns_what_changed_and_gets_a_new_plan(site):
    change(site, "a", 1)
    loser = plan_of(site, declare("a", ["a-1"], 5))
    change(site, "a", 3, operator="bor")
    change(site, "b", 1, operator="cene")
    error = confirm(site, loser).error
    assert isinstance(error, PlanConflict)
    (since,) = error.conflict.since
    assert (since.operator, since.version) == ("bor", 2)
    assert "3 slots" in since.changes[0].after
    assert confirm(site, error.conflict.plan).value.version == 4


def test_plans_that_do_not_conflict_are_both_carried_through(site):
    first = plan_of(site, declare("a", ["a-1"]))
    second = plan_of(site, declare("b", ["b-1"]))
    assert confirm(site, first).value.version == 1
    assert confirm(site, second).value.version == 2


def test_a_backend_server_that_another_service_took_is_a_conflict(site):
    first = plan_of(site, declare("a", ["x"]))
    second = plan_of(site, declare("b", ["x"]))
    confirm(site, first, "bor")
    conflict = confirm(site, second).error.conflict
    assert "backend server x belongs to service a" in conflict.reason
    assert conflict.plan is None
    assert conflict.since[0].operator == "bor"


def altered(plan, **values):
    return plan.model_copy(update=values)


def resealed(plan):
    return altered(plan, operation=plan.expected_operation())


@pytest.mark.parametrize("reseal", [False, True])
def test_an_altered_plan_is_refused(site, reseal):
    plan = plan_of(site, declare("a", ["a-1"]))
    other = request(declare("a", ["a-1"], 9)).intent
    for changed in (
        altered(plan, intent=other),
        altered(plan, changes=()),
        altered(plan, effects=("none",)),
        altered(plan, document="0" * 64),
        altered(plan, base_version=7),
    ):
        given = resealed(changed) if reseal else changed
        assert isinstance(confirm(site, given).error, PlanAltered)
    assert head_version(site) == 0


def test_rollback_returns_to_the_declaration_of_an_earlier_version(site):
    for slots in range(1, SEGMENT_RECORDS + 9):
        change(site, "a", slots)
    for version in (1, SEGMENT_RECORDS, SEGMENT_RECORDS + 3):
        plan = plan_of(site, {"kind": "rollback", "service": "a", "version": version})
        assert isinstance(confirm(site, plan), Ok)
        deployed, _ = run(site.repository.read_deployed()).value
        assert deployed.document("a").backend_servers[0].slots == version
    later = {"kind": "rollback", "service": "a", "version": 9999}
    assert isinstance(run(site.plan(request(later))).error, PlanRejected)
    before = {"kind": "rollback", "service": "a", "version": 0}
    confirm(site, plan_of(site, before))
    deployed, _ = run(site.repository.read_deployed()).value
    assert deployed.document("a") is None


def test_a_store_that_shows_a_lower_version_takes_no_confirmation():
    store = MemoryStore()
    plan, _ = change(confirmations_on(store), "a", 1)
    reverted = confirmations_on(store, known_version=lambda: 5)
    assert confirm(reverted, plan) == Failed(StoreReverted(1, 5))


def page(site, first=1, limit=1000):
    return run(site.audit(first, limit)).value


def test_the_trail_equals_the_changes_across_segments(site):
    total = 2 * SEGMENT_RECORDS + 7
    for number in range(total):
        change(site, "ab"[number % 2], number + 1, operator=f"o{number}")
    whole = page(site)
    assert [r.operator for r in whole.records] == [f"o{n}" for n in range(total)]
    assert verify_chain(whole.records, "", 1) == verify_head(whole) == ()
    part = page(site, SEGMENT_RECORDS - 1, 4)
    assert part.records == whole.records[SEGMENT_RECORDS - 2 : SEGMENT_RECORDS + 2]
    fresh = confirmations_on(site.repository.store)
    for version in (1, 2, SEGMENT_RECORDS, SEGMENT_RECORDS + 1, total):
        found = run(fresh.services_at(version)).value
        assert found.record == whole.records[version - 1]
        assert found.changed.get("a") == version - (version + 1) % 2
    assert run(fresh.services_at(total + 1)).error == VersionNotFound(total + 1, total)


def test_a_changed_record_is_named(site):
    for number in range(SEGMENT_RECORDS + 1):
        change(site, "a", number + 1)
    records = list(page(site).records)
    records[3] = records[3].model_copy(update={"operator": "mallory"})
    (defect,) = verify_chain(records, "", 1)
    assert defect.version == 4


def test_a_missing_record_is_named(site):
    for number in range(8):
        change(site, "a", number + 1)
    records = list(page(site).records)
    del records[5]
    (defect,) = verify_chain(records, "", 1)
    assert defect.version == 6


def test_a_changed_segment_is_found_by_a_walk_from_the_head(site):
    for number in range(SEGMENT_RECORDS + 1):
        change(site, "a", number + 1)
    store = site.repository.store
    key = "audit/segments/0"
    value, revision = store.values[key]
    store.values[key] = (pack(unpack(value).replace(b'"ana"', b'"eve"')), revision)
    fresh = confirmations_on(store)
    head = run(fresh.repository.read_head()).value[0]
    outcome = run(fresh.repository.records_after(head, 0))
    assert f"version {SEGMENT_RECORDS} was changed" in outcome.error.detail


def test_the_head_of_each_past_version_can_be_rebuilt(site):
    digests = []
    for number in range(SEGMENT_RECORDS + 3):
        change(site, "abc"[number % 3], number + 1)
        head = run(site.repository.read_head()).value[0]
        digests.append(digest_of(head.encode()))
    for version, digest in enumerate(digests, start=1):
        found = run(site.services_at(version)).value
        assert digest_of(found.head().encode()) == digest
