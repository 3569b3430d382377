"""Client of an entry process's admin port, for short-lived commands.

It uses ``http.client``: importing aiohttp takes about 240 ms, longer than the whole command.
"""

from __future__ import annotations

import http.client
from dataclasses import dataclass

import msgspec

from dotterelhill.commands.status import CommandError, ExitStatus

TIMEOUT_SECONDS = 5.0
VERSION_HEADER = "Dotterelhill-Manifest-Version"
READ_OFFSET_HEADER = "Dotterelhill-Config-Offset"


@dataclass(frozen=True, slots=True)
class AdminAnswer:
    """HTTP answer of the admin port."""

    status: int
    headers: http.client.HTTPMessage
    body: bytes


@dataclass(frozen=True, slots=True)
class InitialManifest:
    """Manifest in force at an entry process, from which a reader of a trimmed stream starts.

    :param version: version of the manifest, which is the offset of its record
    :param record: encoded publication
    :param read_offset: offset up to which that process has read the ``config`` stream
    """

    version: int
    record: bytes
    read_offset: int


class _ErrorBody(msgspec.Struct):
    error: str = ""


def fetch(address: str, path: str) -> AdminAnswer:
    """Return the answer to a GET of ``path``.

    :param address: ``host:port`` of the admin port
    :raises CommandError: when the address is malformed or the process can't be reached
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        raise CommandError(ExitStatus.WRONG_USE, f"address must be HOST:PORT, got {address!r}")
    connection = http.client.HTTPConnection(host.strip("[]"), int(port), timeout=TIMEOUT_SECONDS)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        return AdminAnswer(response.status, response.headers, response.read())
    except (OSError, http.client.HTTPException) as error:
        message = f"{address}: {type(error).__name__}: {error}"
        raise CommandError(ExitStatus.UNREACHABLE, message) from None
    finally:
        connection.close()


def fetch_body(address: str, path: str) -> bytes:
    """Return the body of an answer with status 200.

    :raises CommandError: when the process can't be reached or answers with another status
    """
    answer = fetch(address, path)
    if answer.status == 200:
        return answer.body
    try:
        text = msgspec.json.decode(answer.body, type=_ErrorBody).error
    except msgspec.DecodeError:
        text = ""
    raise CommandError(ExitStatus.REFUSED, text or f"{address}: status {answer.status}")


def fetch_manifest(address: str) -> InitialManifest:
    """Return the manifest that an entry process has in force.

    :raises CommandError: when the process can't be reached or has none
    """
    answer = fetch(address, "/manifest")
    version = answer.headers.get(VERSION_HEADER, "")
    offset = answer.headers.get(READ_OFFSET_HEADER, "")
    if answer.status != 200 or not version.isdecimal() or not offset.isdecimal():
        raise CommandError(ExitStatus.REFUSED, f"{address} has no manifest in force")
    return InitialManifest(int(version), answer.body, int(offset))
