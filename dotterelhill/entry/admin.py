"""HTTP server of the admin port, for operators only: health, readiness, state, explanations."""

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
    """Explanation of the current condition of a job, request or worker.

    :param kind: ``job``, ``request`` or ``worker``
    :param name: name of the job or worker, id of the task or request
    :param condition: condition in a few words
    :param reasons: one sentence for each reason, the decisive one first
    :param facts: values on which the reasons are based
    """

    kind: str
    name: str
    condition: str
    reasons: tuple[str, ...] = ()
    facts: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ManifestInForce:
    """Log record of the manifest in force, for tools whose log has trimmed the ``config`` stream.

    :param version: version of the manifest, which is the offset of its record
    :param record: encoded publication
    :param read_offset: offset up to which this process has read the ``config`` stream
    """

    version: int
    record: bytes
    read_offset: int


StatePart = Callable[[], object]
Explainer = Callable[[str], Explanation | None]


@dataclass(frozen=True, slots=True)
class AdminSources:
    """Functions that the admin port calls for its answers; each reads the memory of the process.

    :param unready_reasons: returns why this process is not ready, empty when it is ready
    :param state_parts: functions that return one part of the state dump, by name of the part
    :param explainers: functions that explain a name, by kind (``job``, ``request`` or ``worker``);
        they return None when the name is unknown
    :param manifest: returns the manifest in force, or None before the first
    """

    unready_reasons: Callable[[], tuple[str, ...]]
    state_parts: Mapping[str, StatePart] = field(default_factory=dict)
    explainers: Mapping[str, Explainer] = field(default_factory=dict)
    manifest: Callable[[], ManifestInForce | None] = lambda: None


@dataclass(frozen=True, slots=True)
class ErrorBody:
    """Body of an answer that reports an error."""

    error: str


def _format_unsupported(value: object) -> object:
    # str() of a pydantic secret returns asterisks.
    return str(value)


def encode_json(value: object) -> bytes:
    """Return ``value`` as JSON; objects that msgspec can't encode become their ``str()``."""
    return msgspec.json.encode(value, enc_hook=_format_unsupported, order="deterministic")


def _json_response(value: object, status: int = 200) -> web.Response:
    return web.Response(status=status, body=encode_json(value), content_type="application/json")


def _encode_state_part(part: StatePart) -> msgspec.Raw:
    # A part that raises must not hide the other parts from an operator who looks for the fault.
    try:
        return msgspec.Raw(encode_json(part()))
    except Exception as error:
        return msgspec.Raw(encode_json(ErrorBody(f"{type(error).__name__}: {error}")))


def state_dump(parts: Mapping[str, StatePart]) -> bytes:
    """Return the state of all slices as one JSON object.

    A part that raises is replaced by its error.

    >>> state_dump({"a": lambda: {"held": 2}, "b": lambda: 1 // 0}).decode()
    '{"a":{"held":2},"b":{"error":"ZeroDivisionError: integer division or modulo by zero"}}'
    """
    return msgspec.json.encode({name: _encode_state_part(part) for name, part in parts.items()})


class AdminServer(mode.Service):
    """HTTP server of the admin port.

    :param host: address to listen on
    :param port: port to listen on; 0 binds a free one, see ``bound_port``
    :param sources: functions that return the content of the answers
    """

    def __init__(self, host: str, port: int, sources: AdminSources) -> None:
        super().__init__()
        self._host = host
        self._port = port
        self._sources = sources
        self._runner: web.AppRunner | None = None

    @property
    def bound_port(self) -> int:
        """Return the bound port, or 0 before the server has started."""
        if self._runner is None or not self._runner.addresses:
            return 0
        return int(self._runner.addresses[0][1])

    async def on_start(self) -> None:
        """Start listening on the port."""
        application = web.Application()
        application.router.add_get("/healthz", self._get_health)
        application.router.add_get("/readyz", self._get_readiness)
        application.router.add_get("/state", self._get_state)
        application.router.add_get("/manifest", self._get_manifest)
        application.router.add_get("/explain/{kind}/{name:.+}", self._get_explanation)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, self._host, self._port).start()

    async def on_stop(self) -> None:
        """Close the port."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _get_health(self, request: web.Request) -> web.Response:
        return _json_response({"alive": True})

    async def _get_readiness(self, request: web.Request) -> web.Response:
        reasons = self._sources.unready_reasons()
        return _json_response({"ready": not reasons, "reasons": reasons}, 503 if reasons else 200)

    async def _get_state(self, request: web.Request) -> web.Response:
        body = state_dump(self._sources.state_parts)
        return web.Response(body=body, content_type="application/json")

    async def _get_manifest(self, request: web.Request) -> web.Response:
        manifest = self._sources.manifest()
        if manifest is None:
            return _json_response(ErrorBody("no manifest is in force"), 404)
        headers = {
            VERSION_HEADER: str(manifest.version),
            READ_OFFSET_HEADER: str(manifest.read_offset),
        }
        return web.Response(body=manifest.record, content_type="application/json", headers=headers)

    async def _get_explanation(self, request: web.Request) -> web.Response:
        kind, name = request.match_info["kind"], request.match_info["name"]
        explainer = self._sources.explainers.get(kind)
        if explainer is None:
            known_kinds = ", ".join(sorted(self._sources.explainers)) or "none"
            return _json_response(ErrorBody(f"unknown kind {kind!r}; known: {known_kinds}"), 404)
        explanation = explainer(name)
        if explanation is None:
            return _json_response(ErrorBody(f"unknown {kind} {name!r}"), 404)
        return _json_response(explanation)
