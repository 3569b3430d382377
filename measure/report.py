"""Figures of a measurement: one line for each, and the same as JSON."""

from __future__ import annotations

import statistics
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass

import msgspec

NO_VERDICT = "-"


@dataclass(frozen=True, slots=True)
class Figure:
    """One measured figure, as text with units.

    :param target: bound that was set beforehand; empty for a figure that only informs
    :param baseline: figure of the simpler way in the same run; empty where there is none
    :param verdict: ``met``, ``short``, or ``-`` without a target
    """

    name: str
    target: str
    baseline: str
    measured: str
    verdict: str


def judged_figure(name: str, target: str, baseline: str, measured: str, *, is_met: bool) -> Figure:
    """Return a figure with its verdict."""
    return Figure(name, target, baseline, measured, "met" if is_met else "short")


def figure_of(
    name: str, unit: str, values: Sequence[float], *, at_most: float | None = None
) -> Figure:
    """Return the figure of several runs: their median and spread.

    >>> figure_of("placement", "us", [3.0, 1.0, 2.0], at_most=5.0).measured
    '2 us (spread 2, 3 runs)'
    """
    median = statistics.median(values)
    spread = max(values) - min(values)
    measured = f"{median:.4g} {unit} (spread {spread:.3g}, {len(values)} runs)"
    if at_most is None:
        return Figure(name, "", "", measured, NO_VERDICT)
    return judged_figure(
        name, f"at most {at_most:g} {unit}", "", measured, is_met=median <= at_most
    )


def informing_figure(name: str, unit: str, value: float) -> Figure:
    """Return a figure without a target."""
    return Figure(name, "", "", f"{value:.4g} {unit}", NO_VERDICT)


def printed_figures(figures: Iterable[Figure]) -> list[Figure]:
    """Return the figures after printing a line for each as it comes."""
    printed = []
    for one in figures:
        target, baseline = one.target or "no target", one.baseline or "no baseline"
        print(f"{one.name}, {target}, {baseline}, {one.measured}, {one.verdict}", flush=True)
        printed.append(one)
    return printed


def encoded_figures(figures: Sequence[Figure]) -> bytes:
    """Return the figures as JSON."""
    return msgspec.json.format(msgspec.json.encode([asdict(one) for one in figures]))
