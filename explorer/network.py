"""Simulated network: delivers each message once after a short latency, unless it is disturbed.

A disturbance drops, delays or duplicates a message.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from zlib import crc32

from explorer.timeline import Timeline

SHORTEST_LATENCY_SECONDS = 0.001
LONGEST_LATENCY_SECONDS = 0.02


class Effect(StrEnum):
    """Effect of a disturbance on a message."""

    DROP = "drop"
    LATE = "late"
    DOUBLE = "double"


# Kinds of messages that steps can disturb; request and answer are separate messages.
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
    """Disturbance of the next message of a kind.

    :param seconds: delay of a late message, or of the second copy, in seconds
    """

    effect: Effect
    seconds: float


class Network:
    """Delivers messages between named endpoints.

    :param timeline: event queue in which deliveries are scheduled
    :param is_connected: returns whether a message sent now from one endpoint to another arrives
    :param on_disturbed: called with the kind of each message that is disturbed
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
        """Apply a disturbance to the next message of a kind that has no earlier disturbance."""
        self._disturbances.setdefault(kind, []).append(disturbance)

    def send(self, kind: str, source: str, target: str, deliver: Callable[[], None]) -> None:
        """Schedule the delivery of a message, unless the endpoints are not connected.

        :param kind: kind of the message
        :param deliver: called at the time of the delivery
        """
        if not self._is_connected(source, target):
            return
        latency = _latency_seconds(kind, source, target)
        disturbances = self._disturbances.get(kind)
        if not disturbances:
            self._timeline.schedule(latency, deliver)
            return
        disturbance = disturbances.pop(0)
        self._on_disturbed(kind)
        match disturbance.effect:
            case Effect.DROP:
                return
            case Effect.LATE:
                self._timeline.schedule(latency + disturbance.seconds, deliver)
            case Effect.DOUBLE:
                self._timeline.schedule(latency, deliver)
                self._timeline.schedule(latency + disturbance.seconds, deliver)


def _latency_seconds(kind: str, source: str, target: str) -> float:
    # The latency is the same for all messages of a kind on a link, so a walk takes the same course
    # when steps are removed; other orders of messages come from disturbances.
    fraction = crc32(f"{kind} {source} {target}".encode()) / 2**32
    span_seconds = LONGEST_LATENCY_SECONDS - SHORTEST_LATENCY_SECONDS
    return SHORTEST_LATENCY_SECONDS + fraction * span_seconds
