"""A whole deployment in memory: log, workers, minions and entry processes."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from random import Random

import msgspec

from dotterelhill.manifest import Resources
from dotterelhill.membership.heartbeats import Heartbeat, PeerMessage
from dotterelhill.membership.vm_list import Vm, VmRole, VmState
from explorer.log_model import LOG, LogMode, LogModel
from explorer.minion_model import MinionModel
from explorer.network import Disturbance, Network
from explorer.observer import Observer
from explorer.operators import (
    REGIONS,
    SLOTS,
    changed_document,
    first_document,
    minions_of,
    publication,
)
from explorer.process_model import Place, ProcessLoop, ProcessModel, Surroundings
from explorer.steps import (
    Advance,
    Crash,
    Cut,
    Disturb,
    EndRequest,
    Heal,
    IsolateDomain,
    IsolateWorker,
    KeyedRequest,
    Leave,
    Pause,
    Publish,
    Repair,
    Request,
    RestartWorker,
    Resume,
    SetLog,
    Start,
    Step,
)
from explorer.timeline import Timeline
from explorer.worker_model import Run, WorkerModel


@dataclass(frozen=True, slots=True)
class Size:
    """Number of entry VMs and of workers in each failure domain."""

    entries: dict[str, int]
    workers: dict[str, int]


# A small deployment takes more steps in the same time; a larger one has more orders.
SIZES = (
    Size({"d0": 2, "d1": 1}, {"d0": 2, "d1": 1}),
    Size({"d0": 2, "d1": 2, "d2": 1}, {"d0": 2, "d1": 1, "d2": 1}),
)
# Rates of all clocks, so that two of them differ by at most the drift bound of 0.2%.
SLOWEST_RATE, FASTEST_RATE = 0.999, 1.001
# A read in progress at the end of an outage times out after 4 s, and the next one waits up to 5 s.
RECOVERY_SECONDS = 10.0
MILLION = 1_000_000.0


class World:
    """Deployment to which steps are applied.

    :param seed: decides latencies, clocks and the processes' own random choices
    """

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._size = SIZES[seed % len(SIZES)]
        self._domains = tuple(self._size.entries)
        self._random = Random(f"world {seed}")
        self._timeline = Timeline()
        self._observer = Observer(self._timeline)
        self._network = Network(self._timeline, self._is_connected, self._note_disturbed)
        self._log = LogModel(self._timeline, self._observer.on_record)
        self._cuts: set[tuple[str, str]] = set()
        self._isolated: set[str] = set()
        self._starts: Counter[str] = Counter()
        self._publications = 0
        self._places = _places(self._size)
        self._processes: dict[str, ProcessModel] = {}
        self._by_name: dict[str, ProcessModel] = {}
        self._workers = self._new_workers()
        self._minions = {
            name: MinionModel(name, SLOTS, self._timeline)
            for domain in self._domains
            for name in minions_of(domain)
        }
        self._around = Surroundings(
            self._timeline,
            self._network,
            self._log,
            self._workers,
            self._minions,
            self._observer,
            _vms(self._places, self._workers),
            self._send_to_peer,
        )
        self._publish(0, first_document(self._domains))
        for entry in range(len(self._places)):
            self._start(entry)

    @property
    def observer(self) -> Observer:
        """Return the checks."""
        return self._observer

    @property
    def now(self) -> float:
        """Return the true time in seconds."""
        return self._timeline.now

    def apply(self, step: Step) -> None:
        """Apply a step and check the invariants.

        :raises InvariantBrokenError: when one does not hold
        """
        match step:
            case Advance(seconds):
                self._timeline.advance(seconds)
            case Disturb(kind, effect, seconds, messages):
                for _ in range(messages):
                    self._network.disturb(kind, Disturbance(effect, seconds))
            case Publish(change, number, is_racing):
                self._publish_change(change, number, is_racing)
            case SetLog(mode):
                self._note_all_unwell()
                self._log.mode = mode
            case Request(process, minion, count):
                name = sorted(self._minions)[minion % len(self._minions)]
                self._process(process).dispatch(name, count)
            case EndRequest(minion):
                self._minions[sorted(self._minions)[minion % len(self._minions)]].end_oldest()
            case KeyedRequest(process, key):
                self._process(process).request_key(f"key {key}".encode())
            case Start(entry):
                self._start(entry % len(self._places))
            case _:
                self._apply_failure(step)
        self._check()

    def _apply_failure(self, step: Step) -> None:
        match step:
            case Crash(process):
                self._process(process).crash()
            case Leave(process):
                self._process(process).leave()
            case Pause(process):
                self._process(process).is_paused = True
            case Resume(order):
                self._resume(order)
            case Cut(process, side):
                self._cuts.add((self._process(process).name, side))
            case IsolateWorker(worker):
                self._isolated.add(f"worker:{self._worker(worker).name}")
            case RestartWorker(worker):
                self._worker(worker).restart()
            case IsolateDomain(domain):
                self._isolated.add(self._domains[domain % len(self._domains)])
            case Heal():
                self._heal()
            case Repair():
                self._repair()
        self._note_unwell()

    def _check(self) -> None:
        self._note_unwell()
        for process in self._processes.values():
            if not process.is_dead and not process.is_paused:
                name, well_since = process.name, process.well_since
                self._observer.check_in_force(name, process.version, well_since)

    def _start(self, entry: int) -> None:
        place = self._places[entry]
        before = self._processes.get(place.address)
        if before is not None:
            before.crash()
            del self._by_name[before.name]
        self._starts[place.entry] += 1
        incarnation = f"{place.entry}/{self._starts[place.entry]:016x}"
        random = Random(f"{self._seed} {incarnation}")
        rate = random.uniform(SLOWEST_RATE, FASTEST_RATE)
        loop = ProcessLoop(self._timeline, rate, random.uniform(1.0, MILLION))
        process = ProcessModel(incarnation, place, loop, self._around, random)
        process.well_since = self.now + RECOVERY_SECONDS
        self._processes[place.address] = self._by_name[incarnation] = process

    def _resume(self, order: int) -> None:
        for process in self._processes.values():
            if process.is_paused and not process.is_dead:
                process.well_since = self.now + RECOVERY_SECONDS
                process.resume(Random(order))

    def _heal(self) -> None:
        self._cuts.clear()
        self._isolated.clear()

    def _repair(self) -> None:
        self._heal()
        self._log.mode = LogMode.OK
        self._resume(0)
        for entry, place in enumerate(self._places):
            if self._processes[place.address].is_dead:
                self._start(entry)

    def _process(self, number: int) -> ProcessModel:
        names = sorted(self._processes)
        return self._processes[names[number % len(names)]]

    def _worker(self, number: int) -> WorkerModel:
        names = sorted(self._workers)
        return self._workers[names[number % len(names)]]

    def _new_workers(self) -> dict[str, WorkerModel]:
        workers = {}
        for domain, count in self._size.workers.items():
            for number in range(count):
                name = f"w-{domain}-{number}"
                rate = self._random.uniform(SLOWEST_RATE, FASTEST_RATE)
                clock = ProcessLoop(self._timeline, rate, self._random.uniform(1.0, MILLION))
                capacity = Resources(cpu=4.0, memory_gb=16.0)
                workers[name] = WorkerModel(name, domain, capacity, clock.time, self._on_run)
        return workers

    def _on_run(self, worker: WorkerModel, run: Run) -> None:
        self._observer.on_run(worker, run, self._workers.values())

    # Operators.

    def _publish_change(self, change: str, number: int, is_racing: bool) -> None:
        current = self._observer.current
        if current is None or self._log.mode is not LogMode.OK:
            return
        document = _document_of(current.record)
        self._publish(current.version, changed_document(document, change, number))
        if is_racing:
            self._publish(current.version, changed_document(document, "declare", number + 1))

    def _publish(self, base: int, document: dict[str, object]) -> None:
        self._publications += 1
        self._log.append("config", [publication(self._publications, base, document)])

    # Links.

    def _is_connected(self, source: str, target: str) -> bool:
        return self._may_leave(source, target) and self._may_leave(target, source)

    def _may_leave(self, end: str, other: str) -> bool:
        if end in self._isolated:
            return False
        process = self._by_name.get(end)
        if process is None:
            return True
        if (end, _side_of(other)) in self._cuts:
            return False
        if process.place.failure_domain not in self._isolated:
            return True
        peer = self._by_name.get(other)
        return other != LOG and (
            peer is None or peer.place.failure_domain == process.place.failure_domain
        )

    def _send_to_peer(self, source: str, address: str, message: PeerMessage) -> None:
        target = self._processes.get(address)
        if target is None:
            return
        kind = "heartbeat" if isinstance(message, Heartbeat) else "relay"
        self._network.send(kind, source, target.name, lambda: target.receive(message))

    def _note_disturbed(self, kind: str) -> None:
        if kind.startswith("read config") or kind in ("heartbeat", "relay"):
            self._note_all_unwell()

    def _note_all_unwell(self) -> None:
        for process in self._processes.values():
            process.well_since = max(process.well_since, self.now + RECOVERY_SECONDS)

    def _note_unwell(self) -> None:
        for process in self._processes.values():
            # A process without a state isn't ready; it reads control before config.
            if process.version == 0 or not self._can_learn(process):
                process.well_since = math.inf
            elif math.isinf(process.well_since):
                process.well_since = self.now + RECOVERY_SECONDS

    def _can_learn(self, process: ProcessModel) -> bool:
        """Return whether a process can reach the log, or a peer of its domain that can."""
        if self._can_read(process):
            return True
        return not process.is_paused and any(
            self._can_read(peer) and self._is_connected(process.name, peer.name)
            for peer in self._processes.values()
            if peer.place.failure_domain == process.place.failure_domain
        )

    def _can_read(self, process: ProcessModel) -> bool:
        if process.is_dead or process.is_paused or self._log.mode is not LogMode.OK:
            return False
        return self._is_connected(process.name, LOG)


def _side_of(other: str) -> str:
    if other == LOG:
        return "log"
    return "workers" if other.startswith("worker:") else "peers"


def _document_of(record: bytes) -> dict[str, object]:
    document: dict[str, object] = msgspec.json.decode(record)["document"]
    return document


def _places(size: Size) -> list[Place]:
    return [
        Place(f"e-{domain}-{number}", domain, REGIONS[domain], f"e-{domain}-{number}:1")
        for domain, count in size.entries.items()
        for number in range(count)
    ]


def _vms(places: list[Place], workers: dict[str, WorkerModel]) -> tuple[Vm, ...]:
    live = VmState.LIVE
    entries = [
        Vm(one.entry, VmRole.ENTRY, one.failure_domain, one.region, live, one.address)
        for one in places
    ]
    machines = [
        Vm(
            name,
            VmRole.WORKER,
            one.failure_domain,
            REGIONS[one.failure_domain],
            live,
            f"{name}:1",
        )
        for name, one in workers.items()
    ]
    return (*entries, *machines)
