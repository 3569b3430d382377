"""Queues and pools of the configuration that operators publish."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Queue:
    """Where clients submit jobs of one kind.

    :param name: name of the queue in the configuration
    :param host: host name that selects it
    :param path_prefix: path prefix that selects it; the longest match wins
    :param service: pool of minions that runs its tasks
    :param priority: 0 comes first
    :param max_attempts: runs of a task that may fail before its job fails
    :param stretch: allowed duration of a job relative to its longest chain of work
    :param target_seconds: added to that duration
    :param timeout_seconds: time within which a request is answered
    :param needs_advice: whether a policy service must allow each minion
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


@dataclass(frozen=True, slots=True)
class Pool:
    """Minions of one service.

    :param is_guarded: whether its minions refuse what does not fit
    """

    name: str
    is_guarded: bool = False


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Bounds of client requests."""

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """One version of the configuration."""

    version: int = 0
    queues: Mapping[str, Queue] = field(default_factory=dict)
    pools: Mapping[str, Pool] = field(default_factory=dict)
    limits: RequestLimits = field(default_factory=RequestLimits)

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Return the queue that a request's host and path select.

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
