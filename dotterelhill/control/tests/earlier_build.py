"""Records and messages as the build before tenants defines them.

The definitions are those of the commit "Record the hunt of forja-cauca on the final code, one day
broken". They must not follow later changes of the program.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

import msgspec

from dotterelhill.control.interface import Record, Stream

LEADER_KEY, RENEWAL_KEY, CANCELLATION_PREFIX = "leader", "renewal", "cancel/"
QUEUED, RUNNING = 0, 1


@dataclass(frozen=True, slots=True)
class Resources:
    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0


@dataclass(frozen=True, slots=True)
class Queue:
    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 2.0
    target_seconds: float = 1.0
    timeout_seconds: float = 3.0
    needs_advice: bool = False


@dataclass(frozen=True, slots=True)
class Step:
    count: int
    room: Resources
    estimate_seconds: float = 0.0
    after: tuple[int, ...] = ()
    is_checkpointing: bool = False
    is_gang: bool = False
    is_same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    anti_affinity: int = 0
    is_speculative: bool = False
    is_lasting: bool = False
    image: str = ""
    target_tail_ms: int = 0
    is_filler: bool = False
    may_miss: int | None = None


@dataclass(frozen=True, slots=True)
class Schedule:
    count: int
    first_ms: int
    interval_ms: int


@dataclass(frozen=True, slots=True)
class Submission:
    job_id: str
    queue: Queue
    accepted_ms: int
    payload: str
    steps: tuple[Step, ...]
    schedule: Schedule | None = None


class TaskRecord(msgspec.Struct, array_like=True):
    occurrence: int
    step: int
    index: int
    run_id: int
    failures: int
    minion_id: str = ""
    minion_born_ms: int = 0
    checkpoint: str = ""
    crashes: int = 0
    doubtful_crashes: int = 0
    is_proven: bool = False


class DoneRecord(msgspec.Struct, array_like=True):
    occurrence: int
    step: int
    bits: bytes


class ProgressRecord(msgspec.Struct, array_like=True):
    state: int
    tasks: list[TaskRecord]
    done: list[DoneRecord]


class Claim(msgspec.Struct, frozen=True):
    epoch: int
    incarnation: str
    address: str
    is_resigned: bool = False


class Renewal(msgspec.Struct, frozen=True, array_like=True):
    epoch: int
    is_settled: bool


class PeerStatus(msgspec.Struct, frozen=True):
    incarnation: str
    has_claim: bool
    is_able: bool
    ended_epoch: int = 0


class Hello(msgspec.Struct, frozen=True, array_like=True):
    incarnation: str
    failure_domain: str
    processors: float


class RelayedCall(msgspec.Struct, frozen=True, array_like=True):
    number: int
    address: str
    minion_id: str
    path: str
    body: bytes
    wait_seconds: float


class CallFailure(IntEnum):
    NOT_REACHED = 1
    NO_ANSWER = 2


class RelayedAnswer(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    number: int
    status: int
    body: bytes
    failure: CallFailure | None = None
    reason: str = ""


class LeaderMessage(msgspec.Struct, frozen=True, array_like=True):
    incarnation: str
    sent_at: float
    has_claim: bool
    is_able: bool
    calls: list[RelayedCall]
    ended_epoch: int = 0


class RelayMessage(msgspec.Struct, frozen=True, array_like=True):
    is_leaving: bool
    answers: list[RelayedAnswer]


QUEUE = Queue("q", "h", "/q/", "pool", 0, 3, 2.0, 1.0)


def submission(job_id: str, count: int) -> Submission:
    step = Step(count, Resources(1000, 100), 1.0, is_checkpointing=True)
    return Submission(job_id, QUEUE, 5, "spec", (step,))


class EarlierLeader:
    """What a leader of that build reads from a store and writes to it.

    :param append: stores a record: stream, key and value
    """

    def __init__(self, append) -> None:
        self._append = append
        self.submissions: dict[str, Submission] = {}
        self.progress: dict[str, ProgressRecord] = {}
        self.cancelled: set[str] = set()

    def claim(self, records: list[Record]) -> int:
        """Claim the next epoch after the newest claim, settle it and return it."""
        claims = [record.value for record in records if record.key == LEADER_KEY]
        newest = msgspec.msgpack.decode(claims[-1], type=Claim).epoch if claims else 0
        claim = Claim(newest + 1, "earlier/1", "earlier")
        self._append(Stream.LEADERSHIP, LEADER_KEY, msgspec.msgpack.encode(claim))
        renewal = msgspec.msgpack.encode(Renewal(claim.epoch, True))
        self._append(Stream.LEADERSHIP, RENEWAL_KEY, renewal)
        return claim.epoch

    def read_submissions(self, records: list[Record]) -> None:
        for record in records:
            if record.value is None:
                continue
            if record.key.startswith(CANCELLATION_PREFIX):
                self.cancelled.add(record.key.removeprefix(CANCELLATION_PREFIX))
                continue
            found = msgspec.msgpack.decode(record.value, type=Submission)
            self.submissions[found.job_id] = found

    def read_progress(self, records: list[Record]) -> None:
        for record in records:
            if record.key in self.submissions and record.value is not None:
                found = msgspec.msgpack.decode(record.value, type=ProgressRecord)
                self.progress[record.key] = found

    def write_progress(self) -> None:
        """Store the progress of each job again, without the fields that this build lacks."""
        for job_id, progress in self.progress.items():
            self._append(Stream.PROGRESS, job_id, msgspec.msgpack.encode(progress))
