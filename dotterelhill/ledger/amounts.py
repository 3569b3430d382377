"""Resource amounts in integer units, so that sums do not depend on the order of additions."""

from __future__ import annotations

import math
from typing import NamedTuple

from dotterelhill.manifest.document import Resources

MILLI_CPU = 1000
MEMORY_MB = 1000
# Absorbs the error of binary fractions: 0.1 CPU, times 1000, must not round up to 101.
_ROUNDING_TOLERANCE = 1e-6


class Amounts(NamedTuple):
    """Amounts of CPU, memory and accelerators.

    :param milli_cpu: thousandths of a processor
    :param memory_mb: memory in MB
    :param accelerators: number of accelerators
    """

    milli_cpu: int
    memory_mb: int
    accelerators: int

    def is_within(self, bound: Amounts) -> bool:
        """Return whether each amount is at most that of ``bound``."""
        return self[0] <= bound[0] and self[1] <= bound[1] and self[2] <= bound[2]

    def plus(self, other: Amounts) -> Amounts:
        """Return the element-wise sum."""
        return Amounts(self[0] + other[0], self[1] + other[1], self[2] + other[2])

    def minus(self, other: Amounts) -> Amounts:
        """Return the element-wise difference; amounts may be negative."""
        return Amounts(self[0] - other[0], self[1] - other[1], self[2] - other[2])

    @property
    def resources(self) -> Resources:
        """Return the amounts in the units of the manifest."""
        return Resources(
            cpu=self[0] / MILLI_CPU, memory_gb=self[1] / MEMORY_MB, accelerators=self[2]
        )


ZERO_AMOUNTS = Amounts(0, 0, 0)


def needed_amounts(resources: Resources) -> Amounts:
    """Return the amounts to reserve for ``resources``, rounded up.

    >>> needed_amounts(Resources(cpu=0.1, memory_gb=1.0005))
    Amounts(milli_cpu=100, memory_mb=1001, accelerators=0)
    """
    return Amounts(
        math.ceil(resources.cpu * MILLI_CPU - _ROUNDING_TOLERANCE),
        math.ceil(resources.memory_gb * MEMORY_MB - _ROUNDING_TOLERANCE),
        resources.accelerators,
    )


def offered_amounts(cpu: float, memory_gb: float, accelerators: int) -> Amounts:
    """Return the amounts of a worker that may be reserved, rounded down."""
    return Amounts(
        math.floor(cpu * MILLI_CPU + _ROUNDING_TOLERANCE),
        math.floor(memory_gb * MEMORY_MB + _ROUNDING_TOLERANCE),
        accelerators,
    )
