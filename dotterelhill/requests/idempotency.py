"""Idempotency keys: their states, stored answers, and the keys that a process issues."""

from __future__ import annotations

import base64
import hashlib
import hmac
from collections import OrderedDict
from dataclasses import dataclass

from dotterelhill.core import ErrorKind, RequestError
from dotterelhill.requests.messages import AnswerHead, RequestHead

ISSUED_KEY_PREFIX = "dh1."
MAX_KEY_CHARACTERS = 255
# These take 12 MB of the 128 MB of a process.
MAX_KEYS = 40_000
MAX_ANSWER_BYTES = 64 * 1024
MAX_TOTAL_ANSWER_BYTES = 4 * 1024 * 1024
DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """Complete answer of a minion, stored for later calls with the same key."""

    head: AnswerHead
    body: bytes


@dataclass(frozen=True, slots=True)
class Runnable:
    """State of a key whose request has not been dispatched."""


@dataclass(frozen=True, slots=True)
class Running:
    """State of a key whose first attempt is in progress."""


@dataclass(frozen=True, slots=True)
class Answered:
    """State of a key whose request a minion answered.

    :param answer: None when it was too large to store or was evicted
    """

    answer: StoredAnswer | None


@dataclass(frozen=True, slots=True)
class Unsettled:
    """State of a key whose request was dispatched with an unknown result.

    :param kind: error that the first caller got
    """

    kind: ErrorKind


KeyState = Runnable | Running | Answered | Unsettled


@dataclass(slots=True)
class _Entry:
    fingerprint: bytes
    state: KeyState


def digest_of(*parts: bytes) -> bytes:
    """Return a 16-byte BLAKE2b digest of the parts, each prefixed with its length."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.digest()


def request_digest(head: RequestHead, body_start: bytes) -> bytes:
    """Return a digest that identifies the request a key is used for.

    :param body_start: first bytes of the body; of the rest only the stated length is included
    """
    length = -1 if head.body_length is None else head.body_length
    content_type = next((v for n, v in head.headers if n.lower() == "content-type"), "")
    return digest_of(
        head.method.encode(),
        head.raw_path.encode("utf-8", "surrogateescape"),
        content_type.encode("utf-8", "surrogateescape"),
        str(length).encode(),
        body_start,
    )


class KeyTable:
    """States of the keys whose requests this process dispatched or may dispatch.

    Memory is bounded: stored answers are evicted first, then the oldest keys. ``settle`` returns
    the evicted keys, so that the owner never treats an evicted key as an unused one.

    :param max_keys: most keys that are stored
    """

    def __init__(self, max_keys: int = MAX_KEYS) -> None:
        self._max_keys = max_keys
        self._entries: OrderedDict[bytes, _Entry] = OrderedDict()
        self._answer_sizes: OrderedDict[bytes, int] = OrderedDict()
        self._answer_bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def answer_bytes(self) -> int:
        """Return the size of the stored answers in bytes."""
        return self._answer_bytes

    def state_of(self, key: bytes) -> KeyState | None:
        """Return the state of a key, or None when it is not in the table."""
        entry = self._entries.get(key)
        return entry.state if entry else None

    def begin(self, key: bytes, fingerprint: bytes) -> StoredAnswer | None:
        """Start an attempt and return None, or return the stored answer.

        :param fingerprint: digest of the request
        :raises RequestError: ``key_mismatch`` when the key belongs to another request,
            ``key_in_progress`` during the first attempt, ``key_holder_gone`` when the answer is no
            longer stored, or the error of a first attempt with unknown result
        """
        entry = self._entries.get(key)
        if entry is None:
            self._entries[key] = _Entry(fingerprint, Running())
            return None
        if entry.fingerprint != fingerprint:
            raise RequestError(ErrorKind.KEY_MISMATCH, "the key was used for another request")
        match entry.state:
            case Runnable():
                entry.state = Running()
                return None
            case Running():
                raise RequestError(ErrorKind.KEY_IN_PROGRESS, "the first attempt is in progress")
            case Unsettled(kind):
                raise RequestError(kind, "result of the first attempt", is_dispatched=True)
            case Answered(None):
                detail = "the request ran; its answer is no longer kept"
                raise RequestError(ErrorKind.KEY_HOLDER_GONE, detail, is_dispatched=True)
            case Answered(answer):
                return answer

    def settle(self, key: bytes, state: KeyState) -> list[bytes]:
        """Set the state of a key after its attempt and return the keys that are evicted."""
        entry = self._entries[key]
        entry.state = state
        if isinstance(state, Answered) and state.answer is not None:
            self._answer_sizes[key] = len(state.answer.body)
            self._answer_bytes += len(state.answer.body)
        while self._answer_bytes > MAX_TOTAL_ANSWER_BYTES:
            self._drop_answer(next(iter(self._answer_sizes)))
        return self._evict_oldest()

    def withdraw(self, key: bytes) -> None:
        """Remove a key that belongs to another process."""
        self._entries.pop(key, None)

    def _drop_answer(self, key: bytes) -> None:
        self._answer_bytes -= self._answer_sizes.pop(key)
        self._entries[key].state = Answered(None)

    def _evict_oldest(self) -> list[bytes]:
        evicted: list[bytes] = []
        while len(self._entries) > self._max_keys:
            key, entry = next(iter(self._entries.items()))
            if isinstance(entry.state, Running):
                # A running request ends by its deadline; until then it may exceed the bound.
                self._entries.move_to_end(key)
                if all(isinstance(item.state, Running) for item in self._entries.values()):
                    break
                continue
            if key in self._answer_sizes:
                self._drop_answer(key)
            del self._entries[key]
            evicted.append(key)
        return evicted


@dataclass(frozen=True, slots=True)
class IssuedKey:
    """Parsed key that an entry process issued.

    :param incarnation: the only process that may dispatch its request
    :param number: sequence number among the keys of the incarnation
    """

    incarnation: str
    number: int

    @property
    def digest(self) -> bytes:
        """Return the identifier of the key in the key table."""
        return b"issued" + self.number.to_bytes(10, "big")


class KeyIssuer:
    """Issues signed keys and tracks which of them may still be unused.

    :param deployment_key: secret from which the signing key is derived
    :param incarnation: incarnation of this process
    """

    def __init__(self, deployment_key: bytes, incarnation: str) -> None:
        self._secret = hmac.digest(deployment_key, b"dotterelhill issued keys", "sha256")
        self._incarnation = incarnation
        self._next_number = 1
        self._lowest_usable_number = 0

    def issue(self) -> str:
        """Return a new key."""
        number, self._next_number = self._next_number, self._next_number + 1
        holder = base64.urlsafe_b64encode(self._incarnation.encode()).decode().rstrip("=")
        payload = f"{ISSUED_KEY_PREFIX}{holder}.{number}"
        return f"{payload}.{self._signature(payload)}"

    def parse(self, key: str) -> IssuedKey:
        """Verify an issued key and return its fields.

        :raises RequestError: ``bad_request`` when this deployment did not issue it
        """
        payload, _, signature = key.rpartition(".")
        if not hmac.compare_digest(
            self._signature(payload).encode(), signature.encode("utf-8", "replace")
        ):
            raise RequestError(ErrorKind.BAD_REQUEST, "the key was not issued here")
        _, holder, number = payload.split(".")
        incarnation = base64.urlsafe_b64decode(holder + "=" * (-len(holder) % 4)).decode()
        return IssuedKey(incarnation, int(number))

    def may_be_unused(self, key: IssuedKey) -> bool:
        """Return whether a key of this process that is not in the key table has never run."""
        return key.number >= self._lowest_usable_number

    def record_evicted(self, digests: list[bytes]) -> None:
        """Mark every key up to the highest evicted one as used, so that none of them runs again.

        :param digests: keys that the key table evicted
        """
        for digest in digests:
            if digest.startswith(b"issued"):
                number = int.from_bytes(digest.removeprefix(b"issued"), "big")
                self._lowest_usable_number = max(self._lowest_usable_number, number + 1)

    def _signature(self, payload: str) -> str:
        return hmac.digest(self._secret, payload.encode("utf-8", "replace"), "sha256").hex()[:32]
