"""Records of all machines, and the decision which of them are on probation."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from dotterelhill.jobs.changes import Decision
from dotterelhill.jobs.fleet import Minion
from dotterelhill.jobs.minions.replacement import RollingReplacement
from dotterelhill.jobs.minions.standing import DECAY_SECONDS, Fault, Level, MinionStanding

# When more than this share of a service looks bad, the cause is elsewhere, until the share is half
# as large: otherwise probations would begin and end with each run.
MAX_PROBATION_SHARE = 0.25
# Records of machines that are gone are kept for this time.
RETENTION_SECONDS = 3.0 * DECAY_SECONDS


@dataclass(slots=True, eq=False)
class _Seen:
    """State of a machine in the newest round that listed it.

    :param is_present: whether its minion was listed and answered
    """

    standing: MinionStanding
    minion: Minion
    seen_at: float
    is_present: bool
    is_draining: bool


@dataclass(slots=True)
class _ServiceState:
    """Minions of one service in this round.

    :param failed: decayed number of failed runs
    :param ended: decayed number of ended runs
    """

    size: int = 0
    failed: float = 0.0
    ended: float = 0.0
    members: list[tuple[Minion, MinionStanding]] = field(default_factory=list)

    def share_beside(self, standing: MinionStanding, now: float) -> float:
        """Return the share of the ended runs that failed on the other machines."""
        failed, ended = standing.failed_and_ended(now)
        ended_elsewhere = self.ended - ended
        return max(0.0, self.failed - failed) / ended_elsewhere if ended_elsewhere > 0.5 else 0.0


class Standings:
    """Records of machines by address, kept up to date by the changes between two rounds.

    :param replacement: is told about minions that leave and come
    """

    def __init__(self, replacement: RollingReplacement) -> None:
        self._replacement = replacement
        self._seen: dict[str, _Seen] = {}
        self._on_probation: dict[Minion, MinionStanding] = {}
        self._blamed_elsewhere: set[str] = set()
        self._decisions: deque[Decision] = deque()
        self._is_first_round = True

    @property
    def on_probation(self) -> Mapping[Minion, MinionStanding]:
        """Return the records of the minions on probation."""
        return self._on_probation

    def of(self, minion: Minion) -> MinionStanding | None:
        """Return the record of a minion's machine; None before its first round."""
        seen = self._seen.get(minion.facts.address)
        return seen.standing if seen is not None and seen.minion is minion else None

    def update(self, minions: Iterable[Minion], now: float) -> list[Decision]:
        """Update the records and levels, and return the decisions for the log."""
        services: dict[str, _ServiceState] = {}
        for minion in minions:
            standing = self._observe(minion, now)
            if standing is None or not minion.is_listed or minion.facts.is_draining:
                continue
            state = services.setdefault(minion.facts.service, _ServiceState())
            failed, ended = standing.failed_and_ended(now)
            state.size += 1
            state.failed += failed
            state.ended += ended
            state.members.append((minion, standing))
        self._is_first_round = False
        for service, state in services.items():
            self._decide(service, state, now)
        for address, seen in list(self._seen.items()):
            if now - seen.seen_at > RETENTION_SECONDS:
                del self._seen[address]
        self._on_probation = {
            seen.minion: seen.standing
            for seen in self._seen.values()
            if seen.standing.is_on_probation
        }
        decisions = list(self._decisions)
        self._decisions.clear()
        return decisions

    def _observe(self, minion: Minion, now: float) -> MinionStanding | None:
        """Compare a minion with the previous round and return the record of its machine."""
        facts = minion.facts
        seen = self._seen.get(facts.address)
        is_present = minion.is_listed and minion.is_answering
        if seen is None or seen.minion is not minion:
            if not minion.is_listed:
                return None
            seen = self._begin_incarnation(minion, seen, now)
        elif not seen.is_draining and (facts.is_draining or seen.is_present > is_present):
            if not facts.is_draining:
                seen.standing.record_departure(now)
            if facts.is_draining or not minion.is_listed:
                self._replacement.record_left(minion, now)
        seen.seen_at, seen.is_present = now, is_present
        seen.is_draining = facts.is_draining
        return seen.standing

    def _begin_incarnation(self, minion: Minion, seen: _Seen | None, now: float) -> _Seen:
        """Record a new minion at an address, and that an earlier one is gone without notice."""
        facts = minion.facts
        if not self._is_first_round:
            if seen is not None and seen.is_present and not seen.is_draining:
                seen.standing.record_departure(now)
                self._replacement.record_left(seen.minion, now)
            self._replacement.record_came(minion, now)
        if seen is not None and seen.standing.capacity == facts.capacity:
            standing = seen.standing
        else:
            standing = MinionStanding(facts.address, facts.capacity)
        minion.speed = standing.speed
        began = self._seen[facts.address] = _Seen(standing, minion, now, True, facts.is_draining)
        return began

    def _decide(self, service: str, state: _ServiceState, now: float) -> None:
        """Begin and end probations of the minions of one service."""
        bad: list[tuple[Minion, MinionStanding, Fault]] = []
        for minion, standing in state.members:
            standing.speed.expire(now)
            if standing.has_passed(now):
                self._log("minion back to normal", minion, standing, now)
                standing.forgive()
            fault = standing.probation_fault or standing.fault(
                state.share_beside(standing, now), now
            )
            if fault is not None:
                bad.append((minion, standing, fault))
        was_elsewhere = service in self._blamed_elsewhere
        max_share = MAX_PROBATION_SHARE / 2.0 if was_elsewhere else MAX_PROBATION_SHARE
        is_elsewhere = len(bad) > int(max_share * state.size)
        if is_elsewhere != was_elsewhere:
            # A service of fewer than four minions, of which one looks bad, is logged as well.
            self._blamed_elsewhere ^= {service}
            message = "probations ended: too many minions look bad"
            if not is_elsewhere:
                message = "probations possible again"
            fields = {"service": service, "bad": len(bad), "minions": state.size}
            self._decisions.append(Decision(message, "", fields))
        for minion, standing, fault in bad:
            if is_elsewhere:
                standing.end_probation()
            elif standing.level(now) is Level.NORMAL:
                standing.begin_probation(fault, now)
                self._log("minion on probation", minion, standing, now)

    def _log(self, message: str, minion: Minion, standing: MinionStanding, now: float) -> None:
        """Record a change of level for the log."""
        fields: dict[str, object] = {
            "minion": minion.minion_id,
            "address": standing.address,
            "service": minion.facts.service,
            "domain": minion.facts.failure_domain,
            "fault": str(standing.probation_fault),
            "ratio": round(standing.speed.ratio, 2),
            "failed_share": round(standing.failed_share(now), 2),
            "departures": round(standing.departures(now), 1),
        }
        self._decisions.append(Decision(message, "", fields))
