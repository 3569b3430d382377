"""HTTP server for clients in the platform's format, backed by the job service."""

from __future__ import annotations

import asyncio
import logging
import string
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from hashlib import sha256

import mode
import msgspec
from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from dotterelhill.control.currency import ConfigurationCurrency
from dotterelhill.control.job_service import (
    JobService,
    NotStoredError,
    OutcomeUnknownError,
    RecordRefusedError,
)
from dotterelhill.control.leader import NotReadyError
from dotterelhill.entry.logs import logger_of
from dotterelhill.entry.metrics import OTHER_LABEL, Metrics
from dotterelhill.jobs.model import JobState, Schedule, Step, Submission
from dotterelhill.jobs.queues import FleetConfig, Queue, Tenant
from dotterelhill.jobs.resources import ResourceVector
from dotterelhill.jobs.shortage.entry import QueueAdmission
from dotterelhill.jobs.tenants.access import (
    AccessRefusedError,
    AccessSettings,
    Granted,
    Refusal,
    check_access,
)
from dotterelhill.jobs.tenants.admission import (
    MAX_RETRY_SECONDS,
    AdmissionRefused,
    EntryAdmission,
    RefusalReason,
    oversized_step,
)
from dotterelhill.platform.settings import Address

JOB_ID_LENGTH = 16
LARGEST_SPEC_BYTES = 4000
# A job with more tasks is refused: no fleet of the target size can run it.
LARGEST_TASK_COUNT = 20000
LARGEST_STEP_COUNT = 200
# Longer names of images are replaced by their digests: each pair of images that run beside each
# other is learned and stored.
LARGEST_IMAGE_BYTES = 128
DEADLINE_HEADER = "Deadline-Ms"
KEY_HEADER = "Api-Key"
# Part of the deadline that is reserved for sending the answer to the client.
ANSWER_RESERVE_SECONDS = 0.15
RETRY_AFTER_SECONDS = 1
LARGEST_HEADER_BYTES = 65536
# Clients choose the text of a path and may repeat it.
LARGEST_LOGGED_TEXT = 200
# The age is infinite before the first read.
LARGEST_LOGGED_SECONDS = 3600.0
# Tenants that get a label of their own in metrics; the others share one.
MAX_TENANT_LABELS = 50

_HEX_DIGITS = frozenset(string.hexdigits)

_log = logger_of("requests")


class _Step(msgspec.Struct, frozen=True):
    """Step of a submitted job; absent fields are 0, false or empty."""

    count: int = 0
    cpu: int = 0
    memMb: int = 0
    gpu: int = 0
    estimateMs: float = 0
    after: list[int] = []
    checkpointing: bool = False
    gang: bool = False
    sameRack: bool = False
    requires: str = ""
    dataRack: str = ""
    # Maximum number of the step's tasks on one minion.
    antiAffinity: int = 0
    speculative: bool = False
    # Whether the tasks run until the job is cancelled.
    perpetual: bool = False
    image: str = ""
    targetMs: int = 0
    # Whether the tasks use only processors that other tasks leave idle.
    fills: bool = False
    mayMiss: int | None = None


class _Job(msgspec.Struct, frozen=True):
    """Job as clients submit it."""

    spec: str
    steps: list[_Step]
    repeatCount: int = 0
    firstRunMs: int = 0
    intervalMs: int = 0


_JOB_DECODER = msgspec.json.Decoder(_Job)


class _AdmissionRefusedError(Exception):
    """Raised when a request of a tenant is not admitted."""

    def __init__(self, refusal: AdmissionRefused) -> None:
        super().__init__(str(refusal.reason))
        self.refusal = refusal


class BadJobError(Exception):
    """Raised when a submission is malformed; the message names the field."""


def decode_job(
    body: bytes, job_id: str, queue: Queue, accepted_ms: int, tenant: str = ""
) -> Submission:
    """Decode and check the body of a submission.

    :param accepted_ms: time of the request in Unix milliseconds
    :param tenant: owner of the job; empty for none
    :raises BadJobError: when the body is malformed
    """
    try:
        job = _JOB_DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise BadJobError(str(error)) from error
    if len(job.spec.encode()) > LARGEST_SPEC_BYTES:
        raise BadJobError(f"spec: expected at most {LARGEST_SPEC_BYTES} bytes")
    if not 1 <= len(job.steps) <= LARGEST_STEP_COUNT:
        raise BadJobError(f"steps: expected 1 to {LARGEST_STEP_COUNT}, got {len(job.steps)}")
    steps = tuple(_decode_step(step, index) for index, step in enumerate(job.steps))
    schedule = None
    if min(job.repeatCount, job.firstRunMs, job.intervalMs) < 0:
        raise BadJobError("repeatCount, firstRunMs, intervalMs: expected no negative numbers")
    if job.repeatCount > 0:
        schedule = Schedule(job.repeatCount, job.firstRunMs, job.intervalMs)
    submission = Submission(job_id, queue, accepted_ms, job.spec, steps, schedule, tenant)
    tasks = submission.occurrence_count * sum(step.count for step in steps)
    if tasks > LARGEST_TASK_COUNT:
        raise BadJobError(f"steps: expected at most {LARGEST_TASK_COUNT} tasks, got {tasks}")
    return submission


def _decode_step(step: _Step, index: int) -> Step:
    if step.count < 1:
        raise BadJobError(f"steps[{index}].count: expected 1 or more, got {step.count}")
    if min(step.cpu, step.memMb, step.gpu, step.estimateMs, step.antiAffinity, step.targetMs) < 0:
        raise BadJobError(f"steps[{index}]: expected no negative numbers")
    for earlier in step.after:
        if not 0 <= earlier < index:
            raise BadJobError(f"steps[{index}].after: {earlier} is no earlier step")
    return Step(
        count=step.count,
        room=ResourceVector(step.cpu, step.memMb, step.gpu),
        estimate_seconds=step.estimateMs / 1000.0,
        after=tuple(step.after),
        is_checkpointing=step.checkpointing,
        is_gang=step.gang,
        is_same_rack=step.sameRack,
        required_label=step.requires,
        data_rack=step.dataRack,
        anti_affinity=step.antiAffinity,
        is_speculative=step.speculative,
        is_lasting=step.perpetual,
        image=_image_name(step.image),
        target_tail_ms=step.targetMs,
        is_filler=step.fills,
        may_miss=step.mayMiss,
    )


def _image_name(image: str) -> str:
    """Return a name of bounded length that differs from that of each other image.

    >>> _image_name("web"), len(_image_name("w" * 1000))
    ('web', 71)
    """
    data = image.encode()
    if len(data) <= LARGEST_IMAGE_BYTES:
        return image
    return "sha256:" + sha256(data).hexdigest()


@dataclass(frozen=True, slots=True)
class _Reply:
    """Answer to a client.

    :param reason: why the request failed; empty on success
    :param body: JSON object of a successful answer
    :param is_retry_advised: whether the answer has a ``Retry-After`` header
    :param retry_seconds: value of that header
    """

    status: int
    reason: str = ""
    body: dict[str, object] = field(default_factory=dict)
    is_retry_advised: bool = False
    retry_seconds: int = RETRY_AFTER_SECONDS

    def response(self) -> web.Response:
        """Return the HTTP response."""
        body = {"error": self.reason} if self.reason else self.body
        response = web.Response(
            status=self.status, body=msgspec.json.encode(body), content_type="application/json"
        )
        if self.is_retry_advised:
            response.headers["Retry-After"] = str(self.retry_seconds)
        return response


class _MalformedRequestFilter(logging.Filter):
    """Log filter that drops the details of malformed requests, which may hold a key."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Remove the exception of a malformed request from its record."""
        if record.exc_info and isinstance(record.exc_info[1], HttpProcessingError):
            record.exc_info = record.exc_text = None
        return True


_server_log = logging.getLogger("clients")
_server_log.addFilter(_MalformedRequestFilter())


class Ingress(mode.Service):
    """HTTP server for clients and for the platform's readiness checks.

    :param config: returns the newest configuration; its version is 0 before the first one
    :param client_address: address on which clients are served
    :param readiness_address: address on which readiness checks are answered
    :param currency: tells how recent the configuration is
    :param access: time limits for the use of a configuration that may be outdated
    :param admission: returns the admission of submissions
    :param clock: returns seconds, as the admission counts them
    :param queue_admission: returns the admission by queue; None to admit all
    :param domain: failure domain of this process
    """

    def __init__(
        self,
        job_service: JobService,
        config: Callable[[], FleetConfig],
        client_address: Address,
        readiness_address: Address,
        metrics: Metrics,
        currency: ConfigurationCurrency,
        access: AccessSettings,
        admission: Callable[[], EntryAdmission],
        clock: Callable[[], float],
        queue_admission: Callable[[], QueueAdmission] | None = None,
        domain: str = "",
    ) -> None:
        super().__init__()
        self._currency = currency
        self._access = access
        self._admission = admission
        self._clock = clock
        self._queue_admission = queue_admission
        self._domain = domain
        self._job_service = job_service
        self._config = config
        self._client_address = client_address
        self._readiness_address = readiness_address
        self._metrics = metrics
        self._tenant_labels: set[str] = set()
        self._runners: list[web.ServerRunner] = []
        self._is_draining = False
        self._in_flight = 0
        self.idle = asyncio.Event()
        self.idle.set()

    @property
    def in_flight(self) -> int:
        """Return the number of requests in progress."""
        return self._in_flight

    def drain(self) -> None:
        """Report this process as not ready; close each connection after its next answer."""
        self._is_draining = True

    async def on_start(self) -> None:
        """Start both HTTP servers."""
        for handler, address in (
            (self._answer_client, self._client_address),
            (self._answer_readiness, self._readiness_address),
        ):
            server = web.Server(
                handler,
                access_log=None,
                logger=_server_log,
                max_line_size=LARGEST_HEADER_BYTES,
                max_field_size=LARGEST_HEADER_BYTES,
                keepalive_timeout=75.0,
            )
            runner = web.ServerRunner(server, shutdown_timeout=1.0)
            await runner.setup()
            await web.TCPSite(runner, address.host, address.port, reuse_address=True).start()
            self._runners.append(runner)

    async def on_stop(self) -> None:
        """Stop both HTTP servers; requests in progress are answered first."""
        for runner in self._runners:
            await runner.cleanup()

    async def _answer_readiness(self, request: web.BaseRequest) -> web.StreamResponse:
        is_ready = not self._is_draining and self._config().version > 0
        return web.Response(status=200 if is_ready else 503)

    async def _answer_client(self, request: web.BaseRequest) -> web.StreamResponse:
        self._in_flight += 1
        self.idle.clear()
        try:
            response = await self._response_to(request)
        finally:
            self._in_flight -= 1
            if not self._in_flight:
                self.idle.set()
        if self._is_draining:
            response.force_close()
        return response

    async def _response_to(self, request: web.BaseRequest) -> web.Response:
        started_at = time.monotonic()
        if self._config().tenants:
            await self._currency.settle(self._access.current_seconds)
        config = self._config()
        access = self._check_access(request)
        fields: dict[str, object] = {}
        match access:
            case Refusal.NO_CONFIGURATION:
                self._metrics.count("clients.refused", label=access.name.lower())
                return _refusal_reply(access).response()
            case Refusal():
                self._metrics.count("clients.refused", label=access.name.lower())
                name = queue_name = ""
                reply = _refusal_reply(access)
                fields = self._refusal_fields(request)
            case Granted(queue):
                queue_name = queue.name
                name = request.path.removeprefix(queue.path_prefix)
                reply = await self._handle_request(request, config, access, name)
        seconds = time.monotonic() - started_at
        self._metrics.count("clients.requests", label=f"{request.method}_{reply.status}")
        self._metrics.observe("clients.seconds", seconds, label=request.method)
        _log.info(
            "request answered",
            extra={
                "job": name,
                "method": request.method,
                "queue": queue_name,
                "config": config.version,
                "status": reply.status,
                "took_ms": round(1000 * seconds),
                "reason": reply.reason,
                **fields,
            },
        )
        return reply.response()

    def _refusal_fields(self, request: web.BaseRequest) -> dict[str, object]:
        """Return what the log has to tell of a request that the configuration refuses."""
        freshness = self._currency.freshness
        return {
            "host": request.host[:LARGEST_LOGGED_TEXT],
            "path": request.path[:LARGEST_LOGGED_TEXT],
            "newest_config": freshness.newest_version,
            "config_age_ms": round(1000 * min(freshness.age_seconds, LARGEST_LOGGED_SECONDS)),
            "behind_ms": round(1000 * freshness.behind_seconds),
        }

    def _check_access(self, request: web.BaseRequest) -> Granted | Refusal:
        """Decide about a request under the newest configuration that this process holds."""
        return check_access(
            self._config(),
            request.host.partition(":")[0],
            request.path,
            request.headers.get(KEY_HEADER, ""),
            self._currency.freshness,
            self._access,
        )

    def _confirm_access(self, request: web.BaseRequest, tenant: str) -> Granted:
        """Check a request again, since its body or an append may have taken long.

        :param tenant: owner of the job as decided before
        :raises AccessRefusedError: when the request may no longer be handled
        """
        access = self._check_access(request)
        match access:
            case Refusal():
                raise AccessRefusedError(access)
            case Granted(_, owner) if owner != tenant:
                # The key has moved to another tenant, so the client has to decide anew.
                raise AccessRefusedError(Refusal.OUTDATED)
        return access

    async def _handle_request(
        self, request: web.BaseRequest, config: FleetConfig, access: Granted, name: str
    ) -> _Reply:
        queue = access.queue
        seconds = _time_limit_seconds(request, queue)

        def check() -> None:
            self._confirm_access(request, access.tenant)

        try:
            match request.method:
                case "POST" if _is_job_id(name):
                    return await self._submit_job(request, config, access, name, seconds, check)
                case "GET" if not name:
                    return _Reply(
                        200, body={"waiting": await self._job_service.waiting_job_count(queue.name)}
                    )
                case "GET" if _is_job_id(name):
                    return await self._query_job(name, access.tenant)
                case "DELETE" if _is_job_id(name):
                    with self._append_slot(access.tenant):
                        await self._job_service.cancel(name, seconds, check, access.tenant)
                    return _Reply(200)
                case "POST" | "GET" | "DELETE":
                    return _Reply(400, "expected a job id of 16 hexadecimal digits")
                case _:
                    return _Reply(405, "method not allowed")
        except AccessRefusedError as error:
            self._metrics.count("clients.refused", label=error.refusal.name.lower())
            return _refusal_reply(error.refusal)
        except _AdmissionRefusedError as error:
            return self._refuse_admission(error.refusal, access.tenant, name)
        except RecordRefusedError as error:
            return _Reply(413, f"job: too large to be stored: {error}")
        except (NotStoredError, NotReadyError) as error:
            return _Reply(503, str(error), is_retry_advised=True)
        except OutcomeUnknownError as error:
            return _Reply(504, str(error))

    async def _submit_job(
        self,
        request: web.BaseRequest,
        config: FleetConfig,
        access: Granted,
        job_id: str,
        seconds: float,
        check: Callable[[], None],
    ) -> _Reply:
        self._admit(access.tenant, job_id)
        limit = config.limits.body_bytes
        if request.content_length is not None and request.content_length > limit:
            return _Reply(413, f"body: expected at most {limit} bytes")
        body = bytearray()
        async for chunk in request.content.iter_any():
            body += chunk
            if len(body) > limit:
                return _Reply(413, f"body: expected at most {limit} bytes")
        # The body may have arrived slowly, and its queue may have changed meanwhile.
        tenant = access.tenant
        queue = self._confirm_access(request, tenant).queue
        try:
            submission = decode_job(bytes(body), job_id, queue, int(time.time() * 1000), tenant)
        except BadJobError as error:
            return _Reply(400, str(error))
        submission = replace(submission, domain=self._domain)
        owner = self._tenant(tenant)
        if owner is not None and (index := oversized_step(owner, submission.steps)) is not None:
            refused = AdmissionRefused(RefusalReason.TASK_SIZE, int(MAX_RETRY_SECONDS))
            return self._refuse_admission(refused, tenant, job_id, f"steps[{index}]: ")
        self._admit_to_queue(submission, owner)
        with self._append_slot(tenant):
            try:
                await self._job_service.submit(submission, seconds, check)
            except NotStoredError:
                if owner is not None:
                    self._admission().refund(owner)
                raise
        return _Reply(200)

    def _tenant(self, name: str) -> Tenant | None:
        """Return the tenant that owns a job; None for a job without one."""
        return self._config().tenants.get(name) if name else None

    def _admit(self, tenant: str, job_id: str) -> None:
        """Admit a submission; a repetition of one that was accepted costs nothing.

        :raises _AdmissionRefusedError: when the tenant submits more than its share
        """
        owner = self._tenant(tenant)
        if owner is None or self._job_service.has_accepted(job_id, tenant):
            return
        refused = self._admission().admit(owner, self._clock())
        if refused is not None:
            raise _AdmissionRefusedError(refused)

    def _admit_to_queue(self, submission: Submission, owner: Tenant | None) -> None:
        """Admit a submission to its queue; a repetition of one that was accepted always is.

        :raises _AdmissionRefusedError: when its queue has too much work
        """
        if self._queue_admission is None:
            return
        if self._job_service.has_accepted(submission.job_id, submission.tenant):
            return
        refused = self._queue_admission().admit(submission, self._clock())
        if refused is not None:
            if owner is not None:
                self._admission().refund(owner)
            raise _AdmissionRefusedError(refused)

    @contextmanager
    def _append_slot(self, tenant: str) -> Iterator[None]:
        """Occupy one of the appends that a tenant may have waiting.

        :raises _AdmissionRefusedError: when too many wait
        """
        owner = self._tenant(tenant)
        if owner is None:
            yield
            return
        admission = self._admission()
        refused = admission.begin_append(owner, self._clock())
        if refused is not None:
            raise _AdmissionRefusedError(refused)
        try:
            yield
        finally:
            admission.end_append(owner)

    def _refuse_admission(
        self, refused: AdmissionRefused, tenant: str, job_id: str, prefix: str = ""
    ) -> _Reply:
        """Log and count a refusal and return its answer.

        :param prefix: part of the submission that is refused
        """
        reason = f"{prefix}{refused.reason}"
        subject = "tenant"
        match refused.reason:
            case RefusalReason.BACKLOG:
                subject = "queue"
            case RefusalReason.FULL:
                subject = "fleet"
        self._metrics.count("clients.refused", label=f"{subject}_{refused.reason.name.lower()}")
        if tenant:
            if len(self._tenant_labels) < MAX_TENANT_LABELS:
                self._tenant_labels.add(tenant)
            label = tenant if tenant in self._tenant_labels else OTHER_LABEL
            self._metrics.count("tenants.refused", label=label)
        _log.info(
            f"request of a {subject} refused",
            extra={
                "job": job_id,
                "tenant": tenant,
                "reason": reason,
                "retry_after": refused.retry_seconds,
            },
        )
        return _Reply(429, reason, is_retry_advised=True, retry_seconds=refused.retry_seconds)

    async def _query_job(self, job_id: str, tenant: str) -> _Reply:
        state = await self._job_service.state_of(job_id, tenant)
        if state is None:
            return _Reply(410, "no such job")
        return _Reply(200, body={"state": _STATE_NAMES[state]})


def _refusal_reply(refusal: Refusal) -> _Reply:
    match refusal:
        case Refusal.NO_CONFIGURATION | Refusal.OUTDATED:
            return _Reply(503, str(refusal), is_retry_advised=True)
        case Refusal.NO_QUEUE:
            return _Reply(404, str(refusal))
        case Refusal.NO_KEY | Refusal.UNKNOWN_KEY:
            return _Reply(401, str(refusal))


_STATE_NAMES = {
    JobState.QUEUED: "queued",
    JobState.RUNNING: "running",
    JobState.COMPLETED: "completed",
    JobState.FAILED: "failed",
    JobState.CANCELLED: "cancelled",
}


def _is_job_id(name: str) -> bool:
    return len(name) == JOB_ID_LENGTH and _HEX_DIGITS.issuperset(name)


def _time_limit_seconds(request: web.BaseRequest, queue: Queue) -> float:
    seconds = queue.timeout_seconds
    deadline = request.headers.get(DEADLINE_HEADER, "")
    if deadline.isdecimal():
        seconds = min(seconds, int(deadline) / 1000.0)
    return max(0.05, seconds - ANSWER_RESERVE_SECONDS)
