"""Wire models of searches, evidence, reports and budget transfers."""

from __future__ import annotations

from dataclasses import asdict
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from fireflyrack.core import ShardSet

from .coverage import Coverage
from .evidence import AnsweringServers, encode_answers
from .merge import Hit
from .shares import BudgetTransfers
from .snapshots import Report, ServingState, Snapshot
from .subrequests import Finish, Query

MAX_QUERY_CHARACTERS = 1000
MAX_RESULTS = 1000
MAX_OFFSET = 10_000
# Limits the names of ejected backend servers in the evidence.
MAX_EJECTED_NAMES = 32
SnapshotText = Annotated[str, Field(pattern=r"^\d{1,9}\.\d{1,12}$")]


class WireModel(BaseModel):
    """Base of the wire models: immutable, rejects unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class SearchRequestModel(WireModel):
    """Request for the best documents of a service."""

    query: str = Field(min_length=1, max_length=MAX_QUERY_CHARACTERS)
    k: int = Field(default=10, ge=1, le=MAX_RESULTS)
    offset: int = Field(default=0, ge=0, le=MAX_OFFSET)
    deadline_ms: int | None = Field(default=None, ge=1, le=600_000)
    # Snapshot of an earlier answer whose next page is requested.
    snapshot: SnapshotText | None = None


class HitModel(WireModel):
    """One document of an answer."""

    document: str
    score: float
    shard: int


class CoverageModel(WireModel):
    """Covered and missing shards of an answer, as ranges."""

    generation: int
    shards: int
    covered: str
    lacking: dict[str, str]
    share: float


class DecisionsModel(WireModel):
    """Fan-out decisions behind an answer, in a form of bounded size.

    `answered_by` has one character for each placement of the partition, in the
    order of the configuration: the index of the replica that answered, `-` for
    none, or `*` for those in `answered_listed`. The lists of ejected and of
    answering backend servers are truncated.
    """

    sub_requests: int
    hedges: int
    retries: int
    withheld: int
    refused: int
    failed: int
    cancelled: int
    dropped_replies: int
    ejected: int
    ejected_names: tuple[str, ...]
    answered_by: str
    answered_listed: dict[str, str]
    answered_omitted: int
    answered_omitted_digest: str

    def to_domain(self) -> AnsweringServers:
        """Return the record of the backend servers that answered each shard."""
        listed = tuple(
            (server, ShardSet.parse(shards))
            for server, shards in self.answered_listed.items()
        )
        return AnsweringServers(
            self.answered_by,
            listed,
            self.answered_omitted,
            self.answered_omitted_digest,
        )


class EvidenceModel(WireModel):
    """Data with which an auditor can explain an answer."""

    request: str
    instance: str
    incarnation: str
    # Wall-clock time of the answer, seconds since the epoch.
    time: float
    service: str
    configuration_version: int
    configuration_digest: str
    snapshot: str
    coverage: CoverageModel
    decisions: DecisionsModel
    # Identifies the audit key of the signature.
    key_id: str = ""
    signature: str = ""


class BudgetTransfersModel(WireModel):
    """Budget transfers that an entry instance publishes to the others."""

    instance: str
    incarnation: str
    need: int = Field(ge=0)
    given: dict[str, Annotated[float, Field(ge=0)]]

    def to_domain(self) -> BudgetTransfers:
        """Return the data class of this model."""
        return BudgetTransfers(self.instance, self.incarnation, self.need, self.given)


class SearchAnswerModel(WireModel):
    """Answer to a search request."""

    results: tuple[HitModel, ...]
    snapshot: str
    coverage: CoverageModel
    evidence: EvidenceModel


class ReportModel(WireModel):
    """Report of a backend server, shared between entry instances."""

    backend_server: str
    state: Literal["serving", "draining"]
    snapshots: dict[SnapshotText, str]
    queue_full: bool = False

    def to_domain(self) -> Report:
        """Return the data class of this model."""
        return Report(
            self.backend_server,
            ServingState(self.state),
            {
                Snapshot.parse(name): ShardSet.parse(shards)
                for name, shards in self.snapshots.items()
            },
            self.queue_full,
        )


def hit_model(hit: Hit) -> HitModel:
    """Convert a hit to its wire model."""
    return HitModel(document=hit.document, score=hit.score, shard=hit.shard)


def coverage_model(snapshot: Snapshot, coverage: Coverage) -> CoverageModel:
    """Convert a coverage to its wire model."""
    return CoverageModel(
        generation=snapshot.generation,
        shards=len(coverage.total),
        covered=str(coverage.covered),
        lacking={cause.value: str(s) for cause, s in coverage.lacking.items()},
        share=round(coverage.share(), 6),
    )


def decisions_model(query: Query, finish: Finish) -> DecisionsModel:
    """Return the wire model of the decisions of a finished search."""
    record = encode_answers(query.partition, finish.answered)
    return DecisionsModel(
        **asdict(finish.counts),
        ejected=len(finish.ejected),
        ejected_names=finish.ejected[:MAX_EJECTED_NAMES],
        answered_by=record.replicas,
        answered_listed={server: str(shards) for server, shards in record.listed},
        answered_omitted=record.omitted,
        answered_omitted_digest=record.omitted_digest,
    )


def budget_transfers_model(transfers: BudgetTransfers) -> BudgetTransfersModel:
    """Convert budget transfers to their wire model."""
    return BudgetTransfersModel(
        instance=transfers.instance,
        incarnation=transfers.incarnation,
        need=transfers.need,
        given=transfers.given,
    )
