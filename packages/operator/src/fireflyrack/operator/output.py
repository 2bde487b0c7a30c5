"""Human-readable output of API responses."""

from __future__ import annotations

import json
from collections.abc import Iterator
from datetime import UTC, datetime
from typing import Any

MAX_VALUE_LENGTH = 60  # characters


def plan_lines(plan: dict[str, Any]) -> Iterator[str]:
    """Yield a plan with its changes and effects."""
    yield f"plan {plan['operation']} based on version {plan['base_version']}"
    yield from change_lines(plan["changes"])
    for effect in plan["effects"]:
        yield f"  effect: {effect}"


def change_lines(changes: list[dict[str, Any]]) -> Iterator[str]:
    """Yield one line for each changed value."""
    for change in changes:
        yield f"  {change['path']}: {change['before']} -> {change['after']}"


def search_lines(response: dict[str, Any]) -> Iterator[str]:
    """Yield the ranked results of a search and their coverage."""
    for rank, hit in enumerate(response["results"], start=1):
        yield f"{rank:3}. {hit['score']:8.4f}  {hit['document']}"
    yield f"snapshot {response['snapshot']}, {coverage_text(response['coverage'])}"


def coverage_text(coverage: dict[str, Any]) -> str:
    """Return the share of covered shards and the missing shards by cause."""
    text = f"covers {coverage['share']:.1%} of {coverage['shards']} shards"
    for cause, shards in coverage["lacking"].items():
        text += f"; lacks {shards} ({cause})"
    return text


def status_lines(response: dict[str, Any]) -> Iterator[str]:
    """Yield one line for each instance with its version and readiness."""
    newest = response["newest_version"]
    yield f"newest version {newest}"
    for status in response["instances"]:
        if "error" in status:
            yield f"{status['instance']}  down: {status['error']}"
            continue
        version = status["configuration_version"]
        state = "serving" if status["ready"] else "not ready"
        if version < newest:
            state += f", {newest - version} behind"
        store = "reachable" if status["store_reachable"] else "unreachable"
        yield (
            f"{status['instance']}  {status['failure_domain']}  version {version}  "
            f"{state}; store {store}; "
            f"{status['configuration_basis'] or 'version not confirmed'}"
        )


def service_lines(response: dict[str, Any]) -> Iterator[str]:
    """Yield the services of the active configuration."""
    yield f"version {response['version']}"
    for name, service in response["services"].items():
        document = service["document"]
        yield f"{name}  changed in version {service['changed_in']}"
        yield f"  {len(document['backend_servers'])} backend servers"
        for partition in document["partitions"]:
            shards = partition["shards"]
            yield f"  generation {partition['generation']}: {shards} shards"


def audit_lines(response: dict[str, Any]) -> Iterator[str]:
    """Yield one line for each audit record."""
    for record in response["records"]:
        yield (
            f"{record['version']:6}  {format_utc(record['time'])}  "
            f"{record['operator']}  {record['kind']} {record['service']}  "
            f"(based on version {record['base_version']}, "
            f"operation {record['operation'][:8]})"
        )
    count = len(response["records"])
    if not response["defects"]:
        yield f"{count} records verified; head version {response['head_version']}"


def explanation_lines(response: dict[str, Any]) -> Iterator[str]:
    """Yield the origin of a search answer: instance, versions and decisions."""
    evidence = response["evidence"]
    yield f"signature {response['signature']} (key {response['key_id']})"
    matches = "matches" if response["configuration_matches"] else "does not match"
    yield (
        f"answered by {evidence['instance']} at {format_utc(evidence['time'])} from "
        f"version {evidence['configuration_version']}, which {matches} the audit trail"
    )
    yield f"version {confirmation_text(response['configuration'])}"
    if confirmed := response["service_confirmed"]:
        servers = len(response["document"]["backend_servers"])
        yield (
            f"service {evidence['service']} with {servers} backend servers, since "
            f"version {confirmation_text(confirmed)}"
        )
    else:
        yield f"service {evidence['service']} did not exist"
    yield f"snapshot {evidence['snapshot']}, {coverage_text(evidence['coverage'])}"
    for name, value in evidence["decisions"].items():
        yield f"  {name.replace('_', ' ')}: {truncate_value(value)}"


def truncate_value(value: Any) -> str:
    """Return a value on one line, cut to the maximum length.

    The output of `--json` is not truncated.
    """
    text = value if isinstance(value, str) else json.dumps(value)
    if len(text) <= MAX_VALUE_LENGTH:
        return text
    return f"{text[:MAX_VALUE_LENGTH]}... ({len(text)} characters)"


def confirmation_text(confirmed: dict[str, Any]) -> str:
    """Return a version with its operator and time of confirmation."""
    return (
        f"{confirmed['version']} confirmed by {confirmed['operator']} "
        f"at {format_utc(confirmed['time'])}"
    )


def format_utc(time: float) -> str:
    """Format a Unix time in seconds as UTC in ISO 8601."""
    return datetime.fromtimestamp(time, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


def conflict_lines(detail: dict[str, Any]) -> Iterator[str]:
    """Yield the changes since the base version of a plan, and the new plan."""
    for since in detail.get("since", ()):
        yield (
            f"version {since['version']} by {since['operator']} at "
            f"{format_utc(since['time'])} changed {since['service']}:"
        )
        yield from change_lines(since["changes"])
    if detail.get("plan"):
        yield "new plan after the conflict:"
        yield from plan_lines(detail["plan"])


def address_lines(response: dict[str, Any]) -> Iterator[str]:
    """Yield the recommended addresses and how long the list is valid."""
    for address in response["addresses"]:
        yield (
            f"{address['address']}  {address['instance']} "
            f"in {address['failure_domain']}"
        )
    yield f"valid for {response['ttl_s']:g} s"


def confirmation_lines(head: dict[str, Any]) -> Iterator[str]:
    """Yield the version of a confirmed plan."""
    yield f"version {head['version']} is accepted"
