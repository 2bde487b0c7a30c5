"""Checks of the promises against what was seen; each returns its violations."""

from __future__ import annotations

from collections import Counter, defaultdict

from records import RECORD_BYTES, Records, Result, part_of, signature_of

CONFIGURATION_BOUND_S = 3.0
DRAIN_BOUND_S = 3.0
# A gateway or the store counts as undisturbed this long after a fault.
STABLE_S = 4.0
RECOVERY_S = 4.0
RECOVERED_PART = 0.95
MAX_CONNECTIONS = 30
LIMIT = 3
MIN_COVERAGE = 0.5
SEARCH_SHARDS = 4
NOT_RUN = (408, 421, 429, 503)


def answers_belong_to_their_requests(records: Records) -> list[str]:
    """Return answers with foreign, cut or wrongly merged bytes."""
    found = []
    for result in records.results:
        if result.status != 200:
            continue
        good = search_is_whole if result.kind == "search" else body_is_whole
        if not good(result):
            found.append(f"mixed answer: {result}")
    return found


def body_is_whole(result: Result) -> bool:
    """Return whether the body is that of the server that signed for the request."""
    if len(result.signatures) != 1:
        return False
    server = result.signatures[0].partition(".")[0]
    signed = signature_of(result.request, server) == result.signatures[0]
    return signed and result.body.startswith(f"{server} {result.request} ".encode())


def search_is_whole(result: Result) -> bool:
    """Return whether a search states truly what it covers and merges that."""
    parts = []
    for signature in result.signatures:
        server, _, request = signature.partition(".")
        if request != result.request:
            return False
        part = part_of(request, server)
        parts += [part[:RECORD_BYTES], part[RECORD_BYTES:]]
    services = {s.partition("-")[0] for s in result.signatures}
    counted = len(result.signatures) + result.missing == SEARCH_SHARDS
    covered = len(result.signatures) >= MIN_COVERAGE * SEARCH_SHARDS
    distinct = len(services) == len(result.signatures)
    body = b"".join(sorted(parts, reverse=True)[:LIMIT])
    return counted and covered and distinct and body == result.body


def requests_run_as_sent(records: Records) -> list[str]:
    """Return runs that no caller asked for and second runs of what may run once."""
    found = [
        f"unasked: {run}"
        for run in records.runs
        if records.sent.get(run.request) != f"{run.method} {run.target}"
    ]
    counts = Counter(run.request for run in records.runs if run.method == "POST")
    return found + [f"ran {n} times: {r}" for r, n in counts.items() if n > 1]


def refusals_are_true(records: Records) -> list[str]:
    """Return refusals of requests that ran, or that say no time to come back."""
    ran = {run.request for run in records.runs}
    return [
        f"refused and ran, or without a time: {result}"
        for result in records.results
        if result.status in NOT_RUN
        and (result.request in ran or not result.retry_after)
    ]


def disturbed(
    records: Records,
    targets: set[str],
    begin: float,
    end: float,
    kinds: tuple[str, ...] | None = None,
    stable_s: float = STABLE_S,
) -> bool:
    """Return whether a fault on one of the targets lay in a time or just before."""
    return any(
        fault.target in targets
        and (kinds is None or fault.kind in kinds)
        and fault.begin <= end
        and fault.end >= begin - stable_s
        for fault in records.disturbances
    )


def versions_never_go_back(records: Records) -> list[str]:
    """Return requests that only a version older than one seen before can explain."""
    found = []
    by_gateway = defaultdict(list)
    for result in records.results:
        if versions_of(records, result) and result.starts[0] == result.starts[1]:
            by_gateway[result.gateway, result.starts[0]].append(result)
    for results in by_gateway.values():
        # The oldest version that explains each request, and when its answer came.
        explained: list[tuple[float, int]] = []
        for result in sorted(results, key=lambda result: result.sent_at):
            before = (v for at, v in explained if at < result.sent_at)
            least = max(before, default=0)
            possible = versions_of(records, result)
            version = min((v for v in possible if v >= least), default=None)
            if version is None:
                found.append(f"{possible} after {least}: {result}")
            else:
                explained.append((result.ended_at, version))
    return found


def versions_of(records: Records, result: Result) -> list[int]:
    """Return the versions that may have handled a request of kind "version"."""
    if result.kind != "version" or result.status != 200 or not result.signatures:
        return []
    service = result.signatures[0].partition("-")[0]
    return [
        version.number
        for version in records.versions
        if version.service == service and version.at <= result.ended_at
    ]


def versions_come_into_force(records: Records) -> list[str]:
    """Return requests that an outdated version handled though nothing was wrong."""
    found = []
    for result in records.results:
        version = max(versions_of(records, result), default=None)
        if version is None:
            continue
        due = [
            v.number
            for v in records.versions
            if v.at + CONFIGURATION_BOUND_S < result.sent_at
        ]
        targets = {"", result.gateway}
        begin = result.sent_at - CONFIGURATION_BOUND_S
        if (
            due
            and max(due) > version
            and not disturbed(records, targets, begin, result.ended_at)
        ):
            found.append(f"version {version} though {max(due)} is due: {result}")
    return found


def leaving_servers_get_nothing(records: Records) -> list[str]:
    """Return runs on a backend server long after the store knew that it leaves."""
    left = {drain.server: drain.at for drain in records.drains}
    gateways = {result.request: result.gateway for result in records.results}
    return [
        f"{run.at - left[run.server]:.1f} s after the drain: {run}"
        for run in records.runs
        if run.server in left
        and run.at > left[run.server] + DRAIN_BOUND_S
        and not disturbed(
            records, {"", gateways.get(run.request, "")}, left[run.server], run.at
        )
    ]


def planned_stops_lose_nothing(records: Records) -> list[str]:
    """Return connections that broke with only a planned stop to explain it."""
    ran = {run.request for run in records.runs}
    return [
        f"lost: {result}"
        for result in records.results
        if result.status == 0
        and result.request in ran
        and not disturbed(
            records,
            {result.gateway},
            result.sent_at,
            result.ended_at,
            ("killed", "paused"),
            stable_s=0.0,
        )
    ]


def limits_hold(records: Records) -> list[str]:
    """Return backend servers with more connections than they accept."""
    return [
        f"{most} connections at {server}"
        for server, most in records.connections.items()
        if most > MAX_CONNECTIONS
    ]


def service_recovers(records: Records) -> list[str]:
    """Return the requests that failed although all faults have long ended."""
    late = [r for r in records.results if r.sent_at > records.calm_at + RECOVERY_S]
    served = [r for r in late if r.status == 200]
    if not late:
        return ["no request was sent after the faults"]
    if len(served) >= RECOVERED_PART * len(late):
        return []
    failed = [r for r in late if r.status != 200]
    return [f"{len(failed)} of {len(late)} failed after recovery: {failed[0]}"]


def processes_stay_sound(records: Records) -> list[str]:
    """Return processes that ended by themselves and exceptions that they logged."""
    return records.faults


CHECKS = (
    processes_stay_sound,
    answers_belong_to_their_requests,
    requests_run_as_sent,
    refusals_are_true,
    versions_never_go_back,
    versions_come_into_force,
    leaving_servers_get_nothing,
    planned_stops_lose_nothing,
    limits_hold,
    service_recovers,
)


def violations(records: Records) -> list[str]:
    """Return everything that breaks a promise."""
    return [
        f"{check.__name__}: {found}" for check in CHECKS for found in check(records)
    ]
