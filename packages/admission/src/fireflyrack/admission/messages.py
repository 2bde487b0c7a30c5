"""Wire models of search work: between entry instances and to backend servers."""

from __future__ import annotations

from functools import lru_cache
from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict

from fireflyrack.core import ShardSet, ShardSetError

from .work import FoundDocument, RunRequest, SearchResult, SearchWork

# The same few sets come in every message; parsing one takes longer than a look-up.
PARSE_CACHE_SIZE = 4096


@lru_cache(maxsize=PARSE_CACHE_SIZE)
def parse_shards(text: str) -> ShardSet:
    """Return a shard set; raise ShardSetError if the text is not one."""
    return ShardSet.parse(text)


def validate_shards(text: str) -> str:
    """Check the text form of a shard set."""
    try:
        parse_shards(text)
    except ShardSetError as error:
        raise ValueError(str(error)) from error
    return text


ShardsText = Annotated[str, AfterValidator(validate_shards)]


class WireModel(BaseModel):
    """Base of the wire models: immutable; a newer peer may send more keys."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class TargetModel(WireModel):
    """Carry one sub-request of a query to the owner of its backend server."""

    id: str
    backend_server: str
    shards: ShardsText


class SearchWorkModel(WireModel):
    """Carry all sub-requests of a query that one owner handles."""

    service: str
    snapshot: str
    query: str
    k: int
    deadline_ms: float
    targets: tuple[TargetModel, ...]


class SubRequestModel(WireModel):
    """Carry one sub-request to a backend server."""

    id: str
    service: str
    snapshot: str
    shards: ShardsText
    query: str
    k: int
    deadline_ms: float


class SearchBatchModel(WireModel):
    """Carry a batch of sub-requests to a backend server."""

    sub_requests: tuple[SubRequestModel, ...]


class ReplyModel(WireModel):
    """Carry the reply to one sub-request; `error` says why nothing was searched."""

    id: str
    snapshot: str = ""
    searched: ShardsText = ""
    # Document, score and shard of each hit.
    hits: tuple[tuple[str, float, int], ...] = ()
    error: str = ""
    refused: bool = False

    def to_domain(self) -> SearchResult:
        """Return the data class of this model."""
        return SearchResult(
            snapshot=self.snapshot,
            searched=parse_shards(self.searched),
            documents=tuple(FoundDocument(*hit) for hit in self.hits),
        )


class RepliesModel(WireModel):
    """Carry replies of a backend server or of an owner."""

    replies: tuple[ReplyModel, ...]


class RunModel(WireModel):
    """Carry a non-idempotent request to a backend server."""

    id: str
    service: str
    # UTF-8 text on the wire.
    body: bytes
    deadline_ms: float


class RunAnswerModel(WireModel):
    """Carry the answer to a non-idempotent request that has run."""

    id: str
    answer: bytes


class CancelModel(WireModel):
    """Carry the ids of work that nobody waits for any more."""

    ids: tuple[str, ...]


class CancelledModel(WireModel):
    """Carry the ids that a backend server has stopped."""

    cancelled: tuple[str, ...] = ()


class BackendStatusModel(WireModel):
    """Carry a backend server's report of itself; it may lag."""

    state: str
    # Shards by snapshot by service.
    snapshots: dict[str, dict[str, ShardsText]]
    slots_in_use: int = 0


def sub_request_model(work: SearchWork, at: float) -> SubRequestModel:
    """Return the wire model of work with the time that is left for it."""
    return SubRequestModel(
        id=work.id,
        service=work.service,
        snapshot=work.snapshot,
        shards=str(work.shards),
        query=work.text,
        k=work.limit,
        deadline_ms=round((work.deadline_at - at) * 1000, 3),
    )


def run_model(request: RunRequest, at: float) -> RunModel:
    """Return the wire model of a request with the time that is left for it."""
    return RunModel(
        id=request.id,
        service=request.service,
        body=request.body,
        deadline_ms=round((request.deadline_at - at) * 1000, 3),
    )


def reply_model(work: str, result: SearchResult) -> ReplyModel:
    """Return the wire model of a result."""
    return ReplyModel(
        id=work,
        snapshot=result.snapshot,
        searched=str(result.searched),
        hits=tuple((d.document, d.score, d.shard) for d in result.documents),
    )
