"""Transport of sub-requests to the owners of their backend servers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from fireflyrack.admission import (
    RefusalReason,
    RepliesModel,
    ReplyModel,
    SearchWork,
    SearchWorkModel,
    TargetModel,
    WorkFailed,
    WorkOutcome,
    WorkRefused,
    reply_model,
)
from fireflyrack.core import Failed, Ok, ShardSet
from fireflyrack.links import IncomingMessage, LinkFailureKind, LinkPool, Respond
from fireflyrack.membership import Member
from fireflyrack.search import (
    Cause,
    FailureKind,
    Hit,
    Query,
    ReplyArrived,
    Snapshot,
    SubRequest,
    SubRequestFailed,
)

from .search_guard import SearchGuard

SEARCH_KIND = "admission.search"

Feed = Callable[[Any], None]
FindOwner = Callable[[str], Member | None]
Work = Coroutine[Any, Any, None]

# Prefix that admission gives the detail of a failure to connect.
UNREACHABLE_PREFIX = "unreachable: "
# Cause and failure kind of each refusal by an owner or backend server.
REFUSAL_FAILURES = {
    RefusalReason.NOT_OWNER.value: (Cause.REFUSED, FailureKind.OWNER_LOST),
    RefusalReason.QUEUE_FULL.value: (Cause.REFUSED, FailureKind.SHED),
    RefusalReason.DEADLINE.value: (Cause.DEADLINE, FailureKind.TIMED_OUT),
    RefusalReason.DRAINING.value: (Cause.REFUSED, FailureKind.DRAINING),
    RefusalReason.SHED.value: (Cause.REFUSED, FailureKind.SHED),
    RefusalReason.OVERLOADED.value: (Cause.REFUSED, FailureKind.SHED),
    RefusalReason.NOT_PERMITTED.value: (Cause.REFUSED, FailureKind.OWNER_LOST),
    RefusalReason.UNREACHABLE.value: (Cause.FAILED, FailureKind.UNREACHABLE),
    RefusalReason.CANCELLED.value: (Cause.DEADLINE, FailureKind.TIMED_OUT),
    # Another replica would refuse the sub-request for the same reason.
    RefusalReason.INVALID.value: (Cause.FAILED, FailureKind.TIMED_OUT),
}
# Cause and failure kind of link failures that do not mean that the owner is lost.
LINK_FAILURES = {
    LinkFailureKind.TIMEOUT: (Cause.DEADLINE, FailureKind.TIMED_OUT),
    LinkFailureKind.OVERLOADED: (Cause.REFUSED, FailureKind.SHED),
}


@dataclass(slots=True)
class SentGroup:
    """Sub-requests of one message that have no reply yet, by work id."""

    pending: dict[str, SubRequest]
    task: asyncio.Task[None] | None = None


class SubRequestDispatcher:
    """Send sub-requests to owners, and serve those that other instances send.

    `find_owner` returns the member that owns a backend server.
    """

    def __init__(
        self,
        instance: str,
        guard: SearchGuard,
        links: LinkPool,
        find_owner: FindOwner,
    ) -> None:
        self.instance = instance
        self.guard = guard
        self.links = links
        self.find_owner = find_owner
        self.loop = asyncio.get_running_loop()
        self.sent_groups: dict[tuple[str, int], SentGroup] = {}

    def send(
        self, query: Query, sub_requests: tuple[SubRequest, ...], feed: Feed
    ) -> None:
        """Send sub-requests, one message per owner; `feed` takes the results."""
        by_owner: dict[str, list[SubRequest]] = {}
        owners: dict[str, Member] = {}
        for sub_request in sub_requests:
            owner = self.find_owner(sub_request.backend_server)
            if owner is None:
                event = self.failure(sub_request, Cause.REFUSED, FailureKind.OWNER_LOST)
                self.loop.call_soon(feed, event)
            elif owner.id == self.instance:
                group = SentGroup({work_id(query, sub_request): sub_request})
                self.start(query, group, self.run_local(query, sub_request, feed))
            else:
                owners[owner.id] = owner
                by_owner.setdefault(owner.id, []).append(sub_request)
        for owner_id, sent in by_owner.items():
            group = SentGroup({work_id(query, s): s for s in sent})
            self.start(
                query, group, self.run_remote(query, group, owners[owner_id], feed)
            )

    def start(self, query: Query, group: SentGroup, work: Work) -> None:
        """Run work as a task that `cancel` finds by any sub-request of the group."""
        task = group.task = asyncio.create_task(work)
        keys = [(query.id, sub_request.id) for sub_request in group.pending.values()]
        for key in keys:
            self.sent_groups[key] = group

        def remove_group(_: asyncio.Task[None]) -> None:
            for key in keys:
                self.sent_groups.pop(key, None)

        task.add_done_callback(remove_group)

    def cancel(self, query: Query, sub_requests: tuple[SubRequest, ...]) -> None:
        """Cancel sub-requests whose replies are no longer needed.

        The message to an owner is cancelled once all its sub-requests are.
        """
        for sub_request in sub_requests:
            if group := self.sent_groups.get((query.id, sub_request.id)):
                group.pending.pop(work_id(query, sub_request), None)
                if not group.pending and group.task:
                    group.task.cancel()

    async def run_local(
        self, query: Query, sub_request: SubRequest, feed: Feed
    ) -> None:
        """Run a sub-request on a backend server that this instance owns."""
        work = SearchWork(
            id=work_id(query, sub_request),
            service=query.service,
            snapshot=str(query.snapshot),
            shards=sub_request.shards,
            text=query.text,
            limit=query.limit,
            deadline_at=query.deadline_at,
            coordinator=self.instance,
        )
        outcome = await self.guard.submit(sub_request.backend_server, work)
        reply = outcome_reply(work.id, outcome)
        feed(self.event(query, sub_request, reply))

    async def run_remote(
        self,
        query: Query,
        group: SentGroup,
        owner: Member,
        feed: Feed,
    ) -> None:
        """Run sub-requests on another instance that owns their backend servers."""
        pending = group.pending
        remaining_s = query.deadline_at - self.loop.time()
        body = SearchWorkModel(
            service=query.service,
            snapshot=str(query.snapshot),
            query=query.text,
            k=query.limit,
            deadline_ms=remaining_s * 1000,
            targets=tuple(
                TargetModel(
                    id=name,
                    backend_server=sub_request.backend_server,
                    shards=str(sub_request.shards),
                )
                for name, sub_request in pending.items()
            ),
        )

        def on_replies(part: bytes) -> None:
            for reply in RepliesModel.model_validate_json(part).replies:
                if sub_request := pending.pop(reply.id, None):
                    feed(self.event(query, sub_request, reply))

        outcome = await self.links.request(
            owner.link_address,
            SEARCH_KIND,
            body.model_dump_json().encode(),
            timeout_s=max(0.001, remaining_s),
            on_partial=on_replies,
        )
        if isinstance(outcome, Ok):
            on_replies(outcome.value)
        # The loss of an owner is no evidence against the backend server.
        kinds = (Cause.FAILED, FailureKind.OWNER_LOST)
        if isinstance(outcome, Failed):
            kinds = LINK_FAILURES.get(outcome.error.kind, kinds)
        for sub_request in tuple(pending.values()):
            feed(self.failure(sub_request, *kinds))

    def event(
        self, query: Query, sub_request: SubRequest, reply: ReplyModel
    ) -> ReplyArrived | SubRequestFailed:
        """Return the event of the fan-out for a reply."""
        if reply.refused or reply.error:
            if self.loop.time() >= query.deadline_at:
                return self.failure(sub_request, Cause.DEADLINE, FailureKind.TIMED_OUT)
            return self.failure(sub_request, *classify_failure(reply))
        return ReplyArrived(
            at=self.loop.time(),
            sub_request=sub_request.id,
            snapshot=Snapshot.parse(reply.snapshot),
            searched=ShardSet.parse(reply.searched),
            hits=tuple(Hit(*hit) for hit in reply.hits),
        )

    def failure(
        self, sub_request: SubRequest, cause: Cause, kind: FailureKind
    ) -> SubRequestFailed:
        """Return the event of the fan-out for a sub-request without a result."""
        return SubRequestFailed(self.loop.time(), sub_request.id, cause, kind)

    async def serve(self, message: IncomingMessage, respond: Respond) -> bytes:
        """Run the sub-requests of another instance; reply to each as it completes."""
        model = SearchWorkModel.model_validate_json(message.body)
        deadline_at = self.loop.time() + model.deadline_ms / 1000
        works = {
            target.id: (
                target.backend_server,
                SearchWork(
                    id=f"{message.sender}/{target.id}",
                    service=model.service,
                    snapshot=model.snapshot,
                    shards=ShardSet.parse(target.shards),
                    text=model.query,
                    limit=model.k,
                    deadline_at=deadline_at,
                    coordinator=message.sender,
                ),
            )
            for target in model.targets
        }

        async def run(name: str, backend_server: str, work: SearchWork) -> None:
            outcome = await self.guard.submit(backend_server, work)
            reply = RepliesModel(replies=(outcome_reply(name, outcome),))
            respond(reply.model_dump_json().encode())

        async with asyncio.TaskGroup() as group:
            for name, (backend_server, work) in works.items():
                group.create_task(run(name, backend_server, work))
        return RepliesModel(replies=()).model_dump_json().encode()


def work_id(query: Query, sub_request: SubRequest) -> str:
    """Return the id of a sub-request that is unique across instances."""
    return f"{query.id}/{sub_request.id}"


def classify_failure(reply: ReplyModel) -> tuple[Cause, FailureKind]:
    """Return the cause and failure kind of a reply without a result."""
    if kinds := REFUSAL_FAILURES.get(reply.error):
        return kinds
    if reply.refused:
        return (Cause.REFUSED, FailureKind.SHED)
    if reply.error.startswith(UNREACHABLE_PREFIX):
        return (Cause.FAILED, FailureKind.UNREACHABLE)
    return (Cause.FAILED, FailureKind.BROKEN)


def outcome_reply(name: str, outcome: WorkOutcome) -> ReplyModel:
    """Return the wire model of an outcome."""
    match outcome:
        case Ok(result):
            return reply_model(name, result)
        case Failed(WorkRefused(reason)):
            refused = reason is not RefusalReason.DEADLINE
            return ReplyModel(id=name, error=reason.value, refused=refused)
        case Failed(WorkFailed(detail)):
            return ReplyModel(id=name, error=detail)
