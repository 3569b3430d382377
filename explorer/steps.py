"""Steps of a walk, and their random generation.

A step refers to its subject by a number that is taken modulo the number of candidates, so the
remaining steps of a walk stay valid when others are removed.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from explorer.log_model import LogMode
from explorer.network import ALL_KINDS, BATCH_KINDS, LOG_KINDS, PEER_KINDS, Effect
from explorer.operators import CHANGES


@dataclass(frozen=True, slots=True)
class Advance:
    """Advance the simulated time; messages and timers that are due take effect."""

    seconds: float


@dataclass(frozen=True, slots=True)
class Disturb:
    """Drop, delay or duplicate the next messages of a kind.

    :param seconds: delay of a late message, or of the second copy, in seconds
    :param messages: number of messages affected
    """

    kind: str
    effect: Effect
    seconds: float
    messages: int = 1


@dataclass(frozen=True, slots=True)
class Crash:
    """Crash a process."""

    process: int


@dataclass(frozen=True, slots=True)
class Start:
    """Start a new incarnation on an entry VM, which replaces the previous one."""

    entry: int


@dataclass(frozen=True, slots=True)
class Leave:
    """Begin the planned stop of a process."""

    process: int


@dataclass(frozen=True, slots=True)
class Pause:
    """Pause a process."""

    process: int


@dataclass(frozen=True, slots=True)
class Resume:
    """Resume the paused processes.

    :param order: seed of the order in which a process runs the events that came due meanwhile
    """

    order: int


@dataclass(frozen=True, slots=True)
class Cut:
    """Cut a process off from the log, its peers or its workers.

    :param side: one of ``SIDES``
    """

    process: int
    side: str


@dataclass(frozen=True, slots=True)
class IsolateWorker:
    """Cut a worker off from all processes."""

    worker: int


@dataclass(frozen=True, slots=True)
class RestartWorker:
    """Restart a worker, which deletes its runs and tokens."""

    worker: int


@dataclass(frozen=True, slots=True)
class IsolateDomain:
    """Cut a failure domain off from the log and from the other domains."""

    domain: int


@dataclass(frozen=True, slots=True)
class Heal:
    """Restore all connections."""


@dataclass(frozen=True, slots=True)
class Repair:
    """Restore connections and log, resume processes, and replace those that have ended."""


@dataclass(frozen=True, slots=True)
class SetLog:
    """Set the failure mode of the log."""

    mode: LogMode


@dataclass(frozen=True, slots=True)
class Publish:
    """Publish a change of the manifest in force.

    :param change: key of ``operators.CHANGES``
    :param number: selects the subject of the change
    :param is_racing: whether a second publication with the same base version follows at once
    """

    change: str
    number: int
    is_racing: bool


@dataclass(frozen=True, slots=True)
class Request:
    """Send requests to a minion through a process.

    :param count: number of requests; fewer are sent if the process has no free slots
    """

    process: int
    minion: int
    count: int


@dataclass(frozen=True, slots=True)
class EndRequest:
    """End the oldest request in progress at a minion."""

    minion: int


@dataclass(frozen=True, slots=True)
class KeyedRequest:
    """Send a request with an idempotency key to a process."""

    process: int
    key: int


Step = (
    Advance
    | Disturb
    | Crash
    | Start
    | Leave
    | Pause
    | Resume
    | Cut
    | IsolateWorker
    | RestartWorker
    | IsolateDomain
    | Heal
    | Repair
    | SetLog
    | Publish
    | Request
    | EndRequest
    | KeyedRequest
)

SIDES = ("log", "peers", "workers")
# Each group of keys is used for this many steps, so requests with the same key are close together.
STEPS_PER_KEY_GROUP = 40
KEYS_PER_GROUP = 3

_STEP_WEIGHTS = {
    "advance": 40,
    "disturb": 18,
    "crash": 2,
    "start": 3,
    "leave": 1,
    "pause": 3,
    "resume": 4,
    "cut": 4,
    "isolate worker": 3,
    "restart worker": 1,
    "isolate domain": 1,
    "heal": 3,
    "repair": 4,
    "set log": 3,
    "publish": 10,
    "request": 5,
    "end request": 3,
    "keyed request": 6,
}
# Without these kinds, time and the manifest would not change, or failures would never end.
_ALWAYS_INCLUDED = ("advance", "repair", "publish")
# Factors of a step kind's weight. A walk without some kinds of steps reaches states that a mix of
# all kinds never reaches.
_WEIGHT_FACTORS = (0, 0, 1, 3)
_MESSAGE_KIND_COUNTS = (3, 5)
# Fraction of the walks that consist of bursts. Where two rules each prevent the same violation, a
# fault in one of them shows only if several failures coincide with one change.
BURST_WALK_FRACTION = 0.25
_MESSAGE_COUNTS = ((1,), (1, 2, 4, 8))
# Repeated entries are more likely; without new jobs a walk soon has no tasks left to start.
_WEIGHTED_CHANGES = [*CHANGES, "declare", "declare", "declare", "out", "back", "back", "keep"]
_ADVANCE_SECONDS = (
    (0.05, 0.2, 0.5, 1.0, 2.0),
    (0.2, 0.5, 1.0, 2.0, 5.0, 11.0),
    (0.5, 2.0, 5.0, 11.0, 25.0),
)
# Short delays lie around the 3 s limit of the evidence for a start, long ones around the 20 s of a
# lease.
_SHORT_DELAY_SECONDS = (0.1, 0.5, 1.0, 2.0, 2.5, 4.5)
_LONG_DELAY_SECONDS = (4.5, 8.0, 12.0, 15.0, 18.0, 25.0)
_DELAY_SECONDS = (
    _SHORT_DELAY_SECONDS,
    _LONG_DELAY_SECONDS,
    _SHORT_DELAY_SECONDS + _LONG_DELAY_SECONDS,
)
_EXTRA_CHANGE_COUNTS = (0, 4)


@dataclass(frozen=True, slots=True)
class Profile:
    """Choices from which the steps of one walk are drawn.

    :param step_weights: weight of each kind of step
    :param message_kinds: kinds of messages that are disturbed
    :param changes: keys of ``operators.CHANGES``; a repeated key is more likely
    :param advance_seconds: durations of one advance in seconds
    :param delay_seconds: delays of messages in seconds
    :param message_counts: numbers of messages that one step disturbs
    """

    step_weights: dict[str, int]
    message_kinds: tuple[str, ...]
    changes: tuple[str, ...]
    advance_seconds: tuple[float, ...]
    delay_seconds: tuple[float, ...]
    message_counts: tuple[int, ...]


def random_profile(random: Random) -> Profile:
    """Return a profile with a random selection of the kinds of steps, messages and changes."""
    weights = {
        kind: weight if kind in _ALWAYS_INCLUDED else weight * random.choice(_WEIGHT_FACTORS)
        for kind, weight in _STEP_WEIGHTS.items()
    }
    candidate_kinds = random.choice((BATCH_KINDS, LOG_KINDS, PEER_KINDS, ALL_KINDS, ALL_KINDS))
    message_kinds = random.sample(
        candidate_kinds, min(len(candidate_kinds), random.choice(_MESSAGE_KIND_COUNTS))
    )
    excluded_changes = random.sample(list(CHANGES), 3)
    changes = [
        change
        for change in _WEIGHTED_CHANGES
        if change not in excluded_changes or change == "declare"
    ]
    changes += [random.choice(list(CHANGES))] * random.choice(_EXTRA_CHANGE_COUNTS)
    advance_seconds, delay_seconds = random.choice(_ADVANCE_SECONDS), random.choice(_DELAY_SECONDS)
    message_counts = random.choice(_MESSAGE_COUNTS)
    return Profile(
        weights,
        tuple(message_kinds),
        tuple(changes),
        advance_seconds,
        delay_seconds,
        message_counts,
    )


def random_steps(random: Random, count: int) -> list[Step]:
    """Return ``count`` random steps for a walk."""
    if random.random() < BURST_WALK_FRACTION:
        return _burst_walk_steps(random, count)
    profile = random_profile(random)
    kinds = random.choices(list(profile.step_weights), list(profile.step_weights.values()), k=count)
    return [_random_step(kind, position, profile, random) for position, kind in enumerate(kinds)]


def _burst_walk_steps(random: Random, count: int) -> list[Step]:
    """Return bursts: operator changes during late messages and a failure, then a repair."""
    steps: list[Step] = []
    while len(steps) < count:
        steps += _burst_steps(random)
    return steps[:count]


def _burst_steps(random: Random) -> list[Step]:
    delay, number = random.choice(_SHORT_DELAY_SECONDS + _LONG_DELAY_SECONDS), random.randrange(60)
    effect = random.choice((Effect.LATE, Effect.DOUBLE))
    failure = random.choice(
        (
            IsolateWorker(number),
            IsolateDomain(number),
            Pause(number),
            Crash(number),
            Cut(number, random.choice(SIDES)),
            Disturb("stop", Effect.DROP, 0.0, 8),
        )
    )
    return [
        Disturb(random.choice(BATCH_KINDS), effect, delay, random.choice(_MESSAGE_COUNTS[1])),
        Publish("declare", random.randrange(60), False),
        Advance(random.choice((0.5, 1.0, 1.5, 2.0, 3.0))),
        Publish(
            random.choice(("out", "cancel", "remove", "declare")),
            random.randrange(60),
            False,
        ),
        failure,
        Advance(random.choice((2.0, 5.0, 11.0, 25.0))),
        Publish(random.choice(("back", "cancel", "declare")), random.randrange(60), False),
        Repair(),
        Publish("back", 0, False),
        Advance(random.choice((2.0, 11.0, 25.0))),
    ]


def _random_step(kind: str, position: int, profile: Profile, random: Random) -> Step:
    number = random.randrange(60)
    match kind:
        case "disturb":
            effect = random.choice(list(Effect))
            kind, delay = random.choice(profile.message_kinds), random.choice(profile.delay_seconds)
            return Disturb(kind, effect, delay, random.choice(profile.message_counts))
        case "publish":
            return Publish(random.choice(profile.changes), number, random.random() < 0.2)
        case "set log":
            modes = [LogMode.OK] * 3 + [
                LogMode.DOWN,
                LogMode.SILENT,
                LogMode.LOSE_ANSWERS,
            ]
            return SetLog(random.choice(modes))
        case "cut":
            return Cut(number, random.choice(SIDES))
        case "request":
            return Request(number, random.randrange(60), random.randrange(1, 9))
        case "keyed request":
            first = position // STEPS_PER_KEY_GROUP * KEYS_PER_GROUP
            return KeyedRequest(number, first + random.randrange(KEYS_PER_GROUP))
        case "advance":
            return Advance(random.choice(profile.advance_seconds))
        case _:
            return _numbered_step(kind, number)


def _numbered_step(kind: str, number: int) -> Step:
    match kind:
        case "crash":
            return Crash(number)
        case "start":
            return Start(number)
        case "leave":
            return Leave(number)
        case "pause":
            return Pause(number)
        case "resume":
            return Resume(number)
        case "isolate worker":
            return IsolateWorker(number)
        case "restart worker":
            return RestartWorker(number)
        case "isolate domain":
            return IsolateDomain(number)
        case "end request":
            return EndRequest(number)
        case "repair":
            return Repair()
        case _:
            return Heal()
