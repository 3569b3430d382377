"""What the scheduler is set to, and what it hands to the process that runs it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from dotterelhill.jobs.fleet import Minion, Run
from dotterelhill.jobs.model import Job, JobState


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """Bounds of the platform that the scheduler works with.

    :param hold_seconds: longest lease of a run
    :param renewal_grace_seconds: time for which an earlier leader may have renewed leases meanwhile
    :param retention_seconds: time for which the state of an ended job is known
    :param harm_seconds: time for which a serving task may be over its target because of fillers
    """

    hold_seconds: float = 6.0
    renewal_grace_seconds: float = 0.0
    retention_seconds: float = 120.0
    harm_seconds: float = 4.0


@dataclass(slots=True)
class Changes:
    """What one durable write covers.

    :param jobs: jobs whose progress is to be stored
    :param shown: state of each of those jobs at the time of the write
    :param starts: runs that may be sent once the write is durable
    :param ends: highest end taken over, by minion
    :param removed: ids of jobs whose records are to be deleted
    """

    jobs: list[Job] = field(default_factory=list)
    shown: dict[str, JobState] = field(default_factory=dict)
    starts: list[Run] = field(default_factory=list)
    ends: list[tuple[Minion, int]] = field(default_factory=list)
    removed: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Decision:
    """One decision that touches a job, for the log.

    :param fields: inputs that decided it
    """

    what: str
    job_id: str
    fields: Mapping[str, object]

    @property
    def kind(self) -> str:
        """Return the decision without its reason."""
        return self.what.partition(":")[0]
