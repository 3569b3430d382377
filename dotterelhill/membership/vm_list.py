"""VM list of the platform: data types, adapter interface and HTTP adapter."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated, Protocol

import aiohttp
from pydantic import BaseModel, ConfigDict, Field, ValidationError

POLL_SECONDS = 1.0
# A hanging request delays the next poll by no more than a few polling intervals.
REQUEST_TIMEOUT_SECONDS = 3.0

Address = Annotated[str, Field(pattern=r"^[^:/\s]+:[0-9]{1,5}$")]


class VmRole(StrEnum):
    """Role of the process that runs on a VM."""

    ENTRY = "entry"
    MINION = "minion"
    WORKER = "worker"


class VmState(StrEnum):
    """Lifecycle state of a VM; the platform removes a ``leaving`` VM soon."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Vm:
    """Entry of the VM list.

    :param address: ``host:port`` of a minion or worker, or peer address of an entry VM
    :param forward_address: ``host:port`` for forwarded requests; empty unless an entry VM
    :param admin_address: ``host:port`` of the admin interface; empty unless an entry VM
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
    """Raised when the VM list can't be read or is invalid."""


class VmList(Protocol):
    """Source of the list of live and leaving VMs, which lags behind the actual state."""

    async def read(self) -> tuple[Vm, ...] | None:
        """Return the listed VMs, or None when nothing changed since the last read.

        :raises VmListError: when the list can't be reached or decoded
        """
        ...


class EntryAddresses(BaseModel):
    """Addresses of an entry VM, each as ``host:port``."""

    model_config = ConfigDict(extra="ignore")

    peer: Address
    forward: Address
    admin: Address


class ListedVm(BaseModel):
    """Schema of one entry of the received list; unknown keys are ignored."""

    model_config = ConfigDict(extra="ignore")

    name: str = Field(min_length=1)
    role: VmRole
    failure_domain: str
    region: str
    state: VmState
    addresses: EntryAddresses | Address

    def to_vm(self) -> Vm:
        """Return the entry converted to a :class:`Vm`."""
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
    """Schema of the body of ``GET /vms``; each entry is validated separately."""

    vms: list[object]


class HttpVmList:
    """Reads the VM list over HTTP.

    Invalid entries are counted and skipped, so that they don't invalidate the rest of the list.

    :param url: base URL, for example ``http://10.0.0.9:8000``
    :param session: HTTP session, which the caller closes
    """

    def __init__(self, url: str, session: aiohttp.ClientSession) -> None:
        self._url = url.rstrip("/") + "/vms"
        self._session = session
        self._etag = ""
        self._invalid_entries = 0

    @property
    def invalid_entries(self) -> int:
        """Return the total number of entries skipped as invalid."""
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
                vms = self._decode(await answer.read())
                self._etag = answer.headers.get("ETag", "")
                return vms
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise VmListError(f"VM list can't be read: {error!r}") from error

    def _decode(self, body: bytes) -> tuple[Vm, ...]:
        try:
            listed = ListedVms.model_validate_json(body)
        except ValidationError as error:
            raise VmListError("VM list is not a JSON object with a list 'vms'") from error
        vms = []
        for entry in listed.vms:
            try:
                vms.append(ListedVm.model_validate(entry).to_vm())
            except ValidationError:
                self._invalid_entries += 1
        return tuple(vms)
