"""Events and actions of the holdings decision code."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from dotterelhill.holdings.interface import Permit


@dataclass(frozen=True, slots=True)
class JoinSeen:
    """An accepted ``Join`` was folded.

    :param offset: offset of the ``Join`` in ``control``
    """

    offset: int
    incarnation: str
    entry: str
    failure_domain: str


@dataclass(frozen=True, slots=True)
class LeaveSeen:
    """An accepted ``Leave`` was folded."""

    incarnation: str


@dataclass(frozen=True, slots=True)
class HoldSeen:
    """An accepted ``Hold`` was folded.

    :param offset: offset of the ``Hold``, which is the fencing token
    """

    offset: int
    resource: str
    holder: str


@dataclass(frozen=True, slots=True)
class ReleaseSeen:
    """An accepted ``Release`` was folded."""

    resource: str
    token: int


@dataclass(frozen=True, slots=True)
class LoadedHolding:
    """Newest holding of a resource in a snapshot.

    :param previous_holder: holder before this one if it had not released; else empty
    :param previous_token: token of that earlier holding; 0 for none
    """

    resource: str
    holder: str
    token: int
    is_released: bool
    previous_holder: str = ""
    previous_token: int = 0


@dataclass(frozen=True, slots=True)
class LedgerLoaded:
    """A snapshot replaced all state.

    :param through: offset of the last record that the snapshot covers
    :param replaced: incarnations that were ended by the ``Join`` of a newer start of their VM
    """

    through: int
    joined: tuple[JoinSeen, ...]
    replaced: tuple[str, ...]
    holdings: tuple[LoadedHolding, ...]


@dataclass(frozen=True, slots=True)
class Folded:
    """Every record up to offset ``through`` is folded and its events were delivered."""

    through: int


@dataclass(frozen=True, slots=True)
class EvidenceSeen:
    """A read of ``control`` that was sent at loop time ``at`` succeeded.

    :param through: offset of the last record in the log at that time
    """

    at: float
    through: int


@dataclass(frozen=True, slots=True)
class PeerHeard:
    """A heartbeat of an incarnation was received.

    :param control_offset: offset up to which the sender had folded ``control``
    :param control_through: offset up to which the sender's newest evidence reaches
    :param control_age: age of that evidence in seconds when the heartbeat was sent
    :param echo: send time, on this process's loop clock, of the newest heartbeat that the sender
        had received from it; 0 for none
    :param is_promise: whether the sender promises not to append a ``Hold`` on the resources of
        this process
    """

    sender: str
    control_offset: int
    control_through: int
    control_age: float
    echo: float
    is_promise: bool


@dataclass(frozen=True, slots=True)
class LiveSeen:
    """The set of live incarnations of this failure domain, including this one, changed."""

    incarnations: frozenset[str]


@dataclass(frozen=True, slots=True)
class MinionShare:
    """A minion of this failure domain.

    :param whole: all slots and connections of the minion
    :param is_leaving: whether the minion or its VM is being removed
    """

    whole: Permit
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class ResourcesSeen:
    """The minions in the manifest or the workers of this failure domain changed.

    :param autonomy_seconds: longest time that a holder may continue without evidence
    """

    minions: Mapping[str, MinionShare]
    workers: frozenset[str]
    autonomy_seconds: float


@dataclass(frozen=True, slots=True)
class MinionDrained:
    """A draining minion has no request in flight and no open connection."""

    minion: str


@dataclass(frozen=True, slots=True)
class Tick:
    """The periodic timer fired."""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """A graceful stop of this process was requested."""


HoldingsEvent = (
    JoinSeen
    | LeaveSeen
    | HoldSeen
    | ReleaseSeen
    | LedgerLoaded
    | Folded
    | EvidenceSeen
    | PeerHeard
    | LiveSeen
    | ResourcesSeen
    | MinionDrained
    | Tick
    | StopRequested
)


@dataclass(frozen=True, slots=True)
class AppendJoin:
    """Append ``Join`` for this process."""


@dataclass(frozen=True, slots=True)
class AppendHold:
    """Append a ``Hold`` of a resource that names the resource's newest token as ``previous``."""

    resource: str


@dataclass(frozen=True, slots=True)
class AppendRelease:
    """Append ``Release`` for a resource that this process no longer uses."""

    resource: str
    token: int


@dataclass(frozen=True, slots=True)
class AppendLeave:
    """Append ``Leave`` for this process."""


@dataclass(frozen=True, slots=True)
class DrainMinion:
    """Close the idle connections to a minion and report ``MinionDrained`` when it is unused."""

    minion: str


@dataclass(frozen=True, slots=True)
class StopFinished:
    """All holdings are released and ``Leave`` is in the log."""


HoldingsAction = AppendJoin | AppendHold | AppendRelease | AppendLeave | DrainMinion | StopFinished
