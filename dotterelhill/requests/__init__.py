"""HTTP request path: admission, idempotency, routing to minions and forwarding to peers."""

from dotterelhill.requests.service import Requests, RequestsSettings

__all__ = ["Requests", "RequestsSettings"]
