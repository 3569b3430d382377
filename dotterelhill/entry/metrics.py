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
# Ten samples for each flush, at a cost far below 0.1% of a core.
LOOP_DELAY_PROBE_SECONDS = 1.0
RELATIVE_ACCURACY = 0.01
# At 1% accuracy, 1024 bins span a factor of about 8e8, enough for microseconds to minutes.
SKETCH_BINS = 1024
# Labels come from fixed lists or the manifest; the limit bounds the memory that they use.
MAX_LABEL_COUNT = 256
OTHER_LABEL = "other"
QUANTILES = (0.5, 0.9, 0.99, 0.999)
PREFIX = "dotterelhill"


_log = logger_of("metrics")


class MetricKind(StrEnum):
    """Way in which the values of a metric are aggregated."""

    COUNTER = "counter"
    GAUGE = "gauge"
    QUANTILES = "quantiles"


@dataclass(frozen=True, slots=True)
class Metric:
    """One row of the table of metrics.

    :param unit: unit of the values
    :param meaning: description for operators
    :param label: what the last part of the sent name denotes; empty for a metric without label
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
    Metric("clients.refused", _C, "requests", "requests refused by reason", "reason"),
    Metric("tenants.refused", _C, "requests", "requests of tenants refused by admission", "tenant"),
    Metric("clients.seconds", _Q, "seconds", "from the head to the answer", "method"),
    Metric("jobs.starts", _C, "orders", "start orders by what became of them", "outcome"),
    Metric("jobs.start_wait_seconds", _Q, "seconds", "from the plan to the answer of a start"),
    Metric("jobs.plan_seconds", _Q, "seconds", "duration of the planning of a round"),
    Metric("jobs.decisions", _C, "decisions", "decisions of the scheduler", "decision"),
    Metric("jobs.polls", _C, "calls", "polls of minions by what became of them", "result"),
    Metric("jobs.removals", _C, "appends", "removals of ended jobs from the store", "result"),
    Metric("jobs.pending_removals", _G, "jobs", "ended jobs that are not removed yet"),
    Metric("jobs.refused_records", _C, "records", "records of progress refused by the store"),
    Metric("jobs.unstored", _G, "jobs", "jobs held since their progress can't be stored"),
    Metric("jobs.known", _G, "jobs", "jobs that the leader knows"),
    Metric("jobs.known_bytes", _G, "bytes", "memory that these jobs take, as estimated"),
    Metric("jobs.waiting_jobs", _G, "jobs", "accepted jobs of which no task has started"),
    Metric("jobs.waiting_tasks", _G, "tasks", "tasks that could start"),
    Metric("jobs.waiting_lasting_tasks", _G, "tasks", "lasting tasks that do not run"),
    Metric("jobs.lasting_wait_seconds", _G, "seconds", "longest time that one has not run"),
    Metric("jobs.room_wait_seconds", _G, "seconds", "longest time of one beside room for two"),
    Metric("jobs.overdue_lasting_tasks", _G, "tasks", "lasting tasks that start too late"),
    Metric("jobs.overdue_short_tasks", _G, "tasks", "short tasks that start too late"),
    Metric("jobs.overdue_filler_tasks", _G, "tasks", "fillers that start too late"),
    Metric("jobs.overdue_wait_seconds", _G, "seconds", "longest wait of a task that does"),
    Metric("jobs.minions", _G, "minions", "minions that the leader knows"),
    Metric("jobs.minions_on_probation", _G, "minions", "minions that get few runs at a time"),
    Metric("jobs.short_pool_minions", _G, "minions", "minions that are kept for short tasks"),
    Metric("jobs.relays", _G, "processes", "relays that are connected to the leader"),
    Metric("jobs.start_limit", _G, "orders", "largest number of start orders in flight"),
    Metric("jobs.starts_in_flight", _G, "orders", "start orders without an answer"),
    Metric("jobs.extra_runs", _G, "runs", "copies and restarted runs of tasks that take too long"),
    Metric("jobs.reserved_minions", _G, "minions", "minions with room reserved for large tasks"),
    Metric(
        "jobs.reserved_wait_seconds", _G, "seconds", "longest wait of a task with a reservation"
    ),
    Metric("jobs.loop_lag_seconds", _G, "seconds", "largest recent delay of the leader's loop"),
    Metric("jobs.short_queues", _G, "queues", "queues of which many jobs are expected to be late"),
    Metric("jobs.least_admitted_share", _G, "ratio", "least share of submissions to admit"),
    Metric("config.version", _G, "version", "version of the configuration in force"),
    Metric("config.age_seconds", _G, "seconds", "time since it was known to be the newest one"),
    Metric("config.behind_seconds", _G, "seconds", "time since a newer one has been known"),
    Metric("jobs.is_leading", _G, "0 or 1", "whether this process leads the fleet"),
    Metric("tenants.running_tasks", _G, "tasks", "runs of a tenant that may exist", "tenant"),
    Metric("tenants.waiting_tasks", _G, "tasks", "tasks of a tenant that could start", "tenant"),
    Metric("tenants.share", _G, "ratio", "largest part of a resource of a service", "tenant"),
    Metric("tenants.reclaimed_runs", _G, "runs", "runs stopped for tenants below theirs", "tenant"),
    Metric("trace.events", _C, "events", "events written to a trace", "slice"),
    Metric("trace.dropped", _C, "events", "events after the trace had stopped", "slice"),
    Metric("process.ready", _G, "0 or 1", "whether /readyz answers 200"),
    Metric("process.loop_delay_seconds", _Q, "seconds", "delay of a timer of the event loop"),
    Metric("metrics.undocumented", _C, "counts", "counters that this table lacks", "name"),
)

ReadCounters = Callable[[], Mapping[str, int]]
ReadGauges = Callable[[], Mapping[str, float]]
ReadLabelledGauges = Callable[[], Mapping[tuple[str, str], float]]

_METRICS_BY_NAME = {metric.name: metric for metric in METRICS}
_LABELLED_COUNTER_COUNTS = Counter(
    metric.name.partition(".")[0]
    for metric in METRICS
    if metric.label and metric.kind is MetricKind.COUNTER
)
# A counter key of a slice is treated as a label only where its prefix has one labelled counter.
_LABELLED_COUNTER_BY_PREFIX = {
    metric.name.partition(".")[0]: metric.name
    for metric in METRICS
    if metric.label
    and metric.kind is MetricKind.COUNTER
    and _LABELLED_COUNTER_COUNTS[metric.name.partition(".")[0]] == 1
}


class Metrics(Protocol):
    """Interface through which a slice reports metrics; names are those of ``METRICS``."""

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


class _Distribution:
    """Values of one metric since the process started and since the last flush.

    Adding a value to a sketch is dear, so it is added to that of the present window only, which is
    merged into the one of all earlier values at the end of the window.
    """

    def __init__(self) -> None:
        self._earlier = _new_sketch()
        self._window = _new_sketch()

    @property
    def window(self) -> LogCollapsingLowestDenseDDSketch:
        """Return the sketch of the values since the last flush."""
        return self._window

    @property
    def total(self) -> LogCollapsingLowestDenseDDSketch:
        """Return a sketch of all values."""
        total = _new_sketch()
        total.merge(self._earlier)
        total.merge(self._window)
        return total

    def add(self, value: float) -> None:
        """Add a value."""
        self._window.add(value)

    def end_window(self) -> None:
        """Begin a new window."""
        self._earlier.merge(self._window)
        self._window = _new_sketch()


@dataclass(frozen=True, slots=True)
class DistributionState:
    """Quantiles of one metric since the process started.

    :param count: number of values
    :param mean: mean of the values in the metric's unit
    :param quantiles: values in the metric's unit, by name such as ``p99``
    """

    count: int
    mean: float
    quantiles: dict[str, float]


@dataclass(frozen=True, slots=True)
class MetricsState:
    """Values of all metrics that this process has reported, for the state dump."""

    counters: dict[str, int]
    gauges: dict[str, float]
    distributions: dict[str, DistributionState]


def _quantile_name(quantile: float) -> str:
    return "p" + f"{quantile * 100:g}".replace(".", "")


def _quantile_values(sketch: LogCollapsingLowestDenseDDSketch) -> dict[str, float]:
    return {_quantile_name(q): sketch.get_quantile_value(q) or 0.0 for q in QUANTILES}


def _exposition_name(key: str) -> str:
    """Return the name of a metric in the text exposition format.

    >>> _exposition_name("jobs.starts.no room")
    'dotterelhill_jobs_starts_no_room'
    """
    return PREFIX + "_" + "".join(char if char.isalnum() else "_" for char in key)


class LocalMetrics:
    """In-memory store of all metrics, flushed to statsd when a client is given.

    Values are aggregated here and sent every ``FLUSH_SECONDS``, so that the traffic does not grow
    with the rate of requests: control may use 7 KB/s on a node.

    :param client: statsd client; None keeps the values in memory only
    """

    def __init__(self, client: statsd.StatsClient | None = None) -> None:
        self._client = client
        self._counter_sources: list[tuple[str, ReadCounters]] = []
        self._gauge_sources: list[ReadGauges] = []
        self._labelled_gauge_sources: list[ReadLabelledGauges] = []
        self._counters: dict[str, int] = {}
        self._sent_counts: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._distributions: dict[str, _Distribution] = {}
        self._known_labels: dict[str, set[str]] = {}
        # Keys of counters and distributions by name, kind and label.
        self._keys: dict[tuple[str, MetricKind, str], str] = {}

    @property
    def state(self) -> MetricsState:
        """Return the values since the process started, for the state dump."""
        self._read_sources()
        distributions = {}
        for key, item in self._distributions.items():
            total = item.total
            distributions[key] = DistributionState(
                int(total.count), total.avg or 0.0, _quantile_values(total)
            )
        return MetricsState(dict(self._counters), dict(self._gauges), distributions)

    def add_counters(self, prefix: str, read: ReadCounters) -> None:
        """Register counters that a slice keeps itself; they are read at each flush.

        A counter ``KEY`` becomes ``PREFIX.KEY``. Where the table has no such name, ``KEY`` is the
        label of the only labelled counter with this prefix. Without such a counter, it is counted
        under ``metrics.undocumented``.

        :param prefix: first part of the names, such as ``ledger``
        :param read: returns the counts since the process started
        """
        self._counter_sources.append((prefix, read))

    def add_gauges(self, read: ReadGauges) -> None:
        """Register gauges that are read at each flush.

        :param read: returns values by metric name
        """
        self._gauge_sources.append(read)

    def add_labelled_gauges(self, read: ReadLabelledGauges) -> None:
        """Register gauges with labels that are read at each flush.

        :param read: returns values by metric name and label
        """
        self._labelled_gauge_sources.append(read)

    def count(self, name: str, amount: int = 1, label: str = "") -> None:
        """Add ``amount`` to a counter.

        :raises ValueError: when ``METRICS`` has no such counter
        """
        key = self._metric_key(name, MetricKind.COUNTER, label)
        self._counters[key] = self._counters.get(key, 0) + amount

    def gauge(self, name: str, value: float, label: str = "") -> None:
        """Set a gauge.

        :raises ValueError: when ``METRICS`` has no such gauge
        """
        # The statsd client would send a boolean as text.
        self._gauges[self._metric_key(name, MetricKind.GAUGE, label)] = float(value)

    def observe(self, name: str, value: float, label: str = "") -> None:
        """Add a value to a distribution.

        :raises ValueError: when ``METRICS`` has no such distribution
        """
        key = self._metric_key(name, MetricKind.QUANTILES, label)
        distribution = self._distributions.get(key)
        if distribution is None:
            distribution = self._distributions[key] = _Distribution()
        distribution.add(value)

    def to_text(self) -> str:
        """Return all values in the text exposition format that metrics collectors scrape."""
        state = self.state
        lines = []
        for key, count in sorted(state.counters.items()):
            lines.append(f"{_exposition_name(key)}_total {count}")
        for key, value in sorted(state.gauges.items()):
            lines.append(f"{_exposition_name(key)} {value:g}")
        for key, item in sorted(state.distributions.items()):
            name = _exposition_name(key)
            for quantile, value in item.quantiles.items():
                lines.append(f'{name}{{quantile="{quantile}"}} {value:g}')
            lines.append(f"{name}_sum {item.mean * item.count:g}")
            lines.append(f"{name}_count {item.count}")
        return "\n".join(lines) + "\n"

    def flush(self) -> None:
        """Send the increases of counters, all gauges and the new quantiles to the statsd server."""
        self._read_sources()
        if self._client is not None:
            with self._client.pipeline() as pipe:
                self._send_changes(pipe)
        for distribution in self._distributions.values():
            distribution.end_window()

    def _read_sources(self) -> None:
        for prefix, read in self._counter_sources:
            for key, value in read().items():
                self._counters[self._counter_key(prefix, key)] = value
        for read_gauges in self._gauge_sources:
            for name, number in read_gauges().items():
                self.gauge(name, number)
        for read_labelled in self._labelled_gauge_sources:
            for (name, label), number in read_labelled().items():
                self.gauge(name, number, label)

    def _counter_key(self, prefix: str, key: str) -> str:
        name = f"{prefix}.{key}"
        metric = _METRICS_BY_NAME.get(name)
        if metric is not None and metric.kind is MetricKind.COUNTER and not metric.label:
            return name
        labelled = _LABELLED_COUNTER_BY_PREFIX.get(prefix)
        if labelled is None:
            return self._metric_key("metrics.undocumented", MetricKind.COUNTER, name)
        return self._metric_key(labelled, MetricKind.COUNTER, key)

    def _send_changes(self, pipe: statsd.client.udp.Pipeline) -> None:
        for key, value in self._counters.items():
            increase = value - self._sent_counts.get(key, 0)
            self._sent_counts[key] = value
            if increase:
                pipe.incr(key, increase)
        for key, number in self._gauges.items():
            if math.isfinite(number):
                pipe.gauge(key, number)
        for key, distribution in self._distributions.items():
            if not distribution.window.count:
                continue
            for quantile, number in _quantile_values(distribution.window).items():
                pipe.gauge(f"{key}.{quantile}", number)

    def _metric_key(self, name: str, kind: MetricKind, label: str) -> str:
        key = self._keys.get((name, kind, label))
        if key is None:
            key = self._new_key(name, kind, label)
        return key

    def _new_key(self, name: str, kind: MetricKind, label: str) -> str:
        """Return the key of a name and label, and keep it unless too many labels are known.

        :raises ValueError: when ``METRICS`` has no such metric, or one without such a label
        """
        metric = _METRICS_BY_NAME.get(name)
        if metric is None or metric.kind is not kind:
            raise ValueError(f"name must be a {kind} of METRICS, got {name!r}")
        if bool(label) != bool(metric.label):
            raise ValueError(f"label of {name!r} must name its {metric.label!r}, got {label!r}")
        if not label:
            self._keys[name, kind, label] = name
            return name
        known_labels = self._known_labels.setdefault(name, set())
        if label not in known_labels and len(known_labels) >= MAX_LABEL_COUNT:
            label = OTHER_LABEL
        known_labels.add(label)
        # statsd uses '.', ':' and '|' as separators.
        key = f"{name}.{label.translate(_LABEL_REPLACEMENTS)}"
        self._keys[name, kind, label] = key
        return key


_LABEL_REPLACEMENTS = str.maketrans({".": "_", ":": "_", "|": "_", "@": "_", " ": "_"})


class MetricsFlusher(mode.Service):
    """Service that flushes metrics every ``FLUSH_SECONDS`` and samples the event loop's delay."""

    def __init__(self, metrics: LocalMetrics) -> None:
        super().__init__()
        self._metrics = metrics
        self._is_last_flush_successful = True

    @mode.Service.timer(FLUSH_SECONDS)
    async def _flush(self) -> None:
        # A crash here would end the whole process; requests matter more than metrics.
        try:
            self._metrics.flush()
        except Exception as error:
            if self._is_last_flush_successful:
                _log.error("failed to flush metrics", extra={"error": repr(error)})
            self._is_last_flush_successful = False
        else:
            self._is_last_flush_successful = True

    @mode.Service.task
    async def _measure_loop_delay(self) -> None:
        loop = asyncio.get_running_loop()
        while not self.should_stop:
            due_at = loop.time() + LOOP_DELAY_PROBE_SECONDS
            await self.sleep(LOOP_DELAY_PROBE_SECONDS)
            self._metrics.observe("process.loop_delay_seconds", max(0.0, loop.time() - due_at))

    async def on_stop(self) -> None:
        """Flush the last values."""
        self._metrics.flush()


def create_metrics(host: str, port: int) -> LocalMetrics:
    """Return a metrics store that flushes to a statsd server.

    :param host: IP address of the server; empty keeps the values in memory only
    :param port: UDP port of the server
    """
    if not host:
        return LocalMetrics()
    return LocalMetrics(statsd.StatsClient(host, port, prefix=PREFIX, ipv6=":" in host))
