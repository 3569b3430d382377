"""Amounts of the resources of a minion."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ResourceVector:
    """Resources that a minion offers or a task requests.

    :param cpu: thousandths of a processor
    :param memory_mb: memory in MB
    :param gpu: accelerators
    """

    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0

    def plus(self, other: ResourceVector) -> ResourceVector:
        """Return the sum of both resource vectors.

        >>> ResourceVector(1000, 10).plus(ResourceVector(500, 5))
        ResourceVector(cpu=1500, memory_mb=15, gpu=0)
        """
        return ResourceVector(
            self.cpu + other.cpu, self.memory_mb + other.memory_mb, self.gpu + other.gpu
        )

    def minus(self, other: ResourceVector) -> ResourceVector:
        """Return the resources that remain after subtracting ``other``."""
        return ResourceVector(
            self.cpu - other.cpu, self.memory_mb - other.memory_mb, self.gpu - other.gpu
        )

    def as_list(self) -> list[int]:
        """Return the processors in thousandths, memory in MB and accelerators, for the log."""
        return [self.cpu, self.memory_mb, self.gpu]

    def is_enough_for(self, other: ResourceVector) -> bool:
        """Return whether every resource is at least that of ``other``."""
        return self.cpu >= other.cpu and self.memory_mb >= other.memory_mb and self.gpu >= other.gpu
