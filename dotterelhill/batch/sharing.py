"""Usage summaries that processes exchange, since each measures only the workers that it holds."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from dotterelhill.batch.interference import Effect, Pair

# Limits a summary to about 1 KB; the other pairs follow in the next summaries.
PAIRS_PER_SUMMARY = 20


class PairSummary(msgspec.Struct, frozen=True, array_like=True):
    """Estimated effect of one (service, job) pair.

    :param mean: logarithm of the slow-down by one task at full load of the service
    :param variance: variance of ``mean``
    :param age_seconds: time from its last measurement to the creation of the summary
    """

    service: str
    job: str
    mean: float
    variance: float
    age_seconds: float


class UsageSummary(msgspec.Struct, frozen=True, array_like=True):
    """Loads of the services on held workers, and a part of the estimated effects.

    :param loads: load of each service, 0 to 1, by worker
    """

    loads: dict[str, dict[str, float]]
    pairs: list[PairSummary]


class SummaryEncoder:
    """Encodes summaries that together cover all pairs."""

    def __init__(self) -> None:
        self._next_pair = 0

    def encoded_summary(
        self, loads: Mapping[str, Mapping[str, float]], effects: Mapping[Pair, Effect], now: float
    ) -> bytes:
        """Return a summary with the next ``PAIRS_PER_SUMMARY`` pairs, starting over after the last.

        :param now: loop time in seconds
        """
        pairs = list(effects)
        chosen = pairs[self._next_pair : self._next_pair + PAIRS_PER_SUMMARY]
        self._next_pair += PAIRS_PER_SUMMARY
        if self._next_pair >= len(pairs):
            self._next_pair = 0
        rounded = {
            worker: {service: round(load, 2) for service, load in services.items()}
            for worker, services in loads.items()
        }
        return msgspec.msgpack.encode(
            UsageSummary(rounded, [_pair_summary(pair, effects[pair], now) for pair in chosen])
        )


def decoded_summary(data: bytes) -> UsageSummary | None:
    """Return a peer's summary, or None if it can't be decoded."""
    try:
        return msgspec.msgpack.decode(data, type=UsageSummary)
    except msgspec.DecodeError:
        return None


def effects_from_summary(summary: UsageSummary, now: float) -> dict[Pair, Effect]:
    """Return the estimates of a summary, with their times on this process's loop clock."""
    return {
        (pair.service, pair.job): Effect(pair.mean, pair.variance, now - pair.age_seconds)
        for pair in summary.pairs
    }


def _pair_summary(pair: Pair, effect: Effect, now: float) -> PairSummary:
    service, job = pair
    age = round(max(0.0, now - effect.updated_at), 1)
    return PairSummary(service, job, round(effect.mean, 4), round(effect.variance, 5), age)
