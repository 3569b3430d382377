"""Counters, gauges and quantiles of one entry process."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

import mode
import statsd
from ddsketch import LogCollapsingLowestDenseDDSketch

from dotterelhill.entry.logs import logger_of

FLUSH_SECONDS = 10.0
# Ten values for each flush, at a cost far below 0.1% of a core.
DELAY_PROBE_SECONDS = 1.0
RELATIVE_ACCURACY = 0.01
# At 1% accuracy 1024 bins span a factor of about 8e8, so microseconds to minutes stay exact.
SKETCH_BINS = 1024
# Labels come from closed lists or the manifest; the bound guards against unbounded memory.
LARGEST_LABEL_COUNT = 256
OTHER_LABEL = "other"
QUANTILES = (0.5, 0.9, 0.99, 0.999)
PREFIX = "dotterelhill"


_log = logger_of("metrics")


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
    Metric("requests.callers_gone", _C, "requests", "callers that left before their answer"),
    Metric("requests.connections_refused", _C, "connections", "callers with too many connections"),
    Metric("requests.head_timeouts", _C, "connections", "connections that sent no head in time"),
    Metric("requests.reservations_expired", _C, "slots", "slots of abandoned requests given back"),
    Metric("requests.in_flight", _G, "requests", "requests in progress"),
    Metric("requests.queued", _G, "requests", "requests that wait for a slot"),
    Metric("requests.ejected", _G, "minions", "minions that get no new requests for a while"),
    Metric("requests.seconds", _Q, "seconds", "from the head to the end of the answer", "service"),
    Metric("requests.wait_seconds", _Q, "seconds", "from the head to the dispatch", "service"),
    Metric("minions.silent", _C, "connections", "connections closed for silence", "service"),
    Metric("log.appended", _C, "records", "control records that the log acknowledged"),
    Metric("log.repeated_batches", _C, "batches", "appends repeated after a lost answer"),
    Metric("log.expired", _C, "records", "control records given up before they were appended"),
    Metric("log.pending", _G, "records", "control records that wait for the log"),
    Metric("log.config_evidence_seconds", _G, "seconds", "age of the evidence of config"),
    Metric("log.control_evidence_seconds", _G, "seconds", "age of the evidence of control"),
    Metric("manifest.version", _G, "offset", "version in force"),
    Metric("ledger.records", _C, "records", "control records folded", "kind or refusal"),
    Metric("peers.live", _G, "peers", "peers that count as alive"),
    Metric("peers.heartbeats", _C, "messages", "heartbeats heard"),
    Metric("peers.manifests", _C, "messages", "manifests that peers relayed"),
    Metric("peers.records", _C, "records", "control records that peers relayed"),
    Metric("peers.vm_list_failed", _C, "reads", "failed reads of the VM list"),
    Metric("peers.messages", _C, "messages", "messages by what became of them", "result"),
    Metric("holdings.minions", _G, "minions", "minions that this process may use"),
    Metric("holdings.workers", _G, "workers", "workers whose lease this process renews"),
    Metric("tasks.starts", _C, "messages", "starts sent to workers"),
    Metric("tasks.stops", _C, "messages", "stops sent to workers"),
    Metric("tasks.evictions", _C, "tasks", "tasks stopped before their end"),
    Metric("tasks.records_not_taken", _C, "records", "records decided anew after a refusal"),
    Metric("clients.requests", _C, "requests", "requests of clients answered", "method and status"),
    Metric("clients.seconds", _Q, "seconds", "from the head to the answer", "method"),
    Metric("jobs.starts", _C, "orders", "start orders by what became of them", "outcome"),
    Metric("jobs.start_wait_seconds", _Q, "seconds", "from the plan to the answer of a start"),
    Metric("jobs.decisions", _C, "decisions", "decisions of the scheduler", "decision"),
    Metric("jobs.polls", _C, "calls", "polls of minions by what became of them", "result"),
    Metric("jobs.known", _G, "jobs", "jobs that the leader knows"),
    Metric("jobs.waiting_tasks", _G, "tasks", "tasks that could start"),
    Metric("jobs.minions", _G, "minions", "minions that the leader knows"),
    Metric("jobs.is_leading", _G, "0 or 1", "whether this process leads the fleet"),
    Metric("trace.events", _C, "events", "events written to a trace", "slice"),
    Metric("trace.dropped", _C, "events", "events after the trace had stopped", "slice"),
    Metric("process.ready", _G, "0 or 1", "whether /readyz answers 200"),
    Metric("process.loop_delay_seconds", _Q, "seconds", "delay of a timer of the event loop"),
    Metric("metrics.undocumented", _C, "counts", "counters that this table lacks", "name"),
)

ReadCounters = Callable[[], Mapping[str, int]]
ReadGauges = Callable[[], Mapping[str, float]]

_ROWS = {metric.name: metric for metric in METRICS}
_LABELLED_PREFIXES = Counter(
    metric.name.partition(".")[0]
    for metric in METRICS
    if metric.label and metric.kind is MetricKind.COUNTER
)
# A key of a slice is taken for a label only where the prefix has one labelled counter.
_LABELLED_COUNTERS = {
    metric.name.partition(".")[0]: metric.name
    for metric in METRICS
    if metric.label
    and metric.kind is MetricKind.COUNTER
    and _LABELLED_PREFIXES[metric.name.partition(".")[0]] == 1
}


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


def _text_name(key: str) -> str:
    """Return a name that metrics collectors accept.

    >>> _text_name("jobs.starts.no room")
    'dotterelhill_jobs_starts_no_room'
    """
    return PREFIX + "_" + "".join(char if char.isalnum() else "_" for char in key)


class LocalMetrics:
    """Values of all metrics in memory; flushed to statsd when a client is given.

    Values are combined here and sent every ``FLUSH_SECONDS``, so that the traffic does not rise
    with the requests: control may use 7 KB/s on a node.

    :param client: statsd client; None keeps the values local
    """

    def __init__(self, client: statsd.StatsClient | None = None) -> None:
        self._client = client
        self._counter_sources: list[tuple[str, ReadCounters]] = []
        self._gauge_sources: list[ReadGauges] = []
        self._counters: dict[str, int] = {}
        self._sent: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._distributions: dict[str, _Distribution] = {}
        self._labels: dict[str, set[str]] = {}

    @property
    def state(self) -> MetricsState:
        """Return the values since the process started, for the state dump."""
        self._read_sources()
        distributions = {
            key: DistributionState(
                int(item.total.count), item.total.avg or 0.0, _quantiles_of(item.total)
            )
            for key, item in self._distributions.items()
        }
        return MetricsState(dict(self._counters), dict(self._gauges), distributions)

    def add_counters(self, prefix: str, read: ReadCounters) -> None:
        """Read counters that a slice keeps itself, at each flush.

        A counter ``KEY`` becomes ``PREFIX.KEY``. Where the table has no such name, ``KEY`` is the
        label of the one labelled counter with this prefix, such as ``requests.errors``.

        :param read: returns the counts since the process started
        """
        self._counter_sources.append((prefix, read))

    def add_gauges(self, read: ReadGauges) -> None:
        """Read gauges at each flush.

        :param read: returns values by names of the table
        """
        self._gauge_sources.append(read)

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
        # A boolean would be sent as text.
        self._gauges[self._key(name, MetricKind.GAUGE, label)] = float(value)

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

    def to_text(self) -> str:
        """Return all values in the text format that metrics collectors read."""
        state = self.state
        lines = []
        for key, count in sorted(state.counters.items()):
            lines.append(f"{_text_name(key)}_total {count}")
        for key, value in sorted(state.gauges.items()):
            lines.append(f"{_text_name(key)} {value:g}")
        for key, item in sorted(state.distributions.items()):
            name = _text_name(key)
            for quantile, value in item.quantiles.items():
                lines.append(f'{name}{{quantile="{quantile}"}} {value:g}')
            lines.append(f"{name}_sum {item.mean * item.count:g}")
            lines.append(f"{name}_count {item.count}")
        return "\n".join(lines) + "\n"

    def flush(self) -> None:
        """Send what changed since the last flush to the statsd server."""
        self._read_sources()
        if self._client is not None:
            with self._client.pipeline() as pipe:
                self._send(pipe)
        for distribution in self._distributions.values():
            distribution.window = _new_sketch()

    def _read_sources(self) -> None:
        for prefix, read in self._counter_sources:
            for key, value in read().items():
                self._counters[self._source_key(prefix, key)] = value
        for read_gauges in self._gauge_sources:
            for name, number in read_gauges().items():
                self.gauge(name, number)

    def _source_key(self, prefix: str, key: str) -> str:
        name = f"{prefix}.{key}"
        row = _ROWS.get(name)
        if row is not None and row.kind is MetricKind.COUNTER and not row.label:
            return name
        labelled = _LABELLED_COUNTERS.get(prefix)
        if labelled is None:
            return self._key("metrics.undocumented", MetricKind.COUNTER, name)
        return self._key(labelled, MetricKind.COUNTER, key)

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
    """Sends the metrics to statsd every ``FLUSH_SECONDS`` and measures the delay of the loop."""

    def __init__(self, metrics: LocalMetrics) -> None:
        super().__init__()
        self._metrics = metrics
        self._is_flushed = True

    @mode.Service.timer(FLUSH_SECONDS)
    async def _flush(self) -> None:
        # A crash here would end the whole process, and metrics are not worth a request.
        try:
            self._metrics.flush()
        except Exception as error:
            if self._is_flushed:
                _log.error("metrics can't be sent", extra={"error": repr(error)})
            self._is_flushed = False
        else:
            self._is_flushed = True

    @mode.Service.task
    async def _measure_delay(self) -> None:
        loop = asyncio.get_running_loop()
        while not self.should_stop:
            due = loop.time() + DELAY_PROBE_SECONDS
            await self.sleep(DELAY_PROBE_SECONDS)
            self._metrics.observe("process.loop_delay_seconds", max(0.0, loop.time() - due))

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
