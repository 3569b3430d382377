"""Simulated failure domain: decision code of several processes, one log and lossy links."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from itertools import count

from dotterelhill.holdings import decision as decision_module
from dotterelhill.holdings.events import (
    AppendHold,
    AppendJoin,
    AppendLeave,
    AppendRelease,
    DrainMinion,
    EvidenceSeen,
    Folded,
    HoldSeen,
    JoinSeen,
    LeaveSeen,
    LiveSeen,
    MinionDrained,
    MinionShare,
    PeerHeard,
    ReleaseSeen,
    ResourcesSeen,
    StopFinished,
    Tick,
)
from dotterelhill.holdings.interface import Permit
from dotterelhill.ledger import Hold, Join, Leave, Release
from dotterelhill.ledger.holders import Holders

DOMAIN = "caxias"
STEP_SECONDS = 0.5
LIVE_VIEW_SECONDS = 3.0
REQUEST_SECONDS = 30.0


class SimulatedLog:
    """Log that orders records and keeps those that the ledger accepts."""

    def __init__(self):
        self.holders, self.accepted, self.end = Holders(), [], 0

    def append(self, record):
        self.end += 1
        match record:
            case Join(incarnation=incarnation, entry=entry):
                refusal = self.holders.join(self.end, record)
                event = JoinSeen(self.end, incarnation, entry, DOMAIN)
            case Leave():
                refusal, event = self.holders.leave(self.end, record), LeaveSeen(record.incarnation)
            case Hold(resource=resource, holder=holder):
                refusal = self.holders.hold(self.end, record)
                event = HoldSeen(self.end, resource, holder)
            case Release(resource=resource, token=token):
                refusal, event = self.holders.release(record), ReleaseSeen(resource, token)
        if refusal is None:
            self.accepted.append((self.end, event))

    def holder_of(self, resource):
        holding = self.holders.holding(resource)
        return holding.holder if holding else ""


@dataclass
class Process:
    incarnation: str
    decision: object
    clock_rate: float = 1.0
    clock_offset: float = 0.0
    is_paused: bool = False
    is_dead: bool = False
    is_log_cut: bool = False
    is_stopped: bool = False
    read_latency_seconds: float = 0.0
    heard: dict = field(default_factory=dict)
    stamps: dict = field(default_factory=dict)
    live: frozenset = frozenset()
    in_flight: dict = field(default_factory=dict)
    tokens: dict = field(default_factory=dict)

    @property
    def is_running(self):
        return not (self.is_paused or self.is_dead or self.is_stopped)

    def local_time(self, now):
        return now * self.clock_rate + self.clock_offset

    def in_flight_count(self, minion, now):
        ends = [end for end in self.in_flight.get(minion, ()) if end > now]
        self.in_flight[minion] = ends
        return len(ends)


class Domain:
    def __init__(self, names, minions=2, slots=8, autonomy=120.0):
        self.now, self.log, self.processes = 0.0, SimulatedLog(), []
        self.slots, self.autonomy = slots, autonomy
        self.minions = [f"m{number}" for number in range(minions)]
        self.cut_links, self.delay = set(), 0.01
        self.is_log_down, self.loses_answers = False, False
        self.events, self.order = [], count()
        for name in names:
            self.start(name)

    def start(self, name, clock_rate=1.0):
        incarnation = f"{name}/{len(self.processes):016x}"
        decision = decision_module.HoldingsDecision(incarnation, name, DOMAIN)
        process = Process(
            incarnation, decision, clock_rate, clock_offset=1000.0 * len(self.processes)
        )
        self.processes.append(process)
        whole = MinionShare(Permit(self.slots, self.slots * 8))
        shares = dict.fromkeys(self.minions, whole)
        self.send_event(process, ResourcesSeen(shares, frozenset({"w0"}), self.autonomy))
        return process

    def newest_process(self, name):
        return [one for one in self.processes if one.incarnation.startswith(f"{name}/")][-1]

    def send_event(self, process, event):
        for action in process.decision.decide(event, process.local_time(self.now)):
            self._perform(process, action)

    def advance(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            self._run_due_actions()
            for process in self.processes:
                if process.is_running:
                    self._step(process)
            self.check_minion_use()

    def permit(self, process, minion):
        if not process.is_running:
            return Permit(0, 0)
        return process.decision.permit_for(minion, process.local_time(self.now))

    def check_minion_use(self):
        for minion in self.minions:
            slots = connections = 0
            for process in self.processes:
                used, permit = (
                    process.in_flight_count(minion, self.now),
                    self.permit(process, minion),
                )
                slots += max(used, permit.slots)
                connections += max(used, permit.connections)
            assert slots <= self.slots, f"{minion}: {slots} of {self.slots} at {self.now}"
            assert connections <= self.slots * 8, f"{minion}: {connections} at {self.now}"

    def _schedule(self, delay, action):
        heapq.heappush(self.events, (self.now + delay, next(self.order), action))

    def _run_due_actions(self):
        while self.events and self.events[0][0] <= self.now:
            heapq.heappop(self.events)[2]()

    def _step(self, process):
        if not (process.is_log_cut or self.is_log_down):
            self._read(process)
        self._refresh_live(process)
        for minion in process.decision.draining_minions:
            if process.in_flight_count(minion, self.now) == 0:
                self.send_event(process, MinionDrained(minion))
        self.send_event(process, Tick())
        if self.now % 1.0 == 0.0:
            self._send_heartbeats(process)
        for minion in self.minions:
            permit, used = self.permit(process, minion), process.in_flight_count(minion, self.now)
            end = self.now + REQUEST_SECONDS / process.clock_rate
            process.in_flight[minion] += [end] * max(0, permit.slots - used)

    def _read(self, process):
        sent_at, end = process.local_time(self.now), self.log.end

        def answer():
            if process.is_running:
                self._fold(process, end)
                self.send_event(process, EvidenceSeen(sent_at, end))

        if process.read_latency_seconds:
            self._schedule(process.read_latency_seconds, answer)
            return
        answer()

    def _fold(self, process, end):
        if end <= process.decision.folded_offset:
            return
        for offset, event in self.log.accepted:
            if not process.decision.folded_offset < offset <= end:
                continue
            if isinstance(event, HoldSeen):
                process.tokens[event.resource] = event.offset
            self.send_event(process, event)
        self.send_event(process, Folded(end))

    def _refresh_live(self, process):
        now = process.local_time(self.now)
        live = frozenset(one for one, at in process.heard.items() if now - at <= LIVE_VIEW_SECONDS)
        live |= {process.incarnation}
        if live != process.live:
            process.live = live
            self.send_event(process, LiveSeen(live))

    def _send_heartbeats(self, process):
        now = process.local_time(self.now)
        for other in self.processes:
            if other is process:
                continue
            if (process.incarnation, other.incarnation) in self.cut_links:
                continue
            echo = process.stamps.get(other.incarnation, 0.0)
            is_promise = process.decision.promise_to(other.incarnation, now)
            through = process.decision.folded_offset
            age = now - process.decision.evidence_at
            heard = PeerHeard(process.incarnation, through, through, age, echo, is_promise)
            self._schedule(
                self.delay, lambda o=other, h=heard, s=now: self._receive_heartbeat(o, h, s)
            )

    def _receive_heartbeat(self, process, heard, stamp):
        if not process.is_running:
            return
        process.heard[heard.sender] = process.local_time(self.now)
        process.stamps[heard.sender] = max(stamp, process.stamps.get(heard.sender, stamp))
        self.send_event(process, heard)
        if process.is_log_cut or self.is_log_down:
            self._fold(process, heard.control_offset)

    def _perform(self, process, action):
        name = process.incarnation
        match action:
            case AppendJoin():
                entry = name.partition("/")[0]
                record = Join(incarnation=name, entry=entry, failure_domain=DOMAIN)
            case AppendHold(resource):
                previous = process.tokens.get(resource, 0)
                record = Hold(resource=resource, holder=name, previous=previous)
            case AppendRelease(resource, token):
                record = Release(resource=resource, token=token)
            case AppendLeave():
                record = Leave(incarnation=name)
            case StopFinished():
                process.is_stopped = True
                return
            case DrainMinion():
                return
        if not (process.is_log_cut or self.is_log_down):
            self._schedule(process.read_latency_seconds / 2, lambda: self.log.append(record))
