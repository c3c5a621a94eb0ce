"""Tests for the decoding of the platform's request bodies, records and settings files."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rhubarbferry.cell.routes import Limits
from rhubarbferry.dispatch.messages import HostPhase, Sizes, StepId, TaskId
from rhubarbferry.platform.configuration import ConfigurationError, decode_configuration
from rhubarbferry.platform.directory import PlatformDirectory, decode_entry
from rhubarbferry.platform.documents import MAX_INTEGER
from rhubarbferry.platform.job_forms import (
    MAX_PAYLOAD_BYTES,
    MAX_STEPS,
    MAX_TASKS,
    JobFormError,
    parse_job,
)
from rhubarbferry.platform.settings import SettingsFileError, decode_settings
from rhubarbferry.platform.task_names import parse_task, step_name, task_name
from rhubarbferry.ports.store import KeyValue, Listing

ID = "5c0e7a21d94b36f8"

# ------------------------------------------------------------------------- jobs


def phase(**fields: Any) -> dict[str, Any]:
    return {"count": 1, "cpu": 500, "memMb": 256, "estimateMs": 900, **fields}


def job(*phases: dict[str, Any], **fields: Any) -> bytes:
    return json.dumps({"spec": "text", "phases": list(phases), **fields}).encode()


def test_all_fields_of_a_step_are_decoded():
    body = job(
        phase(),
        phase(
            gpu=2,
            after=[0],
            gang=True,
            colocated=True,
            checkpointable=True,
            requiredLabel="a",
            affinity="r1-3",
            maxPerServer=4,
            speculative=True,
            longRunning=True,
            image="img",
            goalMs=250,
            fillCount=True,
            disruptionBudget=3,
        ),
        times=2,
        startAtMs=1_500,
        intervalMs=250,
    )
    req = parse_job(ID, "queue", body)
    assert (req.payload, req.times, req.start_at_s, req.interval_s) == ("text", 2, 1.5, 0.25)
    first, second = req.steps
    assert (first.sizes, first.estimate_s, first.after) == (
        Sizes(millicores=500, memory_mb=256),
        0.9,
        (),
    )
    assert first.may_miss is None
    assert second.sizes.accelerators == 2
    assert second.after == (0,)
    assert second.gang and second.one_rack and second.checkpointable
    assert (second.required_label, second.near_rack, second.max_per_host) == ("a", "r1-3", 4)
    assert second.copies_allowed and second.lasting and second.filling
    assert (second.image, second.goal_s, second.may_miss) == ("img", 0.25, 3)


INVALID_JOBS = {
    "invalid JSON": b"{",
    "invalid UTF-8": b"\xff\xfe",
    "a list": b"[]",
    "no steps": job(),
    "steps of another type": json.dumps({"phases": 3}).encode(),
    "a step that is not an object": json.dumps({"phases": [3]}).encode(),
    "too many steps": job(*[phase()] * (MAX_STEPS + 1)),
    "too many tasks": job(phase(count=MAX_TASKS + 1)),
    "too many tasks at all times": job(phase(count=2), times=MAX_TASKS),
    "too many times": job(phase()).replace(b"{", b'{"times":1e300,', 1),
    "deeply nested": b"[" * 100_000,
    "an infinite size": job(phase(cpu=float("inf"))),
    "a size beyond the range of floats": job(phase()).replace(b"500", b"1e999"),
    "a size beyond the range of integers": job(phase(memMb=1e300)),
    "an estimate that is no number": job(phase(estimateMs=float("nan"))),
    "an infinite estimate": job(phase(estimateMs=float("inf"))),
    "a start that is no number": job(phase(), times=2, startAtMs=float("nan")),
    "an infinite interval": job(phase(), times=2, intervalMs=float("inf")),
    "a spec that is no text": job(phase(), spec="\ud800"),
    "a label that is no text": job(phase(requiredLabel="\ud800")),
    "no tasks": job(phase(count=0)),
    "a fractional count": job(phase(count=1.5)),
    "a negative size": job(phase(cpu=-1)),
    "a size that is a string": job(phase(cpu="1")),
    "a size that is a boolean": job(phase(memMb=True)),
    "a step after itself": job(phase(after=[0])),
    "a step after a later one": job(phase(after=[1]), phase()),
    "a step after a negative index": job(phase(), phase(after=[-1])),
    "a flag that is a number": job(phase(gang=1)),
    "a label that is a number": job(phase(requiredLabel=1)),
    "a spec that is too long": job(phase(), spec="x" * (MAX_PAYLOAD_BYTES + 1)),
    "a spec that is not a string": job(phase(), spec=1),
}


@pytest.mark.parametrize("body", INVALID_JOBS.values(), ids=INVALID_JOBS.keys())
def test_an_invalid_job_is_refused(body):
    with pytest.raises(JobFormError, match=r"\w+"):
        parse_job(ID, "queue", body)


def test_names_of_tasks_and_steps_round_trip():
    task = TaskId(job=ID, occurrence=2, step=1, index=17)
    assert task_name(task) == f"{ID}.2.1.17"
    assert parse_task(task_name(task)) == task
    assert step_name(StepId(job=ID, occurrence=2, step=1)) == f"{ID}.2.1"


# ------------------------------------------------------------------------- hosts

ENTRY = {
    "service": "pool",
    "addr": "10.0.0.1:8080",
    "zone": "cm-doi",
    "state": "ready",
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 1},
    "labels": ["a", "r1-3"],
    "born": 1_700_000_000_123,
}


def test_a_host_registration_is_decoded():
    entry = decode_entry("i-1", {**ENTRY, "state": "draining", "remainingMs": 2500})
    assert (entry.id, entry.incarnation) == ("i-1", 1_700_000_000_123)
    assert (entry.phase, entry.remaining_s) == (HostPhase.DRAINING, 2.5)
    assert entry.capacity == Sizes(millicores=16000, memory_mb=32768, accelerators=1)
    assert (entry.failure_domain, entry.labels) == ("cm-doi", ("a", "r1-3"))


def entry(**fields: Any) -> bytes:
    return json.dumps({**ENTRY, **fields}).encode()


def entry_with_cpu(literal: str) -> bytes:
    """Return an entry whose capacity contains a literal that json.dumps would not write."""
    return entry(capacity={"cpu": "@", "memMb": 1}).replace(b'"@"', literal.encode())


INVALID_ENTRIES = {
    "invalid JSON": b"\x00\x01",
    "invalid UTF-8": b'{"service":"\xff"}',
    "a number": b"7",
    "a list": b"[]",
    "deeply nested": b"[" * 100_000,
    "an infinite size": entry_with_cpu("Infinity"),
    "a size that is no number": entry_with_cpu("NaN"),
    "a size beyond the range of floats": entry_with_cpu("1e999"),
    "a size beyond the range of integers": entry_with_cpu("1e300"),
    "a size of too many digits": entry_with_cpu("9" * 5000),
    "a negative size": entry_with_cpu("-1"),
    "an infinite incarnation": entry().replace(b"1700000000123", b"-Infinity"),
    "an infinite remaining time": entry().replace(b'"ready"', b'"draining","remainingMs":1e999'),
    "a remaining time that is a string": entry(remainingMs="2500"),
    "labels that are a string": entry(labels="ab"),
    "a label that is no text": entry(labels=["\ud800"]),
    "an address with a name": entry(addr="localhost:80"),
    "an address with a port out of range": entry(addr="10.0.0.1:65536"),
    "an address with other digits": entry(addr="10.0.0.1:\u00b2"),
    "an address with port 0": entry(addr="10.0.0.1:0"),
    "an address with a port of many digits": entry(addr=f"10.0.0.1:{'9' * 5000}"),
    "an address with leading zeros": entry(addr=f"10.0.0.1:{'0' * 4000}80"),
    "an address of a scope": entry(addr="[fe80::1%eth0]:80"),
    "an IPv6 address without brackets": entry(addr="fe80::1:80"),
    "an IPv4 address in brackets": entry(addr="[10.0.0.1]:80"),
    "an address with one bracket": entry(addr="10.0.0.1]:80"),
    "an unspecified address": entry(addr="0.0.0.0:80"),
    "a multicast address": entry(addr="224.0.0.1:80"),
    "an address for no host": entry(addr="255.255.255.255:80"),
    "nested in a field": entry(zone="@").replace(b'"@"', b"[" * 900 + b"]" * 900),
    "nested in the labels": entry(labels=["@"]).replace(b'"@"', b"[" * 900 + b"]" * 900),
    "a zone that is no text": entry(zone="\ud800"),
    "no address": json.dumps({k: v for k, v in ENTRY.items() if k != "addr"}).encode(),
    "an address without a port": json.dumps({**ENTRY, "addr": "10.0.0.1"}).encode(),
    "an unknown state": json.dumps({**ENTRY, "state": "asleep"}).encode(),
    "a capacity of another type": json.dumps({**ENTRY, "capacity": 3}).encode(),
    "a size that is a string": json.dumps({**ENTRY, "capacity": {"cpu": "x", "memMb": 1}}).encode(),
    "an incarnation that is not an integer": json.dumps({**ENTRY, "born": 1.5}).encode(),
}


class _FixedStore:
    """A store that lists fixed values."""

    def __init__(self, *values: bytes, **named: bytes) -> None:
        values_by_id = {f"i-{index}": value for index, value in enumerate(values)} | named
        self.items = tuple(
            KeyValue(key=f"servers/{id}", value=value, mod_revision=1, create_revision=1)
            for id, value in values_by_id.items()
        )

    async def list(self, prefix: str) -> Listing:
        return Listing(revision=1, items=self.items)


@pytest.mark.parametrize("value", INVALID_ENTRIES.values(), ids=INVALID_ENTRIES.keys())
async def test_an_invalid_host_entry_is_skipped(value):
    """Guards against rejecting the complete host list because of one invalid entry."""
    directory = PlatformDirectory(store=_FixedStore(value, json.dumps(ENTRY).encode()))
    assert [entry.id for entry in await directory.hosts()] == ["i-1"]


@pytest.mark.parametrize("address", ["10.0.0.1:65535", "127.0.0.1:1", "[fd00::1]:80"])
def test_an_address_of_a_host_is_accepted(address):
    assert decode_entry("i-1", {**ENTRY, "addr": address}).address == address


@pytest.mark.parametrize("depth", range(900, 1000, 3))
def test_an_entry_of_any_depth_is_skipped(depth):
    """Guards against an entry that can be read and whose error message can't be written."""
    value = entry(zone="@").replace(b'"@"', b"[" * depth + b"]" * depth)
    item = KeyValue(key="servers/i-1", value=value, mod_revision=1, create_revision=1)
    assert PlatformDirectory(store=_FixedStore())._decode_item(item) is None


@pytest.mark.parametrize("id", ["", "i\r\nx: y", "i-\u00fc", "i-\ud800"])
async def test_a_host_entry_with_an_invalid_id_is_skipped(id):
    """Guards against an id that can't be sent in the header of a call to the host."""
    directory = PlatformDirectory(store=_FixedStore(**{id: entry(), "i-1": entry()}))
    assert [entry.id for entry in await directory.hosts()] == ["i-1"]


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda values: st.lists(values) | st.dictionaries(st.text(), values),
    max_leaves=5,
)


@given(
    path=st.sampled_from([(name,) for name in ENTRY] + [("capacity", "cpu"), ("remainingMs",)]),
    value=JSON_VALUES,
)
def test_any_field_of_a_host_entry_may_have_any_value(path, value):
    """Guards against an exception that ends the term of every owner in turn."""
    body = json.loads(json.dumps(ENTRY))
    parent = body if len(path) == 1 else body[path[0]]
    parent[path[-1]] = value
    item = KeyValue(
        key="servers/i-1", value=json.dumps(body).encode(), mod_revision=1, create_revision=1
    )
    found = PlatformDirectory(store=_FixedStore())._decode_item(item)
    if found is not None:
        sizes = found.capacity
        numbers = (sizes.millicores, sizes.memory_mb, sizes.accelerators, found.incarnation)
        assert all(0 <= number <= MAX_INTEGER for number in numbers)


# ------------------------------------------------------------------------- configuration

ROUTE = {
    "name": "r-1",
    "host": "Nony24.example",
    "prefix": "/q/",
    "service": "pool",
    "priority": 1,
    "attempts": 3,
    "slackFactor": 2.2,
    "sloMs": 1200,
    "advisor": {"decisionMs": 650, "perWorkerMs": 9.2, "validMs": 1500},
}


def configuration(*routes: Any, **fields: Any) -> bytes:
    return json.dumps({"version": 7, "routes": list(routes), **fields}).encode()


def test_a_configuration_is_decoded():
    table = decode_configuration(configuration(ROUTE, limits={"maxBodyBytes": 9}), revision=4)
    assert (table.version, table.revision, table.limits.body_bytes) == (7, 4, 9)
    route = table.match("nony24.EXAMPLE:80", "/q/x")
    assert route is not None
    queue = route.queue
    assert (queue.priority, queue.attempts, queue.slack_factor) == (1, 3, 2.2)
    assert queue.objective_s == 1.2
    assert queue.advice is not None
    assert queue.advice.duration_s(10) == pytest.approx(0.742)


@pytest.mark.parametrize("limits", [None, {}])
def test_a_configuration_without_limits_uses_the_defaults(limits):
    table = decode_configuration(configuration(ROUTE, limits=limits), revision=4)
    assert table.limits == Limits()


ROUTE_MATCHES = [
    ("nony24.example", "/q/a", "r-1"),
    ("nony24.example", "/q/long/a", "r-2"),
    ("nony24.example", "/other", None),
    ("else.example", "/q/a", None),
]


@pytest.mark.parametrize(("host", "path", "name"), ROUTE_MATCHES)
def test_the_longest_prefix_of_the_host_wins(host, path, name):
    longer = {**ROUTE, "name": "r-2", "prefix": "/q/long/"}
    found = decode_configuration(configuration(ROUTE, longer), revision=1).match(host, path)
    assert (found.queue.name if found else None) == name


INVALID_ROUTES = [
    {"name": "x"},
    3,
    {**ROUTE, "name": "x", "priority": 1e300},
    {**ROUTE, "name": "x", "attempts": "@"},
    {**ROUTE, "name": "x", "sloMs": "@"},
    {**ROUTE, "name": "x", "advisor": {"decisionMs": "@", "perWorkerMs": 1, "validMs": 1}},
]


@pytest.mark.parametrize("invalid", INVALID_ROUTES)
def test_an_invalid_route_is_skipped(invalid):
    """Guards against one route that keeps the configuration from all processes."""
    value = configuration(invalid, ROUTE).replace(b'"@"', b"1e999")
    assert list(decode_configuration(value, revision=1).queues) == ["r-1"]


INVALID_CONFIGURATIONS = [
    b"",
    b"[]",
    b'{"version":"x","routes":[]}',
    b'{"version":1}',
    b'{"version":1,"routes":[],"limits":["x"]}',
    b'{"version":1,"routes":[],"limits":{"maxBodyBytes":"x"}}',
    b'{"version":1,"routes":[],"limits":{"maxBodyBytes":null}}',
    b'{"version":1,"routes":[],"limits":{"maxBodyBytes":1e999}}',
    b'{"version":1e999,"routes":[]}',
    b'{"version":NaN,"routes":[]}',
    b"[" * 100_000,
]


@pytest.mark.parametrize("value", INVALID_CONFIGURATIONS)
def test_an_invalid_configuration_is_refused(value):
    """Guards against an invalid configuration that crashes the process."""
    with pytest.raises(ConfigurationError):
        decode_configuration(value, revision=1)


# ------------------------------------------------------------------------- settings

SETTINGS: dict[str, Any] = {
    "nodeName": "edge-1",
    "ip": "10.1.0.13",
    "zone": "cm-doi",
    "region": "chiang-mai",
    "portRange": [7720, 7735],
    "listen": {"front": "10.1.0.13:8161", "readiness": "10.1.0.13:8167"},
    "platform": {"addr": "10.200.1.7:8169", "historyS": 30},
    "bounds": {"graceS": 5, "holdMaxMs": 4000, "status_s": 60},
    "somethingNew": {"is": "ignored"},
}


def test_unknown_fields_of_a_settings_file_are_ignored():
    found = decode_settings(SETTINGS)
    assert found.cell.member == "edge-1"
    assert found.cell.failure_domain == "cm-doi"
    bounds = found.cell.bounds
    assert (bounds.grace_s, bounds.task_lease_s, bounds.status_s) == (5.0, 4.0, 60.0)
    assert bounds.history_s == 30.0
    assert found.addresses.peers == "10.1.0.13:7720"
    assert found.addresses.policy == ""


INVALID_SETTINGS = {
    "nodeName": {"nodeName": 7},
    "ip": {"ip": None},
    "portRange": {"portRange": []},
    "listen.front": {"listen": {"readiness": "10.1.0.13:8167"}},
    "platform.addr": {"platform": {}},
    "bounds.holdMaxMs": {"bounds": {"holdMaxMs": "long"}},
    "bounds.graceS": {"bounds": {"graceS": float("inf")}},
    "limits.maxFds": {"limits": {"maxFds": float("inf")}},
    "limits.cores": {"limits": {"cores": float("nan")}},
}


@pytest.mark.parametrize(("field", "change"), INVALID_SETTINGS.items(), ids=INVALID_SETTINGS.keys())
def test_an_invalid_field_of_the_settings_is_named(field, change):
    with pytest.raises(SettingsFileError, match=field):
        decode_settings({**SETTINGS, **change})
