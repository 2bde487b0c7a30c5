"""Operator commands: API calls and checks of their responses."""

from __future__ import annotations

import argparse
import asyncio
import getpass
import json
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from urllib.parse import quote

import yaml
from pydantic import ValidationError

from fireflyrack.configuration import (
    AuditPageModel,
    ChainDefect,
    verify_chain,
    verify_head,
)
from fireflyrack.core import Failed, Ok, Outcome

from .client import ApiClient
from .errors import CallFailed

AUDIT_PAGE_SIZE = 500


@dataclass(frozen=True, slots=True)
class CheckFailed:
    """A response that fails a check, and the reason."""

    response: Any
    message: str


async def run_plan(client: ApiClient, options: argparse.Namespace) -> Outcome:
    """Request the plan for an intent file."""
    match read_file(options.intent, yaml.safe_load):
        case Ok(intent):
            return await request_plan(client, options, intent)
        case failure:
            return failure


async def run_rollback(client: ApiClient, options: argparse.Namespace) -> Outcome:
    """Request the plan for a rollback of a service."""
    intent = {
        "kind": "rollback",
        "service": options.service,
        "version": options.version,
    }
    return await request_plan(client, options, intent)


async def request_plan(
    client: ApiClient, options: argparse.Namespace, intent: Any
) -> Outcome:
    """Request the plan for an intent; write it to the file given by `--save`."""
    body = {"operator": operator_name(options), "intent": intent}
    outcome = await client.call("POST", "/v1/plans", body)
    if isinstance(outcome, Ok) and options.save:
        return save_plan(options.save, outcome.value)
    return outcome


async def run_confirm(client: ApiClient, options: argparse.Namespace) -> Outcome:
    """Confirm a saved plan; on a conflict, write the new plan to the `--save` file."""
    plan = read_file(options.plan, json.loads)
    if isinstance(plan, Failed):
        return plan
    body = {"operator": operator_name(options), "plan": plan.value}
    outcome = await client.call("POST", "/v1/confirmations", body)
    if isinstance(outcome, Failed) and options.save:
        detail = outcome.error.detail
        if isinstance(detail, dict) and detail.get("plan"):
            saved = save_plan(options.save, detail["plan"])
            return saved if isinstance(saved, Failed) else outcome
    return outcome


async def run_search(client: ApiClient, options: argparse.Namespace) -> Outcome:
    """Send a search to a service."""
    body = {"query": options.query, "k": options.k, "offset": options.offset}
    if options.snapshot:
        body["snapshot"] = options.snapshot
    if options.deadline_ms:
        body["deadline_ms"] = options.deadline_ms
    path = f"/v1/services/{quote(options.service, safe='')}/search"
    return await client.call("POST", path, body)


async def run_addresses(client: ApiClient, options: argparse.Namespace) -> Outcome:
    """Request the entry instances recommended for a failure domain."""
    domain = quote(options.failure_domain, safe="")
    return await client.call("GET", f"/v1/addresses?failure_domain={domain}")


async def run_services(client: ApiClient, options: argparse.Namespace) -> Outcome:
    """Read the active configuration."""
    return await client.call("GET", "/v1/configuration")


async def run_status(client: ApiClient, options: argparse.Namespace) -> Outcome:
    """Read the status of the given instances and of all that one of them lists.

    Fail the check if an instance is not ready or lags behind the newest version.
    """
    outcome = await client.call("GET", "/v1/addresses")
    if isinstance(outcome, Failed):
        return outcome
    instances_by_address = {
        a["address"]: a["instance"] for a in outcome.value["addresses"]
    }
    addresses = list(dict.fromkeys([*options.instance, *instances_by_address]))
    outcomes = await asyncio.gather(
        *(client.call_address(address, "GET", "/v1/status") for address in addresses)
    )
    instances = []
    for address, outcome in zip(addresses, outcomes, strict=True):
        match outcome:
            case Ok(status):
                instances.append({"address": address, **status})
            case Failed(error):
                instance = instances_by_address.get(address, "?")
                failure = {"address": address, "instance": instance}
                instances.append({**failure, "error": error.message})
    instances.sort(key=lambda status: status["instance"])
    versions = [s.get("configuration_version", 0) for s in instances]
    newest = max(versions, default=0)
    lagging = [
        status["instance"]
        for status, version in zip(instances, versions, strict=True)
        if version < newest or not status.get("ready")
    ]
    response = {"newest_version": newest, "lagging": lagging, "instances": instances}
    if lagging:
        return Failed(
            CheckFailed(response, f"lagging or not ready: {', '.join(lagging)}")
        )
    return Ok(response)


async def run_audit(client: ApiClient, options: argparse.Namespace) -> Outcome:
    """Read the audit trail in pages and verify its hash chain across them."""
    first = max(options.from_version, 1)
    last = None if options.limit is None else first + max(options.limit, 0) - 1
    records: list[dict[str, Any]] = []
    defects: list[ChainDefect] = []
    previous = "" if first == 1 else None
    version, head_version = first, 0
    while last is None or version <= last:
        count = (
            AUDIT_PAGE_SIZE
            if last is None
            else min(AUDIT_PAGE_SIZE, last - version + 1)
        )
        path = f"/v1/audit?from_version={version}&limit={count}"
        match await client.call("GET", path):
            case Failed() as failure:
                return failure
            case Ok(response):
                pass
        try:
            page = AuditPageModel.model_validate(response)
        except ValidationError as error:
            message = f"audit page is invalid: {error.error_count()} validation errors"
            return Failed(CallFailed("invalid_answer", message))
        head_version = page.head_version
        defects += verify_chain(page.records, previous, version)
        defects += verify_head(page)
        records += response["records"]
        end = min(version + count - 1, head_version)
        last_found = page.records[-1].version if page.records else version - 1
        if last_found < end:
            defects.append(
                ChainDefect(last_found + 1, "missing at the end of the page")
            )
        if end >= head_version:
            break
        previous = page.records[-1].digest() if page.records else None
        version = end + 1
    response = {
        "head_version": head_version,
        "records": records,
        "defects": [{"version": d.version, "reason": d.reason} for d in defects],
    }
    if defects:
        summary = "; ".join(f"version {d.version}: {d.reason}" for d in defects)
        return Failed(CheckFailed(response, f"audit trail is damaged: {summary}"))
    return Ok(response)


async def run_explain(client: ApiClient, options: argparse.Namespace) -> Outcome:
    """Request the explanation of a search answer and check its signature."""
    content = read_file(options.file, json.loads)
    if isinstance(content, Failed):
        return content
    evidence = content.value
    if isinstance(evidence, dict) and "evidence" in evidence:
        evidence = evidence["evidence"]
    outcome = await client.call("POST", "/v1/explanations", {"evidence": evidence})
    if isinstance(outcome, Failed):
        return outcome
    response = outcome.value
    if response["signature"] != "valid" or not response["configuration_matches"]:
        message = "the signature or the configuration of the evidence is invalid"
        return Failed(CheckFailed(response, message))
    return outcome


def operator_name(options: argparse.Namespace) -> str:
    """Return the operator to record: the `--operator` option or the current user."""
    return options.operator or user_name()


def user_name() -> str:
    """Return the login name of the user, or an empty string if there is none."""
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return ""


def read_file(path: str, parse: Callable[[str], Any]) -> Outcome[Any, CallFailed]:
    """Read and parse a file; fail if its content cannot be encoded as JSON."""
    try:
        value = parse(Path(path).read_text(encoding="utf-8"))
        json.dumps(value)
        return Ok(value)
    except (OSError, ValueError, TypeError, RecursionError, yaml.YAMLError) as error:
        reason = " ".join(str(error).split())
        return Failed(CallFailed("invalid_file", f"{path}: {reason}"))


def save_plan(path: str, plan: Any) -> Outcome[Any, CallFailed]:
    """Write a plan to a file as JSON."""
    try:
        Path(path).write_text(json.dumps(plan), encoding="utf-8")
    except OSError as error:
        return Failed(CallFailed("invalid_file", f"{path}: {error.strerror}"))
    return Ok(plan)
