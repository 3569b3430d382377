"""Failed and refused runs of one minion, and whether runs may start there."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

# A minion that refused a start gets no other start for this time.
REFUSAL_SECONDS = 1.0
# A minion with this many failed runs within the window is set aside for ``SET_ASIDE_SECONDS``.
FAILURE_WINDOW_SECONDS = 3.0
FAILURES_TO_SET_ASIDE = 3
SET_ASIDE_SECONDS = 4.0
# Where several minions, at least half of a service, are set aside, the cause may lie in the tasks,
# and other jobs may wait for at most 3 s while there is room for them.
COMMON_SET_ASIDE_SECONDS = 2.5
# A lasting task may use up any number of attempts, so it is tried on a minion that is set aside
# rather than left waiting, once in this time.
TRIAL_INTERVAL_SECONDS = 1.0
# Trials of several times set aside. A trial either fails soon or works, which ends that time.
MAX_REMEMBERED_TRIALS = 16


class Exclusion(StrEnum):
    """Reason why no run may start on a minion.

    SILENT: no current report, or its lease has ended. HELD_BACK: its capacity may have shrunk,
    since the list of minions is out of date. REFUSING: it refused a start lately, or was not
    reached. SET_ASIDE: several runs failed there lately; lasting tasks are still tried there, since
    the cause may lie in the tasks.
    """

    UNLISTED = "unlisted"
    DRAINING = "draining"
    EVACUATED = "evacuated"
    SILENT = "silent"
    HELD_BACK = "held_back"
    REFUSING = "refusing"
    SET_ASIDE = "set_aside"


@dataclass(slots=True)
class MinionHealth:
    """Record of the failed and refused runs of one minion. Times are loop times in seconds."""

    _refusing_until: float = 0.0
    _set_aside_at: float = 0.0
    _set_aside_until: float = 0.0
    _next_trial_at: float = 0.0
    _failures: list[float] = field(default_factory=list)
    _trials: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_REMEMBERED_TRIALS))

    def exclusion(self, now: float) -> Exclusion | None:
        """Return why no run may start on the minion; None when runs may start."""
        if now < self._refusing_until:
            return Exclusion.REFUSING
        return Exclusion.SET_ASIDE if now < self._set_aside_until else None

    def shorten_set_aside(self) -> None:
        """Let the time set aside end after ``COMMON_SET_ASIDE_SECONDS``."""
        until = self._set_aside_at + COMMON_SET_ASIDE_SECONDS
        self._set_aside_until = min(self._set_aside_until, until)

    def has_failed_lately(self, now: float) -> bool:
        """Return whether a run failed that counts towards setting the minion aside."""
        return bool(self._failures) and now - self._failures[-1] < FAILURE_WINDOW_SECONDS

    def is_trial_due(self, now: float) -> bool:
        """Return whether a lasting task may be tried on the minion while it is set aside."""
        return now >= self._next_trial_at

    def record_start(self, now: float) -> None:
        """Record a planned start, which is a trial while the minion is set aside."""
        if now < self._set_aside_until:
            self._next_trial_at = now + TRIAL_INTERVAL_SECONDS
            self._trials.append(now)

    def record_refusal(self, now: float) -> None:
        """Record that the minion refused a start or was not reached."""
        self._refusing_until = max(self._refusing_until, now + REFUSAL_SECONDS)

    def is_trial(self, planned_at: float) -> bool:
        """Return whether a lasting task planned at a time ends the time set aside if it works."""
        return planned_at > self._set_aside_at

    def record_work(self, planned_at: float, now: float) -> None:
        """Record that a lasting task works at full speed, which ends the time set aside.

        :param planned_at: time at which the run was planned; only one that was tried while the
            minion was set aside shows that other tasks can work there
        """
        if self.is_trial(planned_at):
            self._set_aside_until = min(self._set_aside_until, now)

    def record_failure(self, planned_at: float | None, now: float) -> bool:
        """Record a failed run and return whether the minion is set aside for it.

        The failure of a trial does not count: it would extend the time set aside without end while
        a lasting task fails every run, and short tasks could never show that they work there.

        :param planned_at: time at which the run was planned; None when it is not known
        """
        if planned_at in self._trials:
            return False
        self._failures = [at for at in self._failures if now - at < FAILURE_WINDOW_SECONDS]
        self._failures.append(now)
        if len(self._failures) < FAILURES_TO_SET_ASIDE:
            return False
        self._failures.clear()
        self._set_aside_at = now
        self._set_aside_until = now + SET_ASIDE_SECONDS
        self._next_trial_at = now + TRIAL_INTERVAL_SECONDS
        return True
