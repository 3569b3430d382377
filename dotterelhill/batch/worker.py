"""Interface of a worker, and its client over HTTP."""

from __future__ import annotations

from typing import Any, Protocol, TypeVar
from urllib.parse import quote

import aiohttp
import msgspec

from dotterelhill.manifest import Resources

AnswerT = TypeVar("AnswerT")

REQUEST_TIMEOUT_SECONDS = 4.0


class WorkerClock(msgspec.Struct, frozen=True):
    """Identity, capacity and clock of a worker.

    :param clock: the worker's monotonic clock in seconds
    :param boot: id that changes when the worker restarts, which deletes its tokens
    """

    name: str
    rack: str
    failure_domain: str
    cpu: float
    memory_gb: float
    accelerators: int
    clock: float
    boot: str = ""

    @property
    def capacity(self) -> Resources:
        """Return the total resources of the worker."""
        return Resources(cpu=self.cpu, memory_gb=self.memory_gb, accelerators=self.accelerators)


class RunReport(msgspec.Struct, frozen=True):
    """Report of a worker on one run.

    :param state: running, finished, failed, stopped, refused or never_started
    :param done_seconds: work done, including that of the checkpoint it resumed from, in seconds
    :param speed: speed of the run as part of its full speed, 0 to 1
    """

    task: str
    token: int
    state: str
    speed: float = 1.0
    done_seconds: float = 0.0
    checkpoint: str = ""
    reason: str = ""


class TaskUse(msgspec.Struct, frozen=True):
    """Measured resource use of one task."""

    token: int
    cpu: float = 0.0
    memory_gb: float = 0.0
    accelerators: float = 0.0


class ServiceUse(msgspec.Struct, frozen=True):
    """Measurements of a service on the worker's machine.

    :param load: part of the service's capacity in use, 0 to 1
    :param slow_down: latency divided by the latency without batch tasks
    """

    load: float
    slow_down: float


class Usage(msgspec.Struct, frozen=True):
    """Measured use by task and by service, which lags behind the reported runs."""

    tasks: dict[str, TaskUse] = {}
    services: dict[str, ServiceUse] = {}


class WorkerReport(msgspec.Struct, frozen=True):
    """Answer to a lease renewal.

    :param lease_left: seconds until the lease ends, by the worker's clock
    """

    clock: float
    boot: str = ""
    lease_left: float = 0.0
    runs: list[RunReport] = []
    usage: Usage = Usage()


class Refusal(msgspec.Struct, frozen=True):
    """A worker's refusal of a message; the requested change was not made.

    :param refused: reason, such as "token" or "no_lease"
    :param highest: highest token that the worker has seen, of its holder or of the task
    """

    refused: str
    highest: int = 0


class WorkerError(Exception):
    """The worker gave no usable answer; whether the message took effect is unknown."""


class Worker(Protocol):
    """Client of one worker; every call may raise :class:`WorkerError`."""

    async def read_clock(self) -> WorkerClock:
        """Return the worker's identity, capacity and clock, without an effect on it."""
        ...

    async def renew_lease(
        self, holder_token: int, seconds: float, not_after: float, boot: str, failure_domain: str
    ) -> WorkerReport | Refusal:
        """Renew the lease and return the worker's report.

        :param seconds: duration of the lease
        :param not_after: latest end of the lease, in seconds of the worker's clock
        """
        ...

    async def start(
        self,
        task: str,
        token: int,
        not_after: float,
        boot: str,
        resources: Resources,
        run_seconds: float,
        checkpoint: str,
    ) -> RunReport | Refusal:
        """Start a task and return its run; the same token gets the same answer."""
        ...

    async def stop(self, task: str, token: int, *, keeps_work: bool) -> RunReport | Refusal:
        """Stop a task and return its run; idempotent for the same token."""
        ...

    async def throttle(self, task: str, token: int, speed: float) -> RunReport | Refusal:
        """Set the speed of a run, 0 to 1, and return the run."""
        ...

    async def forget(self, task: str, token: int) -> None:
        """Allow the worker to delete its record of an ended run."""
        ...


class HttpWorker:
    """Client of a worker over HTTP, which implements :class:`Worker`.

    :param address: ``host:port`` of the worker
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        timeout_seconds: float = REQUEST_TIMEOUT_SECONDS,
    ) -> None:
        self._session = session
        self._url = f"http://{address}"
        self._timeout = aiohttp.ClientTimeout(total=timeout_seconds)

    async def read_clock(self) -> WorkerClock:
        """Return the worker's identity, capacity and clock, without an effect on it."""
        _, data = await self._request("GET", "/", None)
        return _decoded_answer(data, WorkerClock)

    async def renew_lease(
        self, holder_token: int, seconds: float, not_after: float, boot: str, failure_domain: str
    ) -> WorkerReport | Refusal:
        """Renew the lease and return the worker's report."""
        body = {
            "holder_token": holder_token,
            "seconds": seconds,
            "not_after": not_after,
            "boot": boot,
            "failure_domain": failure_domain,
        }
        status, data = await self._request("POST", "/lease", body)
        return (
            _decoded_answer(data, Refusal) if status == 409 else _decoded_answer(data, WorkerReport)
        )

    async def start(
        self,
        task: str,
        token: int,
        not_after: float,
        boot: str,
        resources: Resources,
        run_seconds: float,
        checkpoint: str,
    ) -> RunReport | Refusal:
        """Start a task and return its run; the same token gets the same answer."""
        amounts = {
            "cpu": resources.cpu,
            "memory_gb": resources.memory_gb,
            "accelerators": resources.accelerators,
        }
        body = {
            "token": token,
            "not_after": not_after,
            "boot": boot,
            "resources": amounts,
            "run_seconds": run_seconds,
            "checkpoint": checkpoint,
        }
        return await self._post_task_action(task, "start", body)

    async def stop(self, task: str, token: int, *, keeps_work: bool) -> RunReport | Refusal:
        """Stop a task and return its run; idempotent for the same token."""
        return await self._post_task_action(
            task, "stop", {"token": token, "checkpoint": keeps_work}
        )

    async def throttle(self, task: str, token: int, speed: float) -> RunReport | Refusal:
        """Set the speed of a run, 0 to 1, and return the run."""
        return await self._post_task_action(task, "throttle", {"token": token, "speed": speed})

    async def forget(self, task: str, token: int) -> None:
        """Allow the worker to delete its record of an ended run."""
        await self._request("POST", f"/tasks/{quote(task)}/forget", {"token": token})

    async def _post_task_action(
        self, task: str, action: str, body: dict[str, Any]
    ) -> RunReport | Refusal:
        status, data = await self._request("POST", f"/tasks/{quote(task)}/{action}", body)
        return _decoded_answer(data, Refusal) if status == 409 else _decoded_answer(data, RunReport)

    async def _request(self, method: str, path: str, body: Any) -> tuple[int, bytes]:
        data = None if body is None else msgspec.json.encode(body)
        try:
            async with self._session.request(
                method, self._url + path, data=data, timeout=self._timeout
            ) as response:
                answer = await response.read()
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise WorkerError(f"{method} {path}: {type(error).__name__}") from error
        if response.status not in (200, 409):
            raise WorkerError(f"{method} {path}: unexpected status {response.status}")
        return response.status, answer


def _decoded_answer(data: bytes, answer_type: type[AnswerT]) -> AnswerT:
    try:
        return msgspec.json.decode(data, type=answer_type)
    except msgspec.DecodeError as error:
        raise WorkerError(f"answer is not a valid {answer_type.__name__}: {error}") from error
