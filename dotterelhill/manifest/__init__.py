"""Manifest: its document, validation, publication history and feed."""

from dotterelhill.manifest.document import (
    Constraints,
    DomainState,
    FailureDomain,
    Job,
    Limits,
    Manifest,
    Member,
    Minion,
    MinionState,
    Priority,
    Resources,
    Service,
)
from dotterelhill.manifest.feed import ConfigFeed, ConfigState
from dotterelhill.manifest.history import (
    AcceptedManifest,
    ManifestHistory,
    Publication,
    PublicationVerdict,
    Verdict,
    manifest_from_record,
)
from dotterelhill.manifest.interface import ManifestView
from dotterelhill.manifest.validation import Fault, ManifestError, manifest_from_document

__all__ = [
    "AcceptedManifest",
    "ConfigFeed",
    "ConfigState",
    "Constraints",
    "DomainState",
    "FailureDomain",
    "Fault",
    "Job",
    "Limits",
    "Manifest",
    "ManifestError",
    "ManifestHistory",
    "ManifestView",
    "Member",
    "Minion",
    "MinionState",
    "Priority",
    "Publication",
    "PublicationVerdict",
    "Resources",
    "Service",
    "Verdict",
    "manifest_from_document",
    "manifest_from_record",
]
