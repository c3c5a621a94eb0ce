"""The setting that switches admission on, and the response to a refused submission."""

from __future__ import annotations

import json
from typing import Any

import pytest
from attrs import Factory, define

from rhubarbferry.cell.job_calls import Accepted
from rhubarbferry.cell.settings import AdmissionSettings
from rhubarbferry.dispatch.admission import Refused
from rhubarbferry.dispatch.record import JobRecord
from rhubarbferry.platform.client_api import ClientApi
from rhubarbferry.platform.configuration import decode_configuration
from rhubarbferry.platform.settings import SettingsFileError, load_own_settings
from rhubarbferry.test.fake_clock import FakeClock
from tests.cell.fakes import FakeEventLog

KEY = "gkcuyj8pjbvk9m68k7b2"
ID = "5c0e7a21d94b36f8"
CONFIGURATION = {
    "version": 7,
    "routes": [{"name": "r-1", "host": "jobs.example", "prefix": "/q/", "service": "pool"}],
    "tenants": [{"name": "lanna", "apiKeys": [KEY], "weight": 2}],
}
REFUSED = Refused(
    account="lanna",
    owed_cores=20.0,
    used_cores=20.0,
    usable_cores=20.0,
    ahead_core_s=960.0,
    expected_s=49.0,
    limit_s=9.0,
    age_s=0.1,
    retry_after_s=42,
)


@define
class FakeAdmission:
    """Fake of the admission control."""

    answer: Refused | None = None
    records: list[JobRecord] = Factory(list)

    async def refusal(self, record: JobRecord) -> Refused | None:
        self.records.append(record)
        return self.answer


@define
class FakeJobCalls:
    """Fake of the job calls that accepts everything."""

    records: list[JobRecord] = Factory(list)

    async def submit(self, record: JobRecord, *, deadline: float) -> Accepted:
        self.records.append(record)
        return Accepted.YES


async def submit(api: ClientApi) -> tuple[int, dict[bytes, bytes]]:
    sent: list[dict[str, Any]] = []
    body = json.dumps({"spec": "work", "phases": [{"count": 1, "cpu": 500}]}).encode()

    async def receive() -> dict[str, Any]:
        return {"type": "http.request", "body": body}

    async def send(message: dict[str, Any]) -> None:
        sent.append(message)

    headers = [(b"host", b"jobs.example"), (b"authorization", f"Bearer {KEY}".encode())]
    scope = {"type": "http", "method": "POST", "path": f"/q/{ID}", "headers": headers}
    await api(scope, receive, send)
    return sent[0]["status"], dict(sent[0]["headers"])


def make_api(jobs: FakeJobCalls, admission: FakeAdmission | None) -> ClientApi:
    async def count_pending(queue: str) -> int | None:
        return 0

    routes = decode_configuration(json.dumps(CONFIGURATION).encode(), revision=4)
    return ClientApi(
        clock=FakeClock(),
        log=FakeEventLog(),
        jobs=jobs,
        routes=lambda: routes,
        count_pending=count_pending,
        admission=admission,
    )


async def test_a_refused_submission_stores_nothing_and_says_when_to_return():
    """Guards against a refusal of a job that runs nevertheless."""
    jobs, admission = FakeJobCalls(), FakeAdmission(answer=REFUSED)
    api = make_api(jobs, admission)
    status, headers = await submit(api)
    assert (status, headers[b"retry-after"]) == (429, b"42")
    assert jobs.records == []
    assert admission.records[0].account.name == "lanna"
    admission.answer = None
    assert (await submit(api))[0] == 200
    assert [record.req.id for record in jobs.records] == [ID]


async def test_without_admission_control_all_are_accepted():
    jobs = FakeJobCalls()
    assert (await submit(make_api(jobs, None)))[0] == 200
    assert len(jobs.records) == 1


@pytest.mark.parametrize(
    ("text", "settings"),
    [
        ("", AdmissionSettings()),
        ("[admission]\n", AdmissionSettings(refuse_when_full=False, max_summary_age_s=2.0)),
        (
            "[admission]\nrefuse_when_full = yes\nmax_summary_age_s = 1.5\n",
            AdmissionSettings(refuse_when_full=True, max_summary_age_s=1.5),
        ),
    ],
)
def test_admission_is_off_unless_the_settings_switch_it_on(tmp_path, text, settings):
    path = tmp_path / "cell.ini"
    path.write_text(text)
    assert load_own_settings(path).admission == settings


@pytest.mark.parametrize(
    "text",
    [
        "refuse_when_full = yes\n",
        "[admision]\nrefuse_when_full = yes\n",
        "[admission]\nrefuse = yes\n",
        "[admission]\nrefuse_when_full = perhaps\n",
        "[admission]\nmax_summary_age_s = 2 s\n",
        "[admission]\nmax_summary_age_s = 0\n",
        "[admission]\nmax_summary_age_s = nan\n",
        "[admission]\nmax_summary_age_s = inf\n",
    ],
)
def test_invalid_admission_settings_are_reported(tmp_path, text):
    path = tmp_path / "cell.ini"
    path.write_text(text)
    with pytest.raises(SettingsFileError):
        load_own_settings(path)


def test_a_missing_settings_file_is_reported(tmp_path):
    with pytest.raises(SettingsFileError):
        load_own_settings(tmp_path / "cell.ini")
