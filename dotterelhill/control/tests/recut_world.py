"""Seeded search for runs that calls to a former life of a minion cause on the present one.

By hand: ``python -m dotterelhill.control.tests.recut_world FIRST_SEED LAST_SEED (late|prompt)
[KIND ...]``, where "prompt" plays without calls that the platform delays.
"""

from __future__ import annotations

import logging
import sys
from collections import Counter
from random import Random

from dotterelhill.control.interface import Record, Stream
from dotterelhill.control.tests.domain_world import DOMAINS, DomainFleet, domain_of
from dotterelhill.control.tests.takeover_world import (
    ENTRY_SECONDS,
    TROUBLE_SECONDS,
    FleetMinion,
)
from dotterelhill.jobs.model import Step, TaskKey

# Share of the jobs whose tasks run at least for a time, if they start before the end of troubles.
LONG_SHARE = 0.35
LONG_SECONDS = 12.0
# The last calls without an answer are carried out before the rule for idle jobs counts.
CALL_FAULT_SECONDS = 30.0


class RecutFleet(DomainFleet):
    """Fleet whose crashed minions all start again under their ids and are cut off soon after."""

    is_always_late = True
    late_seconds = (0.2, 12.0)
    has_late_acknowledgements = True

    def duration_of(self, key: TaskKey, step: Step) -> float:
        seconds = super().duration_of(key, step)
        is_long = Random(f"{self.seed}{key.job_id}").random() < LONG_SHARE
        if is_long and self.now < TROUBLE_SECONDS:
            return max(seconds, LONG_SECONDS)
        return seconds

    def replace_crashed(self, minion: FleetMinion) -> None:
        self.counts["minions reborn under their ids"] += 1
        self.begin_minion(minion.minion_id, minion.address)

    def cut_off(self, minion: FleetMinion, seconds: float) -> None:
        super().cut_off(minion, seconds)
        self.counts["minions cut off"] += 1
        self.at(ENTRY_SECONDS, lambda: self.remove_entry(minion))

    def remove_entry(self, minion: FleetMinion) -> None:
        if minion.is_alive and not self.is_reached(minion):
            minion.is_listed = False
            self.store.streams[Stream.MINIONS, 0].append(Record(minion.minion_id, None))

    def recut_share(self, share: float) -> None:
        """Crash a share of the minions, and cut their next lives off."""
        random = self.random
        usable = self.usable
        cut_delay, cut_seconds = random.uniform(1.0, 3.0), random.uniform(7.0, 9.5)
        for minion in random.sample(usable, int(share * len(usable))):
            self.recut(minion, random.uniform(0.3, 1.0), cut_delay, cut_seconds)

    def recut(
        self, minion: FleetMinion, down_seconds: float, cut_delay: float, cut_seconds: float
    ) -> None:
        """Crash a minion, and cut its next life off.

        :param cut_delay: time from the begin of that life to the cut
        """
        self.crash_minion(minion, down_seconds)
        self.at(
            down_seconds + cut_delay,
            lambda: self.cut_off(self.by_address[minion.address], cut_seconds),
        )

    def plan(self, kind: str) -> None:
        random = self.random
        self.call_fault_share = random.choice([0.02, 0.05, 0.1])
        self.at(CALL_FAULT_SECONDS, self.end_call_faults)
        wave_count = random.randint(3, 4)
        begin, gap = random.uniform(2.0, 4.0), random.uniform(20.0, 24.0) / wave_count
        for number in range(wave_count):
            at, share = begin + gap * number, random.uniform(1 / 3, 1 / 2)
            self.at(at, lambda share=share: self.recut_share(share))
            if random.random() < 0.2:
                self.at(at + random.uniform(0.0, 5.0), lambda: self.kill_leader(1.0))
        self.plan_submissions()


class RebirthFleet(RecutFleet):
    """Fleet whose minions begin their clocks anywhere and reset no connections when they crash.

    :param kind: further circumstance of the rebirths; see ``KINDS``
    """

    are_crashes_silent = True
    # Longest first reading of the clock of a life, in seconds.
    clock_seconds = 500.0
    # Share of the calls that are carried out late; None to draw it.
    late_share: float | None = None

    def __init__(self, seed: int, kind: str) -> None:
        self.kind = kind
        self.held_share = 0.5 if kind == "held" else 0.0
        self._cut_from_leader_until = dict.fromkeys(DOMAINS, float("-inf"))
        # Its draws leave those of the day as they are.
        self._births = Random(f"{seed}births")
        super().__init__(seed)

    # Connections

    def has_path(self, caller: str, address: str) -> bool:
        is_minion = address in self.by_address
        if is_minion and caller in self.leaders and self.is_cut_from_leader(address):
            return False
        return super().has_path(caller, address)

    def is_cut_from_leader(self, address: str) -> bool:
        return self.now < self._cut_from_leader_until[domain_of(address)]

    def is_reached(self, minion: FleetMinion) -> bool:
        return super().is_reached(minion) and not self.is_cut_from_leader(minion.address)

    def cut_from_leader(self, domain: str, seconds: float) -> None:
        self.note_trouble()
        self._cut_from_leader_until[domain] = self.now + seconds
        self.at(seconds, self.note_trouble)

    # Minions

    def prepare_minion(self, minion: FleetMinion) -> None:
        super().prepare_minion(minion)
        minion.first_clock = self._births.uniform(0.0, self.clock_seconds)

    def replace_crashed(self, minion: FleetMinion) -> None:
        if self.kind == "clock set back" and self._births.random() < 0.5:
            self._wall_steps[minion.address] -= self._births.uniform(2.0, 60.0)
        super().replace_crashed(minion)

    def announce(self, minion: FleetMinion) -> None:
        if self.kind != "late entry" or minion.born_at == 0.0:
            super().announce(minion)
            return
        # The end of a cut writes the entry otherwise.
        delay = self._births.uniform(0.0, 1.1)
        self.at(delay, lambda: self.is_reached(minion) and self.write_living(minion))

    # Troubles

    def recut_share(self, share: float) -> None:
        super().recut_share(share)
        delay = self.random.uniform(0.3, 3.0)
        match self.kind:
            case "leader killed":
                self.at(delay, lambda: self.kill_leader(1.0))
            case "leader isolated":
                seconds = self.random.uniform(1.0, 5.0)
                self.at(delay, lambda: self.isolate_leader(seconds))

    def recut(
        self, minion: FleetMinion, down_seconds: float, cut_delay: float, cut_seconds: float
    ) -> None:
        births = self._births
        match self.kind:
            case "soon cut" | "late entry":
                cut_delay = births.uniform(0.1, 3.0)
            case "behind a cut":
                cut_delay = -births.uniform(0.0, down_seconds)
                if births.random() < 0.5:
                    self.cut_off(minion, cut_seconds)
                    delay = births.uniform(0.0, cut_seconds - down_seconds)
                    self.at(delay, lambda: self.crash_minion(minion, down_seconds))
                    return
            case "reborn twice":
                delay = down_seconds + births.uniform(1.0, 10.0)
                again = births.uniform(0.3, 1.0)
                self.at(delay, lambda: self.crash_minion(self.by_address[minion.address], again))
            case "domain cut":
                self.crash_minion(minion, down_seconds)
                domain = domain_of(minion.address)
                delay = down_seconds + cut_delay - 1.0
                self.at(delay, lambda: self.cut_from_leader(domain, cut_seconds))
                return
        super().recut(minion, down_seconds, cut_delay, cut_seconds)

    def plan(self, kind: str) -> None:
        super().plan(kind)
        if self.late_share is not None:
            self.call_fault_share = self.late_share


KINDS = (
    "plain",
    "late entry",
    "soon cut",
    "behind a cut",
    "reborn twice",
    "leader killed",
    "leader isolated",
    "domain cut",
    "held",
    "clock set back",
)


def play(seed: int) -> tuple[dict[str, str], Counter[str]]:
    """Play the day of a seed; return its faults and counts."""
    fleet = RecutFleet(seed)
    try:
        return fleet.play("recut"), fleet.counts
    finally:
        fleet.close()


def play_rebirths(seed: int, kind: str, *, has_late_calls: bool) -> tuple[dict[str, str], Counter]:
    """Play the day of a seed with rebirths of a kind; return its faults and counts."""
    fleet = RebirthFleet(seed, kind)
    if not has_late_calls:
        fleet.late_share = 0.0
    try:
        return fleet.play("recut"), fleet.counts
    finally:
        fleet.close()


def main() -> None:
    logging.disable()
    kinds = sys.argv[4:] or KINDS
    for seed in range(int(sys.argv[1]), int(sys.argv[2]) + 1):
        for kind in kinds:
            faults, counts = play_rebirths(seed, kind, has_late_calls=sys.argv[3] == "late")
            print(f"seed {seed} {kind}: {len(faults)} faults, {dict(counts)}")
            for text in faults.values():
                print(f"  {text}", flush=True)


if __name__ == "__main__":
    main()
