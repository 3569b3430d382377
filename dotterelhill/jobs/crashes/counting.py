"""Counting of crashes of minions against tasks, and withdrawal of those that were none."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping, Sequence

from dotterelhill.jobs.changes import Decision
from dotterelhill.jobs.crashes.doubts import (
    Doubt,
    Doubts,
    Rebirth,
    close_doubt,
    take_common_doubts,
)
from dotterelhill.jobs.crashes.platform_crashes import CrashEvent, has_common_birth
from dotterelhill.jobs.crashes.suspicion import (
    VERDICT_SECONDS,
    CrashSuspicion,
    Suspect,
    is_given_up,
)
from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.model import Assignment, Job, Task, TaskKey

MAX_CLEARED = 256
MAX_REBIRTHS = 512


class CrashCounting:
    """Counts the ends of minions against the tasks that may have caused them.

    :param active_jobs: jobs that have not ended, by id
    :param minions: minions of the fleet, by id
    :param on_change: called with a job whose progress has changed
    :param on_decision: called with what the log has to tell
    """

    def __init__(
        self,
        active_jobs: Mapping[str, Job],
        minions: Mapping[str, Minion],
        suspicion: CrashSuspicion,
        doubts: Doubts,
        on_change: Callable[[Job], None],
        on_decision: Callable[[Decision], None],
    ) -> None:
        self._active_jobs = active_jobs
        self._minions = minions
        self._suspicion = suspicion
        self._doubts = doubts
        self._on_change = on_change
        self._on_decision = on_decision
        # Crashes that were taken off the count of a task for a common cause.
        self._cleared: deque[tuple[CrashEvent, TaskKey]] = deque(maxlen=MAX_CLEARED)
        self._rebirths: deque[Rebirth] = deque(maxlen=MAX_REBIRTHS)

    def restore(self, job: Job, now: float) -> None:
        """Add the crashes that an earlier leader counted against the tasks of a job."""
        self._suspicion.restore(job, now)
        for task in job.tasks.values():
            self._doubts.restore(task, now)

    def count_lost_minion(self, minion: Minion, now: float, *, is_certain: bool) -> None:
        """Count the end of a minion's incarnation against the runs that may have crashed it.

        :param is_certain: whether the incarnation has certainly ended, and was not only cut off
        """
        suspects = self._count_suspects(minion, now, is_certain=is_certain)
        if not is_certain:
            return
        # Its runs may have been released before, when its lease ended.
        for doubt in self._doubts.take(minion.incarnation):
            suspects.append(doubt.key)
            self._close_doubt(minion.incarnation, doubt, now, is_gone=True)
        ended_at = now if minion.silent_at is None else minion.silent_at
        domain = minion.facts.failure_domain
        self._record_end(minion.minion_id, domain, minion.last_report_at, ended_at, suspects)

    def count_stored_run(self, job: Job, task: Task, assignment: Assignment, now: float) -> None:
        """Count the end of an incarnation on which an earlier leader had started a run."""
        minion = self._minions.get(assignment.minion_id)
        births_ms = [one.facts.born_ms for one in self._minions.values()]
        is_common = minion is not None and has_common_birth(minion.facts.born_ms, births_ms)
        if assignment.is_proven or is_common:
            return
        self._count(job, task, assignment.minion_id, now, is_doubtful=True, is_inherited=True)
        if minion is None:
            self._doubts.add(task, assignment.incarnation, Doubt(task.key, now))
        self._judge(task, now, is_of_one_job=False)

    def withdraw_doubts(self, incarnation: str) -> None:
        """Withdraw the crashes of an incarnation that answers, and so has only been cut off."""
        for doubt in self._doubts.take(incarnation):
            task = self._task_of(doubt.key)
            if task is not None and close_doubt(task, incarnation):
                minion_id, _, _ = incarnation.partition("@")
                reason = "its minion answers again"
                self._withdraw(doubt.key, minion_id, reason, is_cut_off=True)

    def confirm_doubts(self, minion_id: str, born_ms: int, now: float) -> None:
        """Process that earlier incarnations of a minion are certainly gone.

        :param born_ms: birth of the present one as Unix ms
        """
        present = f"{minion_id}@{born_ms}"
        replaced = self._doubts.take_replaced(minion_id, present)
        for incarnation, doubt in replaced:
            self._close_doubt(incarnation, doubt, now, is_gone=True)
        doubts = [doubt for _, doubt in replaced]
        job_ids = frozenset(doubt.key.job_id for doubt in doubts)
        is_innocent = all(doubt.is_first for doubt in doubts)
        self._rebirths.append(Rebirth(minion_id, born_ms, doubts, job_ids, is_innocent))
        for other_id, doubt in take_common_doubts(self._rebirths, born_ms):
            task = self._task_of(doubt.key)
            if task is None or not task.crashes:
                continue
            self._suspicion.withdraw_common_crash(
                task, is_doubtful=doubt.is_otherwise_doubtful, is_proven=True
            )
            self._on_change(self._active_jobs[doubt.key.job_id])
            reason = "several minions began again together"
            self._record_decision("crash withdrawn", task, other_id, reason=reason)

    def take_verdicts(self, now: float) -> list[Suspect]:
        """Return the suspected tasks whose jobs are to be given up."""
        for incarnation, doubt in self._doubts.take_old(now):
            self._close_doubt(incarnation, doubt, now, is_gone=False)
        return self._suspicion.take_verdicts(now)

    def _count_suspects(self, minion: Minion, now: float, *, is_certain: bool) -> list[TaskKey]:
        """Count a crash against the tasks that may have caused it, and return these."""
        counted: list[TaskKey] = []
        if not minion.runs:
            return counted
        crash = self._suspicion.crash_of(minion, is_certain=is_certain)
        fields: dict[str, object] = {
            "minion": minion.minion_id,
            "born_ms": minion.facts.born_ms,
            "runs": len(minion.runs),
            "domain": minion.facts.failure_domain,
            "suspects": len(crash.suspects),
        }
        self._on_decision(Decision("minion crashed under runs", "", fields))
        for run in crash.suspects:
            task = self._task_of(run.key)
            if task is None or task.is_done:
                continue
            is_otherwise_doubtful = (
                run.present_clock_ms is None or crash.is_shared or run.is_inherited
            )
            is_doubtful = not is_certain or is_otherwise_doubtful
            job = self._active_jobs[run.key.job_id]
            self._count(
                job,
                task,
                minion.minion_id,
                now,
                is_doubtful=is_doubtful,
                is_inherited=run.is_inherited,
            )
            counted.append(task.key)
            if not is_certain:
                doubt = Doubt(
                    task.key,
                    now,
                    crash.is_of_one_job,
                    is_otherwise_doubtful,
                    self._suspicion.is_first_crash(task),
                )
                self._doubts.add(task, minion.incarnation, doubt)
            self._judge(task, now, is_of_one_job=is_certain and crash.is_of_one_job)
        return counted

    def _count(
        self,
        job: Job,
        task: Task,
        minion_id: str,
        now: float,
        *,
        is_doubtful: bool,
        is_inherited: bool,
    ) -> None:
        """Count a crash against a task, which may be suspected from now on."""
        suspect = self._suspicion.count_crash(
            job, task, minion_id, now, is_doubtful=is_doubtful, is_inherited=is_inherited
        )
        self._on_change(job)
        message = "task suspected of crashing minions"
        if suspect is None:
            message = "crash of a minion counted in doubt"
        self._record_decision(message, task, minion_id)

    def _record_end(
        self,
        minion_id: str,
        failure_domain: str,
        began_at: float,
        at: float,
        suspects: Sequence[TaskKey],
    ) -> None:
        """Record the certain end of an incarnation, and clear the tasks that did not cause it.

        :param began_at: loop time after which it ended
        :param at: loop time by which it had ended
        :param suspects: tasks that count it as a crash
        """
        event = CrashEvent(minion_id, failure_domain, began_at, at, tuple(suspects))
        for common in self._suspicion.platform_crashes.record(event):
            for key in common.suspects:
                if (common, key) not in self._cleared:
                    self._cleared.append((common, key))
                    self._withdraw(key, common.minion_id, "several minions ended together")

    def _withdraw(
        self, key: TaskKey, minion_id: str, reason: str, *, is_cut_off: bool = False
    ) -> None:
        """Take a crash off the count of a task, in the store as well.

        :param is_cut_off: whether the minion has only been cut off; otherwise it has crashed for a
            cause that it shares with others
        """
        task = self._task_of(key)
        if task is None or not task.crashes:
            return
        if is_cut_off:
            self._suspicion.withdraw_crash(task, is_doubtful=True)
        elif not self._suspicion.withdraw_common_crash(task):
            return
        self._on_change(self._active_jobs[key.job_id])
        self._record_decision("crash withdrawn", task, minion_id, reason=reason)

    def _close_doubt(self, incarnation: str, doubt: Doubt, now: float, *, is_gone: bool) -> None:
        """Count a doubtful crash for good.

        :param is_gone: whether the minion has certainly crashed, and was not only lost from sight
        """
        task = self._task_of(doubt.key)
        if task is None or not close_doubt(task, incarnation):
            return
        if is_gone and not doubt.is_otherwise_doubtful and task.doubtful_crashes:
            task.doubtful_crashes -= 1
        self._on_change(self._active_jobs[doubt.key.job_id])
        self._judge(task, now, is_of_one_job=is_gone and doubt.is_of_one_job)

    def _judge(self, task: Task, now: float, *, is_of_one_job: bool) -> None:
        """Plan to give up the job of a task that has crashed too many minions.

        :param is_of_one_job: whether only its job can have caused the newest crash
        """
        suspect = self._suspicion.suspect_of(task.key)
        if suspect is None or suspect.verdict_at is not None:
            return
        platform_crashes = self._suspicion.platform_crashes
        needed_crashes = platform_crashes.needed_crashes(len(self._minions), now)
        if is_given_up(task, needed_crashes, is_of_one_job=is_of_one_job):
            suspect.verdict_at = now + VERDICT_SECONDS

    def _task_of(self, key: TaskKey) -> Task | None:
        """Return a task of an active job; None if there is none."""
        job = self._active_jobs.get(key.job_id)
        return job.tasks.get(key) if job is not None else None

    def _record_decision(self, message: str, task: Task, minion_id: str, **more: object) -> None:
        """Record a decision about a task for the log."""
        fields = {"task": str(task.key), "crashes": task.crashes, "minion": minion_id, **more}
        self._on_decision(Decision(message, task.key.job_id, fields))
