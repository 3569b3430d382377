"""Heads of requests and answers, head validation and header filtering."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from dotterelhill.core import ErrorKind, RequestError

CHUNK_BYTES = 64 * 1024
MAX_HEADERS = 100
MAX_HEAD_BYTES = 32 * 1024
# Number and size of the headers that forwarding adds to those of the caller.
EXTRA_FORWARD_HEADERS = 4
EXTRA_FORWARD_HEAD_BYTES = 1024
OWN_HEADER_PREFIX = "dotterelhill-"
OUTCOME_HEADER = "Dotterelhill-Outcome"
ERROR_HEADER = "Dotterelhill-Error"
KEY_HEADER = "Idempotency-Key"

# Headers of one connection (RFC 9110, section 7.6.1), including those of its framing.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Head of one request as the caller sent it.

    :param method: HTTP method, unchanged
    :param raw_path: request target (path and query), unchanged
    :param headers: in order, repeated ones included
    :param body_length: ``Content-Length`` in bytes, 0 without a body; None when it is chunked
    """

    method: str
    raw_path: str
    headers: Headers
    body_length: int | None

    def header(self, name: str) -> str | None:
        """Return the value of a header, or None when it is absent.

        :raises RequestError: ``bad_request`` when the header is repeated
        """
        values = [value for key, value in self.headers if key.lower() == name.lower()]
        if len(values) > 1:
            raise RequestError(ErrorKind.BAD_REQUEST, f"header {name} is repeated")
        return values[0] if values else None


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Head of one answer."""

    status: int
    reason: str
    headers: Headers

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or None when it is absent."""
        return next((value for key, value in self.headers if key.lower() == name.lower()), None)


def end_to_end_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers without hop-by-hop headers and without dotterelhill's own.

    >>> end_to_end_headers([("Connection", "X-Hop"), ("X-Hop", "1"), ("X-A", "1"), ("X-A", "2")])
    (('X-A', '1'), ('X-A', '2'))
    >>> end_to_end_headers([("Dotterelhill-Outcome", "not-run"), ("Host", "a")])
    (('Host', 'a'),)
    """
    all_headers = tuple(headers)
    connection_options = {
        token.strip().lower()
        for name, value in all_headers
        if name.lower() == "connection"
        for token in value.split(",")
    }
    # A caller must not be able to remove these by listing them in Connection.
    connection_options -= {
        "host",
        "content-length",
        "content-type",
        "idempotency-key",
        "authorization",
    }
    return tuple(
        (name, value)
        for name, value in all_headers
        if name.lower() not in HOP_BY_HOP
        and name.lower() not in connection_options
        and not name.lower().startswith(OWN_HEADER_PREFIX)
    )


def is_valid_utf8(headers: Headers) -> bool:
    """Return whether all headers are valid UTF-8; aiohttp silently drops other bytes.

    >>> is_valid_utf8((("X-Name", "ga" + chr(0xDCFA) + "cha"),))
    False
    """
    try:
        "".join(name + value for name, value in headers).encode()
    except UnicodeEncodeError:
        return False
    return True


def check_head(head: RequestHead, *, is_forwarded: bool = False) -> None:
    """Raise an error for a head that is too large or that two HTTP parsers may read differently.

    :param is_forwarded: whether an entry process sent it; then a few more headers are allowed
    :raises RequestError: ``head_too_large`` or ``bad_request``
    """
    size = sum(len(name) + len(value) + 4 for name, value in head.headers) + len(head.raw_path)
    max_headers = MAX_HEADERS + EXTRA_FORWARD_HEADERS * is_forwarded
    max_bytes = MAX_HEAD_BYTES + EXTRA_FORWARD_HEAD_BYTES * is_forwarded
    if len(head.headers) > max_headers or size > max_bytes:
        detail = f"{len(head.headers)} headers, {size} bytes; at most {max_headers} and {max_bytes}"
        raise RequestError(ErrorKind.HEAD_TOO_LARGE, detail)
    if not is_valid_utf8(head.headers) or not head.raw_path.isascii():
        raise RequestError(ErrorKind.BAD_REQUEST, "the head is not valid UTF-8")
    if not head.raw_path.startswith("/"):
        raise RequestError(ErrorKind.BAD_REQUEST, "the request target must start with '/'")
    names = [name.lower() for name, _ in head.headers]
    if names.count("host") != 1:
        raise RequestError(ErrorKind.BAD_REQUEST, "exactly one Host header is needed")
    if "content-length" in names and "transfer-encoding" in names:
        raise RequestError(ErrorKind.BAD_REQUEST, "Content-Length and Transfer-Encoding conflict")
    if names.count("content-length") > 1 or names.count("transfer-encoding") > 1:
        raise RequestError(ErrorKind.BAD_REQUEST, "the length of the body is stated twice")
