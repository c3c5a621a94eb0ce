"""Seeded plan of the faults of one run."""

from __future__ import annotations

from enum import StrEnum
from random import Random

from attrs import field, frozen

CELLS = 4
HOSTS = 7
# A target that is the owner when the fault begins.
OWNER = -1
ALL = -2
# All but the owner.
OTHERS = -3


class Kind(StrEnum):
    """What happens. Paths lead from a process to hosts, or from a process to the store."""

    KILL_CELL = "kill-cell"
    STOP_CELL = "stop-cell"
    PAUSE_CELL = "pause-cell"
    RESTART_HOST = "restart-host"
    UNLIST_HOST = "unlist-host"
    DELAY = "delay"
    DELAY_ORDERS = "delay-orders"
    HOLD = "hold"
    HOLD_POLLS = "hold-polls"
    DROP_TO = "drop-to"
    DROP_FROM = "drop-from"
    REFUSE = "refuse"
    RESET = "reset"
    STORE_DELAY = "store-delay"
    STORE_HOLD = "store-hold"
    STORE_DROP_FROM = "store-drop-from"
    STORE_DROP_TO = "store-drop-to"
    LOSE_ANSWERS = "lose-answers"
    SILENT_WATCHES = "silent-watches"


HOST_PATH_KINDS = (
    Kind.DELAY,
    Kind.DELAY_ORDERS,
    Kind.HOLD,
    Kind.HOLD_POLLS,
    Kind.DROP_TO,
    Kind.DROP_FROM,
    Kind.REFUSE,
    Kind.RESET,
)
STORE_PATH_KINDS = (
    Kind.STORE_DELAY,
    Kind.STORE_HOLD,
    Kind.STORE_DROP_FROM,
    Kind.STORE_DROP_TO,
)
OWNER_CHANGES = (Kind.KILL_CELL, Kind.STOP_CELL, Kind.PAUSE_CELL)


@frozen(kw_only=True)
class Fault:
    """One fault.

    :param at: seconds after the begin.
    :param cell: index of the process, ``OWNER``, ``ALL`` or ``OTHERS``.
    :param duration_s: until a process or host is back, or a path is well.
    :param delay_s: of the bytes on a path, or until a restarted host is listed.
    """

    at: float
    kind: Kind
    cell: int = OWNER
    hosts: tuple[int, ...] = ()
    duration_s: float = 0.0
    delay_s: float = 0.0

    def __str__(self) -> str:
        cell = {OWNER: "owner", ALL: "all", OTHERS: "others"}.get(self.cell, str(self.cell))
        hosts = ",".join(map(str, self.hosts))
        return (
            f"{self.at:6.2f} {self.kind} cell={cell} hosts={hosts} "
            f"for={self.duration_s:.2f} delay={self.delay_s:.2f}"
        )


@frozen(kw_only=True)
class Plan:
    """Faults of one run, in the order of their begin."""

    seed: int
    length_s: float
    page_items: int
    decision_s: float
    faults: tuple[Fault, ...] = field(
        converter=lambda rows: tuple(sorted(rows, key=lambda r: r.at))
    )

    def __str__(self) -> str:
        head = (
            f"seed {self.seed}: {self.length_s:.0f} s, pages of {self.page_items}, "
            f"decisions of {self.decision_s:.2f} s"
        )
        return "\n".join([head, *map(str, self.faults)])


def make_plan(seed: int, *, length_s: float) -> Plan:
    """Return the plan of a seed."""
    random = Random(seed)
    faults: list[Fault] = []
    at = random.uniform(1.0, 2.5)
    while at < length_s - 2.0:
        if random.random() < 0.4:
            faults += _unnoticed_restart(random, at)
        else:
            faults += _owner_change(random, at)
        at += random.choice([random.uniform(0.5, 1.5), random.uniform(2.5, 5.0)])
    if random.random() < 0.4:
        faults += _split(random, random.uniform(1.0, max(1.0, length_s - 10.0)))
    if seed % 2 == 0:
        faults += _cut_others(Random(f"{seed}/others"), faults)
    if seed % 3 == 0:
        faults += _late_orders(Random(f"{seed}/late orders"), length_s)
    at = 0.5
    while at < length_s - 1.0:
        faults.append(_background(random, at))
        at += random.uniform(0.2, 1.6)
    return Plan(
        seed=seed,
        length_s=length_s,
        page_items=random.choice([2, 5, 50, 500]),
        # A slow policy service leaves no time to start a task again before the late order arrives.
        decision_s=0.01 if seed % 3 == 0 else random.choice([0.01, 0.1, 0.4]),
        faults=faults,
    )


def _some_hosts(random: Random, most: int) -> tuple[int, ...]:
    return tuple(sorted(random.sample(range(HOSTS), random.randint(1, most))))


def _owner_change(random: Random, at: float) -> list[Fault]:
    """Return the faults around a change of the owner."""
    change = random.choice(OWNER_CHANGES)
    duration_s = random.uniform(0.5, 4.0) if change is Kind.PAUSE_CELL else random.uniform(0.2, 2.0)
    faults = [Fault(at=at, kind=change, duration_s=duration_s)]
    hosts = _some_hosts(random, 4)
    if random.random() < 0.6:
        # A path is slow or cut before the owner goes, so that its orders arrive later.
        kind = random.choice([Kind.DELAY_ORDERS, Kind.DELAY_ORDERS, *HOST_PATH_KINDS])
        faults.append(
            Fault(
                at=max(0.1, at - random.uniform(0.0, 1.5)),
                kind=kind,
                hosts=hosts if random.random() < 0.5 else tuple(range(HOSTS)),
                duration_s=random.uniform(0.5, 3.0),
                delay_s=random.uniform(0.1, 1.4),
            )
        )
    if random.random() < 0.7:
        faults.append(_restart(random, max(0.2, at + random.uniform(-1.2, 0.8)), hosts))
    return faults


def _unnoticed_restart(random: Random, at: float) -> list[Fault]:
    """Return a restart of hosts that the owner notices late, while its orders are on their way."""
    hosts = tuple(sorted(random.sample(range(HOSTS), random.randint(2, HOSTS - 1))))
    faults = [
        Fault(
            at=at,
            kind=Kind.HOLD_POLLS,
            hosts=hosts,
            duration_s=random.uniform(0.6, 1.5),
            # Without a delay, the new incarnation carries out the orders before its first poll.
            delay_s=random.choice([0.0, random.uniform(0.5, 1.4)]),
        ),
        Fault(
            at=at + random.uniform(0.0, 0.2),
            kind=Kind.RESTART_HOST,
            hosts=hosts,
            duration_s=random.uniform(0.1, 0.2),
            delay_s=random.choice([random.uniform(0.0, 0.6), random.uniform(0.0, 1.5)]),
        ),
    ]
    if random.random() < 0.6:
        faults.append(
            Fault(
                at=at + random.uniform(0.5, 1.5),
                kind=random.choice(OWNER_CHANGES),
                duration_s=random.uniform(0.5, 3.0),
            )
        )
    return faults


def _split(random: Random, at: float) -> list[Fault]:
    """Return an owner that loses the store and alone reaches some hosts, until runs must end."""
    return [
        Fault(
            at=at,
            kind=random.choice([Kind.DROP_TO, Kind.DROP_FROM, Kind.REFUSE]),
            cell=OTHERS,
            hosts=_some_hosts(random, 4),
            duration_s=random.uniform(8.5, 11.0),
        ),
        Fault(
            at=at + random.uniform(0.0, 1.0),
            kind=random.choice(STORE_PATH_KINDS),
            duration_s=random.uniform(3.0, 6.0),
            delay_s=1.5,
        ),
    ]


def _cut_others(random: Random, faults: list[Fault]) -> list[Fault]:
    """Return cuts between the next owner and hosts, which run on for the earlier one."""
    changes = [row for row in faults if row.kind in OWNER_CHANGES]
    return [
        Fault(
            at=max(0.1, change.at - random.uniform(0.0, 1.0)),
            kind=random.choice([Kind.DROP_TO, Kind.DROP_FROM, Kind.REFUSE, Kind.HOLD]),
            cell=OTHERS,
            hosts=_some_hosts(random, 4),
            duration_s=random.uniform(2.0, 6.0),
        )
        for change in changes
        if random.random() < 0.6
    ]


def _late_orders(random: Random, length_s: float) -> list[Fault]:
    """Return restarts that the owner notices soon, with orders that arrive after that."""
    faults = []
    at = random.uniform(1.0, 3.0)
    while at < length_s - 2.0:
        hosts = tuple(sorted(random.sample(range(HOSTS), random.randint(3, HOSTS - 2))))
        faults += [
            Fault(
                at=at,
                kind=Kind.HOLD_POLLS,
                hosts=hosts,
                duration_s=random.uniform(0.4, 0.8),
                delay_s=random.uniform(0.8, 1.3),
            ),
            Fault(at=at + 0.05, kind=Kind.RESTART_HOST, hosts=hosts, duration_s=0.1),
        ]
        at += random.uniform(2.5, 4.0)
    return faults


def _restart(random: Random, at: float, hosts: tuple[int, ...]) -> Fault:
    return Fault(
        at=at,
        kind=Kind.RESTART_HOST,
        hosts=hosts,
        duration_s=random.uniform(0.1, 1.5),
        delay_s=random.choice([0.0, random.uniform(0.0, 1.5)]),
    )


def _background(random: Random, at: float) -> Fault:
    """Return one fault of any kind."""
    cell = random.choice([OWNER, OWNER, ALL, random.randrange(CELLS)])
    match random.randrange(6):
        case 0:
            return _restart(random, at, _some_hosts(random, 3))
        case 1 | 2:
            kind = random.choice(HOST_PATH_KINDS)
            return Fault(
                at=at,
                kind=kind,
                cell=cell,
                hosts=_some_hosts(random, HOSTS),
                duration_s=random.uniform(0.3, 4.0),
                delay_s=random.uniform(0.05, 1.0),
            )
        case 3:
            return Fault(
                at=at,
                kind=random.choice(STORE_PATH_KINDS),
                cell=OWNER if cell == ALL else cell,
                duration_s=random.uniform(0.3, 3.0),
                delay_s=random.uniform(0.02, 0.4),
            )
        case 4:
            kind = random.choice([Kind.LOSE_ANSWERS, Kind.SILENT_WATCHES, Kind.UNLIST_HOST])
            return Fault(
                at=at,
                kind=kind,
                hosts=_some_hosts(random, 2),
                duration_s=random.uniform(0.5, 3.0),
            )
        case _:
            return Fault(
                at=at,
                kind=random.choice(OWNER_CHANGES),
                cell=random.randrange(CELLS),
                duration_s=random.uniform(0.5, 3.0),
            )
