"""HTTP endpoint for the metrics of this process."""

from __future__ import annotations

import mode
from aiohttp import web

from dotterelhill.entry.metrics import LocalMetrics


class MetricsServer(mode.Service):
    """HTTP server that exposes metrics as text at ``/metrics``.

    :param metrics: metrics of this process
    :param host: address to listen on
    :param port: port to listen on
    """

    def __init__(self, metrics: LocalMetrics, host: str, port: int) -> None:
        super().__init__()
        self._metrics = metrics
        self._host = host
        self._port = port
        self._runner: web.ServerRunner | None = None

    async def on_start(self) -> None:
        """Open the port."""
        self._runner = web.ServerRunner(web.Server(self._answer, access_log=None))
        await self._runner.setup()
        await web.TCPSite(self._runner, self._host, self._port, reuse_address=True).start()

    async def on_stop(self) -> None:
        """Close the port."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != "/metrics":
            return web.Response(status=404)
        return web.Response(text=self._metrics.to_text())
