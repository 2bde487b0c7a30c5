from __future__ import annotations

from collections import Counter

import pytest

from fireflyrack.routing import (
    Route,
    SearchTarget,
    ServiceTarget,
    SplitState,
    SplitTarget,
    WeightedService,
    select_shards,
    services_of,
)


def route(target) -> Route:
    return Route("r", "h", "/", target, True, 1.0, 0.1, 1, 2)


@pytest.mark.parametrize("weights", [(1, 1), (9, 1), (0.5, 0.3, 0.2), (1, 0)])
def test_each_window_of_requests_follows_the_split_weights(weights):
    """Guards against a split that matches its weights only over long periods."""
    target = SplitTarget(
        tuple(WeightedService(f"s{i}", weight) for i, weight in enumerate(weights))
    )
    splits = SplitState()
    chosen = [select_shards(target, route(target), splits)[0] for _ in range(1000)]
    for start in range(0, 1000, 100):
        counts = Counter(chosen[start : start + 100])
        for i, weight in enumerate(weights):
            share = weight / sum(weights)
            assert abs(counts[f"s{i}"] / 100 - share) <= 0.02


def test_changed_split_weights_reset_the_round_robin_state():
    """Guards against state of the old weights that skews the first new selections."""
    old = SplitTarget((WeightedService("a", 1), WeightedService("b", 99)))
    new = SplitTarget((WeightedService("a", 1), WeightedService("b", 1)))
    splits = SplitState()
    for _ in range(50):
        select_shards(old, route(old), splits)
    counts = Counter(select_shards(new, route(new), splits)[0] for _ in range(10))
    assert counts == {"a": 5, "b": 5}
    assert len(splits.current_weights) == 1


def test_services_of_each_target_type():
    """Guards against a service that a target uses but does not list."""
    assert services_of(ServiceTarget("a")) == ("a",)
    assert services_of(SearchTarget(("a", "b"), 0.5, 3)) == ("a", "b")
    assert services_of(SplitTarget((WeightedService("a", 1),))) == ("a",)
