"""Guard against evidence of unbounded size or with the wrong replica."""

from __future__ import annotations

from fireflyrack.configuration import Partition, Placement, Service
from fireflyrack.core import ShardSet
from fireflyrack.search import (
    Counts,
    Coverage,
    Finish,
    Query,
    Report,
    ReportTable,
    ServingState,
    Snapshot,
    choose_snapshot,
    decisions_model,
    decode_answers,
    encode_answers,
)

PLACEMENTS = 400
REPLICAS = 3
PARTITION = Partition(
    1,
    PLACEMENTS * 3,
    tuple(
        Placement(
            ShardSet.span(3 * n, 3 * n + 3),
            tuple(f"backend-server-{n:04d}-{r}" for r in range(REPLICAS)),
        )
        for n in range(PLACEMENTS)
    ),
)
SNAPSHOT = Snapshot(1, 1)


def test_record_names_the_server_that_answered_each_shard():
    """Guards against evidence that attributes shards to the wrong server."""
    answered = [
        ("backend-server-0000-2", ShardSet.span(0, 3)),
        ("backend-server-0001-0", ShardSet.of([3, 4])),
        ("backend-server-0001-1", ShardSet.of([5])),
    ]
    record = encode_answers(PARTITION, answered)
    assert record.replicas == "2*" + "-" * (PLACEMENTS - 2)
    assert decode_answers(PARTITION, record) == tuple(answered)


def test_decisions_stay_under_4_kib_with_1200_backend_servers():
    """Guards against evidence that grows with the number of backend servers."""
    split = [
        (server, ShardSet.of([3 * n + r]))
        for n, placement in enumerate(PARTITION.placement)
        for r, server in enumerate(placement.replicas)
    ]
    assert len(split) == 1200
    coverage = Coverage(PARTITION.all_shards(), PARTITION.all_shards())
    names = tuple(server for server, _ in split)
    finish = Finish((), coverage, Counts(), tuple(split), names)
    query = Query("q", "s", "t", 1, SNAPSHOT, PARTITION, 1.0)
    model = decisions_model(query, finish)
    assert len(model.model_dump_json()) < 4096
    assert model.answered_omitted == 1200 - len(model.answered_listed)


def serving_report(name, *sequences, shards=PARTITION.all_shards()):
    snapshots = {Snapshot(1, sequence): shards for sequence in sequences}
    return Report(name, ServingState.SERVING, snapshots)


def test_a_new_snapshot_is_used_once_half_of_the_replicas_hold_it():
    """Guards against sending all load to the first replicas of a new snapshot."""
    reports = [
        serving_report("b0", 1, 2),
        serving_report("b1", 1),
        serving_report("b2", 1),
    ]
    assert choose_snapshot(reports, {1: 1200}) == Snapshot(1, 1)
    reports[1] = serving_report("b1", 1, 2)
    assert choose_snapshot(reports, {1: 1200}) == Snapshot(1, 2)
    # Coverage takes precedence over the number of replicas.
    first_half = ShardSet.span(0, 600)
    reports = [
        serving_report("b0", 2),
        serving_report("b1", 1, shards=first_half),
        serving_report("b2", 1, shards=first_half),
    ]
    assert choose_snapshot(reports, {1: 1200}) == Snapshot(1, 2)


def test_dropped_snapshot_was_ever_reported():
    """Guards against reporting a dropped snapshot as one that never existed."""
    service = Service("s", {"b0": None}, (PARTITION,))
    table = ReportTable()
    table.put(serving_report("b0", 1))
    assert table.candidates_for(service, SNAPSHOT)
    table.put(serving_report("b0", 2))
    assert not table.candidates_for(service, SNAPSHOT)
    assert table.was_ever_reported(service, SNAPSHOT)
    assert not table.was_ever_reported(service, Snapshot(1, 9))
