"""Keys with which tenants call the entry processes."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from hashlib import sha256


def _digest(key: str) -> bytes:
    # Header values that are no UTF-8 arrive with surrogates in place of the undecodable bytes.
    return sha256(key.encode("utf-8", "surrogatepass")).digest()


@dataclass(frozen=True, slots=True)
class ApiKeys:
    """Keys of all tenants, held as SHA-256 digests only.

    The digests are no part of the text form either, so that no dump or log line holds them.
    """

    _tenants_by_digest: Mapping[bytes, str] = field(default_factory=dict, repr=False)

    @classmethod
    def from_tenants(cls, keys_by_tenant: Iterable[tuple[str, Iterable[str]]]) -> ApiKeys:
        """Return the keys of tenants, given by tenant name; the first owner of a key keeps it.

        >>> keys = ApiKeys.from_tenants([("a", ["k1", "k2"]), ("b", ["k2"])])
        >>> keys.tenant_of("k2"), keys.tenant_of("k3"), repr(keys)
        ('a', None, 'ApiKeys()')
        """
        tenants_by_digest: dict[bytes, str] = {}
        for tenant, keys in keys_by_tenant:
            for key in keys:
                if key:
                    tenants_by_digest.setdefault(_digest(key), tenant)
        return cls(tenants_by_digest)

    def tenant_of(self, key: str) -> str | None:
        """Return the tenant that owns a key; None for an unknown key.

        The digest is computed and looked up in the same way for known and unknown keys, so that
        the time tells nothing about how much of a guessed key is right.
        """
        return self._tenants_by_digest.get(_digest(key))
