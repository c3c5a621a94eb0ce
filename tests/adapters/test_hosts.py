from __future__ import annotations

import json

import pytest

from rhubarbferry.adapters import hosts as adapter
from rhubarbferry.adapters.hosts import HostListGarbled, HttpHostList, parse_hosts
from rhubarbferry.ports.clock import SystemClock
from rhubarbferry.ports.hosts import Host, HostKind
from rhubarbferry.test.hosts import HostFaults, HostsStandIn, host_to_target_group
from rhubarbferry.test.serving import serving


def make_worker(name: str, **changes) -> Host:
    fields = {
        "address": "10.0.0.1:80",
        "kind": HostKind.WORKER,
        "region": "north",
        "failure_domain": "a",
        "rack": "r1",
        **changes,
    }
    return Host(id=name, **fields)


OLD = make_worker("w1")
NEW = make_worker("w2", leaving=True)


async def test_hosts_are_read_from_the_list():
    async with serving(HostsStandIn.of(NEW, OLD).app()) as address:
        hosts = HttpHostList(url=f"http://{address}/hosts", poll_s=60, clock=SystemClock())
        await hosts.start()
        assert hosts.hosts() == (OLD, NEW)
        await hosts.close()


@pytest.mark.parametrize(
    "faults",
    [
        HostFaults(down=True),
        HostFaults(slow_s=0.5),
        HostFaults(garbage=True),
        HostFaults(stale=True),
    ],
)
async def test_last_good_list_stays_in_use(monkeypatch, faults):
    """The host list can't be read, is garbled, or is outdated. The hosts of the last valid list
    stay in use until a newer list can be read."""
    monkeypatch.setattr(adapter, "POLL_TIMEOUT_S", 0.2)
    fake_list = HostsStandIn.of(OLD)
    async with serving(fake_list.app()) as address:
        hosts = HttpHostList(url=f"http://{address}/hosts", poll_s=60, clock=SystemClock())
        await hosts.start()
        fake_list.set_faults(faults)
        fake_list.put([host_to_target_group(NEW)])
        await hosts.poll()
        assert hosts.hosts() == (OLD,)
        fake_list.set_faults(HostFaults())
        await hosts.poll()
        assert hosts.hosts() == (NEW,)
        await hosts.close()


ENTRY = host_to_target_group(OLD)


@pytest.mark.parametrize(
    ("groups", "count", "skipped"),
    [
        ([], 0, 0),
        ([ENTRY], 1, 0),
        ([ENTRY, ENTRY], 1, 1),
        ([ENTRY, {}], 1, 1),
        ([ENTRY, "text"], 1, 1),
        ([ENTRY, {"targets": ["a:1", "b:1"], "labels": ENTRY["labels"]}], 1, 1),
        ([ENTRY, {**ENTRY, "labels": {**ENTRY["labels"], "id": "x", "kind": "cat"}}], 1, 1),
        ([ENTRY, {**ENTRY, "labels": {**ENTRY["labels"], "id": "x", "region": 3}}], 1, 1),
        ([ENTRY, {"targets": ["nowhere"], "labels": {**ENTRY["labels"], "id": "x"}}], 1, 1),
    ],
)
def test_invalid_host_is_skipped(groups, count, skipped):
    parsed = parse_hosts(json.dumps(groups).encode())
    assert (len(parsed.hosts), parsed.skipped) == (count, skipped)


@pytest.mark.parametrize("body", [b"", b"{}", b"[", b"\xff", b'["x"]'])
def test_garbled_list_is_refused(body):
    with pytest.raises(HostListGarbled):
        parse_hosts(body)
