"""Guard against services that exceed the value limit of the store."""

from __future__ import annotations

from fireflyrack.configuration import ConfirmationModel, PlanTooLarge
from fireflyrack.core import Ok

from .memory_store import (
    SETTINGS,
    MemoryStore,
    declare,
    make_confirmation_service,
    request,
    run,
)


def large_service(servers, groups, shards_per_group=2):
    """Return an intent that places each group of shards on two replicas."""
    intent = declare("large", [f"backend-server-{n:05}" for n in range(servers)])
    names = [server["id"] for server in intent["declaration"]["backend_servers"]]
    placement = [
        {
            "shards": f"{n * shards_per_group}-{(n + 1) * shards_per_group - 1}",
            "replicas": [names[n % servers], names[(n * 7 + 1) % servers]],
        }
        for n in range(groups)
    ]
    partition = {
        "generation": 1,
        "shards": groups * shards_per_group,
        "placement": placement,
    }
    intent["declaration"]["partitions"] = [partition]
    return intent


def confirm(confirmations, intent):
    plan = run(confirmations.plan(request(intent))).value
    return plan, run(
        confirmations.confirm(ConfirmationModel(operator="ana", plan=plan))
    )


def test_service_of_the_target_size_fits_the_store_limits():
    """Guards against a stored form that exceeds the limit at the target size."""
    store = MemoryStore()
    plan, outcome = confirm(make_confirmation_service(store), large_service(1200, 4800))
    assert isinstance(outcome, Ok)
    sizes = {key: len(value) for key, (value, _) in store.values.items()}
    assert max(sizes.values()) <= SETTINGS.max_value_bytes
    body = ConfirmationModel(operator="ana", plan=plan).model_dump_json()
    assert len(body) <= SETTINGS.max_plan_bytes


def test_plan_above_the_value_limit_is_refused_before_any_write(monkeypatch):
    """Guards against values that are written before the size check fails."""
    monkeypatch.setattr(
        f"{make_confirmation_service.__module__}.SETTINGS",
        SETTINGS.model_copy(update={"max_value_bytes": 20_000}),
    )
    store = MemoryStore()
    _, outcome = confirm(make_confirmation_service(store), large_service(1200, 4800))
    assert isinstance(outcome.error, PlanTooLarge)
    assert outcome.error.size > 20_000
    assert store.values == {}
