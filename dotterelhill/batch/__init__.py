"""Placement and execution of batch tasks."""

from dotterelhill.batch.interface import Appender, Assignment, LedgerView, PendingTask, WorkerFacts
from dotterelhill.batch.service import Batch
from dotterelhill.batch.worker import HttpWorker, Worker, WorkerError

__all__ = [
    "Appender",
    "Assignment",
    "Batch",
    "HttpWorker",
    "LedgerView",
    "PendingTask",
    "Worker",
    "WorkerError",
    "WorkerFacts",
]
