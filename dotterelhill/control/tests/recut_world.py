"""Seeded search for runs that calls to a former life of a minion cause on the present one.

By hand: ``python -m dotterelhill.control.tests.recut_world FIRST_SEED LAST_SEED``.
"""

from __future__ import annotations

import logging
import sys
from collections import Counter
from random import Random

from dotterelhill.control.interface import Record, Stream
from dotterelhill.control.tests.domain_world import DomainFleet
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
            down_seconds = random.uniform(0.3, 1.0)
            self.crash_minion(minion, down_seconds)
            self.at(
                down_seconds + cut_delay,
                lambda address=minion.address: self.cut_off(self.by_address[address], cut_seconds),
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


def play(seed: int) -> tuple[dict[str, str], Counter[str]]:
    """Play the day of a seed; return its faults and counts."""
    fleet = RecutFleet(seed)
    try:
        return fleet.play("recut"), fleet.counts
    finally:
        fleet.close()


def main() -> None:
    logging.disable()
    for seed in range(int(sys.argv[1]), int(sys.argv[2]) + 1):
        faults, counts = play(seed)
        print(f"seed {seed}: {len(faults)} faults, {dict(counts)}")
        for text in faults.values():
            print(f"  {text}", flush=True)


if __name__ == "__main__":
    main()
