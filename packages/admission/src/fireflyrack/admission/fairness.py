"""Fair queue between services, and between coordinators within a service."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import singledispatch

from .work import RunRequest, SearchWork, Work


@dataclass(frozen=True, slots=True)
class BatchGroup:
    """Key of the work that may share a batch: one service, searches or runs."""

    service: str
    runs: bool = False


@singledispatch
def group_of(work: object) -> BatchGroup:
    """Return the batch group of work."""
    raise TypeError(f"unsupported work type: {type(work).__name__}")


@group_of.register
def _(work: SearchWork) -> BatchGroup:
    return BatchGroup(work.service)


@group_of.register
def _(work: RunRequest) -> BatchGroup:
    return BatchGroup(work.service, runs=True)


@singledispatch
def coordinator_of(work: object) -> str:
    """Return the coordinator that sent work; empty for a run."""
    return ""


@coordinator_of.register
def _(work: SearchWork) -> str:
    return work.coordinator


@dataclass(slots=True)
class GroupQueue:
    """Waiting work of one batch group: a flow for each coordinator, in round robin."""

    flows: dict[str, dict[str, Work]] = field(default_factory=dict)
    count: int = 0
    # Slot time in seconds charged to this group; comparable between active groups.
    used_s: float = 0.0

    def ahead_of(self, coordinator: str) -> int:
        """Return how much work is sent before new work of a coordinator."""
        own = len(self.flows.get(coordinator, ()))
        return own + sum(
            min(len(flow), own + 1)
            for name, flow in self.flows.items()
            if name != coordinator
        )


@dataclass(slots=True)
class FairQueue:
    """Waiting work; groups share slot time, coordinators of a group take turns.

    Call `next_group` for the group to serve next, and `pop` for its next work.
    """

    newest_first: bool = False
    groups: dict[BatchGroup, GroupQueue] = field(default_factory=dict)
    by_id: dict[str, Work] = field(default_factory=dict)
    # `used_s` of the group served last. A group that was idle starts from it, so that
    # it cannot claim the slot time that it did not use.
    virtual_time_s: float = 0.0

    def __len__(self) -> int:
        return len(self.by_id)

    def __contains__(self, work: str) -> bool:
        return work in self.by_id

    def put(self, work: Work) -> None:
        group = self.groups.setdefault(group_of(work), GroupQueue())
        if not group.count:
            group.used_s = max(group.used_s, self.virtual_time_s)
        group.flows.setdefault(coordinator_of(work), {})[work.id] = work
        group.count += 1
        self.by_id[work.id] = work

    def remove(self, work_id: str) -> Work | None:
        """Remove work and return it, or None if it does not wait."""
        work = self.by_id.pop(work_id, None)
        if work is not None:
            group = self.groups[group_of(work)]
            group.count -= 1
            coordinator = coordinator_of(work)
            flow = group.flows[coordinator]
            del flow[work_id]
            if not flow:
                del group.flows[coordinator]
        return work

    def next_group(self) -> BatchGroup:
        """Return the non-empty group that has used the least slot time."""
        group = min(
            (group for group, queue in self.groups.items() if queue.count),
            key=lambda group: self.groups[group].used_s,
        )
        self.virtual_time_s = self.groups[group].used_s
        return group

    def peek(self, group: BatchGroup) -> Work:
        """Return the work of a group that `pop` returns next."""
        flow = next(iter(self.groups[group].flows.values()))
        return next(
            reversed(flow.values()) if self.newest_first else iter(flow.values())
        )

    def pop(self, group: BatchGroup) -> Work:
        """Remove the next work of a group and move its coordinator to the end."""
        work = self.peek(group)
        self.remove(work.id)
        flows = self.groups[group].flows
        coordinator = coordinator_of(work)
        if coordinator in flows:
            flows[coordinator] = flows.pop(coordinator)
        return work

    def charge(self, group: BatchGroup, seconds: float) -> None:
        """Add slot time to what a group has used."""
        self.groups[group].used_s += seconds

    def newest_of_longest_flow(self, work: Work) -> Work | None:
        """Return the work to evict for new work, or None if its own flow is longest."""
        own = self.groups.get(group_of(work), GroupQueue())
        own_flow = own.flows.get(coordinator_of(work), {})
        flows = [
            flow for group in self.groups.values() for flow in group.flows.values()
        ]
        longest = max(flows, key=len, default={})
        if len(longest) <= len(own_flow) + 1:
            return None
        return next(reversed(longest.values()))

    def clear(self) -> tuple[str, ...]:
        """Remove all work and return its ids."""
        removed = tuple(self.by_id)
        self.by_id.clear()
        self.groups.clear()
        return removed
