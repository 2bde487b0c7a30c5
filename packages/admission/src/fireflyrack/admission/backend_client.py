"""HTTP client of one backend server."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import aiohttp
from pydantic import BaseModel, ValidationError
from pydantic_core import PydanticSerializationError

from fireflyrack.configuration import BackendServer
from fireflyrack.core import Failed, Ok, Outcome
from fireflyrack.http_client import CheckedConnector, ReceiveBudget, open_session

from .errors import (
    BackendCallFailed,
    BackendError,
    BackendNotSent,
    BackendShed,
    BackendUnreachable,
    RefusalReason,
)
from .messages import (
    BackendStatusModel,
    CancelledModel,
    CancelModel,
    RepliesModel,
    RunAnswerModel,
    SearchBatchModel,
    run_model,
    sub_request_model,
)
from .sending import CheckedRequest, MaySend, SendRefused, SendState, current_send
from .settings import AdmissionSettings
from .work import RunRequest, SearchWork

SHED_STATUS = 503
DRAINING_HEADER = "X-Draining"


class BackendClient:
    """HTTP client of one backend server; calls return an outcome and never raise.

    The connection pool never exceeds the backend server's connection limit. Status
    and cancel calls use connections that are reserved for them, see `usable_slots`.
    `on_draining` is called for each response that carries the draining header. The
    clients of one process share a budget for the bytes of their responses.
    """

    def __init__(
        self,
        server: BackendServer,
        settings: AdmissionSettings,
        may_send: MaySend,
        on_draining: Callable[[], None],
        budget: ReceiveBudget | None = None,
    ) -> None:
        self.budget = budget
        self.server = server
        self.settings = settings
        self.may_send = may_send
        self.on_draining = on_draining
        self.loop = asyncio.get_running_loop()
        self.session = self.new_session()
        self.control_limit = self.new_control_limit()
        self.calls: set[asyncio.Task] = set()

    def new_session(self) -> aiohttp.ClientSession:
        """Return a session with the connection limit of the backend server."""
        limits = self.settings.response_limits
        connector = CheckedConnector(
            limits,
            self.budget,
            limit=self.server.connections,
            keepalive_timeout=self.settings.idle_connection_s,
        )
        return open_session(
            limits,
            connector,
            base_url=f"http://{self.server.address}",
            request_class=CheckedRequest,
        )

    def new_control_limit(self) -> asyncio.Semaphore:
        """Return the limit on concurrent status and cancel calls."""
        max_calls = max(
            1, self.server.connections - usable_slots(self.server, self.settings)
        )
        return asyncio.Semaphore(min(max_calls, self.settings.control_connections))

    async def replace_connections(self, server: BackendServer) -> None:
        """Close the connections and apply the limits of a new configuration.

        No work may be in flight.
        """
        session = self.session
        self.server = server
        await session.close()
        self.session, self.control_limit = self.new_session(), self.new_control_limit()

    async def search(
        self, work_items: tuple[SearchWork, ...], send: SendState, timeout_s: float
    ) -> Outcome[RepliesModel, BackendError]:
        """Send a batch of sub-requests; the timeout is in seconds."""
        now = self.loop.time()
        batch = SearchBatchModel(
            sub_requests=tuple(sub_request_model(work, now) for work in work_items)
        )
        return await self.call("/v1/search", batch, RepliesModel, timeout_s, send)

    async def run(
        self, request: RunRequest, send: SendState, timeout_s: float
    ) -> Outcome[RunAnswerModel, BackendError]:
        """Send a non-idempotent request; the timeout is in seconds."""
        model = run_model(request, self.loop.time())
        return await self.call("/v1/run", model, RunAnswerModel, timeout_s, send)

    async def cancel(
        self, ids: tuple[str, ...]
    ) -> Outcome[CancelledModel, BackendError]:
        """Ask the backend server to stop the work with the given ids."""
        return await self.control_call(
            "/v1/cancel", CancelModel(ids=ids), CancelledModel
        )

    async def status(self) -> Outcome[BackendStatusModel, BackendError]:
        """Read the status of the backend server."""
        return await self.control_call("/v1/status", None, BackendStatusModel)

    async def warm(self) -> None:
        """Open connections before they are needed, each with a status call."""
        slots = usable_slots(self.server, self.settings)
        count = min(self.settings.warm_connections, slots)
        timeout_s = self.settings.status_timeout_s
        # Concurrent calls cannot share a connection, so each opens its own.
        await asyncio.gather(
            *(
                self.call(
                    "/v1/status",
                    None,
                    BackendStatusModel,
                    timeout_s,
                    SendState(self.may_send),
                )
                for _ in range(count)
            )
        )

    async def control_call(
        self, path: str, body: BaseModel | None, reply_type: type[BaseModel]
    ) -> Outcome:
        """Make a status or cancel call within the limit on such calls."""
        timeout_s = self.settings.status_timeout_s
        async with self.control_limit:
            return await self.call(
                path, body, reply_type, timeout_s, SendState(self.may_send)
            )

    async def call(
        self,
        path: str,
        body: BaseModel | None,
        reply_type: type[BaseModel],
        timeout_s: float,
        send: SendState,
    ) -> Outcome:
        """Send a request and validate its reply against a model."""
        if reason := send.refusal_reason(self.loop.time()):
            return Failed(BackendNotSent(reason))
        timeout = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=self.settings.connect_timeout_s
        )
        try:
            data = body.model_dump_json() if body else None
        except PydanticSerializationError:
            return Failed(BackendNotSent(RefusalReason.INVALID))
        headers = {"Content-Type": "application/json"} if body else None
        method = "POST" if body else "GET"
        token = current_send.set(send)
        try:
            async with self.session.request(
                method,
                path,
                data=data,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                draining = DRAINING_HEADER in response.headers
                if draining:
                    self.on_draining()
                if response.status == SHED_STATUS:
                    return Failed(BackendShed(f"status {SHED_STATUS}", draining))
                if response.status != 200:
                    return Failed(BackendCallFailed(f"status {response.status}"))
                content = await response.read()
            return Ok(reply_type.model_validate_json(content))
        except SendRefused as error:
            return Failed(BackendNotSent(error.reason))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            detail = str(error) or type(error).__name__
            if not send.sent:
                return Failed(BackendUnreachable(detail))
            disconnected = not isinstance(error, TimeoutError)
            if disconnected:
                # The server may have crashed, with idle connections that still look
                # open; work sent on one of them would have an unknown outcome.
                self.session.connector.close_idle()
            return Failed(BackendCallFailed(detail, disconnected))
        except ValidationError as error:
            return Failed(
                BackendCallFailed(
                    f"invalid reply: {error.error_count()} validation errors"
                )
            )
        finally:
            current_send.reset(token)

    async def close(self) -> None:
        """Close the session and its connections."""
        await self.session.close()


def usable_slots(server: BackendServer, settings: AdmissionSettings) -> int:
    """Return the slots that leave connections free for status and cancel calls.

    With a single connection none can be reserved: status and cancel calls then wait
    for the work in flight.
    """
    spare = server.connections - settings.control_connections
    return max(1, min(server.slots, spare))
