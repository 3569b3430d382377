from __future__ import annotations

import asyncio
import random
from collections import Counter, defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field

import looptime

from dotterelhill.control.election import Election
from dotterelhill.control.feeds import ConfigurationFeed, Follower
from dotterelhill.control.health import ObservedStore
from dotterelhill.control.interface import (
    Batch,
    FencedByMinionError,
    HistoryDroppedError,
    MinionError,
    OtherIncarnationError,
    PartialRead,
    Record,
    StartAnswer,
    StoreConflictError,
    StoreError,
    StoreFencedError,
    StoreLimits,
    StoreRefusedError,
    StoreSequenceError,
    Stream,
)
from dotterelhill.control.job_service import JobService
from dotterelhill.control.leader import Leader, LeaderParts
from dotterelhill.control.leadership import LeaderClock, Leadership, Witness
from dotterelhill.control.loop_lag import LoopLag
from dotterelhill.control.peers import PEER_TIMEOUT_SECONDS, PeerStatus, PeerUnreachableError
from dotterelhill.control.relay_messages import HEARTBEAT_SECONDS
from dotterelhill.control.relay_pool import MAX_LAG_ALLOWANCE_SECONDS, RelayPool
from dotterelhill.control.submissions import append_submissions
from dotterelhill.control.work_slices import WorkSlices
from dotterelhill.entry.metrics import LocalMetrics
from dotterelhill.jobs.changes import SchedulerSettings
from dotterelhill.jobs.fleet import (
    EndKind,
    EndReport,
    Minion,
    MinionFacts,
    MinionReport,
    RunReport,
)
from dotterelhill.jobs.model import Step, Submission
from dotterelhill.jobs.orders import StartOutcome, StopOrder
from dotterelhill.jobs.queues import FleetConfig, Pool, Queue
from dotterelhill.jobs.resources import ResourceVector

HOLD_SECONDS = 6.0
CALL_SECONDS = 0.005
# Time after which an answer that was not read counts as lost.
CALL_TIMEOUT_SECONDS = 1.0
# Longest age of the list of minions with which tasks start on minions of "pool", as on a site whose
# room counts for 4 s and a heartbeat of 1.1 s after it has shrunk.
CAPACITY_VALID_SECONDS = 2.9
# A deadly task crashes its minion this long after its start; the minion is back after the other.
CRASH_AFTER_SECONDS = 0.01
DOWN_SECONDS = 2.0
MEMORY_MB = 64000
QUEUE = Queue("q", "h", "/q/", "pool", 0, 3, 2.0, 1.0)


SUBMISSION_PARTITIONS = 4
# A store that is 80 times slower than usual: an answer takes 0.32 s, and an append blocks its
# partition for half of that.
SLOW_CALL_SECONDS = 0.32
SLOW_APPEND_SECONDS = 0.16

# Round trip between two regions.
REMOTE_LATENCY_SECONDS = 0.04

StreamPartition = tuple[Stream, int]


async def cancel_other_tasks() -> None:
    """Cancel all tasks but the present one, and wait until they have ended."""
    pending = asyncio.all_tasks() - {asyncio.current_task()}
    for task in pending:
        task.cancel()
    await asyncio.gather(*pending, return_exceptions=True)


class MemoryStore:
    """In-memory store that enforces conditional, fenced and sequenced appends."""

    def __init__(self) -> None:
        self.streams: defaultdict[StreamPartition, list[Record]] = defaultdict(list)
        self.first_offsets: defaultdict[StreamPartition, int] = defaultdict(int)
        self.fences: dict[tuple[StreamPartition, str], tuple[int, int]] = {}
        self.append_results: dict[tuple[StreamPartition, str, int, int], int] = {}
        self.is_slow = False
        self.limits = StoreLimits()
        # Stream, number and size of the records of each append that was refused for its size.
        self.oversized: list[tuple[Stream, int, int]] = []
        # Number of records of a stream that fit into one read, where it is limited.
        self.records_per_read: dict[Stream, int] = {}
        self._partition_locks: defaultdict[StreamPartition, asyncio.Lock] = defaultdict(
            asyncio.Lock
        )

    async def wait_for_partition(self, stream_partition: StreamPartition) -> None:
        """Wait as long as an append waits for earlier appends and blocks the partition."""
        if self.is_slow:
            async with self._partition_locks[stream_partition]:
                await asyncio.sleep(SLOW_APPEND_SECONDS)

    def append(self, stream_partition, records, at, fence) -> int:
        stored_records = self.streams[stream_partition]
        if at is not None and at != len(stored_records):
            raise StoreConflictError("partition has grown")
        if fence is not None:
            key = (stream_partition, fence.writer)
            epoch, expected_sequence = self.fences.get(key, (0, 0))
            if fence.epoch < epoch:
                raise StoreFencedError("fenced")
            append_id = (stream_partition, fence.writer, fence.epoch, fence.sequence)
            if records and append_id in self.append_results:
                return self.append_results[append_id]
            if fence.epoch == epoch and fence.sequence != expected_sequence:
                raise StoreSequenceError(expected_sequence)
            self.fences[key] = (fence.epoch, fence.sequence + (1 if records else 0))
            if records:
                self.append_results[append_id] = len(stored_records) + len(records)
        stored_records.extend(records)
        return len(stored_records)

    def newest(self, stream_partition) -> Batch:
        newest_by_key: dict[str, Record] = {}
        for record in self.streams[stream_partition]:
            newest_by_key[record.key] = record
        alive = tuple(record for record in newest_by_key.values() if record.value is not None)
        return Batch(alive, len(self.streams[stream_partition]))

    def read(self, stream_partition, start) -> Batch:
        if start < self.first_offsets[stream_partition]:
            raise HistoryDroppedError("offset is past retention")
        stored_records = self.streams[stream_partition]
        limit = self.records_per_read.get(stream_partition[0], len(stored_records))
        end = min(start + limit, len(stored_records))
        return Batch(tuple(stored_records[start:end]), end, end == len(stored_records))


class StoreView:
    """Connection of one process to the store, with injected faults."""

    def __init__(self, store: MemoryStore, processor: SlowProcessor | None = None) -> None:
        self._store = store
        self._processor = processor
        self.is_down = False
        self.is_silent = False
        # Whether the process reaches nothing outside its failure domain.
        self.is_cut_off = False
        self.silent_streams: set[Stream] = set()
        self.streams_without_newest: set[Stream] = set()
        # Number of newest records in one page, and the pages after which each read of them fails.
        self.page_records: dict[Stream, int] = {}
        self.failing_pages = 0
        self.pages_read: Counter[Stream] = Counter()
        self.newest_seconds: dict[Stream, float] = {}
        self.lost_answers = 0
        # Keys of the progress stream that the store never accepts.
        self.refused_progress: set[str] = set()
        self.appends = 0
        self.latency_seconds = 0.0
        # Time that a read which is cancelled takes to end.
        self.cancelled_read_seconds = 0.0

    async def _reach(self, stream: Stream) -> None:
        if self._processor is not None:
            await self._processor.use()
        await asyncio.sleep(self.latency_seconds)
        await asyncio.sleep(SLOW_CALL_SECONDS if self._store.is_slow else CALL_SECONDS)
        if self.is_silent or self.is_cut_off or stream in self.silent_streams:
            await asyncio.sleep(1.2)
            raise StoreError("no answer", is_effect_unknown=True)
        if self.is_down:
            raise StoreError("status 503")

    def partitions(self, stream) -> int:
        return SUBMISSION_PARTITIONS if stream is Stream.SUBMISSIONS else 1

    async def append(self, stream, records, *, partition=0, at=None, fence=None) -> int:
        if stream is Stream.SUBMISSIONS:
            self.appends += 1
        await self._reach(stream)
        sizes = [5 + len(one.key.encode()) + len(one.value or b"") for one in records]
        limits = self._store.limits
        if max(sizes, default=0) > limits.record_bytes or sum(sizes) > limits.call_bytes:
            self._store.oversized.append((stream, len(records), sum(sizes)))
            raise StoreRefusedError("status 400")
        if stream is Stream.PROGRESS and self.refused_progress.intersection(
            one.key for one in records
        ):
            raise StoreRefusedError("status 400")
        await self._store.wait_for_partition((stream, partition))
        end = self._store.append((stream, partition), records, at, fence)
        if self.lost_answers:
            self.lost_answers -= 1
            raise StoreError("no answer", is_effect_unknown=True)
        return end

    async def newest(self, stream, partition=0, partial=None) -> Batch:
        partial = PartialRead() if partial is None else partial
        await asyncio.sleep(self.newest_seconds.get(stream, 0.0))
        for page in range(1000):
            await self._reach(stream)
            if stream in self.streams_without_newest:
                raise StoreError("status 503")
            if page and self.failing_pages and stream in self.page_records:
                self.failing_pages -= 1
                raise StoreError("no answer", is_effect_unknown=True)
            batch = self._store.newest((stream, partition))
            if partial.next_offset is None:
                partial.next_offset = batch.next_offset
            records = sorted(batch.records, key=lambda record: record.key)
            following = [record for record in records if record.key > partial.after]
            page_records = following[: self.page_records.get(stream, len(following))]
            self.pages_read[stream] += 1
            partial.records.extend(page_records)
            if len(page_records) == len(following):
                return Batch(tuple(partial.records), partial.next_offset)
            partial.after = page_records[-1].key
        raise AssertionError("too many pages")

    async def read(self, stream, start, wait_seconds, partition=0) -> Batch:
        await self._reach(stream)
        waited = 0.0
        while True:
            if self.is_cut_off:
                await asyncio.sleep(1.2)
                raise StoreError("no answer", is_effect_unknown=True)
            batch = self._store.read((stream, partition), start)
            if batch.records or waited >= wait_seconds:
                return batch
            try:
                await asyncio.sleep(0.02)
            except asyncio.CancelledError:
                await asyncio.sleep(self.cancelled_read_seconds)
                raise
            waited += 0.02


@dataclass
class FakeMinion:
    """Minion whose tasks each run for ``run_seconds`` of loop time."""

    name: str
    run_seconds: float = 1.0
    fence: int = 0
    lease_until: float = 0.0
    running: dict = field(default_factory=dict)
    ended: list = field(default_factory=list)
    count: int = 0
    starts: list = field(default_factory=list)
    # Task, begin and end of each run that has ended.
    spans: list = field(default_factory=list)
    lapses: int = 0
    renewals: list = field(default_factory=list)
    is_dead: bool = False
    born_ms: int = 1
    # Time that its answers take beyond that of the call.
    answer_seconds: float = 0.0

    def crash(self) -> None:
        """End the minion with all that it runs and knows."""
        self.is_dead = True
        self.running.clear()
        self.ended.clear()
        self.count = self.fence = 0
        self.lease_until = 0.0
        self.born_ms += 1

    def advance(self, now: float) -> None:
        for key, (run_id, ends_at) in list(self.running.items()):
            kind = None
            if now > self.lease_until:
                kind = EndKind.LAPSED
                self.lapses += 1
            elif now >= ends_at:
                kind = EndKind.DONE
            if kind is not None:
                self.count += 1
                self.ended.append(EndReport(self.count, key, run_id, kind, ""))
                self.spans.append((key, ends_at - self.run_seconds, min(ends_at, self.lease_until)))
                del self.running[key]

    def check_fence(self, epoch: int) -> None:
        if epoch < self.fence:
            raise FencedByMinionError("fence")
        self.fence = epoch


class SlowProcessor:
    """Processor of one process, on which sending a call and reading an answer queue up."""

    def __init__(self, cluster: Cluster, lag: LoopLag) -> None:
        self._cluster = cluster
        self._lag = lag
        self._free_at = 0.0

    @property
    def busy_until(self) -> float:
        """Return the time until which the processor does work that has begun."""
        return max(self._free_at, self._cluster.loop.time())

    async def use(self) -> None:
        now = self._cluster.loop.time()
        begins_at = self.busy_until
        self.charge(self._cluster.seconds_per_message)
        self._lag.record(begins_at - now)
        await asyncio.sleep(self._free_at - now)

    def charge(self, seconds: float) -> None:
        """Occupy the processor after the work that has begun."""
        self._free_at = self.busy_until + seconds

    async def pause(self) -> None:
        """Wait until the work of the caller is done, so that the next work can begin."""
        await asyncio.sleep(self._free_at - self._cluster.loop.time())


class FakeMinions:
    """Minion client of one process."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self.is_cut_off = False
        self.unreachable: set[str] = set()
        self.failures: list[Exception] = []
        self.lost_polls: dict[str, int] = {}
        self.sent_starts: list[str] = []
        self.submitted: set[asyncio.Task[None]] = set()
        # Number of the next starts for which their minions have no room.
        self.refused_starts = 0
        self.lost_poll_error: Exception = MinionError("no answer")
        self.lag = LoopLag(cluster.loop.time)
        self.processor = SlowProcessor(cluster, self.lag)

    async def _read_answer(self, sent_at: float, wait_seconds: float) -> None:
        """Read an answer; fail if it was read after the call had timed out."""
        await self.processor.use()
        if not self._cluster.seconds_per_message:
            return
        allowance = min(MAX_LAG_ALLOWANCE_SECONDS, 2.0 * self.lag.seconds)
        if self._cluster.loop.time() - sent_at > CALL_TIMEOUT_SECONDS + wait_seconds + allowance:
            raise MinionError("the answer was read too late")

    async def _reach(self, known: Minion, epoch: int) -> FakeMinion:
        if self.failures:
            raise self.failures.pop(0)
        await self.processor.use()
        await asyncio.sleep(CALL_SECONDS)
        minion = self._cluster.minions[known.minion_id]
        if self.is_cut_off or minion.is_dead or known.minion_id in self.unreachable:
            if self._cluster.is_polling_long:
                await asyncio.sleep(CALL_TIMEOUT_SECONDS)
            raise MinionError("no answer")
        if known.facts.born_ms != minion.born_ms:
            raise OtherIncarnationError("another incarnation")
        minion.advance(self._cluster.loop.time())
        minion.check_fence(epoch)
        return minion

    def submit_start(self, order, epoch, deadline_ms, on_answer):
        """Carry out a start order as a relay does, also when its leader ends meanwhile."""

        async def carry_out() -> None:
            try:
                answer = StartAnswer(*await self.start(order, epoch, deadline_ms))
            except FencedByMinionError as error:
                answer = error
            except Exception:
                answer = StartAnswer(StartOutcome.UNKNOWN)
            on_answer(answer)

        self.relay(carry_out())
        return True

    def submit_order(self, order, epoch, on_answer):
        """Carry out a stop or a change of pace as a relay does."""

        async def carry_out() -> None:
            call = self.stop if isinstance(order, StopOrder) else self.set_pace
            answer = None
            try:
                await call(order, epoch)
            except MinionError as error:
                answer = error
            except Exception as error:
                answer = MinionError(repr(error))
            on_answer(answer)

        self.relay(carry_out())
        return True

    def relay(self, coroutine) -> None:
        """Let a relay carry out an order, which may outlast the leader that gave it."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.submitted.add(task)
        task.add_done_callback(self.submitted.discard)

    async def start(self, order, epoch, deadline_ms):
        sent_at = self._cluster.loop.time()
        self.sent_starts.append(order.minion.minion_id)
        if self.refused_starts:
            self.refused_starts -= 1
            return StartOutcome.NO_ROOM, None
        try:
            minion = await self._reach(order.minion, epoch)
        except FencedByMinionError:
            raise
        except OtherIncarnationError:
            return StartOutcome.OTHER_INCARNATION, None
        except MinionError:
            return StartOutcome.UNKNOWN, None
        now = self._cluster.loop.time()
        minion.lease_until = max(minion.lease_until, deadline_ms / 1000)
        minion.running[order.run.key] = (order.run.run_id, now + minion.run_seconds)
        minion.starts.append((now, order.run.key, order.run.run_id))
        if order.run.key.job_id in self._cluster.deadly_jobs:
            self._cluster.loop.call_later(
                CRASH_AFTER_SECONDS, self._cluster.crash, minion.name, minion.born_ms
            )
        await asyncio.sleep(minion.answer_seconds)
        try:
            await self._read_answer(sent_at, 0.0)
        except MinionError:
            return StartOutcome.UNKNOWN, None
        return StartOutcome.STARTED, int(1000 * now)

    async def stop(self, order, epoch):
        minion = await self._reach(order.minion, epoch)
        run = minion.running.pop(order.key, None)
        if run is not None:
            minion.count += 1
            minion.ended.append(EndReport(minion.count, order.key, run[0], EndKind.STOPPED, ""))
            now = self._cluster.loop.time()
            minion.spans.append((order.key, run[1] - minion.run_seconds, now))

    async def set_pace(self, order, epoch):
        await self._reach(order.minion, epoch)

    async def renew(self, minion, epoch, deadline_ms, wait_seconds):
        sent_at = self._cluster.loop.time()
        if self.lost_polls.get(minion.minion_id):
            self.lost_polls[minion.minion_id] -= 1
            await asyncio.sleep(CALL_TIMEOUT_SECONDS + wait_seconds)
            raise self.lost_poll_error
        fake = await self._reach(minion, epoch)
        fake.renewals.append(deadline_ms)
        if deadline_ms is not None:
            fake.lease_until = max(fake.lease_until, deadline_ms / 1000)
        await asyncio.sleep(min(0.1, wait_seconds))
        waited = 0.1
        while self._cluster.is_polling_long and waited < wait_seconds:
            fake.advance(self._cluster.loop.time())
            if any(end.number > minion.processed_end for end in fake.ended):
                break
            await asyncio.sleep(0.05)
            waited += 0.05
        if fake.is_dead or fake.born_ms != minion.facts.born_ms:
            raise MinionError("connection reset")
        now = self._cluster.loop.time()
        fake.advance(now)
        fake.ended = [end for end in fake.ended if end.number > minion.durable_end]
        running = tuple(
            RunReport(key, run_id, "", 50, None) for key, (run_id, _) in fake.running.items()
        )
        report = MinionReport(fake.born_ms, int(1000 * now), running, tuple(fake.ended))
        await asyncio.sleep(fake.answer_seconds)
        await self._read_answer(sent_at, wait_seconds)
        return report


class NoCaller:
    """Caller of a pool without relays, whose calls go to ``FakeMinions`` instead."""

    async def call(self, call):
        raise AssertionError("the pool must not be called")


class LinkedPool(RelayPool):
    """Pool whose relays are all other processes that run, for the choice of a witness."""

    def __init__(self, cluster: Cluster, name: str, *arguments) -> None:
        super().__init__(*arguments)
        self._cluster, self._name = cluster, name

    @property
    def memory_mb(self):
        return [self._cluster.memory_mb] * (len(self._cluster.processes) - 1)

    def choose_witness(self, current):
        witnesses = []
        for process in self._cluster.possible_witnesses(self._name):
            witnesses.append(Witness(process.leadership.incarnation, process.name))
        return current if current in witnesses else next(iter(witnesses), None)


class FakePeers:
    """Peer client of one process."""

    def __init__(self, cluster: Cluster, caller: Process) -> None:
        self._cluster = cluster
        self._caller = caller

    async def _reach(self, address: str) -> Process:
        await asyncio.sleep(CALL_SECONDS)
        if self._caller.is_cut_off:
            raise PeerUnreachableError("no answer")
        if not self._cluster.has_path(self._caller.name, address):
            await asyncio.sleep(PEER_TIMEOUT_SECONDS)
            raise PeerUnreachableError("no answer")
        process = self._cluster.processes.get(address)
        if process is None or not process.is_running:
            raise PeerUnreachableError("refused", is_refused=True, is_effect_unknown=False)
        try:
            async with asyncio.timeout(PEER_TIMEOUT_SECONDS):
                await process.minions.processor.use()
        except TimeoutError as error:
            raise PeerUnreachableError("no answer") from error
        return process

    async def status(self, address):
        election = (await self._reach(address)).election
        return PeerStatus(
            election.incarnation,
            election.has_claim,
            election.is_able,
            election.ended_epoch,
            election.loading_progress,
            election.newest_claim,
        )

    async def announce_claim(self, address, claim):
        election = (await self._reach(address)).election
        election.accept_claim(claim)
        settlement = self._cluster.settlement_of(election)
        await asyncio.sleep(self._cluster.claim_answer_seconds)
        if self._cluster.lost_claim_answers:
            self._cluster.lost_claim_answers -= 1
            raise PeerUnreachableError("no answer")
        return settlement

    async def ask_witness(self, address, claim):
        self._cluster.lost_witness_answer -= 1
        if self._cluster.lost_witness_answer == 0:
            await asyncio.sleep(PEER_TIMEOUT_SECONDS)
            raise PeerUnreachableError("no answer")
        answer = (await self._reach(address)).election.answer_as_witness(claim)
        await asyncio.sleep(self._cluster.claim_answer_seconds)
        return answer

    async def state_of(self, address, job_id, tenant=""):
        leader = (await self._reach(address)).election.leader
        if leader is None:
            raise PeerUnreachableError("not leading")
        return leader.state_of(job_id, tenant)

    async def waiting_by_queue(self, address):
        leader = (await self._reach(address)).election.leader
        if leader is None:
            raise PeerUnreachableError("not leading")
        return leader.waiting_by_queue()

    async def store_submission(self, address, record):
        process = await self._reach(address)
        if process.observed.is_unavailable:
            raise PeerUnreachableError("store is away", is_effect_unknown=False)
        try:
            await append_submissions(process.store, [record])
        except StoreError as error:
            unknown = error.is_effect_unknown
            raise PeerUnreachableError(str(error), is_effect_unknown=unknown) from error


class FakeDecoder:
    """Decodes records of minions; the tests set the configuration directly."""

    def __init__(self) -> None:
        self.is_broken = False

    def operator_record(self, record):
        return None

    def minion_record(self, record):
        if self.is_broken:
            raise ValueError("a record that can't be processed")
        cpu, *more = (record.value or b"").decode().split("@")
        if not cpu.isdigit():
            return None
        defaults = ["1", record.key, "ready", "caxias"]
        born_ms, address, state, failure_domain = more + defaults[len(more) :]
        return MinionFacts(
            record.key,
            int(born_ms),
            "pool",
            address,
            failure_domain,
            ("a", "r1"),
            ResourceVector(int(cpu), MEMORY_MB),
            is_draining=state == "draining",
        )


class ProcessClock:
    """Clock of one process, with an origin and a rate of its own."""

    def __init__(self, loop, origin: float) -> None:
        self._loop = loop
        self._rebased_at, self._origin, self._rate = 0.0, origin, 1.0

    def __call__(self) -> float:
        return self.at(self._loop.time())

    def at(self, time: float) -> float:
        return self._origin + self._rate * (time - self._rebased_at)

    def time_of(self, value: float) -> float:
        """Return the time of the cluster at which this clock shows a value."""
        return self._rebased_at + (value - self._origin) / self._rate

    def set_rate(self, rate: float) -> None:
        now = self._loop.time()
        self._origin, self._rebased_at, self._rate = self.at(now), now, rate


class Process:
    """Control process without sockets."""

    def __init__(self, cluster: Cluster, name: str, number: int, processors: float) -> None:
        self.name = name
        self.is_running = True
        # Whether it reaches no other process.
        self.is_cut_off = False
        self.minions = cluster.new_minion_client(name)
        self.store = StoreView(cluster.store, self.minions.processor)
        observed = ObservedStore(self.store, cluster.loop.time)
        self.metrics = LocalMetrics()
        incarnation = f"{name}/{number}"
        clock = self.clock = ProcessClock(cluster.loop, cluster.clock_spacing_seconds * number)
        self.gone_at = float("inf")
        # Address of the witness of the leader that this process was connected to last.
        self.known_witness = ""
        rng = random.Random(number)
        self.leadership = Leadership(observed, incarnation, name, clock)
        self.decoder = FakeDecoder()
        configuration = self.configuration = ConfigurationFeed(self.decoder, lambda: None)
        configuration._config = FleetConfig(1, {"q": QUEUE}, cluster.pools)

        def new_leader(renewals_end: float, lease_ends: Mapping[str, float]) -> Leader:
            lag = self.minions.lag
            processor = self.minions.processor
            slices = WorkSlices(lambda: processor.busy_until, processor.pause)
            if not cluster.has_slices:
                slices = WorkSlices(lambda: 0.0)
            self.assumed_renewals_end = renewals_end
            leader = Leader(
                LeaderParts(
                    observed,
                    self.minions,
                    LinkedPool(cluster, name, NoCaller(), self.leadership, clock, lag),
                    lag,
                    self.decoder,
                    configuration,
                    self.leadership,
                    SchedulerSettings(HOLD_SECONDS, 120.0, 4.0, CAPACITY_VALID_SECONDS),
                    clock,
                    lambda: cluster.unix_ms(name),
                    rng,
                    self.metrics,
                    slices,
                    limits=cluster.store.limits,
                ),
                renewals_end,
                lease_ends,
            )
            restore = leader._apply_submission

            def restore_slowly(submission, now) -> None:
                restore(submission, now)
                processor.charge(cluster.seconds_per_job)

            leader._apply_submission = restore_slowly
            plan = leader.scheduler.plan

            def plan_slowly(*arguments) -> None:
                plan(*arguments)
                cluster.block_loop(cluster.seconds_per_plan)

            leader.scheduler.plan = plan_slowly
            return leader

        peers = FakePeers(cluster, self)
        self.observed = observed
        self.follower = Follower(
            observed, Stream.CONFIGURATION, lambda records, is_snapshot: None, clock, rng
        )
        self.election = Election(
            self.leadership,
            incarnation,
            peers,
            new_leader,
            clock,
            rng,
            processors,
            leader_clock=self._read_leader_clock,
            witness_address=lambda: self.known_witness,
        )
        self.job_service = JobService(observed, self.election, peers, clock, rng)
        self._cluster = cluster

    def _read_leader_clock(self, incarnation: str) -> LeaderClock | None:
        """Return the clock in the newest message of a leader that this process has received."""
        sender = self._cluster.processes.get(incarnation.partition("/")[0])
        if sender is None or sender.leadership.incarnation != incarnation:
            return None
        delay = self._cluster.message_seconds
        connected_until = self._cluster.connected_until(self.name, sender.name)
        newest = min(self._cluster.loop.time() - delay, sender.gone_at, connected_until)
        sent_at = newest - newest % HEARTBEAT_SECONDS
        return LeaderClock(incarnation, sender.clock.at(sent_at), self.clock.at(sent_at + delay))


class Cluster:
    """Control processes, a store and minions in virtual time."""

    loop_options: dict[str, int] = {}

    def __init__(
        self,
        names: list[str],
        far_names: tuple[str, ...] = (),
        slow_names: tuple[str, ...] = (),
        minion_names: tuple[str, ...] = ("m1", "m2"),
        clock_spacing_seconds: float = 0.0,
    ) -> None:
        self.far_names, self.slow_names = far_names, slow_names
        # Difference between the clocks of processes that start one after the other.
        self.clock_spacing_seconds = clock_spacing_seconds
        # Time that a message of the leader takes to another process.
        self.message_seconds = 0.005
        # Time that the answer to an announced claim takes, and the number of these that are lost.
        self.claim_answer_seconds = 0.0
        self.lost_claim_answers = 0
        # What a process tells in that answer about the leaders before its newest term.
        self.settlement_of = lambda election: election.settlement
        # Whether processes are connected to the leader, so that one can be its witness.
        self.has_witnesses = True
        # Number of the next answer of a witness that is lost; 0 for none.
        self.lost_witness_answer = 0
        # Processor time of a process for each call that it sends and each answer that it reads.
        self.seconds_per_message = 0.0
        # Processor time of a leader for each job that it reads.
        self.seconds_per_job = 0.0
        # Time for which each plan of a leader keeps its event loop.
        self.seconds_per_plan = 0.0
        self.has_slices = True
        # Memory of a process that does not lead in MB; 0 if it is not limited.
        self.memory_mb = 0.0
        # Whether minions hold polls back until a run ends, for as long as the leader asks.
        self.is_polling_long = False
        self.loop = looptime.new_event_loop(**self.loop_options)
        self.store = MemoryStore()
        self.pools = {"pool": Pool("pool")}
        # Jobs whose tasks crash each minion that starts them.
        self.deadly_jobs: set[str] = set()
        self.crash_count = 0
        self.minions = {name: FakeMinion(name) for name in minion_names}
        for name in self.minions:
            self.store.streams[Stream.MINIONS, 0].append(Record(name, b"8000"))
        self.processes: dict[str, Process] = {}
        self.number = 0
        for name in names:
            self.start(name)

    def new_minion_client(self, name: str) -> FakeMinions:
        return FakeMinions(self)

    def possible_witnesses(self, name: str) -> list[Process]:
        """Return the processes that may be the witness of a leader, all placed equally well."""
        if not self.has_witnesses:
            return []
        processes = self.processes.values()
        return [process for process in processes if process.is_running and process.name != name]

    def has_path(self, caller: str, address: str) -> bool:
        """Return whether calls of a process reach the process or minion at an address."""
        return True

    def connected_until(self, receiver: str, sender: str) -> float:
        """Return the time until which messages of one process reached another one."""
        return self.loop.time()

    def unix_ms(self, name: str) -> int:
        """Return the wall-clock time of a process."""
        return int(1000 * self.loop.time())

    def crash(self, name: str, born_ms: int) -> None:
        """Crash an incarnation of a minion, which is back seconds later as another one."""
        minion = self.minions[name]
        if minion.is_dead or minion.born_ms != born_ms:
            return
        minion.crash()
        self.crash_count += 1

        def start_again() -> None:
            minion.is_dead = False
            minion.born_ms = max(minion.born_ms, self.unix_ms(name))
            record = Record(name, b"8000@%d" % minion.born_ms)
            self.store.streams[Stream.MINIONS, 0].append(record)

        self.loop.call_later(DOWN_SECONDS, start_again)

    def run(self, awaitable):
        return self.loop.run_until_complete(awaitable)

    def advance(self, seconds: float) -> None:
        self.run(asyncio.sleep(seconds))

    def block_loop(self, seconds: float) -> None:
        """Let time pass in which the event loop runs nothing."""
        if seconds:
            self.loop.setup_looptime(start=self.loop.time() + seconds, **self.loop_options)

    def start(self, name: str) -> None:
        self.number += 1
        number = self.number

        async def begin() -> None:
            process = Process(self, name, number, 0.5 if name in self.slow_names else 1.0)
            self.processes[name] = process
            if name in self.far_names:
                process.store.latency_seconds = REMOTE_LATENCY_SECONDS
            await process.election.start()
            await process.follower.start()

        self.run(begin())

    def kill(self, name: str) -> None:
        process = self.processes[name]
        if process.leadership.witness is not None:
            for other in self.processes.values():
                if self.has_path(other.name, name):
                    other.known_witness = process.leadership.witness.address
        process.is_running = False
        process.gone_at = min(process.gone_at, self.loop.time())
        # A killed process stops acting without informing other processes.
        process.leadership.drop("killed")
        process.store.is_down = True
        process.minions.is_cut_off = True

        async def end() -> None:
            election = process.election
            if election._term_task is not None:
                election._term_task.cancel()
            await election.stop()
            await process.follower.stop()

        self.run(end())

    @property
    def leaders(self) -> list[str]:
        found = []
        for name, process in self.processes.items():
            if process.is_running and process.election.leader is not None:
                found.append(name)
        return found

    @property
    def starts(self) -> list:
        found = []
        for minion in self.minions.values():
            found.extend(minion.starts)
        return sorted(found)

    def submit(self, name: str, job_id: str, count: int) -> None:
        self.run(self._submitted(name, job_id, count))

    async def _submitted(self, name: str, job_id: str, count: int) -> float:
        """Submit a job and return the seconds that the submission took."""
        step = Step(count, ResourceVector(1000, 100), 1.0)
        started_at = self.loop.time()
        submission = Submission(job_id, QUEUE, int(1000 * started_at), "spec", (step,))
        await self.processes[name].job_service.submit(submission, 3.0)
        return self.loop.time() - started_at

    def submit_many(self, count: int, spacing_seconds: float) -> list[float]:
        """Submit jobs to all processes in turn; return the seconds that each submission took."""

        async def submit_all() -> list[float]:
            names = list(self.processes)
            tasks = []
            for number in range(count):
                name = names[number % len(names)]
                coroutine = self._submitted(name, f"{number:016x}", 1)
                tasks.append(asyncio.create_task(coroutine))
                await asyncio.sleep(spacing_seconds)
            return await asyncio.gather(*tasks)

        return self.run(submit_all())

    def close(self) -> None:
        for name, process in list(self.processes.items()):
            if process.is_running:
                self.kill(name)

        self.run(cancel_other_tasks())
        self.loop.close()
