"""Gauges of each tenant for the metrics, with a bounded number of labels."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from dotterelhill.jobs.tenants.usage import Usage

# Each label costs memory in each process that led and a series at the operators' server.
MAX_LABELS = 50
OTHER_LABEL = "other"

RUNNING, WAITING, SHARE = "tenants.running_tasks", "tenants.waiting_tasks", "tenants.share"
RECLAIMED = "tenants.reclaimed_runs"


class TenantGauges:
    """Gauges by tenant; the tenants beyond the first ``MAX_LABELS`` share one label."""

    def __init__(self) -> None:
        self._labels: dict[str, None] = {}

    def read(
        self,
        running: Mapping[str, Usage],
        waiting: Mapping[str, int],
        shares: Iterable[tuple[str, float]],
        reclaimed: Mapping[str, int],
    ) -> dict[tuple[str, str], float]:
        """Return the gauges by metric name and label; an idle tenant has zeros.

        :param running: usage of each tenant that has runs
        :param waiting: number of waiting tasks by tenant
        :param shares: tenants with a dominant share of one service each
        :param reclaimed: number of runs that were stopped to reclaim capacity, by tenant
        """
        for tenant in (*running, *waiting, *reclaimed):
            self._add_label(tenant)
        names = (RUNNING, WAITING, SHARE, RECLAIMED)
        gauges = {(name, label): 0.0 for name in names for label in self._labels}
        for tenant, usage in running.items():
            gauges[RUNNING, self._label(tenant)] += usage.runs
        for tenant, count in waiting.items():
            gauges[WAITING, self._label(tenant)] += count
        for tenant, count in reclaimed.items():
            gauges[RECLAIMED, self._label(tenant)] += count
        for tenant, share in shares:
            key = (SHARE, self._label(tenant))
            gauges[key] = max(gauges[key], share)
        return gauges

    def _add_label(self, tenant: str) -> None:
        if tenant in self._labels:
            return
        # The last label is kept for the tenants that get none of their own.
        is_room = len(self._labels) < MAX_LABELS - 1
        self._labels[tenant if is_room else OTHER_LABEL] = None

    def _label(self, tenant: str) -> str:
        return tenant if tenant in self._labels else OTHER_LABEL
