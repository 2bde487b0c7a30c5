"""Queue of one backend server: slots, waiting work and batches."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from functools import singledispatch
from typing import Any

from fireflyrack.core import Decision

from .errors import RefusalReason
from .events import (
    BatchEnded,
    BatchResult,
    CancelWork,
    DeadlinePassed,
    DrainReported,
    FailExpiredWork,
    LimitsChanged,
    PauseEnded,
    ReconnectEnded,
    ReconnectStarted,
    RefuseWork,
    ResumeAt,
    ServerReleased,
    ServerUnreachable,
    ServingReported,
    StartBatch,
    StartRun,
    WorkCancelled,
    WorkSubmitted,
)
from .fairness import BatchGroup, FairQueue, coordinator_of, group_of
from .limits import BatchTimes, ConcurrencyLimit
from .settings import AdmissionSettings
from .work import RunRequest, SearchWork, Work

# Weight of one submission in the moving average of the time to the deadline, which
# covers about 20 of them.
BUDGET_WEIGHT = 0.05


@dataclass(frozen=True, slots=True)
class Batch:
    """Work of one request in flight."""

    group: BatchGroup
    work_items: tuple[Work, ...]
    started_at: float


@dataclass(slots=True)
class QueueState:
    """Queue and slots of one backend server; updated in place."""

    slots: int
    settings: AdmissionSettings
    waiting: FairQueue = field(init=False)
    concurrency: ConcurrencyLimit = field(init=False)
    times: dict[BatchGroup, BatchTimes] = field(default_factory=dict)
    # Moving average of the time from submission to deadline, in seconds.
    budgets: dict[BatchGroup, float] = field(default_factory=dict)
    batches: dict[int, Batch] = field(default_factory=dict)
    # Batch number by the id of the work in flight.
    in_flight: dict[str, int] = field(default_factory=dict)
    started_batches: int = 0
    draining: bool = False
    drain_until: float = 0.0
    drain_hold_s: float = 0.0
    reconnecting: bool = False
    reachable: bool = True
    released: bool = False

    def __post_init__(self) -> None:
        self.waiting = FairQueue(self.settings.order == "newest")
        self.concurrency = ConcurrencyLimit(self.slots, float(self.slots))

    def estimate(self, group: BatchGroup, size: int) -> float:
        """Return the estimated seconds of a request with some work of a group."""
        times = self.times.get(group)
        return times.estimate(size) if times else 0.0

    def update_budget(self, work: Work, at: float) -> None:
        """Add the time between submission and deadline to the moving average."""
        group, budget_s = group_of(work), work.deadline_at - at
        known_s = self.budgets.get(group, budget_s)
        self.budgets[group] = known_s + BUDGET_WEIGHT * (budget_s - known_s)


@singledispatch
def decide(event: object, state: QueueState) -> Decision[QueueState]:
    """Return the new state and the actions for one event."""
    raise TypeError(f"unsupported event type: {type(event).__name__}")


@decide.register
def _(event: WorkSubmitted, state: QueueState) -> Decision[QueueState]:
    work = event.work
    if work.deadline_at > event.at:
        state.update_budget(work, event.at)
    if reason := refusal_reason(state, work, event.at):
        return Decision(state, (RefuseWork(work.id, reason),))
    actions: list[Any] = []
    if len(state.waiting) >= state.settings.max_waiting:
        evicted = state.waiting.newest_of_longest_flow(work)
        if evicted is None:
            return Decision(state, (RefuseWork(work.id, RefusalReason.QUEUE_FULL),))
        state.waiting.remove(evicted.id)
        actions.append(RefuseWork(evicted.id, RefusalReason.QUEUE_FULL))
    state.waiting.put(work)
    return Decision(state, (*actions, *start_batches(state, event.at)))


@decide.register
def _(event: WorkCancelled, state: QueueState) -> Decision[QueueState]:
    if state.waiting.remove(event.work):
        reason = RefusalReason.CANCELLED
        return Decision(state, (RefuseWork(event.work, reason),))
    batch = state.batches.get(state.in_flight.get(event.work, 0))
    # A run that was sent is not cancelled: its outcome would be unknown.
    if batch is None or batch.group.runs:
        return Decision(state)
    return Decision(state, (CancelWork(event.work),))


@decide.register
def _(event: DeadlinePassed, state: QueueState) -> Decision[QueueState]:
    if state.waiting.remove(event.work):
        return Decision(state, (RefuseWork(event.work, RefusalReason.DEADLINE),))
    batch = state.batches.get(state.in_flight.get(event.work, 0))
    # A run that was sent is still awaited: even a late reply tells its outcome.
    if batch is None or batch.group.runs:
        return Decision(state)
    return Decision(state, (FailExpiredWork(event.work),))


@decide.register
def _(event: BatchEnded, state: QueueState) -> Decision[QueueState]:
    batch = state.batches.pop(event.batch)
    for work in batch.work_items:
        del state.in_flight[work.id]
    if event.result in (BatchResult.ANSWERED, BatchResult.BROKEN):
        times = state.times.setdefault(batch.group, BatchTimes())
        times.observe(len(batch.work_items), event.at - batch.started_at)
    actions: tuple[Any, ...] = ()
    match event.result:
        case BatchResult.ANSWERED:
            state.concurrency.on_answered(event.at, state.settings)
        case BatchResult.SHED:
            state.concurrency.on_shed(event.at, batch.started_at, state.settings)
            if state.concurrency.paused_until > event.at:
                actions = (ResumeAt(state.concurrency.paused_until),)
        case BatchResult.UNREACHABLE:
            actions = mark_unreachable(state)
    return Decision(state, (*actions, *start_batches(state, event.at)))


@decide.register
def _(event: LimitsChanged, state: QueueState) -> Decision[QueueState]:
    state.slots = event.slots
    state.concurrency.resize(event.slots)
    return Decision(state, start_batches(state, event.at))


@decide.register
def _(event: ReconnectStarted, state: QueueState) -> Decision[QueueState]:
    state.reconnecting = True
    return Decision(state)


@decide.register
def _(event: ReconnectEnded, state: QueueState) -> Decision[QueueState]:
    state.reconnecting = False
    return Decision(state, start_batches(state, event.at))


@decide.register
def _(event: PauseEnded, state: QueueState) -> Decision[QueueState]:
    return Decision(state, start_batches(state, event.at))


@decide.register
def _(event: DrainReported, state: QueueState) -> Decision[QueueState]:
    settings = state.settings
    if not state.draining:
        # The hold doubles with each new drain, so that a backend server whose status
        # says "serving" while its responses say "draining" is tried less and less.
        doubled = min(state.drain_hold_s * 2, settings.max_drain_hold_s)
        state.drain_hold_s = doubled or settings.drain_hold_s
    state.draining = True
    state.drain_until = event.at + state.drain_hold_s
    return Decision(state, refuse_waiting(state, RefusalReason.DRAINING))


@decide.register
def _(event: ServingReported, state: QueueState) -> Decision[QueueState]:
    if state.draining and event.at >= state.drain_until:
        state.draining = False
    if not state.reachable:
        state.reachable = True
        state.concurrency.restart(event.at)
    return Decision(state, start_batches(state, event.at))


@decide.register
def _(event: ServerUnreachable, state: QueueState) -> Decision[QueueState]:
    return Decision(state, mark_unreachable(state))


@decide.register
def _(event: ServerReleased, state: QueueState) -> Decision[QueueState]:
    state.released = True
    return Decision(state, refuse_waiting(state, RefusalReason.NOT_OWNER))


def mark_unreachable(state: QueueState) -> tuple[RefuseWork, ...]:
    """Mark the backend server as unreachable and refuse the waiting work."""
    state.reachable = False
    return refuse_waiting(state, RefusalReason.UNREACHABLE)


def refuse_waiting(state: QueueState, reason: RefusalReason) -> tuple[RefuseWork, ...]:
    """Clear the queue and return the refusals."""
    return tuple(RefuseWork(work, reason) for work in state.waiting.clear())


def refusal_reason(state: QueueState, work: Work, at: float) -> RefusalReason | None:
    """Return why new work cannot be queued, or None."""
    if state.released:
        return RefusalReason.NOT_OWNER
    if state.draining:
        return RefusalReason.DRAINING
    if not state.reachable:
        return RefusalReason.UNREACHABLE
    if work.id in state.waiting or work.id in state.in_flight:
        return RefusalReason.INVALID
    if work.deadline_at <= at:
        return RefusalReason.DEADLINE
    remaining_s = (work.deadline_at - at) * state.settings.deadline_share
    if expected_wait(state, work, at) > remaining_s:
        return RefusalReason.OVERLOADED
    return None


def expected_wait(state: QueueState, work: Work, at: float) -> float:
    """Return the estimated seconds until new work is answered.

    Zero without work in flight: an estimate that is too long must not keep a backend
    server idle, since only new batches correct it.
    """
    if not state.batches:
        return 0.0
    concurrency = state.concurrency
    own_group = group_of(work)
    queue = state.waiting.groups.get(own_group)
    ahead = queue.ahead_of(coordinator_of(work)) if queue else 0
    batch = max_batch(state, own_group, at)
    own_s = group_seconds(state, own_group, ahead + 1, batch)
    busy_s = sum(
        max(0.0, state.estimate(b.group, len(b.work_items)) - (at - b.started_at))
        for b in state.batches.values()
    )
    for group, other in state.waiting.groups.items():
        if group != own_group and other.count:
            size = max_batch(state, group, at)
            # Groups share slot time, so another group delays this one by at most
            # the time of this one and one more request.
            max_delay_s = own_s + state.estimate(group, size)
            busy_s += min(max_delay_s, group_seconds(state, group, other.count, size))
    slots = concurrency.limit()
    last_size = min(batch, ahead + 1)
    # The batch with the new work runs in one slot, however many slots are free.
    last_batch_s = state.estimate(own_group, last_size)
    queued_s = max(0.0, own_s - last_batch_s)
    has_free_slot = len(state.batches) < slots
    wait_s = queued_s / slots if has_free_slot else (busy_s + queued_s) / slots
    return max(wait_s, concurrency.paused_until - at, 0.0) + last_batch_s


def group_seconds(
    state: QueueState, group: BatchGroup, count: int, batch: int
) -> float:
    """Return the estimated slot time in seconds of some work of a group."""
    full, rest = divmod(count, batch)
    rest_s = state.estimate(group, rest) if rest else 0.0
    return full * state.estimate(group, batch) + rest_s


def max_batch(state: QueueState, group: BatchGroup, at: float) -> int:
    """Return the largest number of work items in a batch of a group."""
    if group.runs:
        return 1
    settings = state.settings
    max_size = settings.max_batch * state.concurrency.ramp_fraction(at, settings)
    if times := state.times.get(group):
        fixed_s, per_item_s = times.coefficients()
        if per_item_s > 0:
            longest_s = (fixed_s + per_item_s) * settings.max_batch_ratio
            # Work that arrives just after a batch has started waits for all of that
            # batch before its own.
            budget_s = state.budgets.get(group, math.inf)
            longest_s = min(longest_s, budget_s * settings.max_batch_budget)
            max_size = min(max_size, (longest_s - fixed_s) / per_item_s)
    return max(1, int(max_size))


def may_start(state: QueueState, at: float) -> bool:
    """Return whether work is waiting and a request may be sent now."""
    return (
        len(state.waiting) > 0
        and not (state.reconnecting or state.draining or state.released)
        and state.reachable
        and len(state.batches) < state.concurrency.limit()
        and at >= state.concurrency.paused_until
    )


def start_batches(state: QueueState, at: float) -> tuple[Any, ...]:
    """Start batches of waiting work while there are free slots."""
    actions: list[Any] = []
    while may_start(state, at):
        group = state.waiting.next_group()
        work_items = fill_batch(state, group, at, actions)
        if not work_items:
            continue
        state.started_batches += 1
        number = state.started_batches
        state.batches[number] = Batch(group, work_items, at)
        for work in work_items:
            state.in_flight[work.id] = number
        state.waiting.charge(group, state.estimate(group, len(work_items)))
        actions.append(start_action(work_items[0], number, work_items))
    return tuple(actions)


@singledispatch
def start_action(first: object, batch: int, work_items: tuple[Work, ...]) -> Any:
    """Return the action that sends a batch, by the type of its first work."""
    raise TypeError(f"unsupported work type: {type(first).__name__}")


@start_action.register
def _(first: SearchWork, batch: int, work_items: tuple[Work, ...]) -> StartBatch:
    return StartBatch(batch, work_items)


@start_action.register
def _(first: RunRequest, batch: int, work_items: tuple[Work, ...]) -> StartRun:
    return StartRun(batch, first)


def fill_batch(
    state: QueueState, group: BatchGroup, at: float, actions: list[Any]
) -> tuple[Work, ...]:
    """Remove the work of one batch from the queue; refuse work that would be late.

    Waiting work is divided evenly among the slots. The earliest deadline in the batch
    limits its size, but not below half: a queue that is behind would otherwise send
    small batches, which cost more for each sub-request, and stay behind.
    """
    queue = state.waiting
    share = math.ceil(queue.groups[group].count / state.concurrency.limit())
    size = min(share, max_batch(state, group, at))
    min_size = (size + 1) // 2
    work_items: list[Work] = []
    earliest_deadline_at = math.inf
    while queue.groups[group].count and len(work_items) < size:
        work = queue.peek(group)
        needed_s = state.estimate(group, max(len(work_items) + 1, min_size))
        # The estimate is a mean; about half of the batches take longer.
        needed_s /= state.settings.deadline_share
        # The only work of an idle backend server is sent whatever the estimate, for
        # the reason given in `expected_wait`.
        only_work = not state.batches and len(queue) == 1 and not work_items
        if work.deadline_at <= at + (0.0 if only_work else needed_s):
            actions.append(RefuseWork(queue.pop(group).id, RefusalReason.DEADLINE))
            continue
        earliest_deadline_at = min(earliest_deadline_at, work.deadline_at)
        if len(work_items) >= min_size and at + needed_s > earliest_deadline_at:
            break
        work_items.append(queue.pop(group))
    return tuple(work_items)
