"""Selection of the services that a request is sent to, by the target of its route."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import singledispatch

from .routes import Route, SearchTarget, ServiceTarget, SplitTarget


@dataclass(slots=True)
class SplitState:
    """Current weights of each split route for weighted round robin; mutable."""

    current_weights: dict[tuple[str, SplitTarget], dict[str, float]] = field(
        default_factory=dict
    )

    def next_service(self, route_name: str, target: SplitTarget) -> str:
        """Select the next service by smooth weighted round robin."""
        key = (route_name, target)
        current_weights = self.current_weights.get(key)
        if current_weights is None:
            # The weights changed, so the state of the older split is discarded.
            for old in [k for k in self.current_weights if k[0] == route_name]:
                del self.current_weights[old]
            current_weights = self.current_weights[key] = {
                part.service: 0.0 for part in target.parts
            }
        total = 0.0
        for part in target.parts:
            current_weights[part.service] += part.weight
            total += part.weight
        chosen = max(current_weights, key=current_weights.__getitem__)
        current_weights[chosen] -= total
        return chosen


@singledispatch
def select_shards(target: object, route: Route, splits: SplitState) -> tuple[str, ...]:
    """Select the services to send one request to; advances the split state."""
    raise TypeError(f"unsupported target type: {type(target).__name__}")


@select_shards.register
def _(target: ServiceTarget, route: Route, splits: SplitState) -> tuple[str, ...]:
    return (target.service,)


@select_shards.register
def _(target: SplitTarget, route: Route, splits: SplitState) -> tuple[str, ...]:
    return (splits.next_service(route.name, target),)


@select_shards.register
def _(target: SearchTarget, route: Route, splits: SplitState) -> tuple[str, ...]:
    return target.shards
