"""Keys of the sealed log, and rules for writing and trimming it."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from enum import StrEnum

from attrs import frozen

NUMBER_DIGITS = 12
CHUNK_DIGITS = 6
PAGE = 10


@frozen(kw_only=True, slots=True)
class Stamp:
    """Identifies the writer of a record.

    :param epoch: the writer's epoch for the partition.
    :param writer_id: id of the writing process.
    :param write_id: unique per record of that process.
    :param seal: whether the record is a seal, which begins the tenure of a new owner.
    """

    epoch: int
    writer_id: str
    write_id: str
    seal: bool = False


class Verdict(StrEnum):
    """What it means that a record already exists at the number that the writer tried to append."""

    OURS = "ours"
    EARLIER = "earlier"
    FENCED = "fenced"


def judge(found: Stamp, *, mine: Stamp) -> Verdict:
    """Classify an existing record.

    It is the writer's own, was written by an earlier owner, or shows that the writer is fenced.
    """
    if (found.writer_id, found.write_id) == (mine.writer_id, mine.write_id):
        return Verdict.OURS
    if found.epoch > mine.epoch:
        return Verdict.FENCED
    if found.epoch == mine.epoch and found.writer_id != mine.writer_id:
        return Verdict.FENCED
    return Verdict.EARLIER


@frozen(kw_only=True, slots=True)
class Head:
    """Start of a partition's log and the highest epoch that has claimed the log.

    :param epoch: epoch of the owner that may replace the head; owners with a lower one may not.
    :param writer_id: id of the process that wrote this head.
    :param write_id: unique per head written by that process.
    :param upto: number of the last segment that the snapshot includes, 0 for none.
    :param snapshot: id of the snapshot, empty for none.
    :param chunks: number of values that the snapshot is stored in.
    """

    epoch: int
    writer_id: str
    write_id: str
    upto: int = 0
    snapshot: str = ""
    chunks: int = 0


def may_move(found: Head, *, epoch: int, writer_id: str) -> bool:
    """Return whether the owner with ``epoch`` may replace a head."""
    if found.epoch == epoch:
        return found.writer_id == writer_id
    return found.epoch < epoch


@frozen(kw_only=True, slots=True)
class LogKeys:
    """Store keys of the log of one partition.

    :param partition: text form of the partition id.
    """

    partition: str

    @property
    def head(self) -> str:
        """Return the key of the head."""
        return f"snap/{self.partition}/head"

    @property
    def first_segment(self) -> str:
        """Return the lowest possible key of a segment."""
        return self.segment(0)

    def segment(self, number: int) -> str:
        """Return the key of a segment."""
        return f"log/{self.partition}/{number:0{NUMBER_DIGITS}d}"

    def segment_page(self, number: int) -> str:
        """Return the key prefix of the page of ``PAGE`` segments that contains ``number``."""
        return self.segment(number)[:-1]

    def snapshots_below(self, snapshot: str) -> tuple[str, str]:
        """Return the key range of all snapshots older than this one."""
        return f"snap/{self.partition}/0", f"snap/{self.partition}/{snapshot}/"

    def chunk(self, snapshot: str, index: int) -> str:
        """Return the key of one chunk of a snapshot."""
        return f"snap/{self.partition}/{snapshot}/{index:0{CHUNK_DIGITS}d}"

    def chunk_page(self, snapshot: str, index: int) -> str:
        """Return the key prefix of the page of ``PAGE`` chunks that contains ``index``."""
        return self.chunk(snapshot, index)[:-1]


def snapshot_id(*, epoch: int, upto: int, attempt: int) -> str:
    """Return the id of a snapshot; the ids of later snapshots sort after it as text.

    This order makes it safe to delete all older snapshots by key range at any time: the range
    never contains the current snapshot, whichever process wrote it.
    """
    return f"{epoch:0{NUMBER_DIGITS}d}-{upto:0{NUMBER_DIGITS}d}-{attempt:0{CHUNK_DIGITS}d}"


def leading(sizes: Iterable[int], *, cap: int) -> int:
    """Return how many leading items have a total size of at most ``cap``, at least one if any."""
    total = 0
    count = 0
    for size in sizes:
        total += size
        if count and total > cap:
            break
        count += 1
    return count


def chunked(sizes: Sequence[int], *, cap: int) -> Iterator[slice]:
    """Split items into consecutive groups of total size at most ``cap``.

    An item that is larger forms a group of its own.
    """
    start = 0
    while start < len(sizes):
        count = leading((sizes[at] for at in range(start, len(sizes))), cap=cap)
        yield slice(start, start + count)
        start += count


@frozen(kw_only=True, slots=True)
class Retention:
    """Rules for deleting segments and for verifying the head before an append.

    Deleting a seal frees its number. A former owner that was paused before it appended that number
    could then append successfully and treat as recorded what no process reads. A new owner
    therefore deletes nothing for ``keep_s`` after its seal. An owner that has not verified within
    half of that time that the head is its own verifies it again before it treats an append as
    successful. This depends only on the rates of the two clocks, which may differ by a factor
    of two.

    :param keep_s: seconds after the seal during which no segment is deleted.
    """

    keep_s: float

    def may_delete(self, *, sealed_at: float, now: float) -> bool:
        """Return whether the owner that wrote its seal at ``sealed_at`` may delete segments."""
        return now - sealed_at >= self.keep_s

    def must_verify(self, *, verified_at: float, now: float) -> bool:
        """Return whether the head must be verified before an append is treated as successful."""
        return now - verified_at >= self.keep_s / 2
