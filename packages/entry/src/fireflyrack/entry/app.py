"""HTTP application of an entry instance."""

from __future__ import annotations

import falcon
import falcon.asgi

from .configuration_api import (
    AuditResource,
    ConfigurationResource,
    ConfirmationsResource,
    ExplanationsResource,
    PlansResource,
)
from .http import ConnectionCloser, RequestRejected, handle_http_error, handle_rejection
from .instance import EntryInstance
from .membership_api import AddressesResource, MetricsResource, StatusResource
from .requests_api import (
    QuarantinedResource,
    QuarantineResource,
    RequestResource,
    RequestsResource,
    TicketsResource,
)
from .search_api import SearchResource


def create_app(instance: EntryInstance) -> falcon.asgi.App:
    """Return the HTTP application of an instance."""
    app = falcon.asgi.App(middleware=[ConnectionCloser(instance)])
    app.add_error_handler(RequestRejected, handle_rejection)
    app.add_error_handler(falcon.HTTPError, handle_http_error)
    app.add_route("/v1/addresses", AddressesResource(instance))
    app.add_route("/v1/services/{service}/search", SearchResource(instance))
    app.add_route("/v1/services/{service}/tickets", TicketsResource(instance))
    app.add_route("/v1/services/{service}/requests", RequestsResource(instance))
    app.add_route("/v1/requests/{ticket}", RequestResource(instance))
    app.add_route("/v1/quarantine", QuarantineResource(instance))
    app.add_route("/v1/quarantine/{fingerprint}", QuarantinedResource(instance))
    app.add_route("/v1/plans", PlansResource(instance))
    app.add_route("/v1/confirmations", ConfirmationsResource(instance))
    app.add_route("/v1/configuration", ConfigurationResource(instance))
    app.add_route("/v1/audit", AuditResource(instance))
    app.add_route("/v1/explanations", ExplanationsResource(instance))
    app.add_route("/v1/status", StatusResource(instance))
    app.add_route("/metrics", MetricsResource(instance))
    return app
