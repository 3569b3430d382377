"""Lifecycle of jobs and runs: what was submitted, what runs where, what to order next.

Explanation
===========

Every start is planned first, made durable as part of its job's progress, and only then sent. So a
later holder of the fleet knows each place where a task may run. An end is acknowledged to its
minion only after its effect is durable. A run whose order got no answer keeps its room until the
minion's own list, or the end of its lease, proves that it is absent.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from dotterelhill.jobs.changes import Changes, Decision, SchedulerSettings
from dotterelhill.jobs.fleet import (
    END_LIST_LIMIT,
    EndKind,
    EndReport,
    Minion,
    MinionFacts,
    MinionReport,
    Run,
    RunState,
    lease_end,
)
from dotterelhill.jobs.model import FINAL_STATES, Job, JobState, Submission, Task, TaskKey
from dotterelhill.jobs.orders import (
    Order,
    StartOrder,
    StartOutcome,
    StopOrder,
)
from dotterelhill.jobs.placement import Placement
from dotterelhill.jobs.queues import FleetConfig, Queue
from dotterelhill.jobs.sharing import Sharing

# An unanswered stop is sent again after this time; late orders are carried out after 2 s or more.
STOP_RETRY_SECONDS = 0.7
# A poll of a minion returns at an end, or after this time (bound of the platform: 2 s).
LONGEST_POLL_SECONDS = 2.0
UNRESOLVED_POLL_SECONDS = 0.3
# Tails of serving tasks beside fillers cover half a second.
SHARING_POLL_SECONDS = 0.4
# A minion that refused a start gets no other one for this time.
UNHEALTHY_SECONDS = 1.0
# Failures of several tasks on one minion within this window set it aside.
FAILURE_WINDOW_SECONDS = 3.0
FAILURES_TO_AVOID = 3
AVOID_SECONDS = 4.0


class Scheduler:
    """All jobs and minions of the fleet, as their one holder sees them.

    :param settings: bounds of the platform
    :param now: time at which this holder took over
    """

    def __init__(self, settings: SchedulerSettings, now: float) -> None:
        self._settings = settings
        # Runs that an earlier leader started on a minion that does not answer may last till then.
        self._earlier_lease_end = (
            lease_end(now, settings.hold_seconds) + settings.renewal_grace_seconds
        )
        self._jobs: dict[str, Job] = {}
        self._active: dict[str, Job] = {}
        self._minions: dict[str, Minion] = {}
        self._config = FleetConfig()
        self._evacuated: frozenset[str] = frozenset()
        self._sharing = Sharing(settings.harm_seconds)
        self._placement = Placement(self._sharing)
        self._dirty: dict[str, Job] = {}
        self._planned: list[Run] = []
        self._orders: list[Order] = []
        self._decisions: list[Decision] = []
        self._removed: list[str] = []
        self._cancelled_early: dict[str, float] = {}
        self._unlisted: dict[str, float] = {}

    @property
    def minions(self) -> Mapping[str, Minion]:
        """Return the known incarnations by minion id."""
        return self._minions

    @property
    def jobs(self) -> Mapping[str, Job]:
        """Return the known jobs by id."""
        return self._jobs

    @property
    def sharing(self) -> Sharing:
        """Return the estimates of interference."""
        return self._sharing

    @property
    def waiting_tasks(self) -> int:
        """Return the number of tasks that could start."""
        return self._placement.waiting_tasks

    # Jobs

    def submit(self, submission: Submission, now: float) -> None:
        """Take over a stored submission; a repeated one changes nothing."""
        job_id = submission.job_id
        if job_id in self._jobs:
            return
        job = self._jobs[job_id] = Job(submission)
        if job_id in self._cancelled_early:
            del self._cancelled_early[job_id]
            self._end_job(job, JobState.CANCELLED, now)
            return
        self._activate(job)

    def cancel(self, job_id: str, now: float) -> None:
        """Take over a stored cancellation, which may come before the submission."""
        job = self._jobs.get(job_id)
        if job is None:
            self._cancelled_early[job_id] = now
            return
        if job.state not in FINAL_STATES:
            self._end_job(job, JobState.CANCELLED, now)

    def restore(self, job: Job, now: float) -> None:
        """Take over a job with the progress that an earlier holder stored."""
        self._jobs[job.job_id] = job
        if job.state in FINAL_STATES:
            job.ended_at = now
        else:
            self._activate(job)
        for task in job.tasks.values():
            if not task.is_assigned:
                continue
            self._adopt(job, task, now)

    def _activate(self, job: Job) -> None:
        self._active[job.job_id] = job
        self._placement.add_job(job)

    def _adopt(self, job: Job, task: Task, now: float) -> None:
        """Attach the run that an earlier holder may have sent."""
        minion = self._minions.get(task.minion_id)
        if minion is None or minion.facts.born_ms != task.minion_born_ms:
            if minion is not None and minion.facts.born_ms > task.minion_born_ms:
                self._release(job, task, now, "minion was reborn")
                return
            key = f"{task.minion_id}@{task.minion_born_ms}"
            # Not listed: its lease may still run.
            self._unlisted.setdefault(key, self._earlier_lease_end)
            return
        step = job.submission.steps[task.key.step]
        run = Run(
            task.key, task.run_id, step, minion.minion_id, RunState.PRESENT, now, settled_at=now
        )
        minion.attach(run)
        if job.state in FINAL_STATES:
            self._stop(minion, run, now)

    def state_of(self, job_id: str) -> JobState | None:
        """Return the stored state of a job, or None when no such job is known."""
        job = self._jobs.get(job_id)
        return None if job is None else job.shown_state

    def waiting_by_queue(self) -> dict[str, int]:
        """Return how many accepted jobs of each queue have not begun."""
        counts: dict[str, int] = {}
        for job in self._active.values():
            if job.state is JobState.QUEUED:
                queue = job.submission.queue.name
                counts[queue] = counts.get(queue, 0) + 1
        return counts

    def _end_job(self, job: Job, state: JobState, now: float) -> None:
        job.state = state
        job.ended_at = now
        self._active.pop(job.job_id, None)
        self._placement.remove_job(job)
        self._mark(job)
        failures = sum(task.failures for task in job.tasks.values())
        self._note("job ended", job.job_id, state=str(state), failures=failures)
        for task in job.tasks.values():
            if not task.is_assigned:
                continue
            minion = self._minion_of(task)
            run = minion.runs.get(task.key) if minion else None
            if minion is not None and run is not None:
                self._stop(minion, run, now)

    # Configuration

    def configure(self, config: FleetConfig) -> None:
        """Take over a newer configuration."""
        self._config = config

    def evacuate(self, failure_domains: Iterable[str]) -> None:
        """Set the failure domains in which nothing may start."""
        self._evacuated = frozenset(failure_domains)

    # Minions

    def see_minion(self, facts: MinionFacts, now: float) -> None:
        """Take over what the platform lists of a minion."""
        known = self._minions.get(facts.minion_id)
        if known is not None and known.facts.born_ms > facts.born_ms:
            return
        if known is not None and known.facts.born_ms == facts.born_ms:
            known.is_listed = True
            if facts.is_draining and not known.facts.is_draining:
                self._note_minion("minion drains", known)
            known.facts = facts
            return
        if known is not None:
            self._forget(known, now, "minion was reborn")
        minion = Minion(facts, lease_until=max(now, self._earlier_lease_end))
        self._minions[facts.minion_id] = minion
        self._note_minion("minion listed", minion)
        self._adopt_waiting(minion, now)

    def _adopt_waiting(self, minion: Minion, now: float) -> None:
        born = f"{minion.minion_id}@{minion.facts.born_ms}"
        waiting = [key for key in self._unlisted if key.startswith(f"{minion.minion_id}@")]
        if not waiting:
            return
        for key in waiting:
            del self._unlisted[key]
        for job in list(self._jobs.values()):
            for task in job.tasks.values():
                if task.minion_id != minion.minion_id:
                    continue
                if f"{task.minion_id}@{task.minion_born_ms}" in (born, *waiting):
                    self._adopt(job, task, now)

    def lose_minion(self, minion_id: str) -> None:
        """Note that the platform lists a minion no more; its runs may go on."""
        minion = self._minions.get(minion_id)
        if minion is not None and minion.is_listed:
            minion.is_listed = False
            self._note_minion("minion not listed", minion)

    def report(self, minion: Minion, report: MinionReport, sent_at: float, now: float) -> None:
        """Take over a minion's own lists.

        :param sent_at: time at which the request for the lists was sent
        """
        if self._minions.get(minion.minion_id) is not minion:
            return
        if report.born_ms and report.born_ms != minion.facts.born_ms:
            if report.born_ms > minion.facts.born_ms:
                self._forget(minion, now, "minion was reborn")
                del self._minions[minion.minion_id]
            return
        minion.clock_ms, minion.clock_at = report.clock_ms, now
        minion.last_report_at = now
        if not minion.is_answering:
            minion.is_answering = True
            self._note_minion("minion answers again", minion)
        for end in report.ended:
            if end.number <= minion.processed_end:
                continue
            minion.processed_end = end.number
            self._take_end(minion, end, now)
        listed = self._take_running(minion, report, now)
        is_whole = len(report.ended) < END_LIST_LIMIT
        for run in list(minion.runs.values()):
            if (run.key, run.run_id) in listed or not is_whole:
                continue
            self._take_absence(minion, run, sent_at, now)
        minion.is_synced = minion.is_synced or is_whole
        self._orders.extend(self._sharing.pace_orders(minion, now))

    def unanswered(self, minion: Minion, reason: str, now: float) -> None:
        """Note that a minion did not answer; its runs are kept until its lease has ended."""
        if minion.is_answering:
            minion.is_answering = False
            self._note_minion(f"minion does not answer: {reason}", minion)

    def replaced(self, minion: Minion, now: float) -> None:
        """Note that another minion answers at a minion's address, so that this one is gone."""
        if self._minions.get(minion.minion_id) is minion:
            self._forget(minion, now, "another minion has its address")
            del self._minions[minion.minion_id]

    def poll_wait_seconds(self, minion: Minion) -> float:
        """Return how long the next poll of a minion may wait for an end."""
        if not minion.is_synced:
            return 0.0
        wait = LONGEST_POLL_SECONDS
        has_filler = has_serving = False
        for run in minion.runs.values():
            if run.state in (RunState.UNKNOWN, RunState.STOPPING):
                return UNRESOLVED_POLL_SECONDS
            has_filler = has_filler or run.step.is_filler
            has_serving = has_serving or run.step.is_lasting
        if has_filler and has_serving:
            wait = SHARING_POLL_SECONDS
        return wait

    def _take_running(
        self, minion: Minion, report: MinionReport, now: float
    ) -> set[tuple[TaskKey, int]]:
        listed: set[tuple[TaskKey, int]] = set()
        for row in report.running:
            listed.add((row.key, row.run_id))
            run = minion.runs.get(row.key)
            if run is None or run.run_id != row.run_id:
                # No record names this run: its job is over or it was given up.
                self._orders.append(StopOrder(minion, row.key, row.run_id))
                continue
            if run.state in (RunState.SENT, RunState.UNKNOWN):
                run.state = RunState.PRESENT
            if run.settled_at is None:
                run.settled_at = now
            run.percent = row.percent
            if run.step.is_lasting:
                run.tail_ms = row.measure
            else:
                run.cpu_used = row.measure
            job = self._jobs.get(row.key.job_id)
            if row.checkpoint and job is not None:
                job.task(row.key).checkpoint = row.checkpoint
            if run.state is RunState.STOPPING:
                self._stop(minion, run, now)
        self._sharing.observe(minion, now)
        return listed

    def _take_absence(self, minion: Minion, run: Run, sent_at: float, now: float) -> None:
        match run.state:
            case RunState.PLANNED | RunState.SENT:
                return
            case RunState.UNKNOWN:
                # The order may be carried out later, but not after a stop of the same run.
                if run.settled_at is not None and run.settled_at < sent_at:
                    self._stop(minion, run, now)
            case RunState.STOPPING:
                if run.settled_at is not None and run.settled_at < sent_at:
                    self._drop(minion, run, now, "absent after stop")
                else:
                    self._stop(minion, run, now)
            case RunState.PRESENT:
                if run.settled_at is not None and run.settled_at < sent_at:
                    self._drop(minion, run, now, "not in the minion's lists")

    def _take_end(self, minion: Minion, end: EndReport, now: float) -> None:
        if end.key is None:
            return
        run = minion.runs.get(end.key)
        is_current = run is not None and run.run_id == end.run_id
        if run is not None and is_current:
            minion.detach(run)
            self._sharing.forget_run(run)
        job = self._jobs.get(end.key.job_id)
        if job is None or not 0 <= end.key.step < len(job.submission.steps):
            return
        task = job.task(end.key)
        is_current = is_current or (
            task.minion_id == minion.minion_id and task.run_id == end.run_id
        )
        if is_current:
            task.minion_id, task.minion_born_ms = "", 0
            self._mark(job)
        if job.state in FINAL_STATES or task.is_done:
            return
        if end.checkpoint:
            task.checkpoint = end.checkpoint
        step = job.submission.steps[end.key.step]
        match end.kind:
            case EndKind.DONE if not step.is_lasting:
                self._take_done(job, task, now)
                return
            case EndKind.FAILED if is_current:
                self._take_failure(job, task, minion, now)
        if is_current and job.state not in FINAL_STATES:
            self._note(
                "run ended", job.job_id, task=str(end.key), run=end.run_id, how=str(end.kind),
                minion=minion.minion_id,
            )  # fmt: skip
            self._placement.requeue(job, task)

    def _take_done(self, job: Job, task: Task, now: float) -> None:
        step = job.submission.steps[task.key.step]
        members = [task]
        if step.is_gang:
            members = [
                job.task(TaskKey(job.job_id, task.key.occurrence, task.key.step, index))
                for index in range(step.count)
            ]
        for member in members:
            job.mark_done(member)
            member.checkpoint = ""
            if member.is_assigned:
                self._stop_task(member, now)
        self._mark(job)
        self._placement.step_progressed(job, task.key)
        if job.is_complete():
            self._end_job(job, JobState.COMPLETED, now)

    def _take_failure(self, job: Job, task: Task, minion: Minion, now: float) -> None:
        task.failures += 1
        self._mark(job)
        step = job.submission.steps[task.key.step]
        minion.recent_failures = [
            at for at in minion.recent_failures if now - at < FAILURE_WINDOW_SECONDS
        ]
        minion.recent_failures.append(now)
        if len(minion.recent_failures) >= FAILURES_TO_AVOID:
            minion.avoid_until = now + AVOID_SECONDS
            minion.recent_failures.clear()
            self._note_minion("minion set aside after failures", minion)
        if step.is_lasting or task.failures < self._queue_of(job).max_attempts:
            return
        self._end_job(job, JobState.FAILED, now)

    def _forget(self, minion: Minion, now: float, reason: str) -> None:
        """Release every run of an incarnation that is gone."""
        self._sharing.forget(minion)
        for run in list(minion.runs.values()):
            self._drop(minion, run, now, reason)

    def _drop(self, minion: Minion, run: Run, now: float, reason: str) -> None:
        minion.detach(run)
        self._sharing.forget_run(run)
        job = self._jobs.get(run.key.job_id)
        if job is None:
            return
        task = job.tasks.get(run.key)
        if task is not None and task.minion_id == minion.minion_id and task.run_id == run.run_id:
            self._release(job, task, now, reason)

    def _release(self, job: Job, task: Task, now: float, reason: str) -> None:
        """Note that no run of a task is present anywhere."""
        minion_id = task.minion_id
        task.minion_id, task.minion_born_ms = "", 0
        self._mark(job)
        if job.state in FINAL_STATES or task.is_done:
            return
        self._note(
            "run lost", job.job_id, task=str(task.key), run=task.run_id, minion=minion_id,
            reason=reason,
        )  # fmt: skip
        self._placement.requeue(job, task)

    # Answers to orders

    def start_answered(self, run: Run, outcome: StartOutcome, sent_at: float, now: float) -> None:
        """Take over the outcome of a start order."""
        minion = self._minions.get(run.minion_id)
        if minion is None or minion.runs.get(run.key) is not run:
            return
        match outcome:
            case StartOutcome.STARTED:
                if run.state in (RunState.SENT, RunState.UNKNOWN):
                    run.state = RunState.PRESENT
                run.settled_at = now
            case StartOutcome.UNKNOWN:
                if run.state is RunState.SENT:
                    run.state = RunState.UNKNOWN
                run.settled_at = now
                self._note("start unanswered", run.key.job_id, task=str(run.key), run=run.run_id,
                           minion=minion.minion_id)  # fmt: skip
            case StartOutcome.UNHEALTHY | StartOutcome.NOT_SENT | StartOutcome.NO_ROOM:
                minion.avoid_until = max(minion.avoid_until, now + UNHEALTHY_SECONDS)
                self._drop(minion, run, now, f"start refused: {outcome}")
            case _:
                self._drop(minion, run, now, f"start refused: {outcome}")

    def stop_answered(self, minion: Minion, key: TaskKey, run_id: int, now: float) -> None:
        """Note that a minion has carried out a stop."""
        run = minion.runs.get(key)
        if run is not None and run.run_id == run_id and run.state is RunState.STOPPING:
            run.settled_at = now

    def _stop(self, minion: Minion, run: Run, now: float) -> None:
        if run.state is RunState.PLANNED:
            # Never sent: committing the plan finds it gone.
            self._drop(minion, run, now, "given up before it was sent")
            return
        if run.state is not RunState.STOPPING:
            run.state = RunState.STOPPING
            run.settled_at = None
        if run.stop_sent_at is not None and now - run.stop_sent_at < STOP_RETRY_SECONDS:
            return
        run.stop_sent_at = now
        self._orders.append(StopOrder(minion, run.key, run.run_id))

    def _stop_task(self, task: Task, now: float) -> None:
        minion = self._minion_of(task)
        run = minion.runs.get(task.key) if minion else None
        if minion is not None and run is not None:
            self._stop(minion, run, now)

    def _minion_of(self, task: Task) -> Minion | None:
        minion = self._minions.get(task.minion_id)
        if minion is None or minion.facts.born_ms != task.minion_born_ms:
            return None
        return minion

    # Time and planning

    def plan(self, now: float, unix_ms: int) -> None:
        """Let leases lapse, drop what has been kept long enough, and plan starts.

        :param unix_ms: time of day, against which jobs were accepted and are due
        """
        self._expire(now)
        usable = [minion for minion in self._minions.values() if self._is_usable(minion, now)]
        for job, key, minion in self._placement.choose(usable, self._queue_of, now, unix_ms):
            self._plan_run(job, key, minion, now)
        for minion in self._minions.values():
            if minion.facts.is_draining:
                self._leave(minion, now)
            for run in self._sharing.movable(minion, now):
                self._stop(minion, run, now)

    def _leave(self, minion: Minion, now: float) -> None:
        """Move lasting and checkpointing tasks off a minion that leaves."""
        for run in list(minion.runs.values()):
            if run.state is not RunState.PRESENT:
                continue
            if run.step.is_lasting or run.step.is_checkpointing:
                self._stop(minion, run, now)

    def _queue_of(self, job: Job) -> Queue:
        """Return the queue as configured now, or as it was when the job was accepted."""
        return self._config.queues.get(job.submission.queue.name, job.submission.queue)

    def _is_usable(self, minion: Minion, now: float) -> bool:
        facts = minion.facts
        return (
            minion.is_listed
            and minion.is_synced
            and not facts.is_draining
            and facts.failure_domain not in self._evacuated
            and now >= minion.avoid_until
            and now < minion.lease_until
            and now - minion.last_report_at < self._settings.hold_seconds / 2
        )

    def _plan_run(self, job: Job, key: TaskKey, minion: Minion, now: float) -> None:
        task = job.task(key)
        task.run_id += 1
        task.minion_id = minion.minion_id
        task.minion_born_ms = minion.facts.born_ms
        step = job.submission.steps[key.step]
        run = Run(key, task.run_id, step, minion.minion_id, RunState.PLANNED, now)
        minion.attach(run)
        job.state = JobState.RUNNING
        self._mark(job)
        self._planned.append(run)

    def _expire(self, now: float) -> None:
        for minion in list(self._minions.values()):
            if now < minion.lease_until:
                continue
            if minion.runs:
                self._note_minion("lease of unreachable minion has ended", minion)
                self._forget(minion, now, "lease ended")
            minion.is_synced = False
            if not minion.is_listed:
                del self._minions[minion.minion_id]
        for key, until in list(self._unlisted.items()):
            if now < until:
                continue
            del self._unlisted[key]
            self._release_unlisted(key, now)
        for job_id, cancelled_at in list(self._cancelled_early.items()):
            if now - cancelled_at >= self._settings.retention_seconds:
                del self._cancelled_early[job_id]
        for job_id, job in list(self._jobs.items()):
            if job.state not in FINAL_STATES:
                continue
            is_kept = now - job.ended_at < self._settings.retention_seconds
            if is_kept or any(task.is_assigned for task in job.tasks.values()):
                continue
            del self._jobs[job_id]
            self._removed.append(job_id)

    def _release_unlisted(self, key: str, now: float) -> None:
        for job in list(self._jobs.values()):
            for task in job.tasks.values():
                if f"{task.minion_id}@{task.minion_born_ms}" == key:
                    self._release(job, task, now, "lease of unlisted minion ended")

    # Durable writes

    def take_changes(self) -> Changes:
        """Return what the next durable write has to cover."""
        changes = Changes(list(self._dirty.values()), {}, self._planned, [], self._removed)
        for changed in changes.jobs:
            changes.shown[changed.job_id] = changed.state
        for minion in self._minions.values():
            if minion.processed_end > minion.durable_end:
                changes.ends.append((minion, minion.processed_end))
        self._dirty = {}
        self._planned = []
        self._removed = []
        return changes

    def commit(self, changes: Changes, now: float) -> list[StartOrder]:
        """Return the starts that may be sent now that ``changes`` is durable."""
        for changed in changes.jobs:
            changed.shown_state = changes.shown[changed.job_id]
        for minion, number in changes.ends:
            minion.durable_end = max(minion.durable_end, number)
        orders = []
        for run in changes.starts:
            target = self._minions.get(run.minion_id)
            job = self._jobs.get(run.key.job_id)
            if target is None or job is None or target.runs.get(run.key) is not run:
                continue
            if not self._is_usable(target, now):
                self._drop(target, run, now, "minion became unusable")
                continue
            run.state = RunState.SENT
            checkpoint = job.task(run.key).checkpoint
            orders.append(StartOrder(target, run, job.submission.payload, checkpoint))
        return orders

    def take_orders(self) -> list[Order]:
        """Return the stops and pace changes that are due; these need no durable write."""
        orders, self._orders = self._orders, []
        return orders

    def take_decisions(self) -> list[Decision]:
        """Return the decisions since the last call, for the log."""
        decisions, self._decisions = self._decisions, []
        return decisions

    def _mark(self, job: Job) -> None:
        self._dirty[job.job_id] = job

    def _note(self, what: str, job_id: str, **fields: object) -> None:
        self._decisions.append(Decision(what, job_id, fields))

    def _note_minion(self, what: str, minion: Minion) -> None:
        fields: dict[str, object] = {
            "minion": minion.minion_id,
            "born_ms": minion.facts.born_ms,
            "runs": len(minion.runs),
            "domain": minion.facts.failure_domain,
        }
        self._decisions.append(Decision(what, "", fields))
