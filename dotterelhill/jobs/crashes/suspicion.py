"""Suspicion against tasks that may crash the minions that start them.

Explanation
===========

A task may crash each minion that starts it, together with everything that runs there. A crash
proves nothing by itself, because the platform crashes minions too. So the runs that had just
started on a crashed minion are suspects. A suspected task starts again only on a minion where no
other run could have caused the next crash. A job is given up when one of its tasks has crashed
several minions.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterator, Mapping, Sequence, Set
from dataclasses import dataclass, field
from enum import Enum, auto

from dotterelhill.jobs.crashes.platform_crashes import (
    MAX_CRASHES,
    MIN_CRASHES,
    PlatformCrashes,
)
from dotterelhill.jobs.fleet import Minion, Run, RunState
from dotterelhill.jobs.model import Job, Task, TaskKey

# A run is proven when a report lists it this long after it was first known to be present, on the
# minion's clock. A report can also be made between a start and the crash that it causes some
# milliseconds later.
PROVEN_AFTER_MS = 250
# A task whose run has lived for this time is no longer suspected.
SUSPECT_SURVIVAL_MS = 5000
# A task that was lost with so many minions waits for one of them to answer or to be gone, while all
# of them may only have been cut off.
CRASHES_TO_WAIT = 3
MAX_DOUBT_WAIT_SECONDS = 10.0
# A job is given up this long after the crash that decides it. The ends of minions that the platform
# has crashed together are noticed within this time.
VERDICT_SECONDS = 1.5
# A deadly task whose crash coincides with others by chance must still reach its limit in time, so
# that two more starts after three crashes are not exceeded.
MAX_COMMON_CRASHES = 1
# Minions that fall silent within this time of each other, and stay so, crash for a common cause.
COMMON_CRASH_SECONDS = 0.1
# Several tasks may each crash a minion at the same moment, so one other silent minion is no sign.
MIN_OTHER_SILENT_MINIONS = 2
MAX_SILENCES = 512
# Other tasks of the job of a suspected task wait for at most this time, while it is under test.
MAX_HELD_SECONDS = 5.0
# A suspected task or gang that finds no minion of its own for this time after a crash starts beside
# others: a crash of the platform can leave more suspects than there are minions to test them on,
# and a job may wait for at most 3 s while there is room for it.
ISOLATION_SECONDS = 2.0
# A task that was lost with more minions, or with two for certain, starts alone only.
MAX_SHARED_CRASHES = 2

OccurrenceStep = tuple[int, int]


@dataclass(slots=True)
class Suspect:
    """A task that may have crashed minions.

    :param crashed_at: loop time at which its newest crash was noticed
    :param minion_ids: minions that crashed under it, as far as this leader knows
    :param verdict_at: loop time at which its job is given up unless the crashes turn out to be the
        platform's; None while the crashes are too few
    """

    job: Job
    task: Task
    crashed_at: float
    minion_ids: list[str] = field(default_factory=list)
    verdict_at: float | None = None

    @property
    def is_tested(self) -> bool:
        """Return whether a run may be present that is not proven."""
        return self.task.is_assigned and not self.task.is_proven

    @property
    def may_share(self) -> bool:
        """Return whether a test beside other runs is worth the crash that it may cause."""
        certain_crashes = self.task.crashes - self.task.doubtful_crashes
        return certain_crashes < MIN_CRASHES and self.task.crashes <= MAX_SHARED_CRASHES

    def may_start(self, now: float) -> bool:
        """Return whether a test now would be conclusive and within the limit of crashes."""
        task = self.task
        if not task.open_doubts:
            return True
        if task.crashes >= MAX_CRASHES:
            return False
        is_waiting = task.crashes >= CRASHES_TO_WAIT and len(task.open_doubts) == task.crashes
        return not is_waiting or now - self.crashed_at >= MAX_DOUBT_WAIT_SECONDS

    @property
    def is_open(self) -> bool:
        """Return whether the newest run has not shown that it leaves its minion alive."""
        return not (self.task.is_assigned and self.task.is_proven)


@dataclass(frozen=True, slots=True)
class _Silence:
    """First poll of a minion without an answer.

    :param at: loop time
    :param is_caused_by_task: whether a run that was not proven may have crashed the minion
    """

    minion: Minion
    at: float
    is_caused_by_task: bool


@dataclass(frozen=True, slots=True)
class Crash:
    """What may have caused the crash of a minion.

    :param suspects: runs that count the crash
    :param is_of_one_job: whether only one job can have caused the crash, unless the platform did
    :param is_shared: whether a suspected task was tested beside tasks of other jobs
    """

    suspects: tuple[Run, ...]
    is_of_one_job: bool
    is_shared: bool = False


class Presence(Enum):
    """What a report that lists a run shows about it.

    UNPROVEN: the run may still crash its minion. PROVEN: it has just been proven. SURVIVING: it has
    lived so long that its task is no longer suspected. KNOWN: nothing new.
    """

    UNPROVEN = auto()
    PROVEN = auto()
    SURVIVING = auto()
    KNOWN = auto()


def observed_presence(run: Run, clock_ms: int) -> Presence:
    """Update a run that a minion reports as present, and return what the report shows.

    :param clock_ms: clock of the minion when it made the report
    """
    if run.present_clock_ms is None:
        run.present_clock_ms = clock_ms
    lived_ms = clock_ms - run.present_clock_ms
    if not run.is_proven and lived_ms >= PROVEN_AFTER_MS:
        run.is_proven = True
        return Presence.PROVEN
    if lived_ms >= SUSPECT_SURVIVAL_MS:
        return Presence.SURVIVING
    return Presence.KNOWN if run.is_proven else Presence.UNPROVEN


def has_unproven_runs(minion: Minion) -> bool:
    """Return whether a run on a minion might still crash it."""
    for run in minion.runs.values():
        if not run.is_proven:
            return True
    return False


def is_given_up(task: Task, needed_crashes: int, *, is_of_one_job: bool) -> bool:
    """Return whether a task has crashed so many minions that its job is given up.

    :param needed_crashes: number of certain crashes that rule out chance
    :param is_of_one_job: whether only its job can have caused the newest crash
    """
    if task.crashes >= MAX_CRASHES:
        return not task.open_doubts
    if task.crashes - task.doubtful_crashes < needed_crashes:
        return False
    return is_of_one_job or task.crashes > needed_crashes


def _is_under_suspicion(task: Task) -> bool:
    """Return whether the crashes that earlier leaders counted make a task a suspect.

    After a change of the leader, each run that was lost with a minion counts a crash in doubt. If
    one such crash were enough, tests would delay the restart of all tasks of the lost minions.
    """
    return task.crashes > 1 or task.crashes > task.doubtful_crashes


def _unproven_runs(minion: Minion) -> list[Run]:
    """Return the runs whose start was sent to a minion and that are not proven."""
    unproven = []
    for run in minion.runs.values():
        is_here = run.state is not RunState.PLANNED and not run.is_on_later_life
        if is_here and not run.is_proven:
            unproven.append(run)
    return unproven


class CrashSuspicion:
    """Suspected tasks of all active jobs. The number of crashes itself is part of the task."""

    def __init__(self) -> None:
        self._by_job: dict[str, dict[TaskKey, Suspect]] = {}
        self._counted: set[TaskKey] = set()
        self._silences: deque[_Silence] = deque(maxlen=MAX_SILENCES)
        # Time of the newest crash under a task that starts alone only.
        self._alone_crashed_at = float("-inf")
        self._platform_crashes = PlatformCrashes()
        # Crashes for a common cause that were taken off the count of a task since it survived.
        self._common_crashes: Counter[TaskKey] = Counter()

    @property
    def platform_crashes(self) -> PlatformCrashes:
        """Return the recent crashes of minions."""
        return self._platform_crashes

    @property
    def has_suspects(self) -> bool:
        """Return whether any task is suspected."""
        return bool(self._by_job)

    @property
    def counted_tasks(self) -> Set[TaskKey]:
        """Return the tasks of active jobs against which a crash is counted."""
        return self._counted

    @property
    def suspects(self) -> Iterator[Suspect]:
        """Yield all suspected tasks."""
        for suspects in self._by_job.values():
            yield from suspects.values()

    def has_suspects_of(self, job: Job) -> bool:
        """Return whether a task of a job is suspected."""
        return job.job_id in self._by_job

    def is_suspected(self, key: TaskKey) -> bool:
        """Return whether a task is suspected."""
        return key in self._by_job.get(key.job_id, ())

    def restore(self, job: Job, now: float) -> None:
        """Add the suspected tasks of a job that an earlier leader stored."""
        for task in job.tasks.values():
            if task.crashes and not task.is_done:
                self._counted.add(task.key)
            if _is_under_suspicion(task) and not task.is_done:
                self._by_job.setdefault(job.job_id, {})[task.key] = Suspect(job, task, now)

    def remove_job(self, job: Job) -> None:
        """Remove a job that has ended."""
        self._by_job.pop(job.job_id, None)
        self._counted.difference_update(job.tasks)
        for key in job.tasks:
            self._common_crashes.pop(key, None)

    def clear(self, task: Task) -> bool:
        """Drop the crashes counted against a task and return whether there were any."""
        if not task.crashes:
            return False
        task.crashes = task.doubtful_crashes = 0
        task.open_doubts = ()
        self._counted.discard(task.key)
        suspects = self._by_job.get(task.key.job_id, {})
        suspects.pop(task.key, None)
        if not suspects:
            self._by_job.pop(task.key.job_id, None)
        return True

    def count_crash(
        self,
        job: Job,
        task: Task,
        minion_id: str,
        now: float,
        *,
        is_doubtful: bool,
        is_inherited: bool,
    ) -> Suspect | None:
        """Count a crash of a minion against a task.

        :param is_doubtful: whether the run may not have been present, the minion not crashed, or a
            suspected task of another job may have crashed it
        :param is_inherited: whether an earlier leader started the run
        :returns: the task if it is suspected from now on; None after a first crash that is
            inherited
        """
        known = self._by_job.get(job.job_id, {}).get(task.key)
        if known is not None and not known.may_share:
            self._alone_crashed_at = now
        task.crashes += 1
        task.doubtful_crashes += is_doubtful
        self._counted.add(task.key)
        if is_inherited and not _is_under_suspicion(task):
            return None
        suspects = self._by_job.setdefault(job.job_id, {})
        suspect = suspects.setdefault(task.key, Suspect(job, task, now))
        suspect.crashed_at = now
        suspect.minion_ids.append(minion_id)
        return suspect

    def record_survival(self, task: Task) -> bool:
        """Drop the crashes counted against a task that has survived a test.

        :returns: whether there were any
        """
        self._common_crashes.pop(task.key, None)
        return self.clear(task)

    def is_first_crash(self, task: Task) -> bool:
        """Return whether the newest crash is the only one under a task since it survived."""
        return task.crashes == 1 and not self._common_crashes[task.key]

    def withdraw_common_crash(
        self, task: Task, *, is_doubtful: bool = False, is_proven: bool = False
    ) -> bool:
        """Take a crash for a common cause off the count of a task; return whether it was.

        :param is_doubtful: whether it was counted in doubt
        :param is_proven: whether the task can't have caused it, so that the limit doesn't apply
        """
        if not is_proven and self._common_crashes[task.key] >= MAX_COMMON_CRASHES:
            return False
        self._common_crashes[task.key] += 1
        self.withdraw_crash(task, is_doubtful=is_doubtful)
        return True

    def withdraw_crash(self, task: Task, *, is_doubtful: bool) -> None:
        """Take a crash off the count of a task, since it turned out not to be one.

        :param is_doubtful: whether it was counted in doubt
        """
        if task.crashes <= 1:
            self.clear(task)
            return
        task.crashes -= 1
        if is_doubtful and task.doubtful_crashes:
            task.doubtful_crashes -= 1
        task.doubtful_crashes = min(task.doubtful_crashes, task.crashes)
        suspect = self.suspect_of(task.key)
        if suspect is not None:
            suspect.verdict_at = None

    def suspect_of(self, key: TaskKey) -> Suspect | None:
        """Return a suspected task; None if it is not suspected."""
        return self._by_job.get(key.job_id, {}).get(key)

    def take_verdicts(self, now: float) -> list[Suspect]:
        """Return the suspected tasks whose verdicts are due."""
        due = []
        for suspect in self.suspects:
            if suspect.verdict_at is not None and now >= suspect.verdict_at:
                suspect.verdict_at = None
                due.append(suspect)
        return due

    def record_silence(self, minion: Minion, now: float) -> None:
        """Record that a minion has fallen silent."""
        # To a new leader, all minions that are down fall silent at once.
        if minion.is_synced:
            self._silences.append(_Silence(minion, now, bool(_unproven_runs(minion))))

    def _simultaneous_silences(self, minion: Minion) -> list[_Silence]:
        """Return the silences of other minions that began with that of a minion and last."""
        if minion.silent_at is None:
            return []
        silences = []
        for silence in self._silences:
            is_lasting = silence.minion.silent_at == silence.at
            if silence.minion is minion or not is_lasting:
                continue
            if abs(silence.at - minion.silent_at) <= COMMON_CRASH_SECONDS:
                silences.append(silence)
        return silences

    def crash_of(self, minion: Minion, *, is_certain: bool) -> Crash:
        """Return the crash of a minion whose incarnation is gone.

        :param is_certain: whether the incarnation has certainly ended, and was not only cut off
        """
        silences = self._simultaneous_silences(minion)
        platform_count = sum(not silence.is_caused_by_task for silence in silences)
        if platform_count >= MIN_OTHER_SILENT_MINIONS:
            # No task can have crashed the others, so the platform has crashed all of them.
            return Crash((), False)
        unproven = _unproven_runs(minion)
        likely = unproven
        if minion.silent_at is not None:
            # A start that was sent to a silent minion is the least likely cause.
            likely = [run for run in unproven if run.planned_at <= minion.silent_at] or unproven
        # Nothing starts beside a suspected task. But one that is overdue starts beside runs that
        # are not proven, and each of them may have caused the crash.
        is_tested = any(self.is_suspected(run.key) for run in likely)
        is_shared = is_tested and len({run.key.job_id for run in likely}) > 1
        is_of_one_job = is_certain and len({run.key.job_id for run in unproven}) == 1
        if len(silences) >= MIN_OTHER_SILENT_MINIONS:
            is_of_one_job = False
        for run in unproven:
            if run.is_inherited:
                # This leader can't know whether the run was proven to an earlier one.
                is_of_one_job = False
        return Crash(tuple(likely), is_of_one_job, is_shared)

    def tasks_to_test(
        self, job: Job, occurrence_step: OccurrenceStep, keys: Sequence[TaskKey], now: float
    ) -> list[TaskKey]:
        """Return the suspected ones of the waiting tasks of a step that may start in isolation.

        If every task of a job crashes its minion, testing several at once would crash as many
        minions. So they are tested one by one until a task of the step has survived.
        """
        suspects = self._by_job.get(job.job_id, {})
        if _has_pending_verdict(suspects):
            return []
        waiting = [key for key in keys if key in suspects and suspects[key].may_start(now)]
        waiting.sort(key=lambda key: -suspects[key].task.crashes)
        if not waiting or _has_survivor(job, occurrence_step):
            return waiting
        for suspect in suspects.values():
            if suspect.is_tested:
                return []
        return waiting[:1]

    def overdue_tasks(
        self, job: Job, occurrence_step: OccurrenceStep, keys: Sequence[TaskKey], now: float
    ) -> list[TaskKey]:
        """Return the tasks to test that have waited for a minion of their own for long enough.

        The wait of all suspected tasks of a job begins anew with each crash under one of them.
        """
        suspects = self._by_job.get(job.job_id, {})
        crashed_at = max((suspect.crashed_at for suspect in suspects.values()), default=now)
        if now - crashed_at < ISOLATION_SECONDS:
            return []
        return [
            key
            for key in self.tasks_to_test(job, occurrence_step, keys, now)
            if suspects[key].may_share
        ]

    def alone_wait_seconds(self, key: TaskKey, now: float) -> float:
        """Return for how long a task that starts alone only has waited since its newest crash.

        :returns: 0 for another task, and during the pause after a crash under any task that starts
            alone only
        """
        suspect = self._by_job.get(key.job_id, {}).get(key)
        if suspect is None or suspect.may_share:
            return 0.0
        if now - self._alone_crashed_at < ISOLATION_SECONDS:
            return 0.0
        return now - suspect.crashed_at

    def open_tasks(
        self, job: Job, occurrence_step: OccurrenceStep, keys: list[TaskKey], now: float
    ) -> list[TaskKey]:
        """Return the waiting tasks of a step that may start beside other runs.

        Suspected fillers are among them once they are overdue. Where no minion has headroom for a
        filler, isolation finds none either, and only a forced start does.
        """
        suspects = self._by_job.get(job.job_id)
        if suspects is None:
            return keys
        if _has_pending_verdict(suspects):
            return []
        step = job.submission.steps[occurrence_step[1]]
        if step.is_gang:
            return keys if self._may_gang_start(suspects, keys, now) else []
        overdue: set[TaskKey] = set()
        if step.is_filler:
            overdue.update(self.overdue_tasks(job, occurrence_step, keys, now))
        if _is_held(job, suspects, occurrence_step, now):
            return [key for key in keys if key in overdue]
        return [key for key in keys if key not in suspects or key in overdue]

    @staticmethod
    def _may_gang_start(
        suspects: Mapping[TaskKey, Suspect], keys: Sequence[TaskKey], now: float
    ) -> bool:
        for key in keys:
            suspect = suspects.get(key)
            if suspect is None:
                continue
            if now - suspect.crashed_at < ISOLATION_SECONDS or not suspect.may_start(now):
                return False
        return True


def _has_pending_verdict(suspects: Mapping[TaskKey, Suspect]) -> bool:
    """Return whether a job is about to be given up for one of its suspected tasks."""
    return any(suspect.verdict_at is not None for suspect in suspects.values())


def _has_survivor(job: Job, occurrence_step: OccurrenceStep) -> bool:
    """Return whether a task of a step is done or was proven to leave its minion alive."""
    if job.done_counts.get(occurrence_step, 0):
        return True
    for key, task in job.tasks.items():
        if task.is_proven and (key.occurrence, key.step) == occurrence_step:
            return True
    return False


def _is_held(
    job: Job, suspects: Mapping[TaskKey, Suspect], occurrence_step: OccurrenceStep, now: float
) -> bool:
    """Return whether the other tasks of a step wait for the test of a suspected task.

    They don't wait longer for a test that has not begun, since no minion may have room for it.
    """
    for suspect in suspects.values():
        limit_seconds = MAX_HELD_SECONDS if suspect.is_tested else ISOLATION_SECONDS
        if suspect.is_open and now - suspect.crashed_at < limit_seconds:
            return not _has_survivor(job, occurrence_step)
    return False
