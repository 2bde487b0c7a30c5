"""Choice of the service of each request on a route with a target."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import singledispatch

from .routes import Route, SearchTarget, ServiceTarget, SplitTarget


@dataclass(slots=True)
class SplitState:
    """Hold the turn of each split route; updated in place."""

    credits: dict[tuple[str, SplitTarget], dict[str, float]] = field(
        default_factory=dict
    )

    def next_service(self, route_name: str, target: SplitTarget) -> str:
        """Return the service whose turn it is, by smooth weighted round robin."""
        key = (route_name, target)
        credits = self.credits.get(key)
        if credits is None:
            # Turns of an older version of the route are of no more use.
            for old in [k for k in self.credits if k[0] == route_name]:
                del self.credits[old]
            credits = self.credits[key] = {part.service: 0.0 for part in target.parts}
        total = 0.0
        for part in target.parts:
            credits[part.service] += part.weight
            total += part.weight
        chosen = max(credits, key=credits.__getitem__)
        credits[chosen] -= total
        return chosen


@singledispatch
def shards_of(target: object, route: Route, splits: SplitState) -> tuple[str, ...]:
    """Return the services that one request needs an answer of."""
    raise TypeError(f"not a target: {type(target).__name__}")


@shards_of.register
def _(target: ServiceTarget, route: Route, splits: SplitState) -> tuple[str, ...]:
    return (target.service,)


@shards_of.register
def _(target: SplitTarget, route: Route, splits: SplitState) -> tuple[str, ...]:
    return (splits.next_service(route.name, target),)


@shards_of.register
def _(target: SearchTarget, route: Route, splits: SplitState) -> tuple[str, ...]:
    return target.shards
