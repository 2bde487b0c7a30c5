"""HTTP resources for the configuration, its audit trail and explanations."""

from __future__ import annotations

from functools import singledispatch

import falcon.asgi
from pydantic import BaseModel, ConfigDict, JsonValue, ValidationError

from fireflyrack.configuration import (
    ConfirmationModel,
    ConfirmationOutcomeUnknown,
    ConfirmationUnavailable,
    PlanAltered,
    PlanConflict,
    PlanExpired,
    PlanRejected,
    PlanRequestModel,
    PlanTooLarge,
    StoreReverted,
    VersionNotFound,
    explain,
)
from fireflyrack.core import Failed, Ok

from .errors import ApiError
from .http import Resource, read_model, write_error, write_model

DEFAULT_AUDIT_PAGE_SIZE = 100


class ExplanationRequestModel(BaseModel):
    """Request for the explanation of an answer; `explain` validates the evidence."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    evidence: dict[str, JsonValue]


class ConfigurationResource(Resource):
    """Serve the configuration that is active on this instance."""

    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response):
        """Answer with the active version and its service documents."""
        deployed = self.instance.replica.history.deployed
        head = deployed.head
        resp.media = {
            "version": head.version,
            "digest": self.instance.replica.configuration.digest,
            "services": {
                name: {
                    "changed_in": head.changed.get(name, 0),
                    "document": deployed.documents[digest].model_dump(mode="json"),
                }
                for name, digest in head.services.items()
            },
        }


class PlansResource(Resource):
    """Make plans for operators."""

    async def on_post(self, req: falcon.asgi.Request, resp: falcon.asgi.Response):
        """Answer with the plan of an intent."""
        limit = self.instance.settings.store.max_plan_bytes
        request = await read_model(req, PlanRequestModel, limit)
        match await self.instance.replica.confirmations.plan(request):
            case Ok(plan):
                write_model(resp, plan)
            case Failed(error):
                write_error(resp, api_error(error))


class ConfirmationsResource(Resource):
    """Apply confirmed plans."""

    async def on_post(self, req: falcon.asgi.Request, resp: falcon.asgi.Response):
        """Answer with the version that contains the plan."""
        limit = self.instance.settings.store.max_plan_bytes
        request = await read_model(req, ConfirmationModel, limit)
        replica = self.instance.replica
        match await replica.confirmations.confirm(request):
            case Ok(head):
                # The watch may report the change after the operator's next call.
                await replica.read_store()
                resp.media = {"version": head.version, "operation": head.operation}
            case Failed(error):
                write_error(resp, api_error(error))


class AuditResource(Resource):
    """Serve the audit trail."""

    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response):
        """Answer with a page of records, starting at a version."""
        confirmations = self.instance.replica.confirmations
        first = req.get_param_as_int("from_version", min_value=1, default=1)
        limit = req.get_param_as_int(
            "limit", min_value=1, default=DEFAULT_AUDIT_PAGE_SIZE
        )
        with_plans = req.get_param_as_bool("plans", default=False)
        match await confirmations.audit(first, limit, with_plans):
            case Ok(page):
                write_model(resp, page)
            case Failed(error):
                write_error(resp, api_error(error))


class ExplanationsResource(Resource):
    """Explain past answers to auditors."""

    async def on_post(self, req: falcon.asgi.Request, resp: falcon.asgi.Response):
        """Answer with the explanation of the evidence."""
        request = await read_model(req, ExplanationRequestModel, self.max_body_bytes)
        confirmations = self.instance.replica.confirmations
        keys = self.instance.settings.callers.keys_by_id()
        try:
            outcome = await explain(request.evidence, keys, confirmations)
        except ValidationError as error:
            fields = ", ".join(str(e["loc"][0]) for e in error.errors())
            message = f"invalid evidence: {fields}"
            write_error(resp, ApiError("invalid_request", 400, message))
            return
        match outcome:
            case Ok(explanation):
                write_model(resp, explanation)
            case Failed(error):
                write_error(resp, api_error(error))


@singledispatch
def api_error(error: object) -> ApiError:
    """Return the API error for an error of the configuration slice."""
    raise TypeError(f"unsupported error type: {type(error).__name__}")


@api_error.register
def _(error: PlanRejected) -> ApiError:
    return ApiError("plan_rejected", 422, error.reason)


@api_error.register
def _(error: PlanAltered) -> ApiError:
    message = f"the plan was altered: {error.reason}; make a new plan"
    return ApiError("plan_altered", 422, message)


@api_error.register
def _(error: PlanExpired) -> ApiError:
    message = (
        f"the plan is based on version {error.base_version}, too far behind version "
        f"{error.current_version} to tell whether it was accepted; check the "
        "audit trail or make a new plan"
    )
    return ApiError("plan_expired", 409, message)


@api_error.register
def _(error: PlanTooLarge) -> ApiError:
    message = f"store value {error.what} has {error.size} bytes, limit {error.limit}"
    return ApiError("too_large", 413, message)


@api_error.register
def _(error: PlanConflict) -> ApiError:
    detail = error.conflict.model_dump(mode="json")
    message = f"{error.conflict.reason}; the current version is {error.current_version}"
    return ApiError("plan_conflict", 409, message, detail)


@api_error.register
def _(error: StoreReverted) -> ApiError:
    message = (
        f"this call changed nothing: the store holds version {error.store_version}, "
        f"but version {error.known_version} is active; restore a newer backup of "
        "the store"
    )
    return ApiError("store_reverted", 503, message)


@api_error.register
def _(error: ConfirmationUnavailable) -> ApiError:
    return ApiError(
        "store_unavailable", 503, f"this call changed nothing: {error.detail}"
    )


@api_error.register
def _(error: ConfirmationOutcomeUnknown) -> ApiError:
    message = f"outcome unknown, confirm the same plan again: {error.detail}"
    return ApiError("confirmation_unknown", 504, message)


@api_error.register
def _(error: VersionNotFound) -> ApiError:
    message = (
        f"the audit trail holds versions 1 to {error.current_version}, "
        f"not {error.version}"
    )
    return ApiError("unknown_version", 404, message)
