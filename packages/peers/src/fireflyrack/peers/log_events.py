"""Log events of the peers slice."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from fireflyrack.telemetry import Importance, LogEvent, Severity, severity_of


@dataclass(frozen=True, slots=True)
class PeerMessageRejected(LogEvent):
    """A message of a peer could not be decoded and was discarded."""

    kind: ClassVar[str] = "peer_message_rejected"
    peer: str
    message: str
    reason: str


@dataclass(frozen=True, slots=True)
class LinksUnavailable(LogEvent):
    """This instance cannot listen for links from peers."""

    kind: ClassVar[str] = "peer_links_unavailable"
    importance: ClassVar[Importance] = Importance.LIFECYCLE
    address: str
    reason: str


@severity_of.register
def _(event: PeerMessageRejected | LinksUnavailable) -> Severity:
    return Severity.WARNING
