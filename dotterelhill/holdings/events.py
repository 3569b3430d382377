"""Events and actions of the holdings decision code."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from dotterelhill.holdings.interface import Permit


@dataclass(frozen=True, slots=True)
class JoinSeen:
    """An accepted ``Join`` was folded."""

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
    """An accepted ``Hold`` was folded; its offset is the token."""

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

    :param previous_holder: holder before, when it had not released; else empty
    """

    resource: str
    holder: str
    token: int
    is_released: bool
    previous_holder: str = ""
    previous_token: int = 0


@dataclass(frozen=True, slots=True)
class LedgerLoaded:
    """A snapshot took the place of all state.

    :param replaced: incarnations that ended by the ``Join`` of a newer start of their VM
    """

    through: int
    joined: tuple[JoinSeen, ...]
    replaced: tuple[str, ...]
    holdings: tuple[LoadedHolding, ...]


@dataclass(frozen=True, slots=True)
class Folded:
    """Every record up to ``through`` is folded and its events were given."""

    through: int


@dataclass(frozen=True, slots=True)
class EvidenceSeen:
    """A read of ``control`` that was sent at loop time ``at`` succeeded.

    :param through: offset of the last record that the log had then
    """

    at: float
    through: int


@dataclass(frozen=True, slots=True)
class PeerHeard:
    """A heartbeat of an incarnation was heard.

    :param control_offset: offset up to which the sender had folded ``control``
    :param control_through: offset up to which its newest evidence reaches
    :param control_age: age of that evidence when the heartbeat was sent
    :param echo: own loop time of a heartbeat that the sender had heard before; 0 for none
    """

    sender: str
    control_offset: int
    control_through: int
    control_age: float
    echo: float
    is_promise: bool


@dataclass(frozen=True, slots=True)
class LiveSeen:
    """The live incarnations of the own domain, this one included, changed."""

    incarnations: frozenset[str]


@dataclass(frozen=True, slots=True)
class MinionShare:
    """A minion of the own domain.

    :param whole: all slots and connections of the minion
    """

    whole: Permit
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class ResourcesSeen:
    """The manifest's minions or the workers of the own domain changed."""

    minions: Mapping[str, MinionShare]
    workers: frozenset[str]
    autonomy_seconds: float


@dataclass(frozen=True, slots=True)
class MinionDrained:
    """A minion that was to be drained has no request in flight and no open connection."""

    minion: str


@dataclass(frozen=True, slots=True)
class Tick:
    """Some time has passed."""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The process is to stop."""


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
    """Append ``Hold`` for a resource, following its newest token."""

    resource: str


@dataclass(frozen=True, slots=True)
class AppendRelease:
    """Append ``Release``; the resource is not used any more."""

    resource: str
    token: int


@dataclass(frozen=True, slots=True)
class AppendLeave:
    """Append ``Leave`` for this process."""


@dataclass(frozen=True, slots=True)
class DrainMinion:
    """Close the idle connections to a minion and report when nothing is in flight."""

    minion: str


@dataclass(frozen=True, slots=True)
class StopFinished:
    """All holdings are released and ``Leave`` is in the log."""


HoldingsAction = AppendJoin | AppendHold | AppendRelease | AppendLeave | DrainMinion | StopFinished
