"""Errors of the dissemination package."""

from __future__ import annotations

from fireflyrack.core.errors import FireflyrackError


# Keeps its name: links send it to the peer whose message is rejected.
class InvalidSpreadMessage(FireflyrackError):
    """Raised for a gossip message of a peer that cannot be decoded."""
