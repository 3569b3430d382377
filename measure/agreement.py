"""Seconds until a manifest is in force everywhere and until a lost entry VM is replaced."""

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
from measure.report import Figure, median_figure, print_figures
from tools.fleet import Fleet
from tools.relay import RelayMode
from tools.sample_fleet import SampleFleet

PUBLICATIONS = 8
IN_FORCE_TARGET_SECONDS = 5.0
POLL_SECONDS = 0.02
TAKEOVER_TIMEOUT_SECONDS = 90.0


class AgreementTimer:
    """Times publications and a takeover on a running fleet."""

    def __init__(self, sample: SampleFleet) -> None:
        self._sample = sample
        self._version = 0

    async def publication_seconds(self, session: aiohttp.ClientSession) -> float:
        """Publish a manifest; return the seconds until it is in force in every entry process."""
        loop = asyncio.get_running_loop()
        log = HttpLog(self._sample.log_url)
        started = loop.time()
        report = await publish(
            log, self._sample.manifest(), secrets.token_hex(8), base=self._version
        )
        await log.close()
        self._version = report.version
        pending = dict(self._sample.addresses("entry", "admin"))
        while pending:
            for name, address in list(pending.items()):
                if await self._version_at(session, address) >= self._version:
                    del pending[name]
            await asyncio.sleep(POLL_SECONDS)
        return loop.time() - started

    async def takeover_seconds(self, session: aiohttp.ClientSession) -> float:
        """Kill one entry process; return the seconds until all minions are usable again.

        :returns: ``TAKEOVER_TIMEOUT_SECONDS`` if that takes longer
        """
        loop = asyncio.get_running_loop()
        killed = self._sample.names("entry")[0]
        started = loop.time()
        await self._sample.fleet.stop(killed, signal.SIGKILL)
        all_minions = set(self._sample.names("minion"))
        while loop.time() - started < TAKEOVER_TIMEOUT_SECONDS:
            usable = set()
            for address in self._sample.addresses("entry", "admin").values():
                async with session.get(f"http://{address}/state") as answer:
                    usable.update((await answer.json())["holdings"]["usable_minions"])
            if usable == all_minions:
                return loop.time() - started
            await asyncio.sleep(0.2)
        return TAKEOVER_TIMEOUT_SECONDS

    async def _version_at(self, session: aiohttp.ClientSession, address: str) -> int:
        async with session.get(f"http://{address}/state") as answer:
            return int((await answer.json())["manifest"]["version"])


async def _measure() -> list[Figure]:
    """Return the figures of one fleet with 6 entry VMs in 3 failure domains."""
    with tempfile.TemporaryDirectory(prefix="dotterelhill-measure-") as directory:
        async with (
            Fleet(Path(directory)) as fleet,
            aclosing(SampleFleet(fleet)) as sample,
            aiohttp.ClientSession() as session,
        ):
            await sample.start()
            timer = AgreementTimer(sample)
            await timer.publication_seconds(session)
            await sample.wait_until_ready()
            connected_seconds = [
                await timer.publication_seconds(session) for _ in range(PUBLICATIONS)
            ]
            for name in sample.names("entry"):
                if sample.domain_of(name) == "pelotas":
                    sample.relay(name, "log").set_mode(RelayMode.CUT)
            partitioned_seconds = [
                await timer.publication_seconds(session) for _ in range(PUBLICATIONS)
            ]
            for name in sample.names("entry"):
                sample.relay(name, "log").set_mode(RelayMode.PASS)
            await asyncio.sleep(15.0)
            takeover_time = await timer.takeover_seconds(session)
    target = IN_FORCE_TARGET_SECONDS
    return [
        median_figure("manifest in force everywhere", "s", connected_seconds, at_most=target),
        median_figure(
            "the same, one domain cut from the log", "s", partitioned_seconds, at_most=target
        ),
        median_figure("entry VM killed, its minions are in use again", "s", [takeover_time]),
    ]


def figures() -> list[Figure]:
    """Return the figures of one fleet with 6 entry VMs in 3 failure domains."""
    return asyncio.run(_measure())


if __name__ == "__main__":
    print_figures(figures())
