"""Parsing of requests, writing of responses and error handling of the resources."""

from __future__ import annotations

from typing import Any, TypeVar

import falcon
import falcon.asgi
from pydantic import BaseModel, ValidationError

from .errors import ApiError
from .instance import EntryInstance

Model = TypeVar("Model", bound=BaseModel)


class RequestRejected(Exception):
    """Raised by a resource to answer a request with an API error."""

    def __init__(self, error: ApiError) -> None:
        super().__init__(error.message)
        self.error = error


async def read_model(req: falcon.asgi.Request, model: type[Model], limit: int) -> Model:
    """Read a JSON body of at most `limit` bytes into a model.

    Raises RequestRejected if the body is too large or invalid.
    """
    if (req.content_length or 0) > limit:
        raise RequestRejected(too_large(limit))
    body = await req.stream.read(limit + 1)
    if len(body) > limit:
        raise RequestRejected(too_large(limit))
    try:
        return model.model_validate_json(body)
    except ValidationError as error:
        problems = "; ".join(
            f"{'.'.join(str(part) for part in detail['loc']) or 'body'}: "
            f"{detail['msg']}"
            for detail in error.errors()
        )
        raise RequestRejected(ApiError("invalid_request", 400, problems)) from error


def too_large(limit: int) -> ApiError:
    """Return the error for a body of more than `limit` bytes."""
    return ApiError("too_large", 413, f"the body exceeds {limit} bytes")


def write_model(resp: falcon.asgi.Response, model: BaseModel) -> None:
    """Write a model as the JSON body of a response."""
    resp.data = model.model_dump_json().encode()
    resp.content_type = falcon.MEDIA_JSON


def write_error(resp: falcon.asgi.Response, error: ApiError) -> None:
    """Write an error as the JSON body of a response."""
    resp.status = error.status
    body = {"kind": error.kind, "message": error.message}
    if error.detail is not None:
        body["detail"] = error.detail
    resp.media = {"error": body}


class Resource:
    """Base class of the resources; gives access to the instance."""

    def __init__(self, instance: EntryInstance) -> None:
        self.instance = instance
        self.max_body_bytes = instance.settings.callers.max_body_bytes


class ConnectionCloser:
    """Middleware that closes connections of callers during a shutdown."""

    def __init__(self, instance: EntryInstance) -> None:
        self.instance = instance

    async def process_response(
        self, req: Any, resp: falcon.asgi.Response, resource: Any, succeeded: bool
    ) -> None:
        """Close the connection after this response if the address is withdrawn."""
        if self.instance.shutdown.withdrawn:
            resp.set_header("Connection", "close")


async def handle_rejection(
    req: Any, resp: falcon.asgi.Response, error: RequestRejected, params: Any
) -> None:
    """Write the error of a rejected request."""
    write_error(resp, error.error)


async def handle_http_error(
    req: Any, resp: falcon.asgi.Response, error: falcon.HTTPError, params: Any
) -> None:
    """Write an error raised by falcon in the format of the API."""
    status = falcon.http_status_to_code(error.status)
    kind = "not_found" if status == 404 else "invalid_request"
    message = error.description or error.title or str(error.status)
    write_error(resp, ApiError(kind, status, message))
