"""Start and stop the processes of a small fleet on free loopback ports.

The demo, the end-to-end tests and the measurements use it.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
START_SECONDS = 30.0
STOP_SECONDS = 10.0


class FleetError(Exception):
    """A process of the fleet did not start, become ready or stop as expected."""


@dataclass(frozen=True, slots=True)
class FleetProcess:
    """One started process.

    :param name: name of the process and of its log file
    :param addresses: ``host:port`` by purpose; stand-ins have only the purpose ``main``
    """

    name: str
    process: asyncio.subprocess.Process
    addresses: Mapping[str, str]

    @property
    def address(self) -> str:
        """Return ``host:port`` of a process that listens on a single port."""
        return self.addresses["main"]

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process.returncode is None


def _addresses_from_line(line: str) -> dict[str, str]:
    """Return the addresses in a ready line, by purpose.

    >>> _addresses_from_line("listening 127.0.0.1:80")
    {'main': '127.0.0.1:80'}
    >>> _addresses_from_line("listening caller=127.0.0.1:80 admin=127.0.0.1:81")
    {'caller': '127.0.0.1:80', 'admin': '127.0.0.1:81'}
    """
    addresses = {}
    for word in line.split()[1:]:
        purpose, separator, address = word.partition("=")
        addresses[purpose if separator else "main"] = address if separator else word
    return addresses


class Fleet:
    """Processes that are stopped together; use as an asynchronous context manager.

    :param log_directory: directory for the standard error of each process; None discards it
    """

    def __init__(self, log_directory: Path | None = None) -> None:
        self._log_directory = log_directory
        self._processes: dict[str, FleetProcess] = {}

    async def __aenter__(self) -> Fleet:
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self.stop_all()

    def __getitem__(self, name: str) -> FleetProcess:
        return self._processes[name]

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names of all processes that were started, also of stopped ones."""
        return tuple(self._processes)

    async def start(
        self, name: str, *arguments: str, environment: Mapping[str, str] | None = None
    ) -> FleetProcess:
        """Start ``python -m ARGUMENTS`` and return it once it has printed its ready line.

        :raises FleetError: if it ends before that, or prints no ready line within 30 s
        """
        log = self._log_file(name)
        try:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *arguments,
                cwd=ROOT,
                env={**os.environ, **(environment or {})},
                stdout=asyncio.subprocess.PIPE,
                stderr=log if log is not None else asyncio.subprocess.DEVNULL,
            )
        finally:
            if log is not None:
                os.close(log)
        try:
            line = await asyncio.wait_for(self._ready_line(process), START_SECONDS)
        except (TimeoutError, FleetError) as error:
            if process.returncode is None:
                process.kill()
            await process.wait()
            raise FleetError(f"{name} did not start: {error!r}") from None
        started = FleetProcess(name, process, _addresses_from_line(line))
        self._processes[name] = started
        return started

    async def stop(self, name: str, stop_signal: signal.Signals = signal.SIGTERM) -> int:
        """Send a signal, wait until the process ends and return its exit status.

        :raises FleetError: if the process was still running after 10 s and was killed
        """
        process = self._processes[name].process
        if process.returncode is not None:
            return process.returncode
        process.send_signal(stop_signal)
        try:
            return await asyncio.wait_for(process.wait(), STOP_SECONDS)
        except TimeoutError:
            process.kill()
            await process.wait()
            raise FleetError(f"{name} still ran {STOP_SECONDS:g} s after the stop signal") from None

    def send_signal(self, name: str, sent_signal: signal.Signals) -> None:
        """Send a signal such as SIGSTOP to one process of the fleet."""
        self._processes[name].process.send_signal(sent_signal)

    async def stop_all(self) -> None:
        """Stop every process; kill those that do not stop in time.

        :raises ExceptionGroup: if processes had to be killed
        """
        for started in self._processes.values():
            if started.is_running:
                # A paused process does not act on SIGTERM.
                started.process.send_signal(signal.SIGCONT)
        results = await asyncio.gather(
            *(self.stop(name) for name in self._processes), return_exceptions=True
        )
        errors = [item for item in results if isinstance(item, Exception)]
        if errors:
            raise ExceptionGroup("processes of the fleet had to be killed", errors)

    async def _ready_line(self, process: asyncio.subprocess.Process) -> str:
        assert process.stdout is not None
        while True:
            line = (await process.stdout.readline()).decode()
            if not line:
                raise FleetError("the process ended before it printed its ready line")
            if line.startswith("listening "):
                return line

    def _log_file(self, name: str) -> int | None:
        if self._log_directory is None:
            return None
        path = self._log_directory / f"{name}.log"
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
