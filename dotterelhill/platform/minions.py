"""HTTP client for minions in the platform's format."""

from __future__ import annotations

from collections.abc import Callable
from functools import lru_cache, partial
from typing import Any

import aiohttp
import msgspec

from dotterelhill.control.interface import (
    FencedByMinionError,
    MinionAnswer,
    MinionCall,
    MinionCaller,
    MinionError,
    MinionNotReachedError,
    OrderAnswerHandler,
    OtherIncarnationError,
    StartAnswer,
    StartAnswerHandler,
)
from dotterelhill.control.relay_pool import AnswerHandler
from dotterelhill.entry.logs import logger_of
from dotterelhill.jobs.fleet import EndKind, EndReport, Minion, MinionReport, RunReport
from dotterelhill.jobs.model import TaskKey
from dotterelhill.jobs.orders import PaceOrder, StartOrder, StartOutcome, StopOrder

# The round trip between regions takes 40 ms; an answer that takes longer than this timeout is
# treated as lost.
CALL_TIMEOUT_SECONDS = 1.0
CONNECT_TIMEOUT_SECONDS = 0.7
INSTANCE_HEADER = "Expect-Instance"
JSON_HEADERS = {"Content-Type": "application/json"}

# Encoded payloads that are kept for the next starts of their jobs, and the longest one to keep.
MAX_PAYLOADS = 64
MAX_KEPT_PAYLOAD = 1 << 14

_log = logger_of("minions")


class _Answer(msgspec.Struct, frozen=True):
    clockMs: int | None = None
    reason: str = ""


class _RunningRow(msgspec.Struct, array_like=True, gc=False):
    task: str
    run: int
    checkpoint: str
    # Share of the time in which the task runs, in percent.
    percent: int
    # Tail latency in ms of a serving task; for other tasks, processor use in thousandths of a
    # processor.
    measure: float | None = None


class _EndedRow(msgspec.Struct, array_like=True, gc=False):
    number: int
    task: str
    run: int
    how: str
    checkpoint: str = ""


class _HoldAnswer(msgspec.Struct, frozen=True):
    clockMs: int
    running: list[_RunningRow]
    ended: list[_EndedRow]
    # Start of the incarnation in Unix ms.
    born: int = 0


_ANSWER_DECODER = msgspec.json.Decoder(_Answer)
_HOLD_DECODER = msgspec.json.Decoder(_HoldAnswer)
_ENCODER = msgspec.json.Encoder()

_REFUSALS = {
    "room": StartOutcome.NO_ROOM,
    "old": StartOutcome.OUTDATED,
    "late": StartOutcome.LATE,
}


class HttpMinionCaller:
    """HTTP client that sends encoded calls to minions.

    :param session: returns the HTTP session to use
    """

    def __init__(self, session: Callable[[], aiohttp.ClientSession]) -> None:
        self._session = session

    async def call(self, call: MinionCall) -> MinionAnswer:
        """Send a call and return the answer.

        :raises MinionNotReachedError: when the call certainly did not reach the minion
        :raises MinionError: when there is no answer, so that the effect is unknown
        """
        timeout = aiohttp.ClientTimeout(
            total=CALL_TIMEOUT_SECONDS + call.wait_seconds + call.allowance_seconds,
            sock_connect=CONNECT_TIMEOUT_SECONDS + call.allowance_seconds,
        )
        headers = {INSTANCE_HEADER: call.minion_id, **JSON_HEADERS}
        url = f"http://{call.address}{call.path}"
        try:
            async with self._session().post(
                url, data=call.prefix + call.body, headers=headers, timeout=timeout
            ) as answer:
                return MinionAnswer(answer.status, await answer.read())
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise MinionNotReachedError(f"{call.path}: {error}") from error
        except aiohttp.InvalidURL as error:
            raise MinionNotReachedError(f"{call.path}: invalid address {call.address!r}") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise MinionError(f"{call.path}: {type(error).__name__}: {error}") from error


class PlatformMinions:
    """Encoder of the leader's orders to minions, and decoder of their answers.

    :param caller: sends the encoded calls
    :param submit: sends a call without waiting for its answer, or returns False; None if nothing
        can
    """

    def __init__(
        self,
        caller: MinionCaller,
        submit: Callable[[MinionCall, AnswerHandler], bool] | None = None,
    ) -> None:
        self._caller = caller
        self._submit = submit

    async def start(
        self, order: StartOrder, token: int, deadline_ms: int
    ) -> tuple[StartOutcome, int | None]:
        """Start a run.

        :param token: fencing token of the call
        :param deadline_ms: end of the lease on the minion's clock
        :returns: outcome, and the minion's clock in ms if the minion answered
        :raises FencedByMinionError: when the minion has carried out a call with a higher token
        """
        call = _start_call(order, token, deadline_ms)
        try:
            answer = await self._caller.call(call)
        except MinionNotReachedError:
            return StartOutcome.NOT_SENT, None
        except MinionError:
            return StartOutcome.UNKNOWN, None
        start = self._start_answer(order, answer)
        return start.outcome, start.clock_ms

    def submit_start(
        self,
        order: StartOrder,
        token: int,
        deadline_ms: int,
        on_answer: StartAnswerHandler,
    ) -> bool:
        """Start a run through a relay; see :meth:`Minions.submit_start`."""
        if self._submit is None:
            return False
        call = _start_call(order, token, deadline_ms)
        return self._submit(call, partial(self._process_start_answer, order, on_answer))

    def _process_start_answer(
        self,
        order: StartOrder,
        on_answer: StartAnswerHandler,
        answer: MinionAnswer | MinionError,
    ) -> None:
        if isinstance(answer, MinionNotReachedError):
            on_answer(StartAnswer(StartOutcome.NOT_SENT))
            return
        if isinstance(answer, MinionError):
            on_answer(StartAnswer(StartOutcome.UNKNOWN))
            return
        result: StartAnswer | FencedByMinionError
        try:
            result = self._start_answer(order, answer)
        except FencedByMinionError as error:
            result = error
        on_answer(result)

    def _start_answer(self, order: StartOrder, call_answer: MinionAnswer) -> StartAnswer:
        """Return the outcome that an answer tells.

        :raises FencedByMinionError: when the minion has carried out a call with a higher token
        """
        status = call_answer.status
        answer = _decode_answer(call_answer.body)
        if status == 200:
            return StartAnswer(StartOutcome.STARTED, answer.clockMs)
        if status in (429, 503):
            return StartAnswer(StartOutcome.UNHEALTHY, answer.clockMs)
        if status == 421:
            return StartAnswer(StartOutcome.OTHER_INCARNATION)
        if status == 409:
            self._check_fence(status, answer)
            outcome = _REFUSALS.get(answer.reason, StartOutcome.REFUSED)
            return StartAnswer(outcome, answer.clockMs)
        if 400 <= status < 500:
            fields = {"task": str(order.run.key), "status": status}
            _log.error("minion rejected a start order as malformed", extra=fields)
            return StartAnswer(StartOutcome.REFUSED, answer.clockMs)
        return StartAnswer(StartOutcome.UNKNOWN, answer.clockMs)

    async def stop(self, order: StopOrder, token: int) -> None:
        """Stop a run.

        :raises MinionError: when the minion did not confirm the stop
        """
        self._check_order(order, await self._caller.call(_order_call(order, token)))

    async def set_pace(self, order: PaceOrder, token: int) -> None:
        """Set the pace of a run.

        :raises MinionError: when the minion did not confirm the pace
        """
        self._check_order(order, await self._caller.call(_order_call(order, token)))

    def submit_order(
        self, order: StopOrder | PaceOrder, token: int, on_answer: OrderAnswerHandler
    ) -> bool:
        """Stop a run or set its pace through a relay; see :meth:`Minions.submit_order`."""
        if self._submit is None:
            return False
        on_call_answer = partial(self._process_order_answer, order, on_answer)
        return self._submit(_order_call(order, token), on_call_answer)

    def _process_order_answer(
        self,
        order: StopOrder | PaceOrder,
        on_answer: OrderAnswerHandler,
        answer: MinionAnswer | MinionError,
    ) -> None:
        result: MinionError | None = None
        if isinstance(answer, MinionError):
            result = answer
        else:
            try:
                self._check_order(order, answer)
            except MinionError as error:
                result = error
        on_answer(result)

    def _check_order(self, order: StopOrder | PaceOrder, answer: MinionAnswer) -> None:
        """Check that the minion has confirmed an order.

        :raises MinionError: when it has not
        """
        if answer.status == 200:
            return
        self._check_fence(answer.status, _decode_answer(answer.body))
        name = "stop" if isinstance(order, StopOrder) else "pace"
        raise MinionError(f"{name}: status {answer.status}")

    async def renew(
        self, minion: Minion, token: int, deadline_ms: int | None, wait_seconds: float
    ) -> MinionReport:
        """Renew the lease of all runs, acknowledge stored ends of runs, and return the report.

        :param deadline_ms: new end of the lease on the minion's clock; None to leave it
        :param wait_seconds: longest time to wait for a run to end
        :raises MinionError: when the minion gave no usable answer
        """
        body = {
            "fenceToken": token,
            "ackedUpto": minion.acknowledged_end,
            "waitMs": int(1000 * wait_seconds),
        }
        if deadline_ms is not None:
            body["deadlineMs"] = deadline_ms
        status, data = await self._call(minion, "/hold", body, wait_seconds)
        if status != 200:
            self._check_fence(status, _decode_answer(data))
            if status == 421:
                raise OtherIncarnationError(f"another minion at {minion.facts.address}")
            raise MinionError(f"hold: status {status}")
        try:
            answer = _HOLD_DECODER.decode(data)
        except msgspec.MsgspecError as error:
            raise MinionError(f"the minion's report can't be decoded: {error}") from error
        return _decode_report(answer)

    @staticmethod
    def _check_fence(status: int, answer: _Answer) -> None:
        if status == 409 and answer.reason == "fence":
            raise FencedByMinionError("a minion has carried out a call with a higher fencing token")

    async def _call(
        self,
        minion: Minion,
        path: str,
        body: dict[str, Any],
        wait_seconds: float = 0.0,
    ) -> tuple[int, bytes]:
        """Send a call and return the status and body of the answer."""
        facts = minion.facts
        call = MinionCall(
            facts.address,
            facts.minion_id,
            facts.failure_domain,
            path,
            _ENCODER.encode(body),
            wait_seconds,
        )
        answer = await self._caller.call(call)
        return answer.status, answer.body


def _spec_prefix(payload: str) -> bytes:
    """Return the beginning of the start orders with a payload, which stands for their brace."""
    return b'{"spec":%b,' % _ENCODER.encode(payload)


_kept_spec_prefix = lru_cache(MAX_PAYLOADS)(_spec_prefix)


def _start_call(order: StartOrder, token: int, deadline_ms: int) -> MinionCall:
    body: dict[str, Any] = {
        "task": str(order.run.key),
        "runId": order.run.run_id,
        "deadlineMs": deadline_ms,
        "fenceToken": token,
    }
    if order.checkpoint:
        body["checkpoint"] = order.checkpoint
    facts, payload = order.minion.facts, order.payload
    is_kept = len(payload) <= MAX_KEPT_PAYLOAD
    return MinionCall(
        facts.address,
        facts.minion_id,
        facts.failure_domain,
        "/run-start",
        _ENCODER.encode(body)[1:],
        prefix=_kept_spec_prefix(payload) if is_kept else _spec_prefix(payload),
    )


def _order_call(order: StopOrder | PaceOrder, token: int) -> MinionCall:
    match order:
        case StopOrder():
            path = "/run-stop"
            body = {"task": str(order.key), "runId": order.run_id, "fenceToken": token}
        case PaceOrder():
            path = "/pace"
            body = {
                "task": str(order.run.key),
                "runId": order.run.run_id,
                "percent": order.percent,
                "fenceToken": token,
            }
    facts = order.minion.facts
    return MinionCall(
        facts.address, facts.minion_id, facts.failure_domain, path, _ENCODER.encode(body)
    )


def _decode_answer(data: bytes) -> _Answer:
    try:
        return _ANSWER_DECODER.decode(data)
    except msgspec.MsgspecError:
        # A refusal may have no body; then only its status counts.
        return _Answer()


def _decode_report(answer: _HoldAnswer) -> MinionReport:
    running = []
    for row in answer.running:
        key = TaskKey.parse(row.task)
        if key is not None:
            running.append(RunReport(key, row.run, row.checkpoint, row.percent, row.measure))
    ended = []
    for end in answer.ended:
        try:
            kind = EndKind(end.how)
        except ValueError:
            # A task whose run ended in an unknown way must run again, as after an expired lease.
            kind = EndKind.LAPSED
            _log.warning(
                "minion reported an unknown kind of end", extra={"task": end.task, "how": end.how}
            )
        ended.append(EndReport(end.number, TaskKey.parse(end.task), end.run, kind, end.checkpoint))
    return MinionReport(answer.born, answer.clockMs, tuple(running), tuple(ended))
