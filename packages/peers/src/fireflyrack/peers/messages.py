"""Messages between peers: validated models on the wire, data classes inside."""

from __future__ import annotations

from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict, ValidationError

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
    """Tell that a message of a peer could not be read, and why."""

    reason: str


class PeerModel(BaseModel):
    """Base of the models of messages between peers.

    Instances of two releases run side by side during an upgrade, so keys that are
    not known are ignored.
    """

    model_config = ConfigDict(
        extra="ignore", ser_json_bytes="base64", val_json_bytes="base64"
    )


class CrashModel(PeerModel):
    """Validate a crash, or the end of a suspicion where no server is named."""

    fingerprint: str
    server: str = ""
    incarnation: int = 0
    request: str = ""


class NewsModel(PeerModel):
    """Validate news; the servers as rows, since there may be many."""

    servers: list[tuple[str, int, float, float, float]] = []
    requests: list[CrashModel] = []


class ItemModel(PeerModel):
    """Validate an item of the store as a peer read it."""

    key: str
    value: bytes
    revision: int


class BeliefsModel(PeerModel):
    """Validate the items that a peer believes in, by prefix."""

    items: dict[str, list[ItemModel]]


def encode_news(news: PeerUpdate) -> bytes:
    """Return the wire form of news."""
    model = NewsModel(
        servers=[
            (
                report.server,
                report.incarnation,
                round(report.latency_ratio, 2),
                round(report.failure_rate, 2),
                round(report.late_rate, 2),
            )
            for report in news.servers[:MAX_REPORTS]
        ],
        requests=[crash_model(report) for report in news.requests[:MAX_REPORTS]],
    )
    return model.model_dump_json(exclude_defaults=True).encode()


def crash_model(report: CrashReport | ClearedReport) -> CrashModel:
    """Return the model of a report on a request."""
    if isinstance(report, ClearedReport):
        return CrashModel(fingerprint=report.fingerprint)
    crash = report.crash
    return CrashModel(
        fingerprint=report.fingerprint,
        server=crash.server,
        incarnation=crash.incarnation,
        request=crash.request,
    )


def crash_report(model: CrashModel) -> CrashReport | ClearedReport:
    """Return the report of a model."""
    if not model.server:
        return ClearedReport(model.fingerprint)
    crash = Crash(model.server, model.incarnation, model.request)
    return CrashReport(model.fingerprint, crash)


def decode_news(body: bytes) -> PeerUpdate | InvalidMessage:
    """Return the news of a message."""
    try:
        model = NewsModel.model_validate_json(body)
    except ValidationError as error:
        return InvalidMessage(first_reason(error))
    return PeerUpdate(
        tuple(ServerReport(*row) for row in model.servers[:MAX_REPORTS]),
        tuple(crash_report(request) for request in model.requests[:MAX_REPORTS]),
    )


def encode_beliefs(items: dict[str, tuple[Item, ...]]) -> bytes:
    """Return the wire form of the items believed in, by prefix."""
    model = BeliefsModel(
        items={
            prefix: [
                ItemModel(key=item.key, value=item.value, revision=item.revision)
                for item in below
            ]
            for prefix, below in items.items()
        }
    )
    return model.model_dump_json().encode()


def decode_beliefs(body: bytes) -> dict[str, tuple[Item, ...]] | InvalidMessage:
    """Return the items of a message by prefix."""
    try:
        model = BeliefsModel.model_validate_json(body)
    except ValidationError as error:
        return InvalidMessage(first_reason(error))
    return {
        prefix: tuple(Item(item.key, item.value, item.revision) for item in below)
        for prefix, below in model.items.items()
    }


def first_reason(error: ValidationError) -> str:
    """Return the first problem of a message in one line."""
    problem = error.errors()[0]
    place = ".".join(str(part) for part in problem["loc"])
    return f"{place}: {problem['msg']}"
