"""HTTP client sessions whose responses are bounded, whole and solicited."""

from __future__ import annotations

from .budget import ReceiveBudget
from .connector import CheckedConnector
from .errors import ResponseTooLarge
from .response import CheckedResponse
from .session import open_session
from .settings import ResponseLimits

__all__ = [
    "CheckedConnector",
    "CheckedResponse",
    "ReceiveBudget",
    "ResponseLimits",
    "ResponseTooLarge",
    "open_session",
]
