"""Stand-in for a backend server that searches shards and runs requests."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from dataclasses import asdict
from typing import Any

import falcon
import falcon.asgi
from pydantic import BaseModel, ValidationError

from fireflyrack.admission import (
    DRAINING_HEADER,
    BackendStatusModel,
    CancelledModel,
    CancelModel,
    RepliesModel,
    ReplyModel,
    RunAnswerModel,
    RunModel,
    SearchBatchModel,
    SubRequestModel,
)
from fireflyrack.core import ShardSet

from .backend_connections import (
    CONTROL_PATH,
    ConnectionLimitMiddleware,
    protocol_class_for,
)
from .backend_state import ActiveRequest, BackendState, build_state
from .http import run_stand_in
from .settings import BackendFaults, BackendSettings

Request = falcon.asgi.Request
Response = falcon.asgi.Response


def write_model(resp: Response, model: BaseModel) -> None:
    """Write a wire model as JSON into a response."""
    resp.data = model.model_dump_json().encode()
    resp.content_type = falcon.MEDIA_JSON


def raise_if_refused(state: BackendState) -> None:
    """Raise 503 if the backend server accepts no work at present."""
    if reason := state.refusal_reason():
        raise falcon.HTTPServiceUnavailable(title=reason)


class DrainingHeader:
    """Middleware that marks each response while the backend server is draining."""

    def __init__(self, state: BackendState) -> None:
        self.state = state

    async def process_response(
        self, req: Request, resp: Response, resource: Any, req_succeeded: bool
    ) -> None:
        """Add the header, except to control responses or if a fault hides it."""
        faults = self.state.faults
        if faults.draining and not faults.hide_draining and req.path != CONTROL_PATH:
            resp.set_header(DRAINING_HEADER, "1")


class SearchResource:
    """Searches of shards; each batch occupies one slot."""

    def __init__(self, state: BackendState) -> None:
        self.state = state

    async def on_post(self, req: Request, resp: Response) -> None:
        """Run a batch of sub-requests and return their replies."""
        state = self.state
        loop = asyncio.get_running_loop()
        arrived_at = loop.time()
        batch = SearchBatchModel.model_validate_json(await req.stream.read())
        raise_if_refused(state)
        active_request = state.register_request(tuple(s.id for s in batch.sub_requests))
        try:
            async with state.slots:
                started_at = loop.time()
                for sub_request in batch.sub_requests:
                    state.crash_if_matching(sub_request.query)
                state.records.batches += 1
                await self.simulate_work(batch, active_request, arrived_at)
                replies = tuple(
                    self.search_shards(s, active_request, loop.time() - arrived_at)
                    for s in batch.sub_requests
                )
                state.records.busy_s += loop.time() - started_at
        finally:
            state.active_requests.remove(active_request)
        write_model(resp, RepliesModel(replies=replies))

    async def simulate_work(
        self, batch: SearchBatchModel, active_request: ActiveRequest, arrived_at: float
    ) -> None:
        """Sleep for a batch's time, until its deadline or cancellation at most."""
        state = self.state
        duration_s = state.draw_batch_time(
            ShardSet.parse(s.shards) for s in batch.sub_requests
        )
        if not state.faults.ignore_deadlines:
            latest_s = (
                max((s.deadline_ms for s in batch.sub_requests), default=0) / 1000
            )
            waited_s = asyncio.get_running_loop().time() - arrived_at
            duration_s = min(duration_s, max(0.0, latest_s - waited_s))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(duration_s):
                await active_request.all_cancelled.wait()

    def search_shards(
        self,
        sub_request: SubRequestModel,
        active_request: ActiveRequest,
        elapsed_s: float,
    ) -> ReplyModel:
        """Search those shards of one sub-request that this server holds."""
        state = self.state
        records = state.records
        records.sub_requests += 1
        if sub_request.id in active_request.cancelled:
            return ReplyModel(id=sub_request.id, error="cancelled")
        past_deadline = elapsed_s * 1000 >= sub_request.deadline_ms
        if past_deadline and not state.faults.ignore_deadlines:
            records.past_deadline += 1
            return ReplyModel(id=sub_request.id, error="deadline")
        if sub_request.service != state.settings.index.service:
            return ReplyModel(id=sub_request.id, error="unknown service")
        if sub_request.snapshot not in state.snapshots:
            return ReplyModel(id=sub_request.id, error="unknown snapshot")
        searched = ShardSet.parse(sub_request.shards) & state.held
        scored = state.index.search(sub_request.query, sub_request.k, searched)
        return ReplyModel(
            id=sub_request.id,
            snapshot=sub_request.snapshot,
            searched=str(searched),
            hits=tuple((d.document, d.score, d.shard) for d in scored),
        )


class RunResource:
    """Non-idempotent requests, one in each slot; every execution is counted."""

    def __init__(self, state: BackendState) -> None:
        self.state = state

    async def on_post(self, req: Request, resp: Response) -> None:
        """Run a request, or refuse it with 503 before it starts."""
        state = self.state
        loop = asyncio.get_running_loop()
        arrived_at = loop.time()
        request = RunModel.model_validate_json(await req.stream.read())
        raise_if_refused(state)
        active_request = state.register_request((request.id,))
        try:
            async with state.slots:
                past_deadline = (loop.time() - arrived_at) * 1000 >= request.deadline_ms
                if active_request.cancelled or (
                    past_deadline and not state.faults.ignore_deadlines
                ):
                    raise falcon.HTTPServiceUnavailable(title="not started")
                state.record_execution(request.id)
                state.crash_if_matching(request.body.decode())
                started_at = loop.time()
                await asyncio.sleep(state.draw_batch_time((None,)))
                state.records.busy_s += loop.time() - started_at
        finally:
            state.active_requests.remove(active_request)
        if state.faults.drop_run_replies:
            state.connections.abort(tuple(req.scope["client"]))
        body = f"ran {request.id}".encode()
        write_model(resp, RunAnswerModel(id=request.id, answer=body))


class CancelResource:
    """Cancellation of work whose result is no longer needed."""

    def __init__(self, state: BackendState) -> None:
        self.state = state

    async def on_post(self, req: Request, resp: Response) -> None:
        """Cancel work by id; return the ids that were found."""
        model = CancelModel.model_validate_json(await req.stream.read())
        write_model(resp, CancelledModel(cancelled=self.state.cancel(model.ids)))


class StatusResource:
    """Status report with state, snapshots and load, altered by injected faults."""

    def __init__(self, state: BackendState) -> None:
        self.state = state

    async def on_get(self, req: Request, resp: Response) -> None:
        """Return the report after the injected delay."""
        state = self.state
        state.records.status_calls += 1
        await asyncio.sleep(state.faults.status_delay_s)
        held = str(state.held)
        in_use = min(len(state.active_requests), state.settings.slots)
        if state.faults.status_slots_in_use is not None:
            in_use = state.faults.status_slots_in_use
        model = BackendStatusModel(
            state="draining" if state.reports_draining() else "serving",
            snapshots={
                state.settings.index.service: {name: held for name in state.snapshots}
            },
            slots_in_use=in_use,
        )
        write_model(resp, model)


class ControlResource:
    """Fault injection and counters of the observed work."""

    def __init__(self, state: BackendState) -> None:
        self.state = state

    async def on_get(self, req: Request, resp: Response) -> None:
        """Return the counters and the injected faults."""
        state = self.state
        connections = state.connections
        resp.media = {
            **asdict(state.records),
            "running": len(state.active_requests),
            "connections": len(connections.admitted),
            "opened_connections": connections.opened,
            "peak_connections": connections.peak,
            "refused_connections": connections.refused,
            "uptime_s": state.uptime(),
            "faults": state.faults.model_dump(mode="json"),
        }

    async def on_post(self, req: Request, resp: Response) -> None:
        """Set the faults in the body; the others stay unchanged."""
        changes = await req.get_media()
        try:
            faults = BackendFaults.model_validate(
                {**self.state.faults.model_dump(), **changes}
            )
        except ValidationError as error:
            raise falcon.HTTPBadRequest(description=str(error)) from error
        self.state.set_faults(faults)
        resp.media = {}


def create_app(settings: BackendSettings) -> ConnectionLimitMiddleware:
    """Return the ASGI application of a backend server with its connection limit."""
    state = build_state(settings)
    app = falcon.asgi.App(middleware=[DrainingHeader(state)])
    app.add_route("/v1/search", SearchResource(state))
    app.add_route("/v1/run", RunResource(state))
    app.add_route("/v1/cancel", CancelResource(state))
    app.add_route("/v1/status", StatusResource(state))
    app.add_route(CONTROL_PATH, ControlResource(state))
    return ConnectionLimitMiddleware(app, state.connections)


if __name__ == "__main__":
    sys.exit(run_stand_in(BackendSettings, create_app, protocol_class_for))
