"""Sample fleet with its manifest: by default, three failure domains in two regions."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import aiohttp
import zmq

from tools.fleet import Fleet, FleetError
from tools.relay import Relay

REGIONS = {"caxias": "serra", "gramado": "serra", "pelotas": "litoral"}
SERVICE = "bancada"
READY_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class FleetSize:
    """Numbers of processes in every failure domain, and their capacity.

    :param slots: slots of each minion
    :param connections: connection limit of each minion
    :param worker_cpu: processors of each worker
    """

    entries: int = 2
    minions: int = 2
    workers: int = 2
    slots: int = 8
    connections: int = 64
    worker_cpu: int = 8


def _process_names(domain: str, kind: str, count: int) -> list[str]:
    return [f"{domain}-{kind}{index}" for index in range(1, count + 1)]


class SampleFleet:
    """Processes of the sample fleet, their relays, VM list entries and manifest.

    Each entry process reaches the log and the VM list through its own two relays.

    :param regions: region of each failure domain; None for the default domains
    :param service_milliseconds: time that a minion takes for each request
    :param trace_directory: directory for the traces of entry processes; None disables traces
    """

    def __init__(
        self,
        fleet: Fleet,
        size: FleetSize | None = None,
        *,
        regions: Mapping[str, str] | None = None,
        service_milliseconds: float = 5.0,
        trace_directory: Path | None = None,
    ) -> None:
        self._fleet = fleet
        self._size = size or FleetSize()
        self._regions = dict(regions or REGIONS)
        self._service_milliseconds = service_milliseconds
        self._trace_directory = trace_directory
        self._relays: dict[tuple[str, str], Relay] = {}
        public, secret = zmq.curve_keypair()
        self._keys = {
            "DOTTERELHILL_PEER_PUBLIC_KEY": public.decode(),
            "DOTTERELHILL_PEER_SECRET_KEY": secret.decode(),
            "DOTTERELHILL_DEPLOYMENT_KEY": secrets.token_hex(32),
        }

    @property
    def fleet(self) -> Fleet:
        """Return the fleet that runs the processes."""
        return self._fleet

    @property
    def log_url(self) -> str:
        """Return the URL of the log service."""
        return f"http://{self._fleet['log'].address}"

    @property
    def vm_list_url(self) -> str:
        """Return the URL of the VM list."""
        return f"http://{self._fleet['vms'].address}"

    @property
    def domains(self) -> tuple[str, ...]:
        """Return the names of the failure domains."""
        return tuple(self._regions)

    def names(self, kind: str) -> list[str]:
        """Return the names of all ``entry``, ``minion`` or ``worker`` processes."""
        counts = {
            "entry": self._size.entries,
            "minion": self._size.minions,
            "worker": self._size.workers,
        }
        return [
            name for domain in self._regions for name in _process_names(domain, kind, counts[kind])
        ]

    def domain_of(self, name: str) -> str:
        """Return the failure domain of the process ``name``."""
        return name.rpartition("-")[0]

    def addresses(self, kind: str, purpose: str = "main") -> dict[str, str]:
        """Return ``host:port`` of every running process of a kind, by process name.

        :param purpose: address to return for entry processes, such as ``caller`` or ``admin``
        """
        return {
            name: self._fleet[name].addresses[purpose]
            for name in self.names(kind)
            if name in self._fleet.names and self._fleet[name].is_running
        }

    def relay(self, name: str, target: str) -> Relay:
        """Return the relay from the entry process ``name`` to the target ``log`` or ``vms``."""
        return self._relays[name, target]

    async def aclose(self) -> None:
        """Close the relays."""
        for relay in self._relays.values():
            await relay.__aexit__()

    async def start(self) -> None:
        """Start the stand-ins, add them to the VM list, and start the entry processes."""
        await asyncio.gather(
            self._fleet.start("log", "standins.log", "--port", "0"),
            self._fleet.start("vms", "standins.vm_list", "--port", "0"),
            *(self._start_minion(name) for name in self.names("minion")),
            *(self._start_worker(name) for name in self.names("worker")),
        )
        for kind in ("minion", "worker"):
            for name in self.names(kind):
                await self.register_vm(name, kind, {"main": self._fleet[name].address})
        await asyncio.gather(*(self.start_entry(name) for name in self.names("entry")))

    async def start_entry(self, name: str) -> None:
        """Start an entry process and add it to the VM list."""
        domain = self.domain_of(name)
        environment = {
            **self._keys,
            "DOTTERELHILL_ENTRY_NAME": name,
            "DOTTERELHILL_FAILURE_DOMAIN": domain,
            "DOTTERELHILL_REGION": self._regions[domain],
            "DOTTERELHILL_LISTEN_HOST": "127.0.0.1",
            "DOTTERELHILL_CALLER_PORT": "0",
            "DOTTERELHILL_FORWARD_PORT": "0",
            "DOTTERELHILL_PEER_PORT": "0",
            "DOTTERELHILL_ADMIN_PORT": "0",
            "DOTTERELHILL_LOG_URL": await self._url_through_relay(name, "log"),
            "DOTTERELHILL_VM_LIST_URL": await self._url_through_relay(name, "vms"),
            "DOTTERELHILL_BALANCER_DELAY_SECONDS": "0.2",
        }
        if self._trace_directory is not None:
            environment["DOTTERELHILL_TRACE_FILE"] = str(self._trace_directory / name)
        started = await self._fleet.start(name, "dotterelhill", "entry", environment=environment)
        await self.register_vm(name, "entry", dict(started.addresses))

    async def register_vm(
        self, name: str, role: str, addresses: Mapping[str, str], state: str = "live"
    ) -> None:
        """Set the entry of one VM in the VM list.

        :raises FleetError: if the VM list refuses the entry
        """
        domain = self.domain_of(name)
        body = {
            "role": role,
            "failure_domain": domain,
            "region": self._regions[domain],
            "state": state,
            "addresses": addresses.get("main") or dict(addresses),
        }
        async with (
            aiohttp.ClientSession() as session,
            session.put(f"{self.vm_list_url}/vms/{name}", json=body) as answer,
        ):
            if answer.status >= 300:
                raise FleetError(
                    f"the VM list refused the entry of {name} with status {answer.status}"
                )

    async def wait_until_ready(self, names: Sequence[str] | None = None) -> None:
        """Wait until the named entry processes, or all of them, report that they are ready.

        :raises FleetError: if some are not ready after 60 s, with the reasons that they report
        """
        addresses = self.addresses("entry", "admin")
        unready = list(names if names is not None else addresses)
        reasons: dict[str, str] = {}
        deadline = asyncio.get_running_loop().time() + READY_SECONDS
        async with aiohttp.ClientSession() as session:
            while unready:
                if asyncio.get_running_loop().time() > deadline:
                    raise FleetError(
                        f"entry processes not ready after {READY_SECONDS:g} s: {reasons}"
                    )
                name = unready[0]
                async with session.get(f"http://{addresses[name]}/readyz") as answer:
                    reasons[name] = await answer.text()
                    if answer.status == 200:
                        unready.pop(0)
                        continue
                await asyncio.sleep(0.1)

    def manifest(
        self,
        jobs: Mapping[str, Any] | None = None,
        out: Sequence[str] = (),
        leaving: Sequence[str] = (),
    ) -> dict[str, Any]:
        """Return the manifest of this fleet as a document.

        :param jobs: batch jobs by name
        :param out: failure domains in state ``out``
        :param leaving: minions in state ``leaving``
        """
        minions = {
            name: {
                "address": self._fleet[name].address,
                "failure_domain": self.domain_of(name),
                "slots": self._size.slots,
                "connections": self._size.connections,
                "state": "leaving" if name in leaving else "in",
            }
            for name in self.names("minion")
        }
        workers = len(self.names("worker"))
        limits = {
            "requests_per_second": 10_000,
            "in_flight": 2_000,
            "cpu": self._size.worker_cpu * workers,
            "memory_gb": 125 * workers,
        }
        quota = {"cpu": limits["cpu"], "memory_gb": limits["memory_gb"]}
        return {
            "members": {"bonsai": {"limits": limits, "teams": {"registers": quota}}},
            "limits": limits,
            "failure_domains": {
                domain: {"region": region, "state": "out" if domain in out else "in"}
                for domain, region in self._regions.items()
            },
            "services": {
                SERVICE: {"member": "bonsai", "path_prefix": "/bancada", "minions": minions}
            },
            "jobs": dict(jobs or {}),
        }

    async def _url_through_relay(self, name: str, target: str) -> str:
        if (name, target) not in self._relays:
            relay = Relay(self._fleet[target].address)
            self._relays[name, target] = await relay.__aenter__()
        return f"http://{self._relays[name, target].address}"

    async def _start_minion(self, name: str) -> None:
        await self._fleet.start(
            name,
            "standins.minion",
            "--port=0",
            f"--slots={self._size.slots}",
            f"--connections={self._size.connections}",
            f"--work-seconds={self._service_milliseconds / 1000.0}",
            "--queueing",
        )

    async def _start_worker(self, name: str) -> None:
        domain = self.domain_of(name)
        await self._fleet.start(
            name,
            "standins.worker",
            "--port=0",
            f"--name={name}",
            f"--rack={domain}-rack1",
            f"--failure-domain={domain}",
            f"--cpu={self._size.worker_cpu}",
            "--memory-gb=125",
        )
