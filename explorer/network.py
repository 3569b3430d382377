"""Bag of messages: each is delivered once soon, or late, twice or never when a step says so."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from zlib import crc32

from explorer.timeline import Timeline

SHORTEST_LATENCY_SECONDS = 0.001
LONGEST_LATENCY_SECONDS = 0.02


class Effect(StrEnum):
    """What happens to a message."""

    DROP = "drop"
    LATE = "late"
    DOUBLE = "double"


# Kinds of messages that steps can disturb; an answer is a message of its own.
BATCH_KINDS = (
    "clock",
    "lease",
    "lease answer",
    "start",
    "start answer",
    "stop",
    "stop answer",
    "forget",
    "append control",
)
LOG_KINDS = (
    "append control",
    "append control answer",
    "append claims",
    "append claims answer",
    "read config",
    "read config answer",
    "read control",
    "read control answer",
    "read claims answer",
)
PEER_KINDS = ("heartbeat", "relay", "read config", "read control answer")
ALL_KINDS = tuple(dict.fromkeys((*BATCH_KINDS, *LOG_KINDS, *PEER_KINDS)))


@dataclass(frozen=True, slots=True)
class Disturbance:
    """Effect on the next message of a kind.

    :param seconds: delay of the late message, or of the second copy
    """

    effect: Effect
    seconds: float


class Network:
    """Delivers messages between named ends.

    :param is_connected: whether a message that is sent now from one end to another can arrive
    :param on_disturbed: told the kind of each message that an effect is applied to
    """

    def __init__(
        self,
        timeline: Timeline,
        is_connected: Callable[[str, str], bool],
        on_disturbed: Callable[[str], None],
    ) -> None:
        self._timeline = timeline
        self._is_connected = is_connected
        self._on_disturbed = on_disturbed
        self._disturbances: dict[str, list[Disturbance]] = {}

    def disturb(self, kind: str, disturbance: Disturbance) -> None:
        """Apply an effect to the next message of a kind."""
        self._disturbances.setdefault(kind, []).append(disturbance)

    def send(self, kind: str, source: str, target: str, deliver: Callable[[], None]) -> None:
        """Deliver a message, unless the ends are cut off from each other."""
        if not self._is_connected(source, target):
            return
        latency = _latency_seconds(kind, source, target)
        waiting = self._disturbances.get(kind)
        if not waiting:
            self._timeline.after(latency, deliver)
            return
        disturbance = waiting.pop(0)
        self._on_disturbed(kind)
        match disturbance.effect:
            case Effect.DROP:
                return
            case Effect.LATE:
                self._timeline.after(latency + disturbance.seconds, deliver)
            case Effect.DOUBLE:
                self._timeline.after(latency, deliver)
                self._timeline.after(latency + disturbance.seconds, deliver)


def _latency_seconds(kind: str, source: str, target: str) -> float:
    # The same for all messages of a kind on a link, so that a walk keeps its course when steps
    # are left out; disturbances give the other orders.
    part = crc32(f"{kind} {source} {target}".encode()) / 2**32
    span = LONGEST_LATENCY_SECONDS - SHORTEST_LATENCY_SECONDS
    return SHORTEST_LATENCY_SECONDS + part * span
