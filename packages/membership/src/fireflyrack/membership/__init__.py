"""Fleet membership, ownership of backend servers and addresses for callers."""

from __future__ import annotations

from . import events, shutdown
from .edits import apply_edit
from .fleet import decide, new_state
from .instance_list import InstanceListUnavailable, read_instance_list
from .leases import OwnerLease
from .members import Member, MemberState
from .messages import (
    AcknowledgementModel,
    AddressesModel,
    AddressModel,
    AnnouncementModel,
    ChangesModel,
    ClaimModel,
    HeartbeatModel,
    InstanceListModel,
    MemberModel,
    RosterModel,
    StatementModel,
    YieldModel,
    change_models,
    roster_model,
)
from .ownership import Ownership, addresses_for, live_members, owner_of
from .roster import ROSTER_KEY, Roster, RosterEntry, choose_voters
from .settings import MembershipSettings
from .state import FleetState

__all__ = [
    "ROSTER_KEY",
    "AcknowledgementModel",
    "AddressModel",
    "AddressesModel",
    "AnnouncementModel",
    "ChangesModel",
    "ClaimModel",
    "FleetState",
    "HeartbeatModel",
    "InstanceListModel",
    "InstanceListUnavailable",
    "Member",
    "MemberModel",
    "MemberState",
    "MembershipSettings",
    "OwnerLease",
    "Ownership",
    "Roster",
    "RosterEntry",
    "RosterModel",
    "StatementModel",
    "YieldModel",
    "addresses_for",
    "apply_edit",
    "change_models",
    "choose_voters",
    "decide",
    "events",
    "live_members",
    "new_state",
    "owner_of",
    "read_instance_list",
    "roster_model",
    "shutdown",
]
