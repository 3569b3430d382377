"""Steps of a walk.

A step names its subject by a number that is taken modulo what there is, so a walk still has a
meaning when steps are left out.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from explorer.log_model import LogMode
from explorer.network import ALL_KINDS, BATCH_KINDS, LOG_KINDS, PEER_KINDS, Effect
from explorer.operators import CHANGES


@dataclass(frozen=True, slots=True)
class Advance:
    """Let time pass; messages that are due arrive."""

    seconds: float


@dataclass(frozen=True, slots=True)
class Disturb:
    """Drop, delay or double the next messages of a kind."""

    kind: str
    effect: Effect
    seconds: float
    messages: int = 1


@dataclass(frozen=True, slots=True)
class Crash:
    """End a process without notice."""

    process: int


@dataclass(frozen=True, slots=True)
class Start:
    """Start a new incarnation on an entry VM, in place of the one that runs there."""

    entry: int


@dataclass(frozen=True, slots=True)
class Leave:
    """Stop a process as planned."""

    process: int


@dataclass(frozen=True, slots=True)
class Pause:
    """Pause a process."""

    process: int


@dataclass(frozen=True, slots=True)
class Resume:
    """Resume the paused processes."""

    order: int


@dataclass(frozen=True, slots=True)
class Cut:
    """Cut a process off from the log, its peers or its workers."""

    process: int
    side: str


@dataclass(frozen=True, slots=True)
class IsolateWorker:
    """Cut a worker off from all processes."""

    worker: int


@dataclass(frozen=True, slots=True)
class RestartWorker:
    """Restart a worker, which loses its runs and tokens."""

    worker: int


@dataclass(frozen=True, slots=True)
class IsolateDomain:
    """Cut a failure domain off from the log and the other domains."""

    domain: int


@dataclass(frozen=True, slots=True)
class Heal:
    """End every cut."""


@dataclass(frozen=True, slots=True)
class Repair:
    """End every cut and pause, make the log work and start an incarnation on each dead VM."""


@dataclass(frozen=True, slots=True)
class SetLog:
    """Change how the log behaves."""

    mode: LogMode


@dataclass(frozen=True, slots=True)
class Publish:
    """Publish a change made from the manifest in force; ``is_racing`` adds another one."""

    change: str
    number: int
    is_racing: bool


@dataclass(frozen=True, slots=True)
class Request:
    """Send requests to a minion through a process."""

    process: int
    minion: int
    count: int


@dataclass(frozen=True, slots=True)
class EndRequest:
    """End the oldest request at a minion."""

    minion: int


@dataclass(frozen=True, slots=True)
class KeyedRequest:
    """Send a request with a key to a process."""

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
# A key is asked for several times within this many steps, and then no more.
STEPS_OF_A_KEY = 40
KEYS_AT_A_TIME = 3

_WEIGHTS = {
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
# Without these nothing would happen, or nothing would work again.
_ESSENTIAL = ("advance", "repair", "publish")
# Walks that leave out some kinds of steps reach states that a mix of all kinds never does.
_FACTORS = (0, 0, 1, 3)
_KINDS_OF_A_WALK = (3, 5)
# Part of the walks that consist of bursts: rules that guard each other's failures only show when
# several things happen around one change.
BURSTS_PART = 0.25
_MESSAGES = ((1,), (1, 2, 4, 8))
# Without new jobs a walk would soon have nothing to start.
_CHANGES = [*CHANGES, "declare", "declare", "declare", "out", "back", "back", "keep"]
_ADVANCES = (
    (0.05, 0.2, 0.5, 1.0, 2.0),
    (0.2, 0.5, 1.0, 2.0, 5.0, 11.0),
    (0.5, 2.0, 5.0, 11.0, 25.0),
)
# Around the 3 s of a start's evidence, and around the 20 s of a lease.
_SHORT_DELAYS = (0.1, 0.5, 1.0, 2.0, 2.5, 4.5)
_LONG_DELAYS = (4.5, 8.0, 12.0, 15.0, 18.0, 25.0)
_DELAYS = (_SHORT_DELAYS, _LONG_DELAYS, _SHORT_DELAYS + _LONG_DELAYS)
_REPEATS_OF_A_CHANGE = (0, 4)


@dataclass(frozen=True, slots=True)
class Profile:
    """What the steps of one walk are drawn from.

    :param kinds: kinds of messages that are disturbed
    :param advances: seconds that pass in one step
    :param delays: seconds by which messages are late
    :param messages: how many messages one step disturbs
    """

    weights: dict[str, int]
    kinds: tuple[str, ...]
    changes: tuple[str, ...]
    advances: tuple[float, ...]
    delays: tuple[float, ...]
    messages: tuple[int, ...]


def random_profile(random: Random) -> Profile:
    """Return a profile with a part of all kinds of steps, messages and changes."""
    weights = {
        kind: weight if kind in _ESSENTIAL else weight * random.choice(_FACTORS)
        for kind, weight in _WEIGHTS.items()
    }
    group = random.choice((BATCH_KINDS, LOG_KINDS, PEER_KINDS, ALL_KINDS, ALL_KINDS))
    kinds = random.sample(group, min(len(group), random.choice(_KINDS_OF_A_WALK)))
    left_out = random.sample(list(CHANGES), 3)
    changes = [change for change in _CHANGES if change not in left_out or change == "declare"]
    changes += [random.choice(list(CHANGES))] * random.choice(_REPEATS_OF_A_CHANGE)
    advances, delays = random.choice(_ADVANCES), random.choice(_DELAYS)
    messages = random.choice(_MESSAGES)
    return Profile(weights, tuple(kinds), tuple(changes), advances, delays, messages)


def random_steps(random: Random, count: int) -> list[Step]:
    """Return the steps of a walk."""
    if random.random() < BURSTS_PART:
        return _bursts(random, count)
    profile = random_profile(random)
    kinds = random.choices(list(profile.weights), list(profile.weights.values()), k=count)
    return [_random_step(kind, place, profile, random) for place, kind in enumerate(kinds)]


def _bursts(random: Random, count: int) -> list[Step]:
    """Return changes by operators amid late messages and a cut, each followed by a repair."""
    steps: list[Step] = []
    while len(steps) < count:
        steps += _burst(random)
    return steps[:count]


def _burst(random: Random) -> list[Step]:
    seconds, number = random.choice(_SHORT_DELAYS + _LONG_DELAYS), random.randrange(60)
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
        Disturb(random.choice(BATCH_KINDS), effect, seconds, random.choice(_MESSAGES[1])),
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


def _random_step(kind: str, place: int, profile: Profile, random: Random) -> Step:
    number = random.randrange(60)
    match kind:
        case "disturb":
            effect = random.choice(list(Effect))
            kind, seconds = random.choice(profile.kinds), random.choice(profile.delays)
            return Disturb(kind, effect, seconds, random.choice(profile.messages))
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
            first = place // STEPS_OF_A_KEY * KEYS_AT_A_TIME
            return KeyedRequest(number, first + random.randrange(KEYS_AT_A_TIME))
        case "advance":
            return Advance(random.choice(profile.advances))
        case _:
            return _plain_step(kind, number)


def _plain_step(kind: str, number: int) -> Step:
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
