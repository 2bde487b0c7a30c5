"""Client of the platform's list of instances."""

from __future__ import annotations

from dataclasses import dataclass

import aiohttp
from pydantic import ValidationError

from fireflyrack.core import Failed, Ok, Outcome

from .members import Member
from .messages import InstanceListModel
from .settings import MembershipSettings


@dataclass(frozen=True, slots=True)
class InstanceListUnavailable:
    """Reason why the list of instances could not be read."""

    detail: str


async def read_instance_list(
    session: aiohttp.ClientSession, settings: MembershipSettings
) -> Outcome[tuple[Member, ...], InstanceListUnavailable]:
    """Read the platform's list of instances; return a failure if it is invalid."""
    timeout = aiohttp.ClientTimeout(total=settings.list_timeout_s)
    url = f"{settings.list_url}/v1/instances"
    try:
        async with session.get(url, timeout=timeout) as response:
            body = await response.read()
            if response.status != 200:
                return Failed(InstanceListUnavailable(f"HTTP status {response.status}"))
        model = InstanceListModel.model_validate_json(body)
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        return Failed(InstanceListUnavailable(str(error) or type(error).__name__))
    except ValidationError as error:
        return Failed(
            InstanceListUnavailable(f"list is invalid: {error.error_count()} errors")
        )
    return Ok(tuple(instance.to_domain() for instance in model.instances))
