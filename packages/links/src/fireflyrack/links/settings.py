"""Settings of the links between entry instances."""

from __future__ import annotations

from pydantic import Field

from fireflyrack.core import SettingsModel


class LinkSettings(SettingsModel):
    """Limits and timeouts of links."""

    connect_timeout_s: float = Field(default=1.0, gt=0)
    reconnect_delay_s: float = Field(default=0.2, gt=0)
    max_waiting_messages: int = Field(default=10_000, gt=0)
    max_frame_messages: int = Field(default=500, gt=0)
    # Largest frame that is accepted from a peer. Frames are filled up to a quarter of
    # it, so that a message of up to three quarters fits.
    max_message_bytes: int = Field(default=16 * 1024 * 1024, gt=0)
