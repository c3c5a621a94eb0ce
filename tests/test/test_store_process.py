"""Tests of the store stand-in as a process."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import urllib.error
import urllib.request
from collections.abc import Iterator

import pytest

TIMEOUT_S = 15.0


def _request(address: str, path: str, body: dict | None = None) -> dict:
    data = json.dumps(body).encode() if body is not None else None
    req = urllib.request.Request(f"http://{address}{path}", data=data)
    with urllib.request.urlopen(req, timeout=TIMEOUT_S) as resp:
        return json.loads(resp.read())


@pytest.fixture
def stand_in() -> Iterator[tuple[subprocess.Popen[str], str]]:
    process = subprocess.Popen(
        [sys.executable, "-m", "rhubarbferry.test.store", "--port", "0"],
        stdout=subprocess.PIPE,
        text=True,
    )
    assert process.stdout is not None
    address = json.loads(process.stdout.readline())["address"]
    yield process, address
    if process.poll() is None:
        process.kill()
    process.communicate(timeout=TIMEOUT_S)


@pytest.mark.processes
def test_the_stand_in_takes_faults_counts_calls_and_stops(
    stand_in: tuple[subprocess.Popen[str], str],
) -> None:
    process, address = stand_in
    put = {"request_put": {"key": "YQ==", "value": "MQ=="}}
    assert _request(address, "/v3/kv/txn", {"success": [put]})["succeeded"] is True
    assert _request(address, "/dump")["keys"] == {"a": "MQ=="}
    assert _request(address, "/faults", {"down": True, "drop_watches": True})["down"] is True
    with pytest.raises(urllib.error.HTTPError) as down:
        _request(address, "/v3/kv/range", {"key": "YQ=="})
    assert down.value.code == 503
    with pytest.raises(urllib.error.HTTPError) as unknown:
        _request(address, "/faults", {"nonsense": 1})
    assert unknown.value.code == 400
    assert _request(address, "/counters")["calls"] == {"txn": 1, "get": 1}
    process.send_signal(signal.SIGTERM)
    assert process.wait(TIMEOUT_S) == 0
