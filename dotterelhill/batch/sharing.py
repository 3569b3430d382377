"""What processes tell each other about usage, since each sees only the workers that it holds."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from dotterelhill.batch.interference import Effect, Pair

# Pairs in one summary, so that it stays near 1 KB; the others follow in the next ones.
PAIRS_IN_SUMMARY = 20


class PairSummary(msgspec.Struct, frozen=True, array_like=True):
    """Estimate for one pair.

    :param age_seconds: time since its last measurement when the summary was made
    """

    service: str
    job: str
    mean: float
    variance: float
    age_seconds: float


class UsageSummary(msgspec.Struct, frozen=True, array_like=True):
    """Loads of services on held workers, and estimates of pairs.

    :param loads: load of each service by worker
    """

    loads: dict[str, dict[str, float]]
    pairs: list[PairSummary]


class Sharing:
    """Makes and reads summaries."""

    def __init__(self) -> None:
        self._next_pair = 0

    def encoded_summary(
        self, loads: Mapping[str, Mapping[str, float]], effects: Mapping[Pair, Effect], now: float
    ) -> bytes:
        """Return a summary with a part of the pairs, a different part at each call."""
        pairs = list(effects)
        chosen = pairs[self._next_pair : self._next_pair + PAIRS_IN_SUMMARY]
        self._next_pair += PAIRS_IN_SUMMARY
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
    """Return a peer's summary, or None when it can't be read."""
    try:
        return msgspec.msgpack.decode(data, type=UsageSummary)
    except msgspec.DecodeError:
        return None


def effects_of(summary: UsageSummary, now: float) -> dict[Pair, Effect]:
    """Return the estimates of a summary on this process's clock."""
    return {
        (pair.service, pair.job): Effect(pair.mean, pair.variance, now - pair.age_seconds)
        for pair in summary.pairs
    }


def _pair_summary(pair: Pair, effect: Effect, now: float) -> PairSummary:
    service, job = pair
    age = round(max(0.0, now - effect.updated_at), 1)
    return PairSummary(service, job, round(effect.mean, 4), round(effect.variance, 5), age)
