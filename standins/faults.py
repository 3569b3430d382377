"""Faults that every stand-in can be told to show, and the start of a stand-in process."""

from __future__ import annotations

import asyncio
from enum import StrEnum

import msgspec
from aiohttp import web
from aiohttp.typedefs import Handler

FAULTS_PATH = "/faults"


class FaultMode(StrEnum):
    """How a stand-in treats requests."""

    OK = "ok"
    DOWN = "down"
    SLOW = "slow"
    SILENT = "silent"
    LOSE_ANSWERS = "lose_answers"


class FaultSetting(msgspec.Struct, frozen=True):
    """Body of ``POST /faults``.

    :param mode: ``down`` answers 503 and does nothing; ``slow`` does the operation and delays the
        answer; ``silent`` does nothing and never answers; ``lose_answers`` does the operation and
        drops the connection
    :param seconds: delay of each answer in mode ``slow``
    :param method: HTTP method that is affected; empty for all
    :param count: number of requests that are affected before the mode is ``ok`` again; 0 for all
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
        """Return the fault in force."""
        return self._setting

    def set(self, setting: FaultSetting) -> None:
        """Put a fault in force for requests that arrive from now on."""
        self._setting = setting
        self._affected = 0

    def next_setting(self, method: str) -> FaultSetting:
        """Return the fault for a request that arrives now, and count the request."""
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
    """Return the fault state of ``app`` after adding ``POST /faults`` and the middleware."""
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
        setting = faults.next_setting(request.method)
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
    """Return the runner of a listening ``app`` and its port.

    :param port: 0 takes a free port
    """
    runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=0.1, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    return runner, runner.addresses[0][1]


def run_stand_in(app: web.Application, host: str, port: int) -> None:
    """Serve ``app`` until the process ends; print ``listening HOST:PORT`` when ready."""

    async def serve() -> None:
        _, bound_port = await start_site(app, host, port)
        print(f"listening {host}:{bound_port}", flush=True)
        await asyncio.Event().wait()

    try:
        asyncio.run(serve())
    except KeyboardInterrupt:
        return
