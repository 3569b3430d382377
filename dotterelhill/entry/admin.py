"""Admin port: health, readiness, state dump and explanations, for operators only."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import mode
import msgspec
from aiohttp import web

VERSION_HEADER = "Dotterelhill-Manifest-Version"
READ_OFFSET_HEADER = "Dotterelhill-Config-Offset"


@dataclass(frozen=True, slots=True)
class Explanation:
    """Why a job, request or worker is in its present condition.

    :param condition: condition in a few words
    :param reasons: one sentence each, the deciding one first
    :param facts: values that the reasons rest on
    """

    kind: str
    name: str
    condition: str
    reasons: tuple[str, ...] = ()
    facts: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RelayableManifest:
    """Manifest in force as its record, for tools that find the stream trimmed.

    :param read_offset: offset up to which this process has read the ``config`` stream
    """

    version: int
    record: bytes
    read_offset: int


StatePart = Callable[[], object]
Explainer = Callable[[str], Explanation | None]


@dataclass(frozen=True, slots=True)
class AdminSources:
    """What the admin port answers from; each callable reads the memory of one slice.

    :param readiness: reasons why this process is not ready, empty when it is
    :param state_parts: part of the dump by name of the slice
    :param explainers: by kind, ``job``, ``request`` or ``worker``; None when the name is unknown
    :param manifest: manifest in force, or None before the first
    """

    readiness: Callable[[], tuple[str, ...]]
    state_parts: Mapping[str, StatePart] = field(default_factory=dict)
    explainers: Mapping[str, Explainer] = field(default_factory=dict)
    manifest: Callable[[], RelayableManifest | None] = lambda: None


@dataclass(frozen=True, slots=True)
class AdminFault:
    """Answer when something asked for is unknown or can't be told."""

    error: str


def _encoded_field(value: object) -> object:
    # Secret values of pydantic give asterisks as their text.
    return str(value)


def encoded(value: object) -> bytes:
    """Return ``value`` as JSON; what JSON can't express is written as its text."""
    return msgspec.json.encode(value, enc_hook=_encoded_field, order="deterministic")


def _answer(value: object, status: int = 200) -> web.Response:
    return web.Response(status=status, body=encoded(value), content_type="application/json")


def _part_bytes(part: StatePart) -> msgspec.Raw:
    # One broken part must not hide the others from whoever looks for the fault.
    try:
        return msgspec.Raw(encoded(part()))
    except Exception as error:
        return msgspec.Raw(encoded(AdminFault(f"{type(error).__name__}: {error}")))


def state_dump(parts: Mapping[str, StatePart]) -> bytes:
    """Return the state of all slices as one JSON object.

    A part that raises is replaced by its error.

    >>> state_dump({"a": lambda: {"held": 2}, "b": lambda: 1 // 0}).decode()
    '{"a":{"held":2},"b":{"error":"ZeroDivisionError: integer division or modulo by zero"}}'
    """
    return msgspec.json.encode({name: _part_bytes(part) for name, part in parts.items()})


class AdminServer(mode.Service):
    """HTTP server of the admin port.

    :param host: address to listen on
    :param port: port to listen on; 0 takes a free one, see ``bound_port``
    """

    def __init__(self, host: str, port: int, sources: AdminSources) -> None:
        super().__init__()
        self._host = host
        self._port = port
        self._sources = sources
        self._runner: web.AppRunner | None = None

    @property
    def bound_port(self) -> int:
        """Return the port in use; 0 before the start."""
        if self._runner is None or not self._runner.addresses:
            return 0
        return int(self._runner.addresses[0][1])

    async def on_start(self) -> None:
        """Open the port."""
        application = web.Application()
        application.router.add_get("/healthz", self._health)
        application.router.add_get("/readyz", self._readiness)
        application.router.add_get("/state", self._state)
        application.router.add_get("/manifest", self._manifest)
        application.router.add_get("/explain/{kind}/{name:.+}", self._explanation)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, self._host, self._port).start()

    async def on_stop(self) -> None:
        """Close the port."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _health(self, request: web.Request) -> web.Response:
        return _answer({"alive": True})

    async def _readiness(self, request: web.Request) -> web.Response:
        reasons = self._sources.readiness()
        return _answer({"ready": not reasons, "reasons": reasons}, 503 if reasons else 200)

    async def _state(self, request: web.Request) -> web.Response:
        body = state_dump(self._sources.state_parts)
        return web.Response(body=body, content_type="application/json")

    async def _manifest(self, request: web.Request) -> web.Response:
        manifest = self._sources.manifest()
        if manifest is None:
            return _answer(AdminFault("no manifest is in force"), 404)
        headers = {
            VERSION_HEADER: str(manifest.version),
            READ_OFFSET_HEADER: str(manifest.read_offset),
        }
        return web.Response(body=manifest.record, content_type="application/json", headers=headers)

    async def _explanation(self, request: web.Request) -> web.Response:
        kind, name = request.match_info["kind"], request.match_info["name"]
        explainer = self._sources.explainers.get(kind)
        if explainer is None:
            known = ", ".join(sorted(self._sources.explainers)) or "none"
            return _answer(AdminFault(f"unknown kind {kind!r}; known: {known}"), 404)
        explanation = explainer(name)
        if explanation is None:
            return _answer(AdminFault(f"unknown {kind} {name!r}"), 404)
        return _answer(explanation)
