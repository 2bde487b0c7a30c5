"""Final answer to a request from the results of its shards."""

from __future__ import annotations

from functools import singledispatch

from fireflyrack.routing import SearchTarget, ServiceTarget, SplitTarget, Target

from .attempts import Completed
from .merge import top_records
from .refusals import retry_after_s
from .requests import Answer, Cause, Merged, NotRun, Relayed, Unknown
from .state import RequestState, required_shards

# Statuses that tell the caller that the request was not executed. A backend server that
# did execute it may still respond with one of them, which must not be relayed.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


def final_answer(state: RequestState, at: float) -> Answer:
    """Return the answer to a request that needs no further events."""
    answer = answer_from_results(state.route.target, state, required_shards(state))
    return answer or answer_without_result(state, at)


@singledispatch
def answer_from_results(
    target: Target, state: RequestState, required: int
) -> Answer | None:
    """Return the answer from the results, None if they are not sufficient."""
    raise TypeError(f"unsupported target type: {type(target).__name__}")


@answer_from_results.register(ServiceTarget)
@answer_from_results.register(SplitTarget)
def _(
    target: ServiceTarget | SplitTarget, state: RequestState, required: int
) -> Answer | None:
    shard = state.shards[0]
    response = shard.result or shard.failure
    if response is None or not is_relayable(response):
        return None
    return Relayed(response.status, response.headers, response.body)


@answer_from_results.register
def _(target: SearchTarget, state: RequestState, required: int) -> Answer | None:
    results = [shard.result for shard in state.shards if shard.result is not None]
    if len(results) < required:
        return None
    return Merged(
        signatures=tuple(result.signature for result in results),
        missing=len(state.shards) - len(results),
        body=top_records((result.body for result in results), target.limit),
    )


def is_relayable(response: Completed) -> bool:
    """Return whether a response can be relayed without misleading the caller."""
    if response.succeeded:
        return True
    return response.status >= 300 and response.status not in NOT_RUN_STATUSES


def answer_without_result(state: RequestState, at: float) -> Answer:
    """Return the answer to a request that has no result."""
    causes = [shard.cause for shard in state.shards if shard.cause is not None]
    cause = causes[0] if causes else Cause.TIMED_OUT
    if any(shard.may_have_run for shard in state.shards):
        return Unknown(Cause.COVERAGE if state.search and len(causes) > 1 else cause)
    return NotRun(cause, retry_after_s(state, at))
