"""Order of addresses for callers that send non-idempotent requests."""

from __future__ import annotations

from fireflyrack.configuration import Service
from fireflyrack.membership import Member

from .request_dispatch import FindOwner


def prefer_owners(
    service: Service | None, members: tuple[Member, ...], find_owner: FindOwner
) -> tuple[Member, ...]:
    """Return the members, those that own backend servers of the service first.

    A ticket that an owner issues saves a hop. A search fans out to many owners anyway,
    so its addresses are ordered differently.
    """
    if service is None:
        return members
    owners = {
        owner.id for name in service.backend_servers if (owner := find_owner(name))
    }
    return tuple(sorted(members, key=lambda member: member.id not in owners))
