"""Wire models of peer messages and their conversion to data classes."""

from __future__ import annotations

from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from fireflyrack.availability import SharedStatement
from fireflyrack.discovery import Item
from fireflyrack.forwarding import (
    ClearedReport,
    Crash,
    CrashReport,
    PeerUpdate,
    ServerReport,
)

MAX_REPORTS = 1000


@dataclass(frozen=True, slots=True)
class InvalidMessage:
    """Reason why a message of a peer could not be decoded."""

    reason: str


class PeerModel(BaseModel):
    """Base of the models of peer messages.

    Unknown keys are ignored, because instances of two releases run side by side during
    an upgrade.
    """

    model_config = ConfigDict(
        extra="ignore",
        allow_inf_nan=False,
        ser_json_bytes="base64",
        val_json_bytes="base64",
    )


class CrashReportModel(PeerModel):
    """Wire model of a crash report, or of a cleared report if `server` is empty."""

    fingerprint: str
    server: str = ""
    incarnation: int = 0
    request: str = ""
    trial: bool = False
    # Ages of the start and the end of the attempt, or of the completion, in seconds.
    sent_ago_s: float = Field(default=0.0, ge=0)
    ended_ago_s: float = Field(default=0.0, ge=0)


class PeerUpdateModel(PeerModel):
    """Wire model of an update; server reports are rows, which keeps messages small."""

    servers: list[tuple[str, int, float, float, float]] = []
    requests: list[CrashReportModel] = []
    # Server, incarnation, whether it leaves, and its rate limit.
    statements: list[tuple[str, int, bool, float | None]] = []


class ItemModel(PeerModel):
    """Wire model of a store item."""

    key: str
    value: bytes
    revision: int


class ItemsModel(PeerModel):
    """Wire model of the cached items of a peer, by store prefix."""

    items: dict[str, list[ItemModel]]


def encode_update(update: PeerUpdate) -> bytes:
    """Encode an update with at most MAX_REPORTS reports of each kind."""
    model = PeerUpdateModel(
        servers=[
            (
                report.server,
                report.incarnation,
                round(report.latency_ratio, 2),
                round(report.failure_rate, 2),
                round(report.late_rate, 2),
            )
            for report in update.servers[:MAX_REPORTS]
        ],
        requests=[report_to_model(report) for report in update.requests[:MAX_REPORTS]],
        statements=[
            (s.server, s.incarnation, s.leaving, s.rate_limit)
            for s in update.statements[:MAX_REPORTS]
        ],
    )
    return model.model_dump_json(exclude_defaults=True).encode()


def report_to_model(report: CrashReport | ClearedReport) -> CrashReportModel:
    """Convert a crash report or cleared report to its wire model."""
    if isinstance(report, ClearedReport):
        return CrashReportModel(
            fingerprint=report.fingerprint, ended_ago_s=round(report.completed_ago_s, 3)
        )
    crash = report.crash
    return CrashReportModel(
        fingerprint=report.fingerprint,
        server=crash.server,
        incarnation=crash.incarnation,
        request=crash.request,
        trial=crash.trial,
        sent_ago_s=round(report.sent_ago_s, 3),
        ended_ago_s=round(report.ended_ago_s, 3),
    )


def model_to_report(model: CrashReportModel) -> CrashReport | ClearedReport:
    """Convert a wire model to a crash report or cleared report."""
    if not model.server:
        return ClearedReport(model.fingerprint, model.ended_ago_s)
    crash = Crash(model.server, model.incarnation, model.request, model.trial)
    return CrashReport(model.fingerprint, crash, model.sent_ago_s, model.ended_ago_s)


def decode_update(body: bytes) -> PeerUpdate | InvalidMessage:
    """Decode an update with at most MAX_REPORTS reports of each kind."""
    try:
        model = PeerUpdateModel.model_validate_json(body)
    except ValidationError as error:
        return InvalidMessage(describe_first_error(error))
    return PeerUpdate(
        tuple(ServerReport(*row) for row in model.servers[:MAX_REPORTS]),
        tuple(model_to_report(request) for request in model.requests[:MAX_REPORTS]),
        tuple(SharedStatement(*row) for row in model.statements[:MAX_REPORTS]),
    )


def encode_items(items: dict[str, tuple[Item, ...]]) -> bytes:
    """Encode cached store items, given by store prefix."""
    model = ItemsModel(
        items={
            prefix: [
                ItemModel(key=item.key, value=item.value, revision=item.revision)
                for item in prefix_items
            ]
            for prefix, prefix_items in items.items()
        }
    )
    return model.model_dump_json().encode()


def decode_items(body: bytes) -> dict[str, tuple[Item, ...]] | InvalidMessage:
    """Decode cached store items by store prefix."""
    try:
        model = ItemsModel.model_validate_json(body)
    except ValidationError as error:
        return InvalidMessage(describe_first_error(error))
    return {
        prefix: tuple(
            Item(item.key, item.value, item.revision) for item in prefix_items
        )
        for prefix, prefix_items in model.items.items()
    }


def describe_first_error(error: ValidationError) -> str:
    """Return the location and message of the first validation error in one line."""
    first_error = error.errors()[0]
    location = ".".join(str(part) for part in first_error["loc"])
    return f"{location}: {first_error['msg']}"
