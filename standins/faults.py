"""Faults that a stand-in shows on demand; docs/design.md, section 3.1."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum

from aiohttp import web

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

FAULTS_PATH = "/faults"


class FaultMode(StrEnum):
    """How a stand-in treats its requests."""

    OK = "ok"
    DOWN = "down"
    SLOW = "slow"
    SILENT = "silent"
    LOSE_ANSWERS = "lose_answers"


@dataclass(slots=True)
class FaultState:
    """The fault that is on; ``seconds`` is the delay of ``slow``."""

    mode: FaultMode = FaultMode.OK
    seconds: float = 0.0


FAULTS = web.AppKey("faults", FaultState)


def _drop_connection(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()


async def _set_fault(request: web.Request) -> web.Response:
    wanted = await request.json()
    try:
        mode = FaultMode(wanted["mode"])
        seconds = float(wanted.get("seconds", 0.0))
    except (KeyError, ValueError) as error:
        raise web.HTTPBadRequest(text=f"invalid fault: {wanted!r}") from error
    state = request.app[FAULTS]
    state.mode, state.seconds = mode, seconds
    return web.json_response({"mode": mode, "seconds": seconds})


@web.middleware
async def fault_middleware(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Return the handler's answer, or show the fault that is on."""
    if request.path == FAULTS_PATH:
        return await handler(request)
    state = request.app[FAULTS]
    match state.mode:
        case FaultMode.DOWN:
            _drop_connection(request)
            raise web.HTTPServiceUnavailable()
        case FaultMode.SILENT:
            await asyncio.Event().wait()
        case FaultMode.SLOW:
            await asyncio.sleep(state.seconds)
    response = await handler(request)
    if state.mode is FaultMode.LOSE_ANSWERS:
        _drop_connection(request)
    return response


def add_faults(app: web.Application) -> None:
    """Add the fault state and its route to a stand-in made with ``fault_middleware``."""
    app[FAULTS] = FaultState()
    app.router.add_post(FAULTS_PATH, _set_fault)
