"""Steps for the names of metrics.

They guard against a regression: requests were counted under a name that the table lacked, and each
was answered with an internal error.
"""

from __future__ import annotations

import ast
import random
from collections.abc import Iterator
from pathlib import Path
from typing import Any
from unittest.mock import MagicMock, patch

from behave import given, then, when

import dotterelhill
from dotterelhill.entry.inspection import _gauges
from dotterelhill.entry.metrics import METRICS, MetricKind
from dotterelhill.requests.routing import Routing, _Health

KINDS = {
    "count": MetricKind.COUNTER,
    "gauge": MetricKind.GAUGE,
    "observe": MetricKind.QUANTILES,
}


def find_metric_uses(source: str) -> Iterator[tuple[str, str, bool]]:
    for node in ast.walk(ast.parse(source)):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
            continue
        if node.func.attr not in KINDS or not ast.unparse(node.func.value).endswith("metrics"):
            continue
        if not isinstance(node.args[0], ast.Constant):
            continue
        has_label = len(node.args) > 2 or any(keyword.arg == "label" for keyword in node.keywords)
        yield node.func.attr, str(node.args[0].value), has_label


@given("every metric name that the package counts, sets or observes")
def read_uses(context: Any) -> None:
    root = Path(dotterelhill.__file__).parent
    sources = [path for path in root.glob("**/*.py") if "tests" not in path.parts]
    context.uses = [use for path in sources for use in find_metric_uses(path.read_text())]
    assert len(context.uses) >= 10, context.uses


@then("each name is in the table with the kind and label of its use")
def check_uses(context: Any) -> None:
    rows = {metric.name: metric for metric in METRICS}
    for method, name, has_label in context.uses:
        assert name in rows, name
        assert rows[name].kind is KINDS[method], name
        assert bool(rows[name].label) == has_label, name


@given("a process with the request state of two minions, one of them ejected")
def make_process_with_ejected_minion(context):
    routing = Routing(random.Random(1))
    routing._health["slow"] = _Health(is_ejected=True)
    routing._health["fast"] = _Health()
    context.slices = MagicMock()
    context.slices.requests.dump.return_value = {"queue": 0, "minions": routing.dump()}


@when("its gauges are read")
def read_gauges(context):
    with patch("dotterelhill.entry.inspection._now", return_value=1.0):
        context.gauges = _gauges(context.slices, True)


@then("the gauge of ejected minions is {count:d}")
def check_ejected_minions(context, count):
    assert context.gauges["requests.ejected"] == count, context.gauges
