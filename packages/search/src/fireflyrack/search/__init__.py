"""Search fan-out: snapshots, replica selection, hedging, coverage and merging."""

from __future__ import annotations

from .budgets import FailureAllowance, RetryBudget
from .canary import CompletedSearches, canaries_for
from .coverage import Coverage, coverage_of
from .errors import Cause, FailureKind, SearchRejected, SnapshotFormatError
from .evidence import AnsweringServers, decode_answers, encode_answers
from .fanout import decide
from .hedging import hedge_delay
from .merge import Hit, best_hits
from .messages import (
    BudgetTransfersModel,
    CoverageModel,
    DecisionsModel,
    EvidenceModel,
    HitModel,
    ReportModel,
    SearchAnswerModel,
    SearchRequestModel,
    budget_transfers_model,
    coverage_model,
    decisions_model,
    hit_model,
)
from .observations import ServiceState, observe, overloaded
from .replicas import Candidate, choose_replicas
from .reports import ReportTable, candidate_of, observe_report
from .runner import SearchRunner, Transport
from .settings import SearchSettings
from .shares import (
    BudgetTransfers,
    PublishTransfers,
    TransfersReceived,
    TransferState,
    TransferTimerFired,
    decide_transfers,
)
from .snapshots import Report, ServingState, Snapshot, choose_snapshot
from .subrequests import (
    CanaryTimerFired,
    CancelSubRequests,
    CandidateChanged,
    Counts,
    DeadlineReached,
    FanoutState,
    Finish,
    HedgeTimerFired,
    Query,
    QueryStarted,
    ReplyArrived,
    RetryTimerFired,
    SendSubRequests,
    StartTimer,
    SubRequest,
    SubRequestFailed,
)

__all__ = [
    "AnsweringServers",
    "BudgetTransfers",
    "BudgetTransfersModel",
    "CanaryTimerFired",
    "CancelSubRequests",
    "Candidate",
    "CandidateChanged",
    "Cause",
    "CompletedSearches",
    "Counts",
    "Coverage",
    "CoverageModel",
    "DeadlineReached",
    "DecisionsModel",
    "EvidenceModel",
    "FailureAllowance",
    "FailureKind",
    "FanoutState",
    "Finish",
    "HedgeTimerFired",
    "Hit",
    "HitModel",
    "PublishTransfers",
    "Query",
    "QueryStarted",
    "ReplyArrived",
    "Report",
    "ReportModel",
    "ReportTable",
    "RetryBudget",
    "RetryTimerFired",
    "SearchAnswerModel",
    "SearchRejected",
    "SearchRequestModel",
    "SearchRunner",
    "SearchSettings",
    "SendSubRequests",
    "ServiceState",
    "ServingState",
    "Snapshot",
    "SnapshotFormatError",
    "StartTimer",
    "SubRequest",
    "SubRequestFailed",
    "TransferState",
    "TransferTimerFired",
    "TransfersReceived",
    "Transport",
    "best_hits",
    "budget_transfers_model",
    "canaries_for",
    "candidate_of",
    "choose_replicas",
    "choose_snapshot",
    "coverage_model",
    "coverage_of",
    "decide",
    "decide_transfers",
    "decisions_model",
    "decode_answers",
    "encode_answers",
    "hedge_delay",
    "hit_model",
    "observe",
    "observe_report",
    "overloaded",
]
