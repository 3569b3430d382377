"""Jobs whose progress the store refuses for good."""

from __future__ import annotations

from collections.abc import Mapping

from dotterelhill.jobs.fleet import Minion

# Time after which the progress of such a job is written again.
RETRY_SECONDS = 5.0


class UnstoredJobs:
    """Jobs that are held because their progress can't be stored, and the ends of their runs.

    Nothing of such a job starts, and an end of its runs is not acknowledged to the minion: a later
    leader must find it there.
    """

    def __init__(self) -> None:
        # Loop time of the newest attempt by job id.
        self._tried_at: dict[str, float] = {}
        # Lowest number of an end that is not stored, by job id and minion.
        self._ends: dict[str, dict[Minion, int]] = {}

    @property
    def count(self) -> int:
        """Return the number of jobs."""
        return len(self._tried_at)

    def has(self, job_id: str) -> bool:
        """Return whether a job is held."""
        return job_id in self._tried_at

    def hold(self, job_id: str, ends: Mapping[Minion, int], now: float) -> None:
        """Hold a job after its progress was refused.

        :param ends: lowest number of an end on each minion that this progress would have stored
        """
        self._tried_at[job_id] = now
        known = self._ends.setdefault(job_id, {})
        for minion, number in ends.items():
            known[minion] = min(number, known.get(minion, number))

    def release(self, job_id: str) -> bool:
        """Release a job whose progress is stored or removed; return whether it was held."""
        self._ends.pop(job_id, None)
        return self._tried_at.pop(job_id, None) is not None

    def take_due(self, now: float) -> list[str]:
        """Return the jobs whose progress has to be written again."""
        due = [job_id for job_id, at in self._tried_at.items() if now - at >= RETRY_SECONDS]
        for job_id in due:
            self._tried_at[job_id] = now
        return due

    def acknowledgeable_end(self, minion: Minion, number: int) -> int:
        """Return the highest number up to which the ends of a minion are stored.

        :param number: highest number that was processed
        """
        for ends in self._ends.values():
            number = min(number, ends.get(minion, number + 1) - 1)
        return number
