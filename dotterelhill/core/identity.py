"""Identifiers of processes and tasks."""

from __future__ import annotations

import secrets


def new_incarnation_id(entry_name: str) -> str:
    """Return a random id for one start of an entry process: ``entry-name/16 hex digits``.

    :param entry_name: name of the entry VM from the settings, without a slash
    :raises ValueError: when ``entry_name`` is empty or contains a slash
    """
    if not entry_name or "/" in entry_name:
        raise ValueError(f"entry_name must be non-empty and without '/', got {entry_name!r}")
    return f"{entry_name}/{secrets.token_hex(8)}"


def entry_name_of(incarnation_id: str) -> str:
    """Return the name of the entry VM that an incarnation id contains.

    >>> entry_name_of("caxias-1/0123456789abcdef")
    'caxias-1'
    """
    return incarnation_id.partition("/")[0]


def task_id(job: str, declared_at: int, index: int) -> str:
    """Return the id of one task of a job.

    :param job: name of the job
    :param declared_at: manifest version since which the job has been declared without a gap
    :param index: number of the task within the job, from 0

    >>> task_id("register-sync", 12, 0)
    'register-sync@12/0'
    """
    return f"{job}@{declared_at}/{index}"
