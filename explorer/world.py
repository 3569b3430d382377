"""Model of a whole deployment in memory: log, workers, minions and entry processes."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from random import Random

import msgspec

from dotterelhill.manifest import Resources
from dotterelhill.membership.heartbeats import Heartbeat, PeerMessage
from dotterelhill.membership.vm_list import Vm, VmRole, VmState
from explorer.log_model import LOG_ENDPOINT, LogMode, LogModel
from explorer.minion_model import MinionModel
from explorer.network import Disturbance, Network
from explorer.observer import Observer
from explorer.operators import (
    MINION_SLOTS,
    REGIONS,
    changed_document,
    encode_publication,
    initial_document,
    minion_names,
)
from explorer.process_model import EntryVm, Environment, ProcessLoop, ProcessModel
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
class DeploymentSize:
    """Number of entry VMs and of workers in each failure domain.

    :param entries: number of entry VMs by failure domain
    :param workers: number of workers by failure domain
    """

    entries: dict[str, int]
    workers: dict[str, int]


# More steps fit into the same real time with a small deployment; a larger one has more possible
# orders of events.
DEPLOYMENT_SIZES = (
    DeploymentSize({"d0": 2, "d1": 1}, {"d0": 2, "d1": 1}),
    DeploymentSize({"d0": 2, "d1": 2, "d2": 1}, {"d0": 2, "d1": 1, "d2": 1}),
)
# Bounds of the rates of all clocks: any two differ by at most the drift bound of 0.2%.
SLOWEST_CLOCK_RATE, FASTEST_CLOCK_RATE = 0.999, 1.001
# A read in progress at the end of an outage times out after 4 s; the backoff before the next one
# lasts up to 5 s.
RECOVERY_SECONDS = 10.0
MAX_CLOCK_OFFSET_SECONDS = 1_000_000.0


class World:
    """Deployment to which steps are applied.

    :param seed: determines the size, the clocks and the random choices of the processes
    """

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._size = DEPLOYMENT_SIZES[seed % len(DEPLOYMENT_SIZES)]
        self._domains = tuple(self._size.entries)
        self._random = Random(f"world {seed}")
        self._timeline = Timeline()
        self._observer = Observer(self._timeline)
        self._network = Network(self._timeline, self._is_connected, self._on_disturbed)
        self._log = LogModel(self._timeline, self._observer.on_record)
        self._cuts: set[tuple[str, str]] = set()
        self._isolated: set[str] = set()
        self._start_counts: Counter[str] = Counter()
        self._publication_count = 0
        self._entry_vms = _entry_vms(self._size)
        # By peer address; a new incarnation replaces the previous one.
        self._processes: dict[str, ProcessModel] = {}
        self._processes_by_name: dict[str, ProcessModel] = {}
        self._workers = self._create_workers()
        self._minions = {
            name: MinionModel(name, MINION_SLOTS, self._timeline)
            for domain in self._domains
            for name in minion_names(domain)
        }
        self._environment = Environment(
            self._timeline,
            self._network,
            self._log,
            self._workers,
            self._minions,
            self._observer,
            _vm_list(self._entry_vms, self._workers),
            self._send_to_peer,
        )
        self._publish(0, initial_document(self._domains))
        for entry in range(len(self._entry_vms)):
            self._start_process(entry)

    @property
    def observer(self) -> Observer:
        """Return the observer that checks the invariants."""
        return self._observer

    @property
    def now(self) -> float:
        """Return the simulated true time in seconds."""
        return self._timeline.now

    def apply(self, step: Step) -> None:
        """Apply a step and check the invariants.

        :raises InvariantBrokenError: if an invariant does not hold
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
                self._restart_recovery()
                self._log.mode = mode
            case Request(process, minion, count):
                name = sorted(self._minions)[minion % len(self._minions)]
                self._select_process(process).dispatch(name, count)
            case EndRequest(minion):
                self._minions[sorted(self._minions)[minion % len(self._minions)]].end_oldest()
            case KeyedRequest(process, key):
                self._select_process(process).handle_keyed_request(f"key {key}".encode())
            case Start(entry):
                self._start_process(entry % len(self._entry_vms))
            case _:
                self._apply_failure(step)
        self._check_manifests()

    def _apply_failure(self, step: Step) -> None:
        match step:
            case Crash(process):
                self._select_process(process).crash()
            case Leave(process):
                self._select_process(process).leave()
            case Pause(process):
                self._select_process(process).is_paused = True
            case Resume(order):
                self._resume(order)
            case Cut(process, side):
                self._cuts.add((self._select_process(process).name, side))
            case IsolateWorker(worker):
                self._isolated.add(f"worker:{self._select_worker(worker).name}")
            case RestartWorker(worker):
                self._select_worker(worker).restart()
            case IsolateDomain(domain):
                self._isolated.add(self._domains[domain % len(self._domains)])
            case Heal():
                self._heal()
            case Repair():
                self._repair()
        self._update_health()

    def _check_manifests(self) -> None:
        self._update_health()
        for process in self._processes.values():
            if not process.is_dead and not process.is_paused:
                name, healthy_since = process.name, process.healthy_since
                self._observer.check_manifest_in_force(name, process.version, healthy_since)

    def _start_process(self, entry: int) -> None:
        entry_vm = self._entry_vms[entry]
        previous = self._processes.get(entry_vm.address)
        if previous is not None:
            previous.crash()
            del self._processes_by_name[previous.name]
        self._start_counts[entry_vm.entry] += 1
        incarnation = f"{entry_vm.entry}/{self._start_counts[entry_vm.entry]:016x}"
        random = Random(f"{self._seed} {incarnation}")
        rate = random.uniform(SLOWEST_CLOCK_RATE, FASTEST_CLOCK_RATE)
        loop = ProcessLoop(self._timeline, rate, random.uniform(1.0, MAX_CLOCK_OFFSET_SECONDS))
        process = ProcessModel(incarnation, entry_vm, loop, self._environment, random)
        process.healthy_since = self.now + RECOVERY_SECONDS
        self._processes[entry_vm.address] = self._processes_by_name[incarnation] = process

    def _resume(self, order: int) -> None:
        for process in self._processes.values():
            if process.is_paused and not process.is_dead:
                process.healthy_since = self.now + RECOVERY_SECONDS
                process.resume(Random(order))

    def _heal(self) -> None:
        self._cuts.clear()
        self._isolated.clear()

    def _repair(self) -> None:
        self._heal()
        self._log.mode = LogMode.OK
        self._resume(0)
        for entry, entry_vm in enumerate(self._entry_vms):
            if self._processes[entry_vm.address].is_dead:
                self._start_process(entry)

    def _select_process(self, number: int) -> ProcessModel:
        names = sorted(self._processes)
        return self._processes[names[number % len(names)]]

    def _select_worker(self, number: int) -> WorkerModel:
        names = sorted(self._workers)
        return self._workers[names[number % len(names)]]

    def _create_workers(self) -> dict[str, WorkerModel]:
        workers = {}
        for domain, count in self._size.workers.items():
            for number in range(count):
                name = f"w-{domain}-{number}"
                rate = self._random.uniform(SLOWEST_CLOCK_RATE, FASTEST_CLOCK_RATE)
                clock = ProcessLoop(
                    self._timeline, rate, self._random.uniform(1.0, MAX_CLOCK_OFFSET_SECONDS)
                )
                capacity = Resources(cpu=4.0, memory_gb=16.0)
                workers[name] = WorkerModel(name, domain, capacity, clock.time, self._on_run)
        return workers

    def _on_run(self, worker: WorkerModel, run: Run) -> None:
        self._observer.on_run(worker, run, self._workers.values())

    # Changes by operators.

    def _publish_change(self, change: str, number: int, is_racing: bool) -> None:
        current = self._observer.current
        if current is None or self._log.mode is not LogMode.OK:
            return
        document = _decode_document(current.record)
        self._publish(current.version, changed_document(document, change, number))
        if is_racing:
            self._publish(current.version, changed_document(document, "declare", number + 1))

    def _publish(self, base: int, document: dict[str, object]) -> None:
        self._publication_count += 1
        self._log.append("config", [encode_publication(self._publication_count, base, document)])

    # Connections between endpoints.

    def _is_connected(self, source: str, target: str) -> bool:
        return self._has_route(source, target) and self._has_route(target, source)

    def _has_route(self, source: str, target: str) -> bool:
        if source in self._isolated:
            return False
        process = self._processes_by_name.get(source)
        if process is None:
            return True
        if (source, _cut_side(target)) in self._cuts:
            return False
        if process.entry_vm.failure_domain not in self._isolated:
            return True
        peer = self._processes_by_name.get(target)
        return target != LOG_ENDPOINT and (
            peer is None or peer.entry_vm.failure_domain == process.entry_vm.failure_domain
        )

    def _send_to_peer(self, source: str, address: str, message: PeerMessage) -> None:
        target = self._processes.get(address)
        if target is None:
            return
        kind = "heartbeat" if isinstance(message, Heartbeat) else "relay"
        self._network.send(kind, source, target.name, lambda: target.receive(message))

    def _on_disturbed(self, kind: str) -> None:
        if kind.startswith("read config") or kind in ("heartbeat", "relay"):
            self._restart_recovery()

    def _restart_recovery(self) -> None:
        for process in self._processes.values():
            process.healthy_since = max(process.healthy_since, self.now + RECOVERY_SECONDS)

    def _update_health(self) -> None:
        for process in self._processes.values():
            # A process without a restored ledger isn't ready; it reads control before config.
            if process.version == 0 or not self._has_manifest_source(process):
                process.healthy_since = math.inf
            elif math.isinf(process.healthy_since):
                process.healthy_since = self.now + RECOVERY_SECONDS

    def _has_manifest_source(self, process: ProcessModel) -> bool:
        """Return whether a process can reach the log, or a peer of its domain that can reach it."""
        if self._has_log_access(process):
            return True
        return not process.is_paused and any(
            self._has_log_access(peer) and self._is_connected(process.name, peer.name)
            for peer in self._processes.values()
            if peer.entry_vm.failure_domain == process.entry_vm.failure_domain
        )

    def _has_log_access(self, process: ProcessModel) -> bool:
        if process.is_dead or process.is_paused or self._log.mode is not LogMode.OK:
            return False
        return self._is_connected(process.name, LOG_ENDPOINT)


def _cut_side(target: str) -> str:
    if target == LOG_ENDPOINT:
        return "log"
    return "workers" if target.startswith("worker:") else "peers"


def _decode_document(record: bytes) -> dict[str, object]:
    document: dict[str, object] = msgspec.json.decode(record)["document"]
    return document


def _entry_vms(size: DeploymentSize) -> list[EntryVm]:
    return [
        EntryVm(f"e-{domain}-{number}", domain, REGIONS[domain], f"e-{domain}-{number}:1")
        for domain, count in size.entries.items()
        for number in range(count)
    ]


def _vm_list(entry_vms: list[EntryVm], workers: dict[str, WorkerModel]) -> tuple[Vm, ...]:
    live = VmState.LIVE
    entries = [
        Vm(vm.entry, VmRole.ENTRY, vm.failure_domain, vm.region, live, vm.address)
        for vm in entry_vms
    ]
    worker_vms = [
        Vm(
            name,
            VmRole.WORKER,
            worker.failure_domain,
            REGIONS[worker.failure_domain],
            live,
            f"{name}:1",
        )
        for name, worker in workers.items()
    ]
    return (*entries, *worker_vms)
