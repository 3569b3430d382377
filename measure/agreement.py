"""Times of agreement on the whole path: manifests in force, takeover after a lost entry VM."""

from __future__ import annotations

import asyncio
import secrets
import signal
import tempfile
from contextlib import aclosing
from pathlib import Path

import aiohttp

from dotterelhill.commands.publication import publish
from dotterelhill.log import HttpLog
from measure.report import Figure, figure_of
from tools.fleet import Fleet
from tools.relay import RelayMode
from tools.sample_fleet import SampleFleet

PUBLICATIONS = 8
IN_FORCE_TARGET_SECONDS = 5.0
POLL_SECONDS = 0.02
LONGEST_SECONDS = 90.0


class Agreement:
    """One fleet on which publications are timed."""

    def __init__(self, sample: SampleFleet) -> None:
        self._sample = sample
        self._version = 0

    async def in_force_seconds(self, session: aiohttp.ClientSession) -> float:
        """Publish once; return the time until every entry process has it in force."""
        loop = asyncio.get_running_loop()
        log = HttpLog(self._sample.log_url)
        started = loop.time()
        report = await publish(
            log, self._sample.manifest(), secrets.token_hex(8), base=self._version
        )
        await log.close()
        self._version = report.version
        waiting = dict(self._sample.addresses("entry", "admin"))
        while waiting:
            for name, address in list(waiting.items()):
                if await self._version_at(session, address) >= self._version:
                    del waiting[name]
            await asyncio.sleep(POLL_SECONDS)
        return loop.time() - started

    async def takeover_seconds(self, session: aiohttp.ClientSession) -> float:
        """Kill one entry process; return when each of its minions is in use again."""
        loop = asyncio.get_running_loop()
        victim = self._sample.names("entry")[0]
        started = loop.time()
        await self._sample.fleet.stop(victim, signal.SIGKILL)
        wanted = set(self._sample.names("minion"))
        while loop.time() - started < LONGEST_SECONDS:
            usable = set()
            for address in self._sample.addresses("entry", "admin").values():
                async with session.get(f"http://{address}/state") as answer:
                    usable.update((await answer.json())["holdings"]["usable_minions"])
            if usable == wanted:
                return loop.time() - started
            await asyncio.sleep(0.2)
        return LONGEST_SECONDS

    async def _version_at(self, session: aiohttp.ClientSession, address: str) -> int:
        async with session.get(f"http://{address}/state") as answer:
            return int((await answer.json())["manifest"]["version"])


async def measured() -> list[Figure]:
    """Return the figures of one fleet with 6 entry VMs in 3 failure domains."""
    with tempfile.TemporaryDirectory(prefix="dotterelhill-measure-") as directory:
        async with (
            Fleet(Path(directory)) as fleet,
            aclosing(SampleFleet(fleet)) as sample,
            aiohttp.ClientSession() as session,
        ):
            await sample.start()
            agreement = Agreement(sample)
            await agreement.in_force_seconds(session)
            await sample.until_ready()
            whole = [await agreement.in_force_seconds(session) for _ in range(PUBLICATIONS)]
            for name in sample.names("entry"):
                if sample.domain_of(name) == "pelotas":
                    sample.relay(name, "log").set_mode(RelayMode.CUT)
            cut = [await agreement.in_force_seconds(session) for _ in range(PUBLICATIONS)]
            for name in sample.names("entry"):
                sample.relay(name, "log").set_mode(RelayMode.PASS)
            await asyncio.sleep(15.0)
            takeover = await agreement.takeover_seconds(session)
    target = IN_FORCE_TARGET_SECONDS
    return [
        figure_of("manifest in force everywhere, s", whole, target=target),
        figure_of("the same, one domain cut from the log, s", cut, target=target),
        figure_of("entry VM killed: its minions are in use again, s", [takeover]),
    ]
