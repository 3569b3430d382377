"""Stand-in for the platform's VM list, in which changes become visible after a lag.

``GET /vms`` returns the list with an ETag, ``PUT /vms/{name}`` sets an entry, ``DELETE`` removes
it, ``PUT /lag`` with ``{"seconds": x}`` sets the lag of later changes, and ``POST /faults`` sets a
fault.
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import json
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from standins.faults import add_faults, run_stand_in


@dataclass(frozen=True, slots=True)
class Change:
    """Change of one entry.

    :param visible_at: loop time in seconds from which the list shows the change
    :param entry: new entry of the VM; None removes it
    """

    visible_at: float
    name: str
    entry: dict[str, Any] | None


@dataclass(slots=True)
class VmListState:
    """Visible entries, and the changes that are not visible yet."""

    lag_seconds: float = 0.0
    shown: dict[str, dict[str, Any]] = field(default_factory=dict)
    waiting: deque[Change] = field(default_factory=deque)

    def add_change(self, name: str, entry: dict[str, Any] | None, now: float) -> None:
        """Add a change that becomes visible after the current lag."""
        self.waiting.append(Change(now + self.lag_seconds, name, entry))

    def body(self, now: float) -> bytes:
        """Return the list that is visible at loop time ``now``, as JSON."""
        while self.waiting and self.waiting[0].visible_at <= now:
            change = self.waiting.popleft()
            if change.entry is None:
                self.shown.pop(change.name, None)
                continue
            self.shown[change.name] = change.entry
        entries = [self.shown[name] for name in sorted(self.shown)]
        return json.dumps({"vms": entries}, separators=(",", ":")).encode()


STATE = web.AppKey("vm_list", VmListState)


async def _get_list(request: web.Request) -> web.Response:
    body = request.app[STATE].body(asyncio.get_running_loop().time())
    etag = hashlib.sha256(body).hexdigest()[:16]
    if request.headers.get("If-None-Match") == f'"{etag}"':
        return web.Response(status=304, headers={"ETag": f'"{etag}"'})
    return web.Response(body=body, content_type="application/json", headers={"ETag": f'"{etag}"'})


async def _put_entry(request: web.Request) -> web.Response:
    entry = {**await request.json(), "name": request.match_info["name"]}
    request.app[STATE].add_change(entry["name"], entry, asyncio.get_running_loop().time())
    return web.Response(status=204)


async def _delete_entry(request: web.Request) -> web.Response:
    now = asyncio.get_running_loop().time()
    request.app[STATE].add_change(request.match_info["name"], None, now)
    return web.Response(status=204)


async def _put_lag(request: web.Request) -> web.Response:
    request.app[STATE].lag_seconds = float((await request.json())["seconds"])
    return web.Response(status=204)


def make_app() -> web.Application:
    """Return the application of the stand-in, with fault injection."""
    app = web.Application()
    app[STATE] = VmListState()
    add_faults(app)
    app.router.add_get("/vms", _get_list)
    app.router.add_put("/vms/{name}", _put_entry)
    app.router.add_delete("/vms/{name}", _delete_entry)
    app.router.add_put("/lag", _put_lag)
    return app


def main() -> None:
    """Serve until the process is interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    options = parser.parse_args()
    run_stand_in(make_app(), options.host, options.port)


if __name__ == "__main__":
    main()
