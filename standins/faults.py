"""Fault modes that every stand-in offers on ``POST /faults``."""

from __future__ import annotations

import asyncio

from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

MODES = ("ok", "down", "slow", "silent", "lose_answers")


class Faults:
    """Fault mode of one stand-in."""

    def __init__(self) -> None:
        self.mode = "ok"
        self.seconds = 0.0

    async def set_mode(self, request: web.Request) -> web.Response:
        """Handle ``POST /faults``."""
        body = await request.json()
        if body.get("mode") not in MODES:
            raise web.HTTPBadRequest(text=f"mode must be one of {MODES}, got {body.get('mode')!r}")
        self.mode = body["mode"]
        self.seconds = float(body.get("seconds", 0.0))
        return web.json_response({"mode": self.mode, "seconds": self.seconds})

    def middleware(self) -> Middleware:
        """Return the aiohttp middleware that applies the mode to every other endpoint."""

        @web.middleware
        async def apply(request: web.Request, handler: Handler) -> web.StreamResponse:
            if request.path == "/faults":
                return await handler(request)
            if self.mode == "down":
                return web.Response(status=503)
            if self.mode == "silent":
                await asyncio.Event().wait()
            if self.mode == "slow":
                await asyncio.sleep(self.seconds)
            is_answer_lost = self.mode == "lose_answers"
            response = await handler(request)
            if is_answer_lost and request.transport is not None:
                request.transport.abort()
            return response

        return apply


def install_faults(application: web.Application) -> Faults:
    """Return the fault switch after adding it to the application."""
    faults = Faults()
    application.middlewares.append(faults.middleware())
    application.router.add_post("/faults", faults.set_mode)
    return faults
