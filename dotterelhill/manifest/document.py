"""Manifest document: frozen data classes that pydantic validates on input."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Annotated, ClassVar

from pydantic import ConfigDict, Field

LARGEST_DEADLINE_SECONDS = 30.0
DEFAULT_AUTONOMY_SECONDS = 3600.0

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Positive = Annotated[float, Field(gt=0, allow_inf_nan=False)]
NonNegative = Annotated[float, Field(ge=0, allow_inf_nan=False)]
# Largest integer that every JSON and msgpack library represents exactly; a larger one could not be
# written to a snapshot.
LARGEST_COUNT = 2**53
Count = Annotated[int, Field(ge=0, le=LARGEST_COUNT)]

_STRICT_CONFIG = ConfigDict(extra="forbid")


class DomainState(StrEnum):
    """State of a failure domain; ``lost`` attests that its VMs are off."""

    IN = "in"
    OUT = "out"
    LOST = "lost"


class MinionState(StrEnum):
    """Whether a minion receives new requests."""

    IN = "in"
    LEAVING = "leaving"


class Priority(StrEnum):
    """Order in which work is started, and in which it is kept under overload."""

    URGENT = "urgent"
    NORMAL = "normal"
    LOW = "low"


@dataclass(frozen=True, slots=True, kw_only=True)
class Resources:
    """Resource amounts of a worker, a task or a limit.

    :param cpu: processors, possibly a fraction
    :param memory_gb: memory in gigabytes
    :param accelerators: whole accelerators
    """

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT_CONFIG

    cpu: NonNegative = 0.0
    memory_gb: NonNegative = 0.0
    accelerators: Count = 0

    def __add__(self, other: Resources) -> Resources:
        return Resources(
            cpu=self.cpu + other.cpu,
            memory_gb=self.memory_gb + other.memory_gb,
            accelerators=self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Resources) -> Resources:
        return Resources(
            cpu=self.cpu - other.cpu,
            memory_gb=self.memory_gb - other.memory_gb,
            accelerators=self.accelerators - other.accelerators,
        )

    def is_within(self, bound: Resources) -> bool:
        """Return whether no amount exceeds that of ``bound``.

        >>> Resources(cpu=2.0).is_within(Resources(cpu=2.0, memory_gb=1.0))
        True
        """
        return (
            self.cpu <= bound.cpu + 1e-9
            and self.memory_gb <= bound.memory_gb + 1e-9
            and self.accelerators <= bound.accelerators
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Limits of one member, or of all members together, as voted by the members.

    :param requests_per_second: maximum rate of admitted requests
    :param in_flight: maximum number of requests in progress
    """

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT_CONFIG

    requests_per_second: Positive
    in_flight: Annotated[int, Field(gt=0)]
    cpu: NonNegative
    memory_gb: NonNegative
    accelerators: Count = 0

    @property
    def resources(self) -> Resources:
        """Return the limits that apply to batch work."""
        return Resources(cpu=self.cpu, memory_gb=self.memory_gb, accelerators=self.accelerators)


@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """Organisation of the co-operative, with the quotas of its teams."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT_CONFIG

    limits: Limits
    teams: dict[Name, Resources] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class FailureDomain:
    """Failure domain: its region and its state."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT_CONFIG

    region: Name
    state: DomainState = DomainState.IN


@dataclass(frozen=True, slots=True, kw_only=True)
class Minion:
    """Back end of a service.

    :param address: ``host:port``
    :param slots: number of requests that it handles at the same time
    :param connections: maximum number of open connections from all entry processes together
    """

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT_CONFIG

    address: Annotated[str, Field(pattern=r"^[^:/\s]+:[0-9]{1,5}$")]
    failure_domain: Name
    slots: Annotated[int, Field(gt=0, le=1024)] = 8
    connections: Annotated[int, Field(gt=0, le=8192)] = 64
    state: MinionState = MinionState.IN


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """Latency-critical service and its minions."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT_CONFIG

    member: Name
    path_prefix: Annotated[str, Field(pattern=r"^/[^?#\s]*$")]
    priority: Priority = Priority.NORMAL
    deadline_seconds: Annotated[float, Field(gt=0, le=LARGEST_DEADLINE_SECONDS)] = 10.0
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    minions: dict[Name, Minion] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class Constraints:
    """Placement constraints of a job's tasks.

    :param failure_domains: allowed failure domains; empty allows all
    :param same_rack: whether all tasks of the job must share one rack
    """

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT_CONFIG

    failure_domains: tuple[Name, ...] = ()
    same_rack: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """Batch job of identical tasks; the resource amounts apply to each task.

    :param run_seconds: declared run time of a task; a hint that may be very inaccurate
    """

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT_CONFIG

    member: Name
    team: Name
    tasks: Annotated[int, Field(gt=0, le=10_000)] = 1
    cpu: Positive
    memory_gb: NonNegative = 0.0
    accelerators: Count = 0
    priority: Priority = Priority.NORMAL
    run_seconds: Positive = 600.0
    constraints: Constraints = field(default_factory=Constraints)
    cancelled: bool = False

    @property
    def resources(self) -> Resources:
        """Return the resources that one task needs."""
        return Resources(cpu=self.cpu, memory_gb=self.memory_gb, accelerators=self.accelerators)


@dataclass(frozen=True, slots=True, kw_only=True)
class Manifest:
    """Configuration of the whole system, as set by its operators."""

    __pydantic_config__: ClassVar[ConfigDict] = _STRICT_CONFIG

    members: dict[Name, Member]
    limits: Limits
    failure_domains: dict[Name, FailureDomain]
    services: dict[Name, Service] = field(default_factory=dict)
    jobs: dict[Name, Job] = field(default_factory=dict)
    lost_workers: tuple[Name, ...] = ()
    autonomy_seconds: Annotated[float, Field(ge=60, le=86_400)] = DEFAULT_AUTONOMY_SECONDS
    cross_region_bytes_per_second: Count = 500_000
