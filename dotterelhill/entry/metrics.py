"""Counters, gauges and quantiles of one entry process."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

import mode
import statsd
from ddsketch import LogCollapsingLowestDenseDDSketch

FLUSH_SECONDS = 10.0
RELATIVE_ACCURACY = 0.01
# At 1% accuracy 1024 bins span a factor of about 8e8, so microseconds to minutes stay exact.
SKETCH_BINS = 1024
# Labels come from closed lists or the manifest; the bound guards against unbounded memory.
LARGEST_LABEL_COUNT = 256
OTHER_LABEL = "other"
QUANTILES = (0.5, 0.9, 0.99, 0.999)
PREFIX = "dotterelhill"


class MetricKind(StrEnum):
    """How the values of a metric are combined."""

    COUNTER = "counter"
    GAUGE = "gauge"
    QUANTILES = "quantiles"


@dataclass(frozen=True, slots=True)
class Metric:
    """One row of the table of metrics.

    :param unit: unit of the values
    :param label: what the last part of the name says, or empty when there is none
    """

    name: str
    kind: MetricKind
    unit: str
    meaning: str
    label: str = ""


_C, _G, _Q = MetricKind.COUNTER, MetricKind.GAUGE, MetricKind.QUANTILES

METRICS: tuple[Metric, ...] = (
    Metric("requests.received", _C, "requests", "heads of callers read", "service"),
    Metric("requests.answered", _C, "requests", "whole answers of minions passed on", "service"),
    Metric("requests.errors", _C, "requests", "requests answered with an error", "error kind"),
    Metric("requests.forwarded", _C, "requests", "requests sent on to a peer", "domain"),
    Metric("requests.retried", _C, "attempts", "further attempts of idempotent requests"),
    Metric("requests.retry_budget_spent", _C, "requests", "retries that the budget refused"),
    Metric("requests.in_flight", _G, "requests", "requests in progress"),
    Metric("requests.queued", _G, "requests", "requests that wait for a slot"),
    Metric("requests.seconds", _Q, "seconds", "from the head to the end of the answer", "service"),
    Metric("requests.wait_seconds", _Q, "seconds", "from the head to the dispatch", "service"),
    Metric("minions.ejected", _C, "ejections", "minions taken out of the choice", "service"),
    Metric("minions.silent", _C, "connections", "connections closed for silence", "service"),
    Metric("minions.held", _G, "minions", "minions that this process may use"),
    Metric("claims.appended", _C, "claims", "claims of callers' idempotency keys"),
    Metric("claims.duplicates", _C, "requests", "requests whose key was claimed before"),
    Metric("log.appends", _C, "appends", "appends that were acknowledged", "stream"),
    Metric("log.append_records", _C, "records", "records in acknowledged appends", "stream"),
    Metric("log.failures", _C, "calls", "reads and appends that failed", "stream"),
    Metric("log.lost_answers", _C, "appends", "appends with an unknown outcome", "stream"),
    Metric("log.undecodable", _C, "records", "records that were ignored", "stream"),
    Metric("log.append_seconds", _Q, "seconds", "time until an append was acknowledged", "stream"),
    Metric("log.evidence_seconds", _G, "seconds", "age of the newest evidence", "stream"),
    Metric("manifest.version", _G, "offset", "version in force"),
    Metric("manifest.rejected", _C, "publications", "publications refused", "verdict"),
    Metric("manifest.relayed", _C, "manifests", "versions learned from a peer"),
    Metric("peers.live", _G, "peers", "peers heard within 3 s"),
    Metric("peers.refused", _C, "messages", "messages with a wrong key or format"),
    Metric("peers.bytes_sent", _C, "bytes", "bytes sent to peers", "domain"),
    Metric("holdings.taken", _C, "holds", "resources taken over"),
    Metric("holdings.lost", _C, "holds", "resources that another incarnation took"),
    Metric("workers.held", _G, "workers", "workers whose lease this process renews"),
    Metric("workers.silent", _G, "workers", "held workers that do not answer"),
    Metric("tasks.started", _C, "tasks", "starts that a worker accepted"),
    Metric("tasks.refused", _C, "tasks", "starts that a worker refused", "reason"),
    Metric("tasks.stopped", _C, "tasks", "tasks that ended", "outcome"),
    Metric("tasks.evictions", _C, "tasks", "tasks stopped before their end", "reason"),
    Metric("tasks.throttled", _C, "tasks", "tasks slowed down for a service"),
    Metric("tasks.pending", _G, "tasks", "tasks that wait for a place"),
    Metric("tasks.wait_seconds", _Q, "seconds", "from the declaration to the start", "priority"),
    Metric("ledger.records", _C, "records", "control records folded", "verdict"),
    Metric("ledger.snapshots", _C, "snapshots", "snapshots written"),
    Metric("trace.events", _C, "events", "events written to the trace", "slice"),
    Metric("trace.dropped", _C, "events", "events after the trace was full", "slice"),
    Metric("process.loop_delay_seconds", _Q, "seconds", "delay of a timer of the event loop"),
)

_ROWS = {metric.name: metric for metric in METRICS}


class Metrics(Protocol):
    """What a slice may do with metrics; names are those of ``METRICS``."""

    def count(self, name: str, amount: int = 1, label: str = "") -> None:
        """Add ``amount`` to a counter."""
        ...

    def gauge(self, name: str, value: float, label: str = "") -> None:
        """Set a gauge."""
        ...

    def observe(self, name: str, value: float, label: str = "") -> None:
        """Add a value to a distribution."""
        ...


def _new_sketch() -> LogCollapsingLowestDenseDDSketch:
    return LogCollapsingLowestDenseDDSketch(RELATIVE_ACCURACY, SKETCH_BINS)


@dataclass(slots=True)
class _Distribution:
    """Values since the start and since the last flush."""

    total: LogCollapsingLowestDenseDDSketch
    window: LogCollapsingLowestDenseDDSketch


@dataclass(frozen=True, slots=True)
class DistributionState:
    """Quantiles of one metric since the process started.

    :param quantiles: values in the metric's unit, by quantile
    """

    count: int
    mean: float
    quantiles: dict[str, float]


@dataclass(frozen=True, slots=True)
class MetricsState:
    """Local values of all metrics that were used, for the state dump."""

    counters: dict[str, int]
    gauges: dict[str, float]
    distributions: dict[str, DistributionState]


def _quantile_name(quantile: float) -> str:
    return "p" + f"{quantile * 100:g}".replace(".", "")


def _quantiles_of(sketch: LogCollapsingLowestDenseDDSketch) -> dict[str, float]:
    return {_quantile_name(q): sketch.get_quantile_value(q) or 0.0 for q in QUANTILES}


class LocalMetrics:
    """Values of all metrics in memory; flushed to statsd when a client is given.

    Values are combined here and sent every ``FLUSH_SECONDS``, so that the traffic does not rise
    with the requests: control may use 7 KB/s on a node.

    :param client: statsd client; None keeps the values local
    """

    def __init__(self, client: statsd.StatsClient | None = None) -> None:
        self._client = client
        self._counters: dict[str, int] = {}
        self._sent: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._distributions: dict[str, _Distribution] = {}
        self._labels: dict[str, set[str]] = {}

    @property
    def state(self) -> MetricsState:
        """Return the values since the process started."""
        distributions = {
            key: DistributionState(
                int(item.total.count), item.total.avg or 0.0, _quantiles_of(item.total)
            )
            for key, item in self._distributions.items()
        }
        return MetricsState(dict(self._counters), dict(self._gauges), distributions)

    def count(self, name: str, amount: int = 1, label: str = "") -> None:
        """Add ``amount`` to a counter.

        :raises ValueError: when ``METRICS`` has no such counter
        """
        key = self._key(name, MetricKind.COUNTER, label)
        self._counters[key] = self._counters.get(key, 0) + amount

    def gauge(self, name: str, value: float, label: str = "") -> None:
        """Set a gauge.

        :raises ValueError: when ``METRICS`` has no such gauge
        """
        self._gauges[self._key(name, MetricKind.GAUGE, label)] = value

    def observe(self, name: str, value: float, label: str = "") -> None:
        """Add a value to a distribution.

        :raises ValueError: when ``METRICS`` has no such distribution
        """
        key = self._key(name, MetricKind.QUANTILES, label)
        distribution = self._distributions.get(key)
        if distribution is None:
            distribution = _Distribution(_new_sketch(), _new_sketch())
            self._distributions[key] = distribution
        distribution.total.add(value)
        distribution.window.add(value)

    def flush(self) -> None:
        """Send what changed since the last flush to the statsd server."""
        if self._client is not None:
            with self._client.pipeline() as pipe:
                self._send(pipe)
        for distribution in self._distributions.values():
            distribution.window = _new_sketch()

    def _send(self, pipe: statsd.client.udp.Pipeline) -> None:
        for key, value in self._counters.items():
            added = value - self._sent.get(key, 0)
            self._sent[key] = value
            if added:
                pipe.incr(key, added)
        for key, number in self._gauges.items():
            if math.isfinite(number):
                pipe.gauge(key, number)
        for key, distribution in self._distributions.items():
            if not distribution.window.count:
                continue
            for quantile, number in _quantiles_of(distribution.window).items():
                pipe.gauge(f"{key}.{quantile}", number)

    def _key(self, name: str, kind: MetricKind, label: str) -> str:
        row = _ROWS.get(name)
        if row is None or row.kind is not kind:
            raise ValueError(f"name must be a {kind} of METRICS, got {name!r}")
        if bool(label) != bool(row.label):
            raise ValueError(f"label of {name!r} must name its {row.label!r}, got {label!r}")
        if not label:
            return name
        known = self._labels.setdefault(name, set())
        if label not in known and len(known) >= LARGEST_LABEL_COUNT:
            label = OTHER_LABEL
        known.add(label)
        # statsd uses '.', ':' and '|' as separators.
        return f"{name}.{label.translate(_LABEL_CHARACTERS)}"


_LABEL_CHARACTERS = str.maketrans({".": "_", ":": "_", "|": "_", "@": "_", " ": "_"})


class MetricsFlusher(mode.Service):
    """Sends the metrics to statsd every ``FLUSH_SECONDS``."""

    def __init__(self, metrics: LocalMetrics) -> None:
        super().__init__()
        self._metrics = metrics

    @mode.Service.timer(FLUSH_SECONDS)
    async def _flush(self) -> None:
        self._metrics.flush()

    async def on_stop(self) -> None:
        """Send the last values."""
        self._metrics.flush()


def metrics_for(host: str, port: int) -> LocalMetrics:
    """Return metrics that go to a statsd server; an empty host keeps them local.

    :param host: IP address of the server
    :param port: UDP port of the server
    """
    if not host:
        return LocalMetrics()
    return LocalMetrics(statsd.StatsClient(host, port, prefix=PREFIX, ipv6=":" in host))
