"""Entry instance process: address directory, readiness, shutdown and wiring."""

from __future__ import annotations

from .directory import Addresses, addresses_for
from .instance import Gateway
from .ports import Ports
from .process import GatewayProcess
from .serving import HttpServer
from .settings import GatewaySettings

__all__ = [
    "Addresses",
    "Gateway",
    "GatewayProcess",
    "GatewaySettings",
    "HttpServer",
    "Ports",
    "addresses_for",
]
