"""Resume point of a task: its checkpoint and the workers on which it has failed.

Explanation
===========

The ledger ends a task for good at its first ``Stopped(failed)``, but a task that fails on a broken
worker must run elsewhere. The workers of earlier failures therefore travel with the checkpoint, in
the records that every later holder reads.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

# A job that fails on this many different workers is failed, and the workers are not blamed.
FAILED_WORKERS = 3

_MARK = '{"failed_on":'


class _Encoded(msgspec.Struct, frozen=True):
    failed_on: tuple[str, ...]
    checkpoint: str


@dataclass(frozen=True, slots=True)
class ResumePoint:
    """Where a task goes on.

    :param checkpoint: the worker's checkpoint; empty for none
    :param failed_on: different workers on which the task has failed, oldest first
    """

    checkpoint: str = ""
    failed_on: tuple[str, ...] = ()

    def after_failure_on(self, worker: str) -> ResumePoint:
        """Return the resume point after one more failure.

        >>> ResumePoint("c1").after_failure_on("w1").after_failure_on("w1").failed_on
        ('w1',)
        """
        if worker in self.failed_on:
            return self
        return ResumePoint(self.checkpoint, (*self.failed_on, worker))

    @property
    def is_given_up(self) -> bool:
        """Return whether the task has failed on enough workers."""
        return len(self.failed_on) >= FAILED_WORKERS


def encoded_resume_point(point: ResumePoint) -> str:
    """Return the text for the ``checkpoint`` field of a record.

    >>> encoded_resume_point(ResumePoint("c1"))
    'c1'
    """
    if not point.failed_on and not point.checkpoint.startswith(_MARK):
        return point.checkpoint
    return msgspec.json.encode(_Encoded(point.failed_on, point.checkpoint)).decode()


def decoded_resume_point(text: str) -> ResumePoint:
    """Return the resume point in the ``checkpoint`` field of a record.

    >>> decoded_resume_point(encoded_resume_point(ResumePoint("c1", ("w1", "w2"))))
    ResumePoint(checkpoint='c1', failed_on=('w1', 'w2'))
    """
    if not text.startswith(_MARK):
        return ResumePoint(text)
    try:
        encoded = msgspec.json.decode(text, type=_Encoded)
    except msgspec.DecodeError:
        return ResumePoint(text)
    return ResumePoint(encoded.checkpoint, encoded.failed_on)
