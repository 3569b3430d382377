"""Baseline proxies without limits: round robin and least outstanding requests."""

from __future__ import annotations

import argparse
import asyncio
import itertools
from collections import Counter

import aiohttp
from aiohttp import web

TIMEOUT_SECONDS = 10.0
FORWARDED_HEADERS = ("Content-Type",)


class BaselineProxy:
    """Proxy that sends each request to one minion, regardless of the minion's state.

    :param minions: addresses ``host:port``
    :param policy: ``round_robin`` or ``least_outstanding``
    """

    def __init__(self, minions: list[str], policy: str) -> None:
        self._minions = minions
        self._policy = policy
        self._round_robin = itertools.cycle(minions)
        self._outstanding: Counter[str] = Counter()
        self._session: aiohttp.ClientSession | None = None

    async def handle(self, request: web.Request) -> web.Response:
        """Forward a request to a minion and return the answer; status 502 if the minion fails."""
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
            connector = aiohttp.TCPConnector(limit=0)
            self._session = aiohttp.ClientSession(timeout=timeout, connector=connector)
        minion = self._choose_minion()
        self._outstanding[minion] += 1
        try:
            body = await request.read()
            url = f"http://{minion}{request.raw_path}"
            async with self._session.request(request.method, url, data=body or None) as answer:
                headers = {name: answer.headers[name] for name in FORWARDED_HEADERS}
                return web.Response(status=answer.status, body=await answer.read(), headers=headers)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return web.Response(status=502)
        finally:
            self._outstanding[minion] -= 1

    def _choose_minion(self) -> str:
        if self._policy == "round_robin":
            return next(self._round_robin)
        return min(self._minions, key=lambda minion: self._outstanding[minion])


async def _serve(proxy: BaselineProxy) -> None:
    app = web.Application()
    app.router.add_route("*", "/{tail:.*}", proxy.handle)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    print(f"listening caller={host}:{port}", flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Serve until the process is interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--policy", choices=["round_robin", "least_outstanding"], required=True)
    parser.add_argument("--minions", required=True)
    options = parser.parse_args()
    asyncio.run(_serve(BaselineProxy(options.minions.split(","), options.policy)))


if __name__ == "__main__":
    main()
