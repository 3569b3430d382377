"""Sizes of waiting tasks, and which of them fitted no minion."""

from __future__ import annotations

from dataclasses import dataclass, field

from dotterelhill.jobs.resources import ResourceVector

# A size that failed earlier than so many others saves little: most minions have changed since.
MAX_FAILURES = 16


@dataclass(slots=True, eq=False)
class TaskClass:
    """Tasks of one service for which only their size decides which minions fit.

    :param failures: sizes that fitted no minion, each with the round of the newest attempt
    :param version: number of changes of the failures
    """

    service: str
    is_filler: bool
    sizes: dict[ResourceVector, TaskSize] = field(default_factory=dict)
    failures: list[tuple[ResourceVector, float]] = field(default_factory=list)
    version: int = 0

    def record_failure(self, room: ResourceVector, round_number: float) -> None:
        """Record that a size fits no minion in a round, which is not before earlier ones.

        >>> tasks = TaskClass("pool", False)
        >>> tasks.record_failure(ResourceVector(2000, 10), 1)
        >>> tasks.record_failure(ResourceVector(1000, 10), 2)
        >>> tasks.failures
        [(ResourceVector(cpu=1000, memory_mb=10, gpu=0), 2)]
        """
        kept = [failure for failure in self.failures if not failure[0].is_enough_for(room)]
        self.failures = [*kept[1 - MAX_FAILURES :], (room, round_number)]
        self.version += 1

    def forget(self) -> None:
        """Forget the failures."""
        if self.failures:
            self.failures = []
            self.version += 1


@dataclass(slots=True, eq=False)
class TaskSize:
    """Tasks of one class that are equally large."""

    task_class: TaskClass
    room: ResourceVector
    _version: int = -1
    _failed_round: float = -1.0

    @property
    def failed_round(self) -> float:
        """Return the newest round in which the tasks, or smaller ones, fitted no minion.

        :returns: -1 if there is none
        """
        if self._version != self.task_class.version:
            self._version = self.task_class.version
            self._failed_round = -1.0
            for room, round_number in self.task_class.failures:
                if round_number > self._failed_round and self.room.is_enough_for(room):
                    self._failed_round = round_number
        return self._failed_round
