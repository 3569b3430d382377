"""State of idempotency keys at the process that may dispatch their requests."""

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
# 12 MB; a process has 128 MB for everything.
MAX_KEYS = 40_000
MAX_ANSWER_BYTES = 64 * 1024
MAX_TOTAL_ANSWER_BYTES = 4 * 1024 * 1024
DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """Whole answer of a minion, kept for a second call with the same key."""

    head: AnswerHead
    body: bytes


@dataclass(frozen=True, slots=True)
class Runnable:
    """No attempt was ever dispatched."""


@dataclass(frozen=True, slots=True)
class Running:
    """The first attempt is in progress."""


@dataclass(frozen=True, slots=True)
class Answered:
    """A minion answered.

    :param answer: None once it was too large or too old to keep
    """

    answer: StoredAnswer | None


@dataclass(frozen=True, slots=True)
class Unsettled:
    """An attempt was dispatched and its result is unknown.

    :param kind: error that the first caller got
    """

    kind: ErrorKind


KeyState = Runnable | Running | Answered | Unsettled


@dataclass(slots=True)
class _Entry:
    fingerprint: bytes
    state: KeyState


def digest_of(*parts: bytes) -> bytes:
    """Return a digest of the parts, each counted with its length."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.digest()


def request_digest(head: RequestHead, start: bytes) -> bytes:
    """Return a digest that tells two requests with the same key apart.

    :param start: the first bytes of the body; the rest counts only by its stated length
    """
    length = -1 if head.body_length is None else head.body_length
    content_type = next((v for n, v in head.headers if n.lower() == "content-type"), "")
    return digest_of(
        head.method.encode(),
        head.raw_path.encode("utf-8", "surrogateescape"),
        content_type.encode("utf-8", "surrogateescape"),
        str(length).encode(),
        start,
    )


class KeyTable:
    """What became of the keys that this process dispatched, or may dispatch.

    Memory is bounded: answers go first, then the oldest keys. ``forgotten`` tells the owner which
    ones, so that a forgotten key is never taken for an unused one.
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
        """Return the size of the kept answers."""
        return self._answer_bytes

    def state_of(self, key: bytes) -> KeyState | None:
        """Return the state of a key, or None when this process knows nothing of it."""
        entry = self._entries.get(key)
        return entry.state if entry else None

    def begin(self, key: bytes, fingerprint: bytes) -> StoredAnswer | None:
        """Return the kept answer, or None when the request is to run now.

        :raises RequestError: when the key belongs to another request, its first attempt is in
            progress, or its result can't be given
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
        """Record how an attempt ended and return the keys that are forgotten for it."""
        entry = self._entries[key]
        entry.state = state
        if isinstance(state, Answered) and state.answer is not None:
            self._answer_sizes[key] = len(state.answer.body)
            self._answer_bytes += len(state.answer.body)
        while self._answer_bytes > MAX_TOTAL_ANSWER_BYTES:
            self._drop_answer(next(iter(self._answer_sizes)))
        return self._forget_oldest()

    def withdraw(self, key: bytes) -> None:
        """Forget a key that turned out to belong to another process."""
        self._entries.pop(key, None)

    def _drop_answer(self, key: bytes) -> None:
        self._answer_bytes -= self._answer_sizes.pop(key)
        self._entries[key].state = Answered(None)

    def _forget_oldest(self) -> list[bytes]:
        forgotten: list[bytes] = []
        while len(self._entries) > self._max_keys:
            key, entry = next(iter(self._entries.items()))
            if isinstance(entry.state, Running):
                # Settles within its deadline; the table may exceed its bound by these.
                self._entries.move_to_end(key)
                if all(isinstance(item.state, Running) for item in self._entries.values()):
                    break
                continue
            if key in self._answer_sizes:
                self._drop_answer(key)
            del self._entries[key]
            forgotten.append(key)
        return forgotten


@dataclass(frozen=True, slots=True)
class IssuedKey:
    """A key that an entry process issued.

    :param incarnation: the only one that ever dispatches its request
    :param number: rises with each key of the incarnation
    """

    incarnation: str
    number: int

    @property
    def digest(self) -> bytes:
        """Return the name of the key within the key table."""
        return b"issued" + self.number.to_bytes(10, "big")


class KeyIssuer:
    """Issues signed keys and knows which of its own numbers may still run."""

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
        """Return what an issued key says.

        :raises RequestError: when this deployment did not issue it
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
        """Return whether a key of this process that the key table doesn't know never ran."""
        return key.number >= self._lowest_usable_number

    def record_forgotten(self, digests: list[bytes]) -> None:
        """Note which keys the key table forgot; no key up to the highest of them runs again."""
        for digest in digests:
            if digest.startswith(b"issued"):
                number = int.from_bytes(digest.removeprefix(b"issued"), "big")
                self._lowest_usable_number = max(self._lowest_usable_number, number + 1)

    def _signature(self, payload: str) -> str:
        return hmac.digest(self._secret, payload.encode("utf-8", "replace"), "sha256").hex()[:32]
