"""Requests of callers: admission, idempotency, routing to minions, forwarding to peers."""

from dotterelhill.requests.service import Requests, RequestsSettings

__all__ = ["Requests", "RequestsSettings"]
