"""Membership: failure detection and messaging between entry processes."""

from dotterelhill.membership.interface import Peer, PeerView
from dotterelhill.membership.service import Membership, MembershipHooks, MembershipSettings
from dotterelhill.membership.transport import CurveKeys, PeerTransport, ZmqTransport
from dotterelhill.membership.view import OwnState
from dotterelhill.membership.vm_list import HttpVmList, Vm, VmList, VmListError, VmRole, VmState

__all__ = [
    "CurveKeys",
    "HttpVmList",
    "Membership",
    "MembershipHooks",
    "MembershipSettings",
    "OwnState",
    "Peer",
    "PeerTransport",
    "PeerView",
    "Vm",
    "VmList",
    "VmListError",
    "VmRole",
    "VmState",
    "ZmqTransport",
]
