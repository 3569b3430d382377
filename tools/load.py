"""Callers that send requests to entry processes at a given rate and check each answer."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import aiohttp
from ddsketch import DDSketch

CALLER_TIMEOUT_SECONDS = 15.0
SKETCH_ACCURACY = 0.01


@dataclass(slots=True)
class LoadReport:
    """Outcomes and latencies of the requests that were sent.

    :param outcomes: number of requests by ``answered``, ``wrong answer`` or error kind
    :param latency: latencies of answered requests in seconds
    """

    outcomes: Counter[str] = field(default_factory=Counter)
    latency: DDSketch = field(default_factory=lambda: DDSketch(SKETCH_ACCURACY))

    @property
    def total(self) -> int:
        """Return the number of requests."""
        return sum(self.outcomes.values())

    def quantile_milliseconds(self, quantile: float) -> float:
        """Return a quantile of the latency of answered requests; 0 if there were none."""
        seconds = self.latency.get_quantile_value(quantile)
        return 0.0 if seconds is None else seconds * 1000.0


class LoadGenerator:
    """Open-loop load generator: requests start at a fixed mean rate, regardless of the answers.

    :param addresses: returns the current caller addresses of the entry processes
    :param rate: mean requests per second over all addresses
    :param seed: seed of the random intervals and addresses
    :param path: path of each request
    """

    def __init__(
        self, addresses: Callable[[], Sequence[str]], rate: float, *, seed: int, path: str
    ) -> None:
        self._addresses = addresses
        self._rate = rate
        self._random = random.Random(seed)
        self._path = path
        self._numbers = itertools.count()
        self._report = LoadReport()
        self._requests: set[asyncio.Task[None]] = set()

    @property
    def report(self) -> LoadReport:
        """Return the outcomes and latencies so far."""
        return self._report

    async def run(self, stop_event: asyncio.Event) -> LoadReport:
        """Send requests until the event is set, then wait for the last answers."""
        loop = asyncio.get_running_loop()
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=CALLER_TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
            next_start_at = loop.time()
            while not stop_event.is_set():
                task = asyncio.create_task(self._send(session, next(self._numbers)))
                self._requests.add(task)
                task.add_done_callback(self._requests.discard)
                next_start_at += self._random.expovariate(self._rate)
                await asyncio.sleep(max(0.0, next_start_at - loop.time()))
            await asyncio.gather(*self._requests)
        return self._report

    async def _send(self, session: aiohttp.ClientSession, number: int) -> None:
        loop = asyncio.get_running_loop()
        url = f"http://{self._random.choice(self._addresses())}{self._path}?entry={number}"
        method = "POST" if number % 4 == 0 else "GET"
        body = f"bench {number}".encode() if method == "POST" else None
        started = loop.time()
        try:
            async with session.request(method, url, data=body) as answer:
                outcome = self._classify_answer(answer, await answer.read(), number)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            outcome = type(error).__name__
        self._report.outcomes[outcome] += 1
        if outcome == "answered":
            self._report.latency.add(loop.time() - started)

    def _classify_answer(self, answer: aiohttp.ClientResponse, body: bytes, number: int) -> str:
        if answer.status != 200:
            return answer.headers.get("Dotterelhill-Error", f"status {answer.status}")
        echoed = json.loads(body)
        is_own_answer = echoed["raw_path"] == f"{self._path}?entry={number}"
        return "answered" if is_own_answer else "wrong answer"
