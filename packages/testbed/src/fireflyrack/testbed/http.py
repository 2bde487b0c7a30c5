"""Command line, server and shutdown of the HTTP stand-ins."""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
from collections.abc import Callable
from typing import Any, TypeVar

from fireflyrack.core import (
    LogSettings,
    SettingsError,
    SettingsModel,
    configure_logging,
    load_settings,
)
from fireflyrack.gateway import HttpServer

Settings = TypeVar("Settings", bound=SettingsModel)


def run_stand_in(
    model: type[Settings],
    create_app: Callable[[Settings], Any],
    protocol_class_for: Callable[[Any], type[asyncio.Protocol]] | None = None,
) -> int:
    """Serve with the settings file of the command line; return the exit code.

    `protocol_class_for` returns the HTTP protocol class for an application; the
    default protocol is used without it.
    """
    parser = argparse.ArgumentParser(description=model.__doc__)
    parser.add_argument("settings", help="settings file in YAML")
    options = parser.parse_args()
    try:
        settings = load_settings(options.settings, model)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 2
    logs: LogSettings = settings.logs
    configure_logging(logs, getattr(settings, "id", model.__name__))
    app = create_app(settings)
    protocol = protocol_class_for(app) if protocol_class_for else None
    return asyncio.run(serve(app, settings.address, protocol))


async def serve(
    app: Any, address: str, protocol: type[asyncio.Protocol] | None = None
) -> int:
    """Serve an application until SIGTERM or SIGINT; return the exit code."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    server = HttpServer(app, address)
    if protocol:
        server.server.config.http = protocol
    try:
        server.bind()
    except OSError as error:
        print(f"cannot listen on {address}: {error}", file=sys.stderr)
        return 3
    async with server:
        await stop_requested.wait()
    return 0
