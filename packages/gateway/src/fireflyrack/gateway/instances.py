"""Registers of the entry instances in the store."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict, ValidationError

from fireflyrack.discovery import EntryInstance, Item, UnreadableEntry

INSTANCES_PREFIX = "fireflyrack/instances/"


class InstanceModel(BaseModel):
    """Validate the register of an entry instance."""

    model_config = ConfigDict(extra="ignore", strict=True)

    id: str
    incarnation: str
    failure_domain: str
    address: str
    strained: bool = False
    peer_address: str = ""


def instance_key(instance_id: str) -> str:
    """Return the key of an instance's register."""
    return INSTANCES_PREFIX + instance_id


def encode_instance(instance: EntryInstance) -> bytes:
    """Return the register of an instance."""
    model = InstanceModel(
        id=instance.id,
        incarnation=instance.incarnation,
        failure_domain=instance.failure_domain,
        address=instance.address,
        strained=instance.strained,
        peer_address=instance.peer_address,
    )
    return model.model_dump_json().encode()


def decode_instance(item: Item) -> EntryInstance | UnreadableEntry:
    """Return the instance of a register."""
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
    )
