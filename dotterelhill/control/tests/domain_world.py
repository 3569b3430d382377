"""Seeded search for work lost to troubles of whole failure domains and to steps of wall clocks.

By hand: ``python -m dotterelhill.control.tests.domain_world FIRST_SEED LAST_SEED``.
"""

from __future__ import annotations

import logging
import sys
from collections import Counter
from collections.abc import Callable

from dotterelhill.control.interface import Record, Stream
from dotterelhill.control.relay_messages import SILENCE_SECONDS
from dotterelhill.control.tests.cluster_world import HOLD_SECONDS, Process
from dotterelhill.control.tests.takeover_world import (
    ENTRY_SECONDS,
    TROUBLE_SECONDS,
    Fleet,
    FleetMinion,
)

DOMAINS = ("z0", "z1", "z2")
KINDS = ("loss", "cut", "step", "mix")
# Wall-clock time at the start of a play, in seconds.
WALL_SECONDS = 1e6
HEARTBEAT_SECONDS = 1.1


def domain_of(name: str) -> str:
    """Return the failure domain of a process, named by a letter, or of a minion's address."""
    number = int(name[1:]) if name[1:] else ord(name)
    return DOMAINS[number % len(DOMAINS)]


class DomainFleet(Fleet):
    """Fleet in several failure domains, which lose power or are cut off as a whole.

    Crashed minions may start again under their ids. Each machine has a wall clock of its own, whose
    steps outlast its restarts.
    """

    def __init__(self, seed: int) -> None:
        self._powered_from = dict.fromkeys(DOMAINS, 0.0)
        # Begin and end of the newest cut of each domain.
        self._cut_at = dict.fromkeys(DOMAINS, float("inf"))
        self._cut_until = dict.fromkeys(DOMAINS, float("-inf"))
        self._wall_steps: Counter[str] = Counter()
        super().__init__(seed)

    # Connections

    def is_cut(self, domain: str) -> bool:
        return self.now < self._cut_until[domain]

    def has_path(self, caller: str, address: str) -> bool:
        ends = {domain_of(caller), domain_of(address)}
        return len(ends) == 1 or not any(self.is_cut(domain) for domain in ends)

    def connected_until(self, receiver: str, sender: str) -> float:
        if self.has_path(receiver, sender):
            return self.now
        ends = (domain_of(receiver), domain_of(sender))
        return min(self._cut_at[domain] for domain in ends if self.is_cut(domain))

    def possible_witnesses(self, name: str) -> list[Process]:
        connected = []
        for process in super().possible_witnesses(name):
            # The leader notices a lost connection by the silence of the relay.
            if self.now - self.connected_until(name, process.name) <= SILENCE_SECONDS:
                connected.append(process)
        domain = domain_of(name)
        elsewhere = [process for process in connected if domain_of(process.name) != domain]
        return elsewhere or connected

    def is_reached(self, minion: FleetMinion) -> bool:
        return super().is_reached(minion) and not self.is_cut(domain_of(minion.address))

    # Wall clocks

    def wall_offset(self, machine: str) -> float:
        return WALL_SECONDS + self._wall_steps[machine]

    def unix_ms(self, name: str) -> int:
        return int(1000 * (self.now + self.wall_offset(name)))

    # Processes and minions

    def start(self, name: str) -> None:
        dark_seconds = self._powered_from[domain_of(name)] - self.now
        if dark_seconds > 0.0:
            self.at(dark_seconds + self.random.uniform(0.8, 1.2), lambda: self.start_again(name))
            return
        super().start(name)
        self.processes[name].store.is_cut_off = self.is_cut(domain_of(name))

    def start_again(self, name: str) -> None:
        self.note_trouble()
        self.start(name)
        self.configure()

    def add_minion(self, address: str) -> None:
        def begin() -> None:
            # Minions that waited for power may have been given the same new address.
            known = self.by_address.get(address)
            if known is None or not known.is_alive:
                super(DomainFleet, self).add_minion(address)

        self.begin_with_power(address, begin)

    def begin_with_power(self, address: str, begin: Callable[[], None]) -> None:
        dark_seconds = self._powered_from[domain_of(address)] - self.now
        if dark_seconds > 0.0:
            delay = dark_seconds + self.random.uniform(0.0, 1.0)
            self.at(delay, lambda: self.begin_with_power(address, begin))
        else:
            begin()

    def prepare_minion(self, minion: FleetMinion) -> None:
        minion.wall_offset = self.wall_offset(minion.address)
        minion.max_hold_ms = 1000 * HOLD_SECONDS

    def replace_crashed(self, minion: FleetMinion) -> None:
        if self.random.random() < 0.5:
            self.counts["minions reborn under their ids"] += 1
            name, address = minion.minion_id, minion.address
            self.begin_with_power(address, lambda: self.begin_minion(name, address))
        else:
            super().replace_crashed(minion)

    def entry_of(self, minion: FleetMinion) -> str:
        return f"{super().entry_of(minion)}@{domain_of(minion.address)}"

    def write_entry(self, minion: FleetMinion) -> None:
        newest = self.by_address[minion.address]
        if newest is not minion and newest.minion_id == minion.minion_id:
            return
        if minion.is_alive and self.is_cut(domain_of(minion.address)):
            return
        super().write_entry(minion)

    # Troubles

    def lose_domain(self, domain: str, seconds: float) -> None:
        """Let all processes and minions of a failure domain lose power for a time."""
        self.note_trouble()
        self.counts["domains without power"] += 1
        self._powered_from[domain] = max(self._powered_from[domain], self.now + seconds)
        for name, process in list(self.processes.items()):
            if domain_of(name) == domain and not process.store.is_down:
                # Also a process that hangs.
                process.is_running = True
                self.kill_process(name, seconds)
        for minion in self.every_minion:
            if domain_of(minion.address) == domain:
                self.crash_minion(minion, seconds)

    def cut_domain(self, domain: str, seconds: float) -> None:
        """Let a failure domain reach neither the store nor other domains for a time."""
        self.note_trouble()
        self.counts["domains cut off"] += 1
        if not self.is_cut(domain):
            self._cut_at[domain] = self.now
        self._cut_until[domain] = max(self._cut_until[domain], self.now + seconds)
        self.apply_cut(domain)
        self.at(ENTRY_SECONDS, lambda: self.remove_cut_entries(domain))
        self.at(seconds, lambda: self.end_cut(domain))

    def apply_cut(self, domain: str) -> None:
        for name, process in self.processes.items():
            if domain_of(name) == domain:
                process.store.is_cut_off = self.is_cut(domain)

    def remove_cut_entries(self, domain: str) -> None:
        if not self.is_cut(domain) or self.now - self._cut_at[domain] < ENTRY_SECONDS - 0.05:
            return
        for minion in self.every_minion:
            if minion.is_listed and domain_of(minion.address) == domain:
                minion.is_listed = False
                self.store.streams[Stream.MINIONS, 0].append(Record(minion.minion_id, None))

    def end_cut(self, domain: str) -> None:
        if self.is_cut(domain):
            return
        self.note_trouble()
        self.apply_cut(domain)
        for minion in list(self.every_minion):
            if minion.is_alive and domain_of(minion.address) == domain:
                delay = self.random.uniform(0.0, HEARTBEAT_SECONDS)
                self.at(delay, lambda minion=minion: self.write_living(minion))

    def write_living(self, minion: FleetMinion) -> None:
        if minion.is_alive:
            self.write_entry(minion)

    def step_clocks(self) -> None:
        """Let wall clocks jump: of the leader, of all processes, or of a share of all machines."""
        self.counts["steps of clocks"] += 1
        random = self.random
        machines = random.choice(
            [self.leaders, list(self.processes), [*self.processes, *self.by_address]]
        )
        seconds = random.choice([-1.0, 1.0]) * random.uniform(2.0, 60.0)
        for machine in machines:
            if len(machines) == 1 or random.random() < 0.6:
                self._wall_steps[machine] += seconds

    # Play

    def check_end(self) -> None:
        super().check_end()
        if len(self.leaders) != 1:
            return
        scheduler = self.processes[self.leaders[0]].election.leader.scheduler
        for minion in self.usable:
            known = scheduler.minions.get(minion.minion_id)
            if known is None or known.facts.born_ms != minion.born_ms or not known.is_answering:
                self.fault(minion.minion_id, f"is not in use, born {minion.born_ms}")

    def plan(self, kind: str) -> None:
        random = self.random
        self.call_fault_share = random.choice([0.0, 0.0, 0.02])
        self.at(TROUBLE_SECONDS + 2.0, self.end_call_faults)
        domains = random.sample(DOMAINS, 2)
        # The first two troubles may be of the same domain.
        domains[1] = random.choice(domains)
        times = [random.uniform(2.0, 8.0), random.uniform(15.0, 21.0)]
        if random.random() < 0.3:
            times[1] = times[0] + random.uniform(0.5, 9.0)
        for domain, begin in zip(domains[: random.randint(1, 2)], times, strict=False):
            seconds = random.choice([random.uniform(0.5, 4.0), random.uniform(4.0, 9.0)])
            trouble = self.lose_domain if kind == "loss" else self.cut_domain
            if kind == "mix":
                trouble = random.choice([self.lose_domain, self.cut_domain])
            if kind == "step":
                self.plan_steps(begin)
            else:
                self.at(begin, lambda t=trouble, d=domain, s=seconds: t(d, s))
                self.plan_overlaps(begin, seconds)
            if kind == "mix":
                self.plan_steps(begin)
        self.plan_submissions()

    def plan_steps(self, begin: float) -> None:
        """Plan steps of clocks, and the crashes and kills after which the clocks are read."""
        random = self.random
        for _ in range(random.randint(1, 2)):
            self.at(begin + random.uniform(-1.0, 2.0), self.step_clocks)
        if random.random() < 0.7:
            self.at(begin + random.uniform(0.0, 3.0), lambda: self.crash_share(1 / 3))
        if random.random() < 0.5:
            self.at(begin + random.uniform(0.0, 3.0), lambda: self.kill_leader(1.0))

    def plan_overlaps(self, begin: float, seconds: float) -> None:
        """Plan other troubles near a trouble of a failure domain, or none."""
        random = self.random
        if random.random() < 0.25:
            return
        for _ in range(random.randint(1, 3)):
            # Near the begin, near the end or in between.
            at = begin + random.choice([0.0, seconds, random.uniform(0.0, seconds)])
            at += random.uniform(-1.5, 1.5)
            match random.randrange(5):
                case 0 | 1:
                    down_seconds = random.choice([1.0, 1.0, 4.0])
                    self.at(at, lambda s=down_seconds: self.kill_leader(s))
                case 2:
                    away_seconds, share = random.uniform(0.5, 3.0), random.choice([0.0, 0.5, 1.0])
                    self.at(at, lambda s=away_seconds, share=share: self.silence_store(s, share))
                case 3:
                    hang_seconds = random.uniform(1.0, 5.0)
                    self.at(at, lambda s=hang_seconds: self.isolate_leader(s))
                case 4:
                    self.at(at, random.choice([self.replace_minion, self.crash_for_good]))


def play(seed: int) -> tuple[dict[str, str], Counter[str]]:
    """Play the day of a seed; return its faults and counts."""
    fleet = DomainFleet(seed)
    try:
        return fleet.play(KINDS[seed % len(KINDS)]), fleet.counts
    finally:
        fleet.close()


def main() -> None:
    logging.disable()
    for seed in range(int(sys.argv[1]), int(sys.argv[2]) + 1):
        faults, counts = play(seed)
        print(f"seed {seed} {KINDS[seed % len(KINDS)]}: {len(faults)} faults, {dict(counts)}")
        for text in faults.values():
            print(f"  {text}", flush=True)


if __name__ == "__main__":
    main()
