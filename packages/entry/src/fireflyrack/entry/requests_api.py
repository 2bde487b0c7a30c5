"""HTTP resources for non-idempotent requests and the quarantine."""

from __future__ import annotations

import falcon.asgi

from fireflyrack.core import Failed, Ok, Outcome
from fireflyrack.requests import (
    Quarantined,
    RunRequestModel,
    TicketsRequestModel,
    caller_digest,
)

from .errors import ApiError
from .http import RequestRejected, Resource, read_model, write_error, write_model


def caller_of(req: falcon.asgi.Request) -> str:
    """Return the identity of a caller from its Authorization header."""
    return caller_digest(req.get_header("Authorization"))


def write_outcome(resp: falcon.asgi.Response, outcome: Outcome) -> None:
    """Write the model or the error of an outcome."""
    match outcome:
        case Ok(model):
            write_model(resp, model)
        case Failed(error):
            write_error(resp, error)


class TicketsResource(Resource):
    """Issue tickets."""

    async def on_post(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, service: str
    ):
        """Answer with new tickets."""
        request = await read_model(req, TicketsRequestModel, self.max_body_bytes)
        requests = self.instance.requests
        write_outcome(resp, requests.issue(service, request.count, caller_of(req)))


class RequestsResource(Resource):
    """Run non-idempotent requests."""

    async def on_post(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, service: str
    ):
        """Answer with the outcome of a request."""
        request = await read_model(req, RunRequestModel, self.max_body_bytes)
        limit = self.instance.settings.callers.max_deadline_ms
        if request.deadline_ms > limit:
            message = f"deadline_ms {request.deadline_ms} exceeds the limit of {limit}"
            raise RequestRejected(ApiError("impossible_deadline", 400, message))
        outcome = await self.instance.requests.call(
            service,
            request.ticket,
            request.body,
            request.deadline_ms / 1000,
            caller_of(req),
        )
        write_outcome(resp, outcome)


class RequestResource(Resource):
    """Look up the outcome of a request."""

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, ticket: str
    ):
        """Answer with the outcome that is known for a ticket."""
        requests = self.instance.requests
        outcome = await requests.call("", ticket, None, 0.0, caller_of(req))
        write_outcome(resp, outcome)


class QuarantineResource(Resource):
    """List suspected and quarantined requests."""

    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response):
        """Answer with the fingerprints and their evidence."""
        quarantine = self.instance.requests.quarantine
        entries = quarantine.machine.state.entries
        resp.media = {
            "fingerprints": [
                {
                    "fingerprint": name,
                    "service": entry.evidence.service,
                    "state": "quarantined"
                    if isinstance(quarantine.check(name), Quarantined)
                    else "suspected",
                    "backend_servers": sorted(
                        {
                            crash.backend_server
                            for crash in entry.evidence.active_crashes()
                        }
                    ),
                }
                for name, entry in entries.items()
                if entry.evidence.active_crashes()
            ]
        }


class QuarantinedResource(Resource):
    """Lift the quarantine of one fingerprint."""

    async def on_delete(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, fingerprint: str
    ):
        """Allow the fingerprint again on all instances."""
        if not self.instance.requests.quarantine.lift(fingerprint):
            message = f"fingerprint {fingerprint!r} is not suspected"
            raise RequestRejected(ApiError("unknown_fingerprint", 404, message))
        resp.media = {"lifted": fingerprint}
