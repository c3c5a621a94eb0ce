"""Read the metrics of all live members of a cell over HTTP."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping

from attrs import Factory, frozen

from rhubarbferry.ports.ownership import Member
from rhubarbferry.reports.burn import Counts, EventKind, Window
from rhubarbferry.reports.events import WorkKind

SCRAPE_TIMEOUT_S = 5.0
MAX_CONCURRENT_SCRAPES = 16
MAX_BODY_BYTES = 16 * 2**20
WAIT_HISTOGRAMS = {
    "rhubarbferry_request_start_seconds": WorkKind.REQUESTS,
    "rhubarbferry_job_wait_seconds": WorkKind.JOBS,
}


@frozen(kw_only=True, slots=True, order=True)
class Series:
    """Account and kind of work that counts belong to."""

    account: str
    work: WorkKind


@frozen(kw_only=True, slots=True)
class Scrape:
    """Metrics read from one member.

    :param covered_s: seconds for which the member has been counting events, at most those of the
        longest window.
    :param events: event counts by series and window.
    :param waits: for each series, the cumulative number of waits up to each bucket bound in
        seconds, since the member started.
    :param problem: why the metrics could not be read; empty otherwise.
    """

    member: str
    role: str
    covered_s: float = 0.0
    events: Mapping[tuple[Series, Window], Counts] = Factory(dict)
    waits: Mapping[Series, Mapping[float, float]] = Factory(dict)
    problem: str = ""


async def scrape_all(members: Iterable[Member]) -> list[Scrape]:
    """Read the metrics of all members concurrently.

    :returns: one scrape for each member, sorted by id. A member that can't be read has a
        ``problem``.
    """
    import aiohttp

    timeout = aiohttp.ClientTimeout(total=SCRAPE_TIMEOUT_S)
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_SCRAPES)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        ordered = sorted(members, key=lambda member: member.id)
        return list(await asyncio.gather(*(_scrape(session, semaphore, m) for m in ordered)))


async def _scrape(session: object, semaphore: asyncio.Semaphore, member: Member) -> Scrape:
    import aiohttp

    assert isinstance(session, aiohttp.ClientSession)
    role = member.role.value
    try:
        async with semaphore, session.get(f"http://{member.http_address}/metrics") as response:
            response.raise_for_status()
            body = await response.content.read(MAX_BODY_BYTES)
            while not response.content.at_eof() and len(body) < MAX_BODY_BYTES:
                body += await response.content.read(MAX_BODY_BYTES - len(body))
        return parse_metrics(body.decode(), member=member.id, role=role)
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as exc:
        problem = str(exc) or type(exc).__name__
        return Scrape(member=member.id, role=role, problem=problem)


def parse_metrics(text: str, *, member: str, role: str) -> Scrape:
    """Parse the text of one ``/metrics`` page.

    :raises ValueError: when it is not in the Prometheus text format.
    """
    from prometheus_client.parser import text_string_to_metric_families

    covered = 0.0
    events: dict[tuple[Series, Window], Counts] = {}
    waits: dict[Series, dict[float, float]] = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            labels = sample.labels
            if sample.name == "rhubarbferry_slo_covered_seconds":
                covered = sample.value
            elif sample.name == "rhubarbferry_slo_events":
                series = Series(account=labels["account"], work=WorkKind(labels["work"]))
                key = series, Window(labels["window"])
                sample_counts = Counts(**{EventKind(labels["kind"]).value: int(sample.value)})
                events[key] = events.get(key, Counts()) + sample_counts
            elif family.name in WAIT_HISTOGRAMS and sample.name.endswith("_bucket"):
                series = Series(account=labels["account"], work=WAIT_HISTOGRAMS[family.name])
                buckets = waits.setdefault(series, {})
                upper_bound = float(labels["le"])
                buckets[upper_bound] = buckets.get(upper_bound, 0.0) + sample.value
    return Scrape(member=member, role=role, covered_s=covered, events=events, waits=waits)
