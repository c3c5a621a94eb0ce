from __future__ import annotations

import pytest
from returns.result import Failure, Success

from rhubarbferry.conf import Problem, Settings, parse_settings

LOCATION = "[process]\nmember = f1\nregion = attiki\nfailure_domain = attiki-1\n"


def settings_of(text: str) -> Settings:
    match parse_settings(text):
        case Success(cfg):
            return cfg
        case other:
            raise AssertionError(other)


def problems_of(text: str) -> tuple[Problem, ...]:
    match parse_settings(text):
        case Failure(problems):
            return problems
        case other:
            raise AssertionError(other)


def test_missing_keys_keep_their_defaults() -> None:
    cfg = settings_of(LOCATION + "[store]\nurl = http://127.0.0.1:9\n")
    assert cfg.store.url == "http://127.0.0.1:9"
    assert cfg.ownership == Settings().ownership


@pytest.mark.parametrize(
    ("text", "section", "key", "hint"),
    [
        (LOCATION + "[stor]\n", "stor", "", "Did you mean 'store'?"),
        (LOCATION + "[store]\nurk = x\n", "store", "urk", "Did you mean 'url'?"),
        (LOCATION + "[store]\nurl = nowhere\n", "store", "url", "http://"),
        (LOCATION + "[store]\ntimeout_s = soon\n", "store", "timeout_s", "Write it like 1.0"),
        (LOCATION + "[store]\ntimeout_s = -1\n", "store", "timeout_s", "The default is 1.0"),
        (LOCATION + "[requests]\nspill_margin_s = -1\n", "requests", "spill_margin_s", "0.25"),
        (LOCATION + "rpc_port = 70000\n", "process", "rpc_port", "65535"),
        (LOCATION + "advertise_rpc = here:1\n", "process", "advertise_rpc", "ip:port"),
        (LOCATION + "advertise_http = 10.0.0.1\n", "process", "advertise_http", "ip:port"),
        (LOCATION + "listen_ip = here\n", "process", "listen_ip", "IP"),
        (LOCATION + "[ownership]\nrenew_s = 2.9\n", "ownership", "renew_s", "at most 1.35"),
        (LOCATION + "[jobs]\ntask_lease_s = 1\n", "jobs", "task_lease_s", "at least"),
        (LOCATION + "[log]\nformat = xml\n", "log", "format", "text or json"),
        ("", "process", "region", "region of this host"),
        ("no section", "", "", "[section]"),
    ],
)
def test_each_problem_names_its_location_and_remedy(
    text: str, section: str, key: str, hint: str
) -> None:
    found = [p for p in problems_of(text) if (p.section, p.key) == (section, key)]
    assert len(found) == 1
    assert hint in found[0].hint


@pytest.mark.parametrize(
    "text", ["[ownership]\nlongest_extension_s = 0\n", "[requests]\nspill_margin_s = 0\n"]
)
def test_zero_is_valid_where_it_disables_a_feature(text: str) -> None:
    """The documentation recommends 0 to disable these features, so it must be valid."""
    assert isinstance(parse_settings(LOCATION + text), Success)


def test_all_problems_are_reported_at_once() -> None:
    text = LOCATION + "[store]\nurk = x\n[log]\nlevle = x\n[hots]\n"
    assert {p.section for p in problems_of(text)} == {"store", "log", "hots"}
