"""API keys and client accounts at the client API, and their decoding from the configuration."""

from __future__ import annotations

import json
from typing import Any

import pytest
from attrs import Factory, define
from hypothesis import given
from hypothesis import strategies as st

from rhubarbferry.cell.accounts import AccountTable, may_access
from rhubarbferry.cell.configuration_watch import ConfigurationWatcher
from rhubarbferry.cell.job_calls import Accepted, Cancelled
from rhubarbferry.cell.key_watch import Source, Version
from rhubarbferry.cell.routes import RouteTable
from rhubarbferry.dispatch.job import JobPhase, JobStatus
from rhubarbferry.dispatch.messages import Account, Sizes
from rhubarbferry.dispatch.record import JobRecord, decode_request, encode_request
from rhubarbferry.platform.accounts import MAX_KEY_BYTES, decode_accounts, parse_api_key
from rhubarbferry.platform.client_api import ClientApi
from rhubarbferry.platform.configuration import decode_configuration
from rhubarbferry.ports.store import KeyValue
from rhubarbferry.test.fake_clock import FakeClock
from tests.cell.fakes import FakeEventLog

ID = "5c0e7a21d94b36f8"
LANNA_KEY, OTHER_KEY, NEW_KEY = (
    "gkcuyj8pjbvk9m68k7b2",
    "ex5wa5xwyhks8nbkxxmi",
    "n3wkeyn3wkeyn3wkey99",
)
ROUTES = [
    {"name": "r-1", "host": "jobs.example", "prefix": "/q/", "service": "pool", "public": False},
    {"name": "r-2", "host": "jobs.example", "prefix": "/open/", "service": "pool", "public": True},
]


def tenant(name: str, *keys: str, **fields: Any) -> dict[str, Any]:
    return {"name": name, "apiKeys": list(keys), "weight": 2, "cap": {"cpu": 4000}, **fields}


TENANTS = [tenant("lanna", LANNA_KEY), tenant("kryogonia", OTHER_KEY)]


def configuration(tenants: Any = TENANTS, *, version: int = 7) -> bytes:
    body: dict[str, Any] = {"version": version, "routes": ROUTES}
    if tenants is not None:
        body["tenants"] = tenants
    return json.dumps(body).encode()


@define
class FakeJobCalls:
    """Jobs in memory, with the account of each."""

    statuses: dict[str, JobStatus] = Factory(dict)
    records: list[JobRecord] = Factory(list)

    async def submit(self, record: JobRecord, *, deadline: float) -> Accepted:
        status = self.statuses.setdefault(record.req.id, record.initial_status)
        if status.account != record.initial_status.account:
            return Accepted.ID_TAKEN
        self.records.append(record)
        return Accepted.YES

    async def status(self, id: str) -> JobStatus | None:
        return self.statuses.get(id)

    async def cancel(self, id: str, *, account: str | None, deadline: float) -> Cancelled:
        status = self.statuses.get(id)
        if status is None or not may_access(account, status):
            return Cancelled.UNKNOWN_JOB
        return Cancelled.YES


class Api:
    """The client API with one configuration."""

    def __init__(self, value: bytes) -> None:
        self.jobs = FakeJobCalls()
        self.log = FakeEventLog()
        self.routes: RouteTable = decode_configuration(value, revision=4)
        self.app = ClientApi(
            clock=FakeClock(),
            log=self.log,
            jobs=self.jobs,
            routes=lambda: self.routes,
            count_pending=self.count_pending,
        )

    async def count_pending(self, queue: str) -> int | None:
        return 3

    async def call(
        self, method: str, path: str, *authorization: bytes
    ) -> tuple[int, dict[bytes, bytes]]:
        sent: list[dict[str, Any]] = []
        body = json.dumps({"spec": "work", "phases": [{"count": 1, "cpu": 500}]}).encode()

        async def receive() -> dict[str, Any]:
            return {"type": "http.request", "body": body if method == "POST" else b""}

        async def send(message: dict[str, Any]) -> None:
            sent.append(message)

        headers = [(b"host", b"jobs.example")]
        headers += [(b"authorization", value) for value in authorization]
        scope = {"type": "http", "method": method, "path": path, "headers": headers}
        await self.app(scope, receive, send)
        return sent[0]["status"], dict(sent[0]["headers"])


def bearer(key: str) -> bytes:
    return f"Bearer {key}".encode()


@pytest.mark.parametrize(
    ("authorization", "status"),
    [
        ((bearer(LANNA_KEY),), 200),
        ((f"bEARER   {LANNA_KEY} ".encode(),), 200),
        ((), 401),
        ((b"",), 401),
        ((b"Bearer",), 401),
        ((b"Bearer ",), 401),
        ((bearer("unknown"),), 401),
        ((bearer(LANNA_KEY + "x"),), 401),
        ((LANNA_KEY.encode(),), 401),
        ((f"Basic {LANNA_KEY}".encode(),), 401),
        ((bearer(LANNA_KEY), bearer(LANNA_KEY)), 401),
        ((bearer(LANNA_KEY), bearer(OTHER_KEY)), 401),
        ((b"Bearer " + b"k" * 16_384,), 401),
        ((b"Bearer \xff\xfe",), 401),
        ((b"\x00",), 401),
    ],
    ids=[
        "valid",
        "other case of the scheme, spaces",
        "none",
        "empty",
        "no key",
        "empty key",
        "unknown",
        "longer",
        "no scheme",
        "other scheme",
        "twice the same",
        "two accounts",
        "16 KB",
        "not ASCII",
        "a control character",
    ],
)
@pytest.mark.parametrize(
    ("method", "path"),
    [("POST", "/q/" + ID), ("GET", "/q/" + ID), ("DELETE", "/q/" + ID), ("GET", "/q/")],
)
async def test_a_call_needs_one_valid_key(authorization, status, method, path):
    api = Api(configuration())
    api.jobs.statuses[ID] = JobStatus(phase=JobPhase.QUEUED, account="lanna")
    found, headers = await api.call(method, path, *authorization)
    assert found == status
    assert (headers.get(b"www-authenticate") == b"Bearer") == (status == 401)
    assert (api.jobs.records == []) == (status == 401 or method != "POST")


async def test_a_route_that_does_not_exist_needs_no_key():
    assert (await Api(configuration()).call("GET", "/other/" + ID))[0] == 404


@pytest.mark.parametrize("authorization", [(), (b"Basic x",), (bearer("unknown"),)])
async def test_a_public_route_needs_no_key(authorization):
    api = Api(configuration())
    assert (await api.call("POST", "/open/" + ID, *authorization))[0] == 200
    assert api.jobs.records[0].account is None


async def test_without_accounts_in_the_configuration_no_key_is_looked_at():
    api = Api(configuration(None))
    for method in ("POST", "GET", "DELETE"):
        assert (await api.call(method, "/q/" + ID, b"Basic x"))[0] == 200
    assert api.jobs.records[0].account is None


async def test_a_job_belongs_to_the_account_of_its_key():
    api = Api(configuration())
    await api.call("POST", "/q/" + ID, bearer(LANNA_KEY))
    account = Account(name="lanna", weight=2.0, quota=Sizes(millicores=4000))
    assert api.jobs.records[0].account == account
    assert decode_request(encode_request(api.jobs.records[0])) == api.jobs.records[0]


@pytest.mark.parametrize(
    ("method", "own", "other"), [("GET", 200, 410), ("DELETE", 200, 410), ("POST", 200, 409)]
)
async def test_an_account_neither_learns_of_nor_cancels_the_jobs_of_others(method, own, other):
    """Guards against a caller that guesses ids, or by chance submits one that is in use."""
    api = Api(configuration())
    await api.call("POST", "/q/" + ID, bearer(LANNA_KEY))
    assert (await api.call(method, "/q/" + ID, bearer(OTHER_KEY)))[0] == other
    assert (await api.call(method, "/open/" + ID))[0] == other
    assert (await api.call(method, "/q/" + ID, bearer(LANNA_KEY)))[0] == own


async def test_a_key_that_was_taken_away_is_rejected_while_its_jobs_go_on():
    api = Api(configuration())
    await api.call("POST", "/q/" + ID, bearer(LANNA_KEY))
    tenants = [tenant("lanna", NEW_KEY), tenant("kryogonia", OTHER_KEY)]
    api.routes = decode_configuration(configuration(tenants), revision=5)
    assert (await api.call("GET", "/q/" + ID, bearer(LANNA_KEY)))[0] == 401
    assert (await api.call("GET", "/q/" + ID, bearer(NEW_KEY)))[0] == 200
    (line,) = api.log.outcomes("call.unauthorized")
    assert line == "rejected"
    assert LANNA_KEY not in str(api.log.events)


INVALID_TENANTS: dict[str, Any] = {
    "no object": 3,
    "no name": {"apiKeys": ["k1"]},
    "empty name": tenant("", "k1"),
    "name of another type": tenant(3, "k1"),  # type: ignore[arg-type]
    "weight 0": tenant("bad", "k1", weight=0),
    "negative weight": tenant("bad", "k1", weight=-1),
    "weight as a text": tenant("bad", "k1", weight="2"),
    "weight as a boolean": tenant("bad", "k1", weight=True),
    "negative cap": tenant("bad", "k1", cap={"cpu": -1}),
    "cap as a text": tenant("bad", "k1", cap={"cpu": "1"}),
    "cap that is no object": tenant("bad", "k1", cap=[1]),
    "keys that are no list": tenant("bad", apiKeys="k1"),
    "a key that is no text": tenant("bad", apiKeys=[3]),
    "an empty key": tenant("bad", apiKeys=[""]),
    "a name in use": tenant("lanna", "k1"),
}


@pytest.mark.parametrize("entry", INVALID_TENANTS.values(), ids=INVALID_TENANTS.keys())
def test_an_invalid_account_is_skipped_and_the_others_count(entry):
    table = decode_accounts([tenant("lanna", LANNA_KEY), entry, tenant("kryogonia", OTHER_KEY)])
    assert (table.find(LANNA_KEY), table.find(OTHER_KEY)) == ("lanna", "kryogonia")
    assert table.find("k1") is None
    assert sorted(table.settings) == ["kryogonia", "lanna"]


@pytest.mark.parametrize(
    ("fields", "quota"),
    [
        ({"cap": None}, (0, 0, 0)),
        ({"cap": {}}, (0, 0, 0)),
        ({"cap": {"cpu": 10**15, "memMb": 5, "gpu": 2}}, (10**15, 5, 2)),
    ],
)
def test_the_quota_of_an_account_is_decoded(fields, quota):
    found = decode_accounts([tenant("lanna", **fields)]).settings["lanna"].quota
    assert (found.millicores, found.memory_mb, found.accelerators) == quota


def test_a_key_of_two_accounts_identifies_neither():
    table = decode_accounts([tenant("a", "k1", "k2"), tenant("b", "k2"), tenant("c", "k2", "k3")])
    assert [table.find(key) for key in ("k1", "k2", "k3")] == ["a", None, "c"]


@pytest.mark.parametrize("value", [{}, "x", 3, [], [None]])
def test_without_a_valid_account_no_key_is_valid(value):
    table = decode_accounts(value)
    assert table.enabled and table.find(LANNA_KEY) is None


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(max_size=4),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(
        st.sampled_from(["name", "apiKeys", "weight", "cap", "cpu", "memMb", "gpu"]), inner
    ),
    max_leaves=12,
)


@given(JSON_VALUES)
def test_any_value_of_the_accounts_is_decoded_without_a_fault(value):
    table = decode_accounts(value)
    assert table.enabled is (value is not None)
    assert all(account.weight > 0 for account in table.settings.values())


@given(st.lists(st.binary(max_size=40) | st.text(max_size=20).map(str.encode), max_size=3))
def test_any_authorization_header_is_read_without_a_fault(values):
    key = parse_api_key(values)
    assert not key or (len(values) == 1 and len(key) <= MAX_KEY_BYTES)


def test_changes_of_accounts_are_logged_without_their_keys():
    log = FakeEventLog()
    watcher = ConfigurationWatcher(
        clock=FakeClock(),
        store=None,  # type: ignore[arg-type]
        log=log,
        key="op/config",
        decode=lambda value, revision: decode_configuration(value, revision=revision),
        history_s=20.0,
    )
    later = [tenant("lanna", NEW_KEY), tenant("wat", "k1")]
    for revision, tenants in enumerate([TENANTS, TENANTS, later], start=1):
        value = configuration(tenants, version=revision)
        item = KeyValue(
            key="op/config", value=value, mod_revision=revision, create_revision=revision
        )
        watcher._apply(Version(item=item, source=Source.WATCH, transfer_s=0.0))
    assert log.outcomes("account.changed") == ["removed", "in force", "in force"]
    text = str(log.events)
    assert not any(key in text for key in (LANNA_KEY, OTHER_KEY, NEW_KEY))


def test_an_empty_table_has_no_accounts():
    assert not AccountTable().enabled
