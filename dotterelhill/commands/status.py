"""Exit statuses of all commands."""

from __future__ import annotations

from enum import IntEnum


class ExitStatus(IntEnum):
    """Exit status of a command."""

    DONE = 0
    REFUSED = 1
    WRONG_USE = 2
    UNREACHABLE = 3
    UNKNOWN = 4
    INTERNAL = 5


EXIT_MEANINGS: dict[ExitStatus, str] = {
    ExitStatus.DONE: "done; the answer is positive",
    ExitStatus.REFUSED: "invalid or outdated manifest, unknown name, broken outcome",
    ExitStatus.WRONG_USE: "wrong arguments or settings, unreadable file",
    ExitStatus.UNREACHABLE: "the log or the entry process could not be reached; nothing changed",
    ExitStatus.UNKNOWN: "a publication may have taken effect; repeat with the printed id",
    ExitStatus.INTERNAL: "fault of the program itself",
}


class CommandError(Exception):
    """Raised when a command fails; the message is printed.

    :param status: exit status of the program
    """

    def __init__(self, status: ExitStatus, message: str) -> None:
        super().__init__(message)
        self.status = status
