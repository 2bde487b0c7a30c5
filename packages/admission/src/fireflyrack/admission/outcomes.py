"""Mapping of the replies and errors of a backend server to outcomes of work."""

from __future__ import annotations

from collections.abc import Iterator
from functools import singledispatch
from typing import Any

from fireflyrack.core import Failed, Ok, Outcome

from .errors import (
    BackendCallFailed,
    BackendError,
    BackendNotSent,
    BackendShed,
    BackendUnreachable,
    RefusalReason,
    WorkFailed,
    WorkRefused,
)
from .events import BatchResult
from .messages import RepliesModel, RunAnswerModel
from .work import (
    RunAnswered,
    RunOutcome,
    RunOutcomeUnknown,
    RunRefused,
    RunRequest,
    SearchResult,
    SearchWork,
)


@singledispatch
def refused_outcome(work: object, reason: RefusalReason) -> Any:
    """Return the outcome of work that was refused, by the type of work."""
    raise TypeError(f"unsupported work type: {type(work).__name__}")


@refused_outcome.register
def _(work: SearchWork, reason: RefusalReason) -> Failed[WorkRefused]:
    return Failed(WorkRefused(reason))


@refused_outcome.register
def _(work: RunRequest, reason: RefusalReason) -> RunRefused:
    return RunRefused(reason)


def reply_outcomes(
    work_items: tuple[SearchWork, ...], replies: RepliesModel
) -> Iterator[tuple[SearchWork, Outcome[SearchResult, WorkRefused | WorkFailed]]]:
    """Yield the outcome of each work of a batch; work without a reply has failed."""
    by_id = {reply.id: reply for reply in replies.replies}
    for work in work_items:
        reply = by_id.get(work.id)
        if reply is None:
            yield work, Failed(WorkFailed("no reply in the batch"))
        elif reply.refused:
            yield work, Failed(WorkRefused(RefusalReason.SHED))
        elif reply.error:
            yield work, Failed(WorkFailed(reply.error))
        else:
            yield work, Ok(reply.to_domain())


def work_error(error: BackendError) -> WorkRefused | WorkFailed:
    """Return the error of work whose batch failed."""
    if reason := not_run_reason(error):
        return WorkRefused(reason)
    disconnected = isinstance(error, BackendCallFailed) and error.disconnected
    return WorkFailed(error.detail, disconnected)


def run_outcome(
    request: RunRequest, outcome: Outcome[RunAnswerModel, BackendError]
) -> RunOutcome:
    """Return the outcome of a non-idempotent request."""
    match outcome:
        case Ok(RunAnswerModel(id=request.id, answer=answer)):
            return RunAnswered(answer)
        case Ok(other):
            return RunOutcomeUnknown(f"reply to another request: {other.id[:80]}")
        case Failed(error):
            if reason := not_run_reason(error):
                return RunRefused(reason)
            return RunOutcomeUnknown(error.detail)


def not_run_reason(error: BackendError) -> RefusalReason | None:
    """Return why a request was certainly not run, or None if it may have run."""
    match error:
        case BackendNotSent(reason):
            return reason
        case BackendShed(draining=draining):
            return RefusalReason.DRAINING if draining else RefusalReason.SHED
        case BackendUnreachable():
            return RefusalReason.UNREACHABLE
        case BackendCallFailed():
            return None


def batch_result(outcome: Outcome[Any, BackendError]) -> BatchResult:
    """Return how a request to a backend server ended, for its queue."""
    match outcome:
        case Ok(RepliesModel(replies=replies)) if any(r.refused for r in replies):
            return BatchResult.SHED
        case Ok():
            return BatchResult.ANSWERED
        case Failed(BackendNotSent()):
            return BatchResult.NOT_SENT
        case Failed(BackendUnreachable()):
            return BatchResult.UNREACHABLE
        case Failed(BackendShed()):
            return BatchResult.SHED
        case _:
            return BatchResult.BROKEN
