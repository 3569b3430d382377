"""Resume point of a task: its checkpoint and the workers on which it has failed.

Explanation
===========

``Stopped(failed)`` ends a task for good, but a task that failed because of a faulty worker must run
on another one. The workers on which it has failed are therefore encoded with its checkpoint into
the ``checkpoint`` field of its records, where every later holder reads them.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

# A job that fails on this many different workers is failed, and its failures no longer count
# against the workers.
MAX_FAILED_WORKERS = 3

_ENCODED_PREFIX = '{"failed_on":'


class _EncodedResumePoint(msgspec.Struct, frozen=True):
    failed_on: tuple[str, ...]
    checkpoint: str


@dataclass(frozen=True, slots=True)
class ResumePoint:
    """State from which the next run of a task resumes.

    :param checkpoint: the worker's checkpoint; empty for none
    :param failed_on: different workers on which the task has failed, oldest first
    """

    checkpoint: str = ""
    failed_on: tuple[str, ...] = ()

    def after_failure_on(self, worker: str) -> ResumePoint:
        """Return the resume point after a failure on ``worker``.

        >>> ResumePoint("c1").after_failure_on("w1").after_failure_on("w1").failed_on
        ('w1',)
        """
        if worker in self.failed_on:
            return self
        return ResumePoint(self.checkpoint, (*self.failed_on, worker))

    @property
    def has_reached_failure_limit(self) -> bool:
        """Return whether the task has failed on ``MAX_FAILED_WORKERS`` workers."""
        return len(self.failed_on) >= MAX_FAILED_WORKERS


def encoded_resume_point(point: ResumePoint) -> str:
    """Return a resume point as text for the ``checkpoint`` field of a record.

    Without failures it is the worker's checkpoint itself.

    >>> encoded_resume_point(ResumePoint("c1"))
    'c1'
    """
    if not point.failed_on and not point.checkpoint.startswith(_ENCODED_PREFIX):
        return point.checkpoint
    return msgspec.json.encode(_EncodedResumePoint(point.failed_on, point.checkpoint)).decode()


def decoded_resume_point(text: str) -> ResumePoint:
    """Return the resume point from the ``checkpoint`` field of a record.

    Text in no known encoding is taken as the worker's checkpoint.

    >>> decoded_resume_point(encoded_resume_point(ResumePoint("c1", ("w1", "w2"))))
    ResumePoint(checkpoint='c1', failed_on=('w1', 'w2'))
    """
    if not text.startswith(_ENCODED_PREFIX):
        return ResumePoint(text)
    try:
        encoded = msgspec.json.decode(text, type=_EncodedResumePoint)
    except msgspec.DecodeError:
        return ResumePoint(text)
    return ResumePoint(encoded.checkpoint, encoded.failed_on)
