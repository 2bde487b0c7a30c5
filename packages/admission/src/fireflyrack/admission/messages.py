"""Wire models of search work: between entry instances and to backend servers."""

from __future__ import annotations

from functools import lru_cache
from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict

from fireflyrack.core import ShardSet, ShardSetError

from .work import FoundDocument, RunRequest, SearchResult, SearchWork

# Messages repeat the same few shard sets; parsing one takes longer than a look-up.
PARSE_CACHE_SIZE = 4096


@lru_cache(maxsize=PARSE_CACHE_SIZE)
def parse_shards(text: str) -> ShardSet:
    """Parse the text form of a shard set; raise ShardSetError if it is invalid."""
    return ShardSet.parse(text)


def validate_shards(text: str) -> str:
    """Return the text form of a shard set; raise ValueError if it is invalid."""
    try:
        parse_shards(text)
    except ShardSetError as error:
        raise ValueError(str(error)) from error
    return text


ShardsText = Annotated[str, AfterValidator(validate_shards)]


class WireModel(BaseModel):
    """Base class of the wire models; ignores unknown keys, which newer peers send."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class TargetModel(WireModel):
    """Backend server and shards of one sub-request of a query."""

    id: str
    backend_server: str
    shards: ShardsText


class SearchWorkModel(WireModel):
    """Sub-requests of a query, sent by its coordinator to one owner."""

    service: str
    snapshot: str
    query: str
    k: int
    deadline_ms: float
    targets: tuple[TargetModel, ...]


class SubRequestModel(WireModel):
    """One sub-request in a batch to a backend server."""

    id: str
    service: str
    snapshot: str
    shards: ShardsText
    query: str
    k: int
    deadline_ms: float


class SearchBatchModel(WireModel):
    """Batch of sub-requests to a backend server."""

    sub_requests: tuple[SubRequestModel, ...]


class ReplyModel(WireModel):
    """Reply to one sub-request; `error` says why nothing was searched."""

    id: str
    snapshot: str = ""
    searched: ShardsText = ""
    # Document, score and shard of each hit.
    hits: tuple[tuple[str, float, int], ...] = ()
    error: str = ""
    refused: bool = False

    def to_domain(self) -> SearchResult:
        """Return the search result that this reply carries."""
        return SearchResult(
            snapshot=self.snapshot,
            searched=parse_shards(self.searched),
            documents=tuple(FoundDocument(*hit) for hit in self.hits),
        )


class RepliesModel(WireModel):
    """Replies of a backend server to an owner, or of an owner to a coordinator."""

    replies: tuple[ReplyModel, ...]


class RunModel(WireModel):
    """Non-idempotent request to a backend server."""

    id: str
    service: str
    # UTF-8 text on the wire.
    body: bytes
    deadline_ms: float


class RunAnswerModel(WireModel):
    """Answer to a non-idempotent request that has run."""

    id: str
    answer: bytes


class CancelModel(WireModel):
    """Ids of the work that a backend server should stop."""

    ids: tuple[str, ...]


class CancelledModel(WireModel):
    """Ids of the work that a backend server has stopped."""

    cancelled: tuple[str, ...] = ()


class BackendStatusModel(WireModel):
    """Status that a backend server reports; it may be out of date."""

    state: str
    # Shards by snapshot by service.
    snapshots: dict[str, dict[str, ShardsText]]
    slots_in_use: int = 0


def sub_request_model(work: SearchWork, at: float) -> SubRequestModel:
    """Return the wire model of work; its deadline is relative to `at`."""
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
    """Return the wire model of a request; its deadline is relative to `at`."""
    return RunModel(
        id=request.id,
        service=request.service,
        body=request.body,
        deadline_ms=round((request.deadline_at - at) * 1000, 3),
    )


def reply_model(work: str, result: SearchResult) -> ReplyModel:
    """Return the wire model of the result of work, given the id of the work."""
    return ReplyModel(
        id=work,
        snapshot=result.snapshot,
        searched=str(result.searched),
        hits=tuple((d.document, d.score, d.shard) for d in result.documents),
    )
