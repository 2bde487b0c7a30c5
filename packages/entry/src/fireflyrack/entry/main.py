"""Command line of the entry instance."""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys

import logbook

from fireflyrack.core import SettingsError, configure_logging, load_settings
from fireflyrack.gateway import HttpServer

from .app import create_app
from .instance import EntryInstance
from .settings import EntrySettings

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_ADDRESS_IN_USE = 3

log = logbook.Logger("main")


def build_parser() -> argparse.ArgumentParser:
    """Return the argument parser of the command."""
    parser = argparse.ArgumentParser(
        prog="fireflyrack-entry",
        description="Run one entry instance of fireflyrack.",
        epilog="Exit codes: 0 stopped, 2 invalid settings, 3 an address is in use.",
    )
    parser.add_argument("settings", help="settings file in YAML")
    parser.add_argument(
        "--check", action="store_true", help="only check the settings file"
    )
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run the command and return its exit code."""
    options = build_parser().parse_args(arguments)
    try:
        settings = load_settings(options.settings, EntrySettings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    if options.check:
        print(f"{options.settings}: ok")
        return EXIT_OK
    configure_logging(settings.logs, settings.instance.id)
    return asyncio.run(serve(settings))


async def serve(settings: EntrySettings) -> int:
    """Serve until SIGTERM or SIGINT; return the exit code."""
    loop = asyncio.get_running_loop()
    instance = EntryInstance(settings)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, instance.shutdown.request_stop)
    server = HttpServer(
        create_app(instance),
        settings.instance.http_address,
        drain_s=settings.membership.drain_s,
    )
    try:
        server.bind()
        await instance.start()
    except OSError as error:
        print(f"cannot listen: {error}", file=sys.stderr)
        await instance.stop()
        return EXIT_ADDRESS_IN_USE
    async with server:
        log.info("serving on {}", settings.instance.http_address)
        instance.shutdown.close_http = server.close
        await instance.shutdown.stopped.wait()
    await instance.stop()
    log.info("stopped")
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
