"""The platform's list of VMs: entries, adapter interface and HTTP adapter."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated, Protocol

import aiohttp
from pydantic import BaseModel, ConfigDict, Field, ValidationError

POLL_SECONDS = 1.0
# A poll that hangs must not hide the state of the list for longer than a few polls.
REQUEST_TIMEOUT_SECONDS = 3.0

Address = Annotated[str, Field(pattern=r"^[^:/\s]+:[0-9]{1,5}$")]


class VmRole(StrEnum):
    """What runs on a VM."""

    ENTRY = "entry"
    MINION = "minion"
    WORKER = "worker"


class VmState(StrEnum):
    """Whether the platform is about to take a VM away."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Vm:
    """One listed VM.

    :param address: ``host:port`` of a minion or worker, peer address of an entry VM
    :param forward_address: of an entry VM only, else empty
    :param admin_address: of an entry VM only, else empty
    """

    name: str
    role: VmRole
    failure_domain: str
    region: str
    state: VmState
    address: str
    forward_address: str = ""
    admin_address: str = ""


class VmListError(Exception):
    """The VM list could not be read or is invalid."""


class VmList(Protocol):
    """The lagging list of live and leaving VMs."""

    async def read(self) -> tuple[Vm, ...] | None:
        """Return the listed VMs, or None when nothing changed since the last read.

        :raises VmListError: when the list can't be reached or decoded
        """
        ...


class EntryAddresses(BaseModel):
    """Addresses of an entry VM."""

    model_config = ConfigDict(extra="ignore")

    peer: Address
    forward: Address
    admin: Address


class ListedVm(BaseModel):
    """One entry of the list as it is received; unknown keys are ignored."""

    model_config = ConfigDict(extra="ignore")

    name: str = Field(min_length=1)
    role: VmRole
    failure_domain: str
    region: str
    state: VmState
    addresses: EntryAddresses | Address

    def vm(self) -> Vm:
        """Return the entry as the other modules use it."""
        if isinstance(self.addresses, EntryAddresses):
            peer, forward = self.addresses.peer, self.addresses.forward
            admin = self.addresses.admin
        else:
            peer, forward, admin = self.addresses, "", ""
        return Vm(
            self.name,
            self.role,
            self.failure_domain,
            self.region,
            self.state,
            peer,
            forward,
            admin,
        )


class ListedVms(BaseModel):
    """Body of ``GET /vms``; entries are validated one by one."""

    vms: list[object]


class HttpVmList:
    """HTTP adapter of the VM list.

    An invalid entry is counted and left out, so that one bad entry doesn't hide the others.

    :param url: base URL, for example ``http://10.0.0.9:8000``
    :param session: session of the process; the caller closes it
    """

    def __init__(self, url: str, session: aiohttp.ClientSession) -> None:
        self._url = url.rstrip("/") + "/vms"
        self._session = session
        self._etag = ""
        self._invalid_entries = 0

    @property
    def invalid_entries(self) -> int:
        """Return how many entries were left out so far."""
        return self._invalid_entries

    async def read(self) -> tuple[Vm, ...] | None:
        """Return the listed VMs, or None when nothing changed since the last read.

        :raises VmListError: when the list can't be reached or decoded
        """
        headers = {"If-None-Match": self._etag} if self._etag else {}
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
        try:
            async with self._session.get(self._url, headers=headers, timeout=timeout) as answer:
                if answer.status == 304:
                    return None
                if answer.status != 200:
                    raise VmListError(f"VM list answered with status {answer.status}")
                vms = self._decoded(await answer.read())
                self._etag = answer.headers.get("ETag", "")
                return vms
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise VmListError(f"VM list can't be read: {error!r}") from error

    def _decoded(self, body: bytes) -> tuple[Vm, ...]:
        try:
            listed = ListedVms.model_validate_json(body)
        except ValidationError as error:
            raise VmListError("VM list is not a JSON object with a list 'vms'") from error
        vms = []
        for entry in listed.vms:
            try:
                vms.append(ListedVm.model_validate(entry).vm())
            except ValidationError:
                self._invalid_entries += 1
        return tuple(vms)
