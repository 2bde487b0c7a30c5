"""Owners of backend servers and addresses for callers, by rendezvous hashing."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from fireflyrack.core import highest_ranked, rank

from .members import Member, MemberState
from .state import FleetState


def live_members(members: Iterable[Member]) -> tuple[Member, ...]:
    """Return the members that accept new requests."""
    return tuple(m for m in members if m.state is MemberState.LIVE)


def owner_of(
    backend_server: str, failure_domain: str, members: Iterable[Member]
) -> Member | None:
    """Return the member that owns a backend server, or None without members.

    Members in the backend server's failure domain are preferred, which keeps the
    network path from owner to backend server short. A leaving member remains owner
    until it releases, so `members` must hold all that are not released or dead.
    """
    candidates = {member.id: member for member in members}
    local = [m.id for m in candidates.values() if m.failure_domain == failure_domain]
    owner = highest_ranked(backend_server, local or candidates)
    return candidates.get(owner) if owner else None


def addresses_for(
    caller: str, failure_domain: str, members: Iterable[Member]
) -> tuple[Member, ...]:
    """Return the members a caller should use, best first.

    The order differs between callers, so that the load of a failed member is
    distributed evenly over the others.
    """
    known = tuple(members)
    # While the whole fleet starts, no member gives complete answers yet.
    starting = (m for m in known if m.state is MemberState.STARTING)
    candidates = {member.id: member for member in live_members(known) or starting}
    ranked = [candidates[name] for name in rank(caller, candidates)]
    return tuple(sorted(ranked, key=lambda m: m.failure_domain != failure_domain))


class Ownership:
    """Cached lookup of owners, and the check that this instance may act as one.

    `domain_of` gives the failure domain of a backend server, or None if it is not
    configured. Call `may_act` before each send.
    """

    def __init__(
        self, state: Callable[[], FleetState], domain_of: Callable[[str], str | None]
    ) -> None:
        self.state = state
        self.domain_of = domain_of
        self.cached_owners: tuple[Member, ...] = ()
        # Ranking all members for each sub-request would cost more than sending it.
        self.cache: dict[tuple[str, str], Member | None] = {}

    def owner(self, backend_server: str) -> Member | None:
        """Return the owner of a configured backend server, or None."""
        domain = self.domain_of(backend_server)
        if domain is None:
            return None
        owners = self.state().owners
        if owners is not self.cached_owners:
            self.cached_owners, self.cache = owners, {}
        key = (backend_server, domain)
        if key not in self.cache:
            self.cache[key] = owner_of(backend_server, domain, owners)
        return self.cache[key]

    def may_act(self, backend_server: str, at: float) -> bool:
        """Return whether this instance owns a backend server and holds its lease."""
        state = self.state()
        if not state.may_own(at):
            return False
        owner = self.owner(backend_server)
        return owner is not None and owner.id == state.own.id
