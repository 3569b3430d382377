"""Age of the configuration that a process holds, from its own reads and the leader's messages."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from dotterelhill.entry.logs import logger_of
from dotterelhill.jobs.tenants.access import Freshness

# A version that the leader names is usually read by every process within this time. After it, the
# process reads the stream anew over another connection, since its own may be dead.
REFRESH_AFTER_SECONDS = 0.4
# A process that was suspended waits up to this time for its first read of the stream.
SETTLE_SECONDS = 0.8
SETTLE_STEP_SECONDS = 0.02
# The leader names a version twice a second, so these cover half a minute of newer versions.
MAX_PENDING_VERSIONS = 64

_log = logger_of("currency")


@dataclass(frozen=True, slots=True)
class PendingVersion:
    """Newest version of the configuration that this process knows of and has not read.

    :param behind_since: time since which this process has known of a newer version than its own
    :param holder: ``host:port`` of a process that has read it; empty if none is known
    """

    version: int
    behind_since: float
    holder: str = ""


class ConfigurationCurrency:
    """Tracks which configuration versions other processes know, and since when.

    :param clock: returns seconds; keeps counting while the process is suspended
    :param own_age: returns the seconds since this process was last at the end of the stream
    :param own_version: returns the version that this process holds
    :param refresh: reads the stream anew over another connection
    :param is_store_away: returns whether the store counts as unavailable
    :param is_receiving: returns whether an answer of the stream is arriving
    """

    def __init__(
        self,
        clock: Callable[[], float],
        own_age: Callable[[], float],
        own_version: Callable[[], int],
        refresh: Callable[[], None],
        is_store_away: Callable[[], bool],
        is_receiving: Callable[[], bool],
    ) -> None:
        self._is_receiving = is_receiving
        self._is_store_away = is_store_away
        self._clock = clock
        self._own_age = own_age
        self._own_version = own_version
        self._refresh = refresh
        self._confirmed_version = 0
        self._confirmed_at = float("-inf")
        # Versions that the leader has named before this process read them, with the time.
        self._pending: list[tuple[int, float]] = []
        self._refreshed_version = 0
        self._holder = ""
        # Set while a newer version may be known.
        self.is_behind = asyncio.Event()

    @property
    def pending(self) -> PendingVersion | None:
        """Return the newest version that this process has not read; None if it knows of none."""
        self._drop_read_versions()
        if not self._pending:
            return None
        return PendingVersion(self._pending[-1][0], self._pending[0][1], self._holder)

    @property
    def age_seconds(self) -> float:
        """Return the time since the configuration held was last known to be the newest one."""
        age = self._own_age()
        if self._confirmed_version == self._own_version():
            age = min(age, self._clock() - self._confirmed_at)
        return age

    @property
    def freshness(self) -> Freshness:
        """Return how recent the configuration is that this process holds."""
        self._drop_read_versions()
        if not self._pending:
            return Freshness(self.age_seconds, 0.0, self._own_version())
        behind_seconds = self._clock() - self._pending[0][1]
        return Freshness(self.age_seconds, behind_seconds, self._pending[-1][0])

    def record(self, version: int, age_seconds: float, holder: str = "") -> None:
        """Process what the leader tells about its configuration.

        :param version: version that the leader holds; 0 if it tells none
        :param age_seconds: time since the leader was last known to hold the newest version
        :param holder: ``host:port`` of a process near this one that has read it; empty for none
        """
        now = self._clock()
        if not version or version < self._confirmed_version:
            return
        confirmed_at = now - age_seconds
        if version > self._confirmed_version or confirmed_at > self._confirmed_at:
            self._confirmed_version, self._confirmed_at = version, confirmed_at
        self.record_version(version, holder)

    def record_version(self, version: int, holder: str = "") -> None:
        """Process that another process has read a version.

        :param holder: ``host:port`` of a process that can hand it on; empty if none is known
        """
        now = self._clock()
        self._drop_read_versions()
        newest = self._pending[-1][0] if self._pending else self._own_version()
        if version > newest and len(self._pending) < MAX_PENDING_VERSIONS:
            self._pending.append((version, now))
            self._holder = ""
            self.is_behind.set()
        if not self._pending or version < self._pending[-1][0]:
            return
        self._holder = holder or self._holder

    @property
    def is_receiving(self) -> bool:
        """Return whether an answer of the stream is arriving."""
        return self._is_receiving()

    def refresh_if_due(self) -> None:
        """Read the stream anew if a version has been known for ``REFRESH_AFTER_SECONDS``.

        A read that is under way may be that of a large configuration, which a repeated abort would
        keep from ever arriving, so this is done once for a version, and not while parts arrive.
        """
        pending = self.pending
        if pending is None or self._clock() - pending.behind_since < REFRESH_AFTER_SECONDS:
            return
        if self._is_receiving():
            return
        if self._refreshed_version < self._pending[0][0]:
            self._refreshed_version = self._pending[0][0]
            fields = {"version": pending.version, "held": self._own_version()}
            _log.notice("newer configuration is known but not read", extra=fields)
            self._refresh()

    async def settle(self, current_seconds: float) -> None:
        """Wait until the configuration is current, unless the store is known to be away.

        A process that was suspended would otherwise answer with what it held before.

        :param current_seconds: age up to which a configuration counts as current
        """
        until = self._clock() + SETTLE_SECONDS
        while self.age_seconds > current_seconds and not self._is_store_away():
            if self._clock() >= until:
                return
            await asyncio.sleep(SETTLE_STEP_SECONDS)

    def _drop_read_versions(self) -> None:
        own_version = self._own_version()
        while self._pending and self._pending[0][0] <= own_version:
            del self._pending[0]
        if not self._pending:
            self.is_behind.clear()
