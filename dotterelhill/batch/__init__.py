"""Placement of batch tasks on workers, and their execution by the workers' holders."""

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
