"""Figures of a measurement, and their output as text lines and as JSON."""

from __future__ import annotations

import statistics
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass

import msgspec

NO_VERDICT = "-"


@dataclass(frozen=True, slots=True)
class Figure:
    """One measured figure; its values are text with units.

    :param target: bound that was set before the measurement; empty for a figure without a target
    :param baseline: figure of the simpler baseline in the same run; empty if there is none
    :param verdict: ``met``, ``short``, or ``-`` without a target
    """

    name: str
    target: str
    baseline: str
    measured: str
    verdict: str


def figure_with_target(
    name: str, target: str, baseline: str, measured: str, *, is_met: bool
) -> Figure:
    """Return a figure with a target and its verdict."""
    return Figure(name, target, baseline, measured, "met" if is_met else "short")


def median_figure(
    name: str, unit: str, values: Sequence[float], *, at_most: float | None = None
) -> Figure:
    """Return the median and spread of several runs as a figure.

    :param at_most: target for the median; None for a figure without a target

    >>> median_figure("placement", "us", [3.0, 1.0, 2.0], at_most=5.0).measured
    '2 us (spread 2, 3 runs)'
    """
    median = statistics.median(values)
    spread = max(values) - min(values)
    measured = f"{median:.4g} {unit} (spread {spread:.3g}, {len(values)} runs)"
    if at_most is None:
        return Figure(name, "", "", measured, NO_VERDICT)
    return figure_with_target(
        name, f"at most {at_most:g} {unit}", "", measured, is_met=median <= at_most
    )


def figure_without_target(name: str, unit: str, value: float) -> Figure:
    """Return a figure without a target."""
    return Figure(name, "", "", f"{value:.4g} {unit}", NO_VERDICT)


def print_figures(figures: Iterable[Figure]) -> list[Figure]:
    """Print a line for each figure as soon as it is measured; return all figures."""
    printed = []
    for figure in figures:
        target, baseline = figure.target or "no target", figure.baseline or "no baseline"
        print(
            f"{figure.name}, {target}, {baseline}, {figure.measured}, {figure.verdict}", flush=True
        )
        printed.append(figure)
    return printed


def encode_figures(figures: Sequence[Figure]) -> bytes:
    """Return the figures as JSON."""
    return msgspec.json.format(msgspec.json.encode([asdict(figure) for figure in figures]))
