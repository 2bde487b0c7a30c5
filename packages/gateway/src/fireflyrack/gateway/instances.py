"""Registrations of entry instances in the metadata store."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from fireflyrack.discovery import EntryInstance, Item, UnreadableEntry

INSTANCES_PREFIX = "fireflyrack/instances/"


class InstanceModel(BaseModel):
    """Stored form of the registration of an entry instance."""

    model_config = ConfigDict(extra="ignore", strict=True)

    id: str
    incarnation: str
    failure_domain: str
    address: str
    # Stored name of `EntryInstance.overloaded`.
    strained: bool = False
    peer_address: str = ""
    registration: int = Field(default=0, ge=0, le=2**63 - 1)


def instance_key(instance_id: str) -> str:
    """Return the store key of the registration of an instance."""
    return INSTANCES_PREFIX + instance_id


def encode_instance(instance: EntryInstance) -> bytes:
    """Encode the registration of an instance as JSON."""
    model = InstanceModel(
        id=instance.id,
        incarnation=instance.incarnation,
        failure_domain=instance.failure_domain,
        address=instance.address,
        strained=instance.overloaded,
        peer_address=instance.peer_address,
        registration=instance.registration,
    )
    return model.model_dump_json().encode()


def decode_instance(item: Item) -> EntryInstance | UnreadableEntry:
    """Decode a registration; return the first validation error if it is invalid."""
    try:
        model = InstanceModel.model_validate_json(item.value)
    except ValidationError as error:
        return UnreadableEntry(item.key, str(error.errors()[0]["msg"]))
    return EntryInstance(
        model.id,
        model.incarnation,
        model.failure_domain,
        model.address,
        model.strained,
        model.peer_address,
        model.registration,
    )
