"""Slots, queues and batches of the backend servers that an instance owns."""

from __future__ import annotations

from .backend_client import DRAINING_HEADER, BackendClient
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
from .messages import (
    BackendStatusModel,
    CancelledModel,
    CancelModel,
    RepliesModel,
    ReplyModel,
    RunAnswerModel,
    RunModel,
    SearchBatchModel,
    SearchWorkModel,
    SubRequestModel,
    TargetModel,
    reply_model,
)
from .servers import OwnedServers, WorkOutcome
from .settings import AdmissionSettings
from .work import (
    FoundDocument,
    RunAnswered,
    RunOutcome,
    RunOutcomeUnknown,
    RunRefused,
    RunRequest,
    SearchResult,
    SearchWork,
)

__all__ = [
    "DRAINING_HEADER",
    "AdmissionSettings",
    "BackendCallFailed",
    "BackendClient",
    "BackendError",
    "BackendNotSent",
    "BackendShed",
    "BackendStatusModel",
    "BackendUnreachable",
    "CancelModel",
    "CancelledModel",
    "FoundDocument",
    "OwnedServers",
    "RefusalReason",
    "RepliesModel",
    "ReplyModel",
    "RunAnswerModel",
    "RunAnswered",
    "RunOutcomeUnknown",
    "RunModel",
    "RunOutcome",
    "RunRefused",
    "RunRequest",
    "SearchBatchModel",
    "SearchResult",
    "SearchWork",
    "SearchWorkModel",
    "SubRequestModel",
    "TargetModel",
    "WorkFailed",
    "WorkOutcome",
    "WorkRefused",
    "reply_model",
]
