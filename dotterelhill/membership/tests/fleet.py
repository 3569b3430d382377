"""Test fleet of membership services on an in-memory network in virtual time."""

from __future__ import annotations

import asyncio

from dotterelhill.log.interface import LogRecord
from dotterelhill.membership.heartbeats import Heartbeat, decode_message, encode_message
from dotterelhill.membership.service import Membership, MembershipHooks, MembershipSettings
from dotterelhill.membership.view import OwnState
from dotterelhill.membership.vm_list import Vm, VmListError, VmRole, VmState


def listed_vm(name, domain):
    return Vm(name, VmRole.ENTRY, domain, "east", VmState.LIVE, f"{name}:1", f"{name}:2")


class Node:
    def __init__(self, name, domain, fleet):
        self.name, self.domain, self.fleet = name, domain, fleet
        self.manifest, self.control, self.is_cut_off = (0, b""), 0, False
        hooks = MembershipHooks(
            own_state=lambda: OwnState(
                is_ready=True,
                manifest_version=self.manifest[0],
                control_offset=self.control,
                control_age=99.0 if self.is_cut_off else 0.5,
            ),
            manifest_record=lambda: self.manifest,
            control_records=self.control_records,
            on_manifest=self.on_manifest_relayed,
            on_records=self.on_records_relayed,
        )
        settings = MembershipSettings(f"{name}/0", name, domain, "east", f"{name}:1", f"{name}:2")
        self.service = Membership(settings, self, fleet, hooks)

    def send(self, address, message):
        return self.fleet.deliver(self, address, encode_message(message))

    def control_records(self, start, limit):
        last = min(self.control, start + limit - 1)
        return [LogRecord(offset, b"r") for offset in range(start, last + 1)]

    def on_manifest_relayed(self, version, record):
        self.manifest = max(self.manifest, (version, record))

    def on_records_relayed(self, start, through, records):
        self.fleet.batch_sizes.append(len(records))
        self.control = max(self.control, through)


class Fleet:
    def __init__(self):
        self.nodes, self.vms, self.is_list_down = {}, [], False
        self.cut_links = set()
        self.silent, self.sent, self.batch_sizes = set(), [], []

    def add(self, name, domain):
        self.nodes[name] = Node(name, domain, self)
        self.vms.append(listed_vm(name, domain))

    async def read(self):
        if self.is_list_down:
            raise VmListError("down")
        return tuple(self.vms)

    def deliver(self, sender, address, data):
        receiver = self.nodes.get(address.partition(":")[0])
        self.sent.append((sender.name, address))
        if receiver is None or {sender.name, receiver.name} & self.silent:
            return True
        if frozenset({sender.name, receiver.name}) in self.cut_links:
            return True
        asyncio.get_running_loop().call_later(0.01, receiver.service.receive, decode_message(data))
        return True

    def cross_domain_sends(self):
        domains = {name: node.domain for name, node in self.nodes.items()}
        pairs = [(name, address.partition(":")[0]) for name, address in self.sent]
        return sum(domains.get(a) != domains.get(b, domains.get(a)) for a, b in pairs)


def heartbeat(name, domain="kbh-nord", **fields):
    values = dict(
        sender=f"{name}/0",
        entry=name,
        failure_domain=domain,
        region="east",
        peer_address=f"{name}:1",
        forward_address=f"{name}:2",
        is_ready=True,
        manifest_version=0,
        control_offset=0,
        control_through=0,
        config_age=0.0,
        control_age=0.0,
        stamp=1.0,
    )
    return Heartbeat(**{**values, **fields})
