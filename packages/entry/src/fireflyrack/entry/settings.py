"""Settings of an entry instance."""

from __future__ import annotations

from pydantic import Field, field_validator

from fireflyrack.admission import AdmissionSettings
from fireflyrack.configuration import StoreSettings
from fireflyrack.core import LogSettings, SettingsModel
from fireflyrack.dissemination import DisseminationSettings
from fireflyrack.links import LinkSettings
from fireflyrack.membership import MembershipSettings
from fireflyrack.requests import RequestSettings
from fireflyrack.search import SearchSettings

Address = Field(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")
Name = Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")


class InstanceSettings(SettingsModel):
    """Identity and listen addresses of this instance."""

    id: str = Name
    failure_domain: str = Name
    http_address: str = Address
    link_address: str = Address


class AuditKeySettings(SettingsModel):
    """Key that signs and verifies evidence."""

    id: str = Name
    key: str = Field(min_length=16, repr=False)


class CallerSettings(SettingsModel):
    """Limits on requests of callers, and the keys that sign their evidence."""

    max_body_bytes: int = Field(default=256 * 1024, ge=1024)
    max_deadline_ms: int = Field(default=60_000, ge=1)
    # Keys of evidence signatures: the first one signs, all of them verify.
    audit_keys: tuple[AuditKeySettings, ...] = Field(min_length=1)

    @field_validator("audit_keys")
    @classmethod
    def check_ids(
        cls, keys: tuple[AuditKeySettings, ...]
    ) -> tuple[AuditKeySettings, ...]:
        """Check that the id in evidence identifies one key."""
        if len({key.id for key in keys}) < len(keys):
            raise ValueError("audit_keys holds the same id twice")
        return keys

    def keys_by_id(self) -> dict[str, str]:
        """Return the audit keys by id."""
        return {key.id: key.key for key in self.audit_keys}


class EntrySettings(SettingsModel):
    """All settings of an entry instance."""

    instance: InstanceSettings
    callers: CallerSettings
    store: StoreSettings
    membership: MembershipSettings
    links: LinkSettings = LinkSettings()
    dissemination: DisseminationSettings = DisseminationSettings()
    admission: AdmissionSettings = AdmissionSettings()
    requests: RequestSettings = RequestSettings()
    search: SearchSettings = SearchSettings()
    logs: LogSettings = LogSettings()
