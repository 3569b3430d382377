"""Scheduler settings, and the changes and decisions that the scheduler returns."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from dotterelhill.jobs.fleet import Minion, Run
from dotterelhill.jobs.model import Job, JobState

# The tasks of a minion that is lost without a word start elsewhere when its lease is over, and
# lasting tasks have to run again within 9 s. Platforms may allow longer leases.
MAX_LEASE_SECONDS = 6.0


@dataclass(frozen=True, slots=True)
class Switches:
    """Parts of the scheduler that a deployment may turn on or off.

    :param look_ahead: whether waiting tasks hold reservations of future capacity
    :param shortage_control: whether a shortage changes the order of jobs and what is admitted
    :param reclaim: whether tenants below their share take capacity back from others
    :param speed_placement: whether learned speeds and failures of minions decide placement
    """

    look_ahead: bool = False
    shortage_control: bool = False
    reclaim: bool = True
    speed_placement: bool = False


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """Time limits of the scheduler in seconds, and switches.

    :param hold_seconds: longest lease that the platform allows
    :param retention_seconds: time for which an ended job is kept
    :param harm_seconds: longest time for which fillers may keep a serving task over its target
    :param capacity_valid_seconds: longest age of the list of minions with which tasks start on
        minions that don't guard their capacity
    :param are_copies_enabled: whether tasks of speculative steps may have a second run
    :param are_restarts_enabled: whether other runs that take too long are started again elsewhere
    :param switches: parts that the deployment has turned on
    """

    hold_seconds: float = 6.0
    retention_seconds: float = 120.0
    harm_seconds: float = 4.0
    capacity_valid_seconds: float = float("inf")
    are_copies_enabled: bool = True
    are_restarts_enabled: bool = True
    switches: Switches = Switches()

    @property
    def lease_seconds(self) -> float:
        """Return the lease that an order grants to the runs of a minion, in seconds."""
        return min(self.hold_seconds, MAX_LEASE_SECONDS)


@dataclass(slots=True)
class Changes:
    """State changes that one durable write covers.

    :param jobs: jobs whose progress has to be stored
    :param states: state of each of those jobs when the write begins, by job id
    :param starts: runs whose start orders may be sent after the write is durable
    :param ends: highest processed end number of each minion
    :param job_ends: lowest number of an end on each minion whose effect is part of the progress of
        a job, by job id
    :param removed: ids of jobs whose progress has to be deleted
    :param expired: ids of ended jobs whose submissions have to be deleted
    :param expired_cancellations: job ids and tenants of cancellations whose records have to be
        deleted, since no job was submitted
    """

    jobs: list[Job] = field(default_factory=list)
    states: dict[str, JobState] = field(default_factory=dict)
    starts: list[Run] = field(default_factory=list)
    ends: list[tuple[Minion, int]] = field(default_factory=list)
    job_ends: dict[str, dict[Minion, int]] = field(default_factory=dict)
    removed: list[str] = field(default_factory=list)
    expired: list[str] = field(default_factory=list)
    expired_cancellations: list[tuple[str, str]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Decision:
    """One decision about a job or a minion, for the log and the metrics.

    :param what: text of the log line: a kind, optionally followed by a colon and a reason
    :param job_id: job of the decision; empty for a decision about a minion
    :param fields: extra fields of the log line
    """

    message: str
    job_id: str
    fields: Mapping[str, object]

    @property
    def kind(self) -> str:
        """Return the decision without its reason; the label of the metric ``jobs.decisions``."""
        return self.message.partition(":")[0]
