"""Errors of the dissemination package."""

from __future__ import annotations

from fireflyrack.core.errors import FireflyrackError


class InvalidGossipMessage(FireflyrackError):
    """Raised for a gossip message of a peer that cannot be decoded."""
