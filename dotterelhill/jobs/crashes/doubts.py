"""Crashes that were counted although their minions may only have been cut off."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from dotterelhill.jobs.crashes.platform_crashes import COMMON_BIRTH_MS, MIN_INNOCENT_MINIONS
from dotterelhill.jobs.model import Task, TaskKey

# A minion that was not heard of for this time counts as gone.
OPEN_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class Doubt:
    """A crash counted against a task when the lease of its minion ended.

    :param at: loop time of the count
    :param is_of_one_job: whether only the task's job can have caused the crash, if there was one
    :param is_otherwise_doubtful: whether the crash is in doubt even if the minion is gone
    :param is_first: whether no other crash was counted against the task since it survived
    """

    key: TaskKey
    at: float
    is_of_one_job: bool = False
    is_otherwise_doubtful: bool = True
    is_first: bool = False


@dataclass(frozen=True, slots=True, eq=False)
class Rebirth:
    """First listing of an incarnation, with the doubts about earlier ones of its minion.

    :param job_ids: jobs that may have ended the earlier ones
    :param is_innocent: whether no task may have done so that was suspected before
    """

    minion_id: str
    born_ms: int
    doubts: list[Doubt]
    job_ids: frozenset[str]
    is_innocent: bool


def take_common_doubts(rebirths: Iterable[Rebirth], born_ms: int) -> Iterator[tuple[str, Doubt]]:
    """Yield and forget the doubts, with their minions, that a common restart explains.

    Minions that began again together ended for a common cause. That is not the task of a job that
    two innocent ones of them did not run.
    """
    together = [one for one in rebirths if abs(one.born_ms - born_ms) <= COMMON_BIRTH_MS]
    innocent = [one for one in together if one.is_innocent]
    with_job = Counter(job_id for one in innocent for job_id in one.job_ids)
    for one in together:
        for doubt in one.doubts.copy():
            if len(innocent) - with_job[doubt.key.job_id] >= MIN_INNOCENT_MINIONS:
                one.doubts.remove(doubt)
                yield one.minion_id, doubt


class Doubts:
    """Open doubts of all active jobs.

    :ivar by_incarnation: doubts by incarnation, as ``minion_id@born_ms``
    """

    def __init__(self) -> None:
        self.by_incarnation: dict[str, list[Doubt]] = {}

    def add(self, task: Task, incarnation: str, doubt: Doubt) -> None:
        """Add a doubt and note it with the task, where later leaders find it."""
        task.open_doubts = (*task.open_doubts, incarnation)
        self.by_incarnation.setdefault(incarnation, []).append(doubt)

    def restore(self, task: Task, now: float) -> None:
        """Add the doubts of a task that an earlier leader stored."""
        for incarnation in task.open_doubts:
            self.by_incarnation.setdefault(incarnation, []).append(Doubt(task.key, now))

    def take(self, incarnation: str) -> list[Doubt]:
        """Return and forget the doubts about an incarnation that has answered."""
        return self.by_incarnation.pop(incarnation, []) if self.by_incarnation else []

    def take_replaced(self, minion_id: str, incarnation: str) -> list[tuple[str, Doubt]]:
        """Return and forget the doubts about other incarnations of a minion, which are gone."""
        if not self.by_incarnation:
            return []
        prefix = f"{minion_id}@"
        gone = [
            known
            for known in self.by_incarnation
            if known.startswith(prefix) and known != incarnation
        ]
        return [(known, doubt) for known in gone for doubt in self.by_incarnation.pop(known)]

    def take_old(self, now: float) -> list[tuple[str, Doubt]]:
        """Return and forget the doubts about minions that were not heard of for long."""
        old: list[tuple[str, Doubt]] = []
        for incarnation, doubts in list(self.by_incarnation.items()):
            if now - doubts[-1].at >= OPEN_SECONDS:
                del self.by_incarnation[incarnation]
                old.extend((incarnation, doubt) for doubt in doubts)
        return old


def close_doubt(task: Task, incarnation: str) -> bool:
    """Remove an incarnation from the open doubts of a task; return whether it was among them."""
    if incarnation not in task.open_doubts:
        return False
    doubts = list(task.open_doubts)
    doubts.remove(incarnation)
    task.open_doubts = tuple(doubts)
    return True
