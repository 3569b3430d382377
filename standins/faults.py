"""Fault injection that the stand-ins share, and the function that serves a stand-in."""

from __future__ import annotations

import asyncio
from enum import StrEnum

import msgspec
from aiohttp import web
from aiohttp.typedefs import Handler

FAULTS_PATH = "/faults"


class FaultMode(StrEnum):
    """How a stand-in answers requests."""

    OK = "ok"
    DOWN = "down"
    SLOW = "slow"
    SILENT = "silent"
    LOSE_ANSWERS = "lose_answers"


class FaultSetting(msgspec.Struct, frozen=True):
    """Body of ``POST /faults``.

    :param mode: ``down`` answers 503 without performing the operation; ``slow`` performs the
        operation and delays the answer; ``silent`` neither performs the operation nor answers;
        ``lose_answers`` performs the operation and drops the connection
    :param seconds: delay of each answer in mode ``slow``
    :param method: HTTP method of the affected requests; empty for all methods
    :param count: number of affected requests after which the mode returns to ``ok``; 0 for no limit
    """

    mode: FaultMode
    seconds: float = 0.0
    method: str = ""
    count: int = 0


class Faults:
    """Fault state of one stand-in."""

    def __init__(self) -> None:
        self._setting = FaultSetting(FaultMode.OK)
        self._affected = 0

    @property
    def setting(self) -> FaultSetting:
        """Return the current fault setting."""
        return self._setting

    def set(self, setting: FaultSetting) -> None:
        """Apply a fault setting to requests that arrive from now on."""
        self._setting = setting
        self._affected = 0

    def setting_for_request(self, method: str) -> FaultSetting:
        """Return the fault setting for a request that arrives now, and count the request."""
        setting = self._setting
        if setting.mode is FaultMode.OK or setting.method not in ("", method):
            return FaultSetting(FaultMode.OK)
        self._affected += 1
        if setting.count and self._affected >= setting.count:
            self._setting = FaultSetting(FaultMode.OK)
        return setting


def _drop_connection(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()


def add_faults(app: web.Application) -> Faults:
    """Add ``POST /faults`` and the fault middleware to ``app``; return its fault state."""
    faults = Faults()

    async def set_fault(request: web.Request) -> web.Response:
        try:
            faults.set(msgspec.json.decode(await request.read(), type=FaultSetting))
        except msgspec.DecodeError as error:
            raise web.HTTPBadRequest(text=str(error)) from None
        return web.Response()

    @web.middleware
    async def apply_fault(request: web.Request, handler: Handler) -> web.StreamResponse:
        if request.path == FAULTS_PATH:
            return await handler(request)
        setting = faults.setting_for_request(request.method)
        match setting.mode:
            case FaultMode.DOWN:
                raise web.HTTPServiceUnavailable()
            case FaultMode.SILENT:
                await asyncio.Event().wait()
            case FaultMode.SLOW:
                response = await handler(request)
                await asyncio.sleep(setting.seconds)
                return response
            case FaultMode.LOSE_ANSWERS:
                response = await handler(request)
                _drop_connection(request)
                return response
        return await handler(request)

    app.middlewares.append(apply_fault)
    app.router.add_post(FAULTS_PATH, set_fault)
    return faults


async def start_site(app: web.Application, host: str, port: int) -> tuple[web.AppRunner, int]:
    """Start to serve ``app``; return its runner and the port that it listens on.

    :param port: port to listen on; 0 for a free one
    """
    runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=0.1, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    return runner, runner.addresses[0][1]


def run_stand_in(app: web.Application, host: str, port: int) -> None:
    """Serve ``app`` until the process is interrupted; print ``listening HOST:PORT`` when ready."""

    async def serve() -> None:
        _, bound_port = await start_site(app, host, port)
        print(f"listening {host}:{bound_port}", flush=True)
        await asyncio.Event().wait()

    try:
        asyncio.run(serve())
    except KeyboardInterrupt:
        return
