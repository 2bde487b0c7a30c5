"""Gossip dissemination of versioned registers between entry instances."""

from __future__ import annotations

from .disseminator import Disseminator
from .errors import InvalidSpreadMessage
from .gossip import (
    ComparisonTimerFired,
    Deliver,
    DigestReceived,
    LinkOpened,
    NamesReceived,
    PeersChanged,
    Published,
    RegistersReceived,
    RequestReceived,
    RoundTimerFired,
    SendDigest,
    SendNames,
    SendRegisters,
    SendRequest,
    Withdrawn,
    decide,
)
from .messages import (
    decode_digest,
    decode_names,
    decode_registers,
    encode_digest,
    encode_names,
    encode_registers,
)
from .registers import GossipState, Register
from .settings import DisseminationSettings

__all__ = [
    "ComparisonTimerFired",
    "Deliver",
    "DigestReceived",
    "DisseminationSettings",
    "Disseminator",
    "GossipState",
    "InvalidSpreadMessage",
    "LinkOpened",
    "NamesReceived",
    "PeersChanged",
    "Published",
    "Register",
    "RegistersReceived",
    "RequestReceived",
    "RoundTimerFired",
    "SendDigest",
    "SendNames",
    "SendRegisters",
    "SendRequest",
    "Withdrawn",
    "decide",
    "decode_digest",
    "decode_names",
    "decode_registers",
    "encode_digest",
    "encode_names",
    "encode_registers",
]
