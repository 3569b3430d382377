"""Configuration record as the build before tenants defines it.

The definitions are those of the commit "Record the hunt of forja-cauca on the final code, one day
broken". They must not follow later changes of the program.
"""

from __future__ import annotations

import msgspec


class EarlierRoute(msgspec.Struct, frozen=True):
    name: str
    host: str
    pathPrefix: str
    service: str
    priority: int = 0
    maxAttempts: int = 1
    stretch: float = 2.0
    targetLatencyMs: float = 1000
    timeoutMs: float = 3000
    advice: msgspec.Raw | None = None


class EarlierService(msgspec.Struct, frozen=True):
    name: str
    admissionCheck: bool = False


class EarlierLimits(msgspec.Struct, frozen=True):
    maxHeaderBytes: int = 16384
    maxBodyBytes: int = 262144
    headerTimeoutMs: float = 3000
    idleTimeoutMs: float = 15000


class EarlierConfig(msgspec.Struct, frozen=True):
    version: int
    routes: list[EarlierRoute]
    services: list[EarlierService]
    limits: EarlierLimits = EarlierLimits()
