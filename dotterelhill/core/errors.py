"""Closed list of error kinds and the HTTP answer for each."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Outcome(StrEnum):
    """What a caller may assume about the execution of a request that no minion answered."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class ErrorKind(StrEnum):
    """Kind of error that dotterelhill itself reports to a caller."""

    BAD_REQUEST = "bad_request"
    HEAD_TOO_LARGE = "head_too_large"
    BODY_TOO_LARGE = "body_too_large"
    UNKNOWN_SERVICE = "unknown_service"
    UNAUTHORIZED = "unauthorized"
    MEMBER_LIMIT = "member_limit"
    OVERLOADED = "overloaded"
    NO_MINION = "no_minion"
    DEADLINE_BEFORE_DISPATCH = "deadline_before_dispatch"
    CONNECT_FAILED = "connect_failed"
    LOG_UNAVAILABLE = "log_unavailable"
    SHUTTING_DOWN = "shutting_down"
    NOT_READY = "not_ready"
    KEY_MISMATCH = "key_mismatch"
    KEY_IN_PROGRESS = "key_in_progress"
    KEY_HOLDER_GONE = "key_holder_gone"
    DEADLINE_AFTER_DISPATCH = "deadline_after_dispatch"
    MINION_CONNECTION_LOST = "minion_connection_lost"
    MINION_SILENT = "minion_silent"
    ANSWER_TRUNCATED = "answer_truncated"
    UPLOAD_ABORTED = "upload_aborted"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """HTTP status, outcome and retry advice for one error kind.

    :param status: HTTP status code
    :param outcome: what the caller may assume if no earlier attempt was dispatched
    :param retry_after_seconds: value of the ``Retry-After`` header; 0 omits the header
    """

    status: int
    outcome: Outcome
    retry_after_seconds: int = 0


ERROR_ANSWERS: dict[ErrorKind, ErrorAnswer] = {
    ErrorKind.BAD_REQUEST: ErrorAnswer(400, Outcome.NOT_RUN),
    ErrorKind.HEAD_TOO_LARGE: ErrorAnswer(431, Outcome.NOT_RUN),
    ErrorKind.BODY_TOO_LARGE: ErrorAnswer(413, Outcome.NOT_RUN),
    ErrorKind.UNKNOWN_SERVICE: ErrorAnswer(404, Outcome.NOT_RUN),
    ErrorKind.UNAUTHORIZED: ErrorAnswer(401, Outcome.NOT_RUN),
    ErrorKind.MEMBER_LIMIT: ErrorAnswer(429, Outcome.NOT_RUN, retry_after_seconds=1),
    ErrorKind.OVERLOADED: ErrorAnswer(503, Outcome.NOT_RUN, retry_after_seconds=1),
    ErrorKind.NO_MINION: ErrorAnswer(503, Outcome.NOT_RUN, retry_after_seconds=2),
    ErrorKind.DEADLINE_BEFORE_DISPATCH: ErrorAnswer(504, Outcome.NOT_RUN),
    ErrorKind.CONNECT_FAILED: ErrorAnswer(502, Outcome.NOT_RUN, retry_after_seconds=1),
    ErrorKind.LOG_UNAVAILABLE: ErrorAnswer(503, Outcome.NOT_RUN, retry_after_seconds=5),
    ErrorKind.SHUTTING_DOWN: ErrorAnswer(503, Outcome.NOT_RUN, retry_after_seconds=1),
    ErrorKind.NOT_READY: ErrorAnswer(503, Outcome.NOT_RUN, retry_after_seconds=2),
    ErrorKind.KEY_MISMATCH: ErrorAnswer(422, Outcome.NOT_RUN),
    ErrorKind.KEY_IN_PROGRESS: ErrorAnswer(409, Outcome.UNKNOWN, retry_after_seconds=1),
    ErrorKind.KEY_HOLDER_GONE: ErrorAnswer(409, Outcome.UNKNOWN),
    ErrorKind.DEADLINE_AFTER_DISPATCH: ErrorAnswer(504, Outcome.UNKNOWN),
    ErrorKind.MINION_CONNECTION_LOST: ErrorAnswer(502, Outcome.UNKNOWN),
    ErrorKind.MINION_SILENT: ErrorAnswer(504, Outcome.UNKNOWN),
    ErrorKind.ANSWER_TRUNCATED: ErrorAnswer(502, Outcome.UNKNOWN),
    ErrorKind.UPLOAD_ABORTED: ErrorAnswer(400, Outcome.UNKNOWN),
    ErrorKind.INTERNAL: ErrorAnswer(500, Outcome.UNKNOWN),
}


class RequestError(Exception):
    """Raised when a request fails; ``ERROR_ANSWERS`` has the HTTP answer.

    :param kind: key of the answer in ``ERROR_ANSWERS``
    :param detail: text for the caller; must not contain the address of a minion
    :param is_dispatched: whether any byte of the request may have reached a minion's handler

    >>> RequestError(ErrorKind.OVERLOADED, "queue is full").outcome
    <Outcome.NOT_RUN: 'not-run'>
    >>> RequestError(ErrorKind.CONNECT_FAILED, "second attempt", is_dispatched=True).outcome
    <Outcome.UNKNOWN: 'unknown'>
    """

    def __init__(self, kind: ErrorKind, detail: str = "", *, is_dispatched: bool = False) -> None:
        super().__init__(f"{kind}: {detail}" if detail else str(kind))
        self.kind = kind
        self.detail = detail
        self.is_dispatched = is_dispatched

    @property
    def answer(self) -> ErrorAnswer:
        """Return the HTTP answer for this kind of error."""
        return ERROR_ANSWERS[self.kind]

    @property
    def outcome(self) -> Outcome:
        """Return the outcome over all attempts of the request."""
        return Outcome.UNKNOWN if self.is_dispatched else self.answer.outcome
