"""Opening of the waiting tasks of jobs, so that memory and rounds grow with what is due.

Explanation
===========

A job may be accepted long before its tasks can start: occurrences are due later, and a step may
have more tasks than start within seconds. Tasks of an occurrence are opened when it is due, the
first ones of a large step first, and the others as those start.
"""

from __future__ import annotations

from collections.abc import Iterator
from heapq import heappop, heappush
from itertools import count

from dotterelhill.jobs.memory import MAX_OPEN_TASKS
from dotterelhill.jobs.model import TaskKey
from dotterelhill.jobs.placement.waiting import OccurrenceStep, WaitingJob


class TaskOpening:
    """Tasks of active jobs that do not wait for a minion yet."""

    def __init__(self) -> None:
        # Scheduled jobs by the Unix ms at which their next occurrence is due, with a number that
        # makes entries unique.
        self._due_times: list[tuple[int, int, WaitingJob]] = []
        self._entry_numbers = count()
        # Jobs with steps of which some tasks are not opened, by id.
        self._partly_open: dict[str, WaitingJob] = {}

    def add(self, waiting: WaitingJob) -> None:
        """Add a job that became active and open its tasks, if it has no schedule."""
        if waiting.job.submission.schedule is None:
            self._open_occurrence(waiting, 0)
        else:
            self._push(waiting)

    def remove(self, waiting: WaitingJob) -> None:
        """Remove a job that has ended; its times are dropped when they are reached."""
        self._partly_open.pop(waiting.job.job_id, None)
        waiting.is_removed = True

    def open_due(self, unix_ms: int) -> Iterator[WaitingJob]:
        """Open what is due, and yield the jobs of which tasks were opened.

        :param unix_ms: wall-clock time in Unix ms, for the schedules of jobs
        """
        for job_id, waiting in list(self._partly_open.items()):
            if self._open_more(waiting):
                yield waiting
            if not waiting.next_indices:
                del self._partly_open[job_id]
        times = self._due_times
        delayed = []
        while times and times[0][0] <= unix_ms:
            _, _, waiting = heappop(times)
            if waiting.is_removed:
                continue
            if self._open_due_occurrences(waiting, unix_ms):
                yield waiting
            if waiting.next_occurrence < waiting.job.submission.occurrence_count:
                delayed.append(waiting)
        for waiting in delayed:
            self._push(waiting)

    def _push(self, waiting: WaitingJob) -> None:
        due_ms = waiting.job.submission.due_ms(waiting.next_occurrence)
        heappush(self._due_times, (due_ms, next(self._entry_numbers), waiting))

    def _open_due_occurrences(self, waiting: WaitingJob, unix_ms: int) -> bool:
        """Open due occurrences while few tasks of the job are open; return whether any was."""
        submission, is_opened = waiting.job.submission, False
        open_count = sum(len(keys) for keys in waiting.pending.values())
        waiting.next_occurrence = max(waiting.next_occurrence, waiting.job.first_unfinished)
        while waiting.next_occurrence < submission.occurrence_count:
            occurrence = waiting.next_occurrence
            if submission.due_ms(occurrence) > unix_ms or open_count >= MAX_OPEN_TASKS:
                break
            waiting.next_occurrence += 1
            opened_count = self._open_occurrence(waiting, occurrence)
            open_count += opened_count
            is_opened = is_opened or opened_count > 0
        return is_opened

    def _open_occurrence(self, waiting: WaitingJob, occurrence: int) -> int:
        """Open the steps of an occurrence that are ready and return the number of tasks."""
        opened_count = 0
        for step in range(len(waiting.job.submission.steps)):
            opened_count += self.open_step(waiting, occurrence, step)
        return opened_count

    def open_step(self, waiting: WaitingJob, occurrence: int, step: int) -> int:
        """Open the tasks of a step whose dependencies are done and return their number."""
        job = waiting.job
        if not job.is_step_ready(occurrence, step) or job.is_step_done(occurrence, step):
            return 0
        waiting.pending.pop((occurrence, step), None)
        waiting.next_indices[occurrence, step] = 0
        opened_count = self._open_tasks(waiting, (occurrence, step))
        if (occurrence, step) in waiting.next_indices:
            self._partly_open[job.job_id] = waiting
        return opened_count

    def close_step(self, waiting: WaitingJob, occurrence_step: OccurrenceStep) -> None:
        """Close a step that is done."""
        waiting.pending.pop(occurrence_step, None)
        waiting.next_indices.pop(occurrence_step, None)

    def _open_more(self, waiting: WaitingJob) -> bool:
        """Open more tasks of steps of which few are open; return whether any was opened."""
        is_opened = False
        for occurrence_step in list(waiting.next_indices):
            if len(waiting.pending.get(occurrence_step, ())) <= MAX_OPEN_TASKS // 2:
                is_opened = self._open_tasks(waiting, occurrence_step) > 0 or is_opened
        return is_opened

    def _open_tasks(self, waiting: WaitingJob, occurrence_step: OccurrenceStep) -> int:
        """Open the next tasks of a step that have no run; all tasks of a gang start together."""
        job, (occurrence, number) = waiting.job, occurrence_step
        step = job.submission.steps[number]
        keys = waiting.pending.get(occurrence_step, [])
        known_keys = set(keys)
        limit = step.count if step.is_gang else MAX_OPEN_TASKS
        earlier_count = len(keys)
        index = waiting.next_indices[occurrence_step]
        tasks, done_bits = job.tasks, job.done_bits.get(occurrence_step, 0)
        while index < step.count and len(keys) < limit:
            key = TaskKey(job.job_id, occurrence, number, index)
            is_done = bool(done_bits >> index & 1)
            index += 1
            # Written out, since this runs for each task of each job.
            if key in tasks:
                is_done = tasks[key].is_done or tasks[key].is_assigned
            if not is_done and key not in known_keys:
                keys.append(key)
        waiting.next_indices[occurrence_step] = index
        if index >= step.count:
            del waiting.next_indices[occurrence_step]
        if keys:
            waiting.pending[occurrence_step] = keys
        return len(keys) - earlier_count
