"""Figures of a measurement: one line for each, and the same as JSON."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from dataclasses import asdict, dataclass

import msgspec


@dataclass(frozen=True, slots=True)
class Figure:
    """One measured figure.

    :param name: what was measured, with its unit
    :param measured: median over the runs
    :param spread: largest less smallest of the runs
    :param target: bound that was set beforehand; None for a figure that only informs
    :param is_lower_better: whether ``measured`` must not be above the target, else not below it
    :param baseline: figure of the simpler way in the same run; None where there is none
    """

    name: str
    measured: float
    spread: float = 0.0
    target: float | None = None
    is_lower_better: bool = True
    baseline: float | None = None

    @property
    def verdict(self) -> str:
        """Return ``met``, ``short``, or ``-`` when there is no target."""
        if self.target is None:
            return "-"
        is_met = (
            self.measured <= self.target if self.is_lower_better else self.measured >= self.target
        )
        return "met" if is_met else "short"


def figure_of(name: str, values: Sequence[float], **options: float | bool | None) -> Figure:
    """Return the figure of several runs.

    >>> figure_of("placement, us", [3.0, 1.0, 2.0], target=5.0).verdict
    'met'
    """
    spread = max(values) - min(values)
    return Figure(name, statistics.median(values), spread, **options)  # type: ignore[arg-type]


def _text(value: float | None) -> str:
    return "-" if value is None else f"{value:,.4g}"


def print_figures(figures: Sequence[Figure]) -> None:
    """Print a line for each figure: name, target, baseline, measured, verdict."""
    for one in figures:
        measured = f"{_text(one.measured)} (spread {_text(one.spread)})"
        print(
            f"{one.name:<66} target {_text(one.target):>8}  baseline {_text(one.baseline):>8}  "
            f"measured {measured:<30} {one.verdict}",
            flush=True,
        )


def encoded_figures(figures: Sequence[Figure]) -> bytes:
    """Return the figures as JSON, with their verdicts."""
    rows = [{**asdict(one), "verdict": one.verdict} for one in figures]
    return msgspec.json.format(msgspec.json.encode(rows))
