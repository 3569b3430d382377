"""Configuration of queues, pools and request limits that operators publish."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.tenants.keys import ApiKeys


@dataclass(frozen=True, slots=True)
class Queue:
    """Configuration of one queue, to which clients submit jobs.

    :param name: name of the queue in the configuration
    :param host: host name that selects it
    :param path_prefix: path prefix that selects it; the longest match wins
    :param service: pool of minions that runs its tasks
    :param priority: 0 is the highest
    :param max_attempts: number of failed runs of one task after which its job fails
    :param stretch: allowed duration of a job as a multiple of its critical path
    :param target_seconds: constant part of the allowed duration
    :param timeout_seconds: time limit for the answer to a request
    :param needs_advice: whether a policy service has to approve the minion of each start
    :param is_anonymous: whether calls need no key, so that its jobs belong to no tenant
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 2.0
    target_seconds: float = 1.0
    timeout_seconds: float = 3.0
    needs_advice: bool = False
    is_anonymous: bool = False


@dataclass(frozen=True, slots=True)
class Pool:
    """Pool of the minions of one service.

    :param is_guarded: whether its minions refuse starts that exceed their capacity
    """

    name: str
    is_guarded: bool = False


@dataclass(frozen=True, slots=True)
class Tenant:
    """Organisation that owns jobs.

    :param weight: share of the room when not all tenants find room; also the jobs per second that
        it may always submit
    :param limit: resources that its runs may use at once on all minions; 0 in a field for no limit
    """

    name: str
    weight: float = 1.0
    limit: ResourceVector = field(default_factory=ResourceVector)


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Size and time limits of client requests."""

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """One version of the queue configuration.

    :param tenants: tenants by name; empty where jobs belong to nobody and calls need no key
    :param keys: keys of all tenants
    """

    version: int = 0
    queues: Mapping[str, Queue] = field(default_factory=dict)
    pools: Mapping[str, Pool] = field(default_factory=dict)
    limits: RequestLimits = field(default_factory=RequestLimits)
    tenants: Mapping[str, Tenant] = field(default_factory=dict)
    keys: ApiKeys = field(default_factory=ApiKeys)

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest path prefix that matches a request, or None.

        >>> config = FleetConfig(1, {"q": Queue("q", "h.example", "/a/", "s")})
        >>> config.queue_for("h.example", "/a/1").name
        'q'
        >>> config.queue_for("h.example", "/b/1") is None
        True
        """
        best: Queue | None = None
        for queue in self.queues.values():
            if queue.host != host or not path.startswith(queue.path_prefix):
                continue
            if best is None or len(queue.path_prefix) > len(best.path_prefix):
                best = queue
        return best
