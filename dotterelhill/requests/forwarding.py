"""Authentication of requests that one entry process forwards to another."""

from __future__ import annotations

import hashlib
import hmac
from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum

from dotterelhill.core import ErrorKind, RequestError
from dotterelhill.requests.messages import RequestHead, end_to_end_headers

FORWARD_HEADER = "Dotterelhill-Forward"
SIGNATURE_HEADER = "Dotterelhill-Signature"
MIN_KEY_BYTES = 16
# Nonces that are this far below the sender's highest are refused without a lookup.
NONCE_WINDOW = 4096
# Most sender incarnations whose nonces are stored.
MAX_SENDERS = 4096


class Purpose(StrEnum):
    """Reason why a request is forwarded: to be dispatched, or to the holder of its key."""

    DISPATCH = "dispatch"
    KEY = "key"


@dataclass(frozen=True, slots=True)
class Hop:
    """Sender, target and remaining time of one forwarding step.

    :param sender: incarnation that forwards the request
    :param target: incarnation that it is addressed to; any other one refuses it
    :param nonce: number that increases with each request of the sender
    :param seconds_left: seconds until the request's deadline at the time of sending
    :param purpose: reason for forwarding
    """

    sender: str
    target: str
    nonce: int
    seconds_left: float
    purpose: Purpose

    def __str__(self) -> str:
        return f"1 {self.sender} {self.target} {self.nonce} {self.seconds_left!r} {self.purpose}"


def forward_signature(deployment_key: bytes, head: RequestHead, hop: Hop) -> str:
    """Return the HMAC-SHA256 of the head and the hop, in hex.

    ``Content-Length`` is excluded, because it describes the framing of one connection.
    """
    mac = hmac.new(deployment_key, digestmod=hashlib.sha256)
    parts = [str(hop), head.method, head.raw_path]
    for name, value in end_to_end_headers(head.headers):
        if name.lower() != "content-length":
            parts += [name.lower(), value]
    for part in parts:
        data = part.encode("utf-8", "surrogateescape")
        mac.update(len(data).to_bytes(4, "big") + data)
    return mac.hexdigest()


def parse_hop(text: str) -> Hop:
    """Return the hop in the value of a ``Dotterelhill-Forward`` header.

    :raises RequestError: ``unauthorized`` when it can't be parsed

    >>> parse_hop("1 a/1 b/2 7 1.5 dispatch").nonce
    7
    """
    try:
        version, sender, target, nonce, seconds, purpose = text.split(" ")
        if version != "1":
            raise ValueError(version)
        return Hop(sender, target, int(nonce), float(seconds), Purpose(purpose))
    except ValueError as error:
        raise RequestError(ErrorKind.UNAUTHORIZED, "forwarded head is not understood") from error


class _SenderNonces:
    """Nonces received from one sender."""

    __slots__ = ("highest", "seen")

    def __init__(self) -> None:
        self.highest = 0
        self.seen: set[int] = set()


class ForwardAuthenticator:
    """Signs forwarded requests and verifies the signature, target and nonce of received ones.

    For each sender the nonces of a window below its highest one are stored and older ones are
    refused, so that a replayed request is refused at any later time in bounded memory.

    :param deployment_key: secret shared by the entry processes of a deployment
    :param incarnation: incarnation of this process
    :raises ValueError: when the key is too short
    """

    def __init__(self, deployment_key: bytes, incarnation: str) -> None:
        if len(deployment_key) < MIN_KEY_BYTES:
            raise ValueError(
                f"deployment_key needs {MIN_KEY_BYTES} bytes, got {len(deployment_key)}"
            )
        self._key = deployment_key
        self._incarnation = incarnation
        self._next_nonce = 1
        self._senders: OrderedDict[str, _SenderNonces] = OrderedDict()

    def new_hop(self, target: str, seconds_left: float, purpose: Purpose) -> Hop:
        """Return a hop to ``target`` with a new nonce."""
        hop = Hop(self._incarnation, target, self._next_nonce, seconds_left, purpose)
        self._next_nonce += 1
        return hop

    def signed_headers(self, head: RequestHead, hop: Hop) -> tuple[tuple[str, str], ...]:
        """Return the two headers that authenticate a forwarded request."""
        signature = forward_signature(self._key, head, hop)
        return ((FORWARD_HEADER, str(hop)), (SIGNATURE_HEADER, signature))

    def authenticate(self, head: RequestHead) -> Hop:
        """Verify a received request and return its hop.

        :raises RequestError: ``unauthorized`` when the request is forged, replayed or addressed
            to another incarnation
        """
        text = head.header(FORWARD_HEADER)
        signature = head.header(SIGNATURE_HEADER)
        if text is None or signature is None:
            raise RequestError(ErrorKind.UNAUTHORIZED, "only entry processes may use this port")
        hop = parse_hop(text)
        expected = forward_signature(self._key, head, hop)
        if not hmac.compare_digest(expected.encode(), signature.encode("utf-8", "replace")):
            raise RequestError(ErrorKind.UNAUTHORIZED, "the signature does not match")
        if hop.target != self._incarnation:
            raise RequestError(ErrorKind.UNAUTHORIZED, "it was meant for another incarnation")
        if not self._accept_nonce(hop):
            raise RequestError(ErrorKind.UNAUTHORIZED, "it was received before")
        return hop

    def _accept_nonce(self, hop: Hop) -> bool:
        """Store the nonce of a hop and return whether it is new."""
        nonces = self._senders.setdefault(hop.sender, _SenderNonces())
        self._senders.move_to_end(hop.sender)
        while len(self._senders) > MAX_SENDERS:
            self._senders.popitem(last=False)
        if hop.nonce <= nonces.highest - NONCE_WINDOW or hop.nonce in nonces.seen:
            return False
        nonces.seen.add(hop.nonce)
        nonces.highest = max(nonces.highest, hop.nonce)
        if len(nonces.seen) > 2 * NONCE_WINDOW:
            window_start = nonces.highest - NONCE_WINDOW
            nonces.seen = {nonce for nonce in nonces.seen if nonce > window_start}
        return True
