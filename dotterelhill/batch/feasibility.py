"""Detection of jobs that no known worker could ever run."""

from __future__ import annotations

from collections.abc import Iterable

from dotterelhill.manifest import Job, Manifest, Resources

# Capacity and failure domain of a worker; many workers share the same kind.
WorkerKind = tuple[Resources, str]


def infeasibility_reason(job: Job, kinds: Iterable[WorkerKind], manifest: Manifest) -> str | None:
    """Return why no worker could ever run a task of the job, or None if one could.

    Workers in failure domains that are out count as usable, because a domain can be put back in.

    :param kinds: capacities of all known workers with their failure domains

    >>> from dotterelhill.manifest import Job, Limits, Manifest, Member
    >>> limits = Limits(requests_per_second=1, in_flight=1, cpu=99, memory_gb=99)
    >>> member = Member(limits=limits, teams={"t": Resources(cpu=99.0, memory_gb=99.0)})
    >>> manifest = Manifest(members={"m": member}, limits=limits, failure_domains={})
    >>> job = Job(member="m", team="t", cpu=64.0)
    >>> infeasibility_reason(job, [(Resources(cpu=32.0, memory_gb=125.0), "d")], manifest)
    'a task needs 64 processors; the largest allowed worker has 32'
    """
    reason = _quota_reason(job, manifest)
    if reason is not None:
        return reason
    allowed = set(job.constraints.failure_domains)
    allowed_sizes = [size for size, domain in kinds if not allowed or domain in allowed]
    if not allowed_sizes:
        return f"no worker in failure domains {sorted(allowed)}" if allowed else "no worker known"
    needed = job.resources
    if any(needed.is_within(size) for size in allowed_sizes):
        return None
    amounts = (
        ("processors", needed.cpu, max(size.cpu for size in allowed_sizes)),
        ("GB of memory", needed.memory_gb, max(size.memory_gb for size in allowed_sizes)),
        ("accelerators", needed.accelerators, max(size.accelerators for size in allowed_sizes)),
    )
    for name, amount, largest in amounts:
        if amount > largest + 1e-9:
            return f"a task needs {amount:g} {name}; the largest allowed worker has {largest:g}"
    return "no single allowed worker has the processors, memory and accelerators of a task"


def _quota_reason(job: Job, manifest: Manifest) -> str | None:
    member = manifest.members.get(job.member)
    if member is None:
        return f"unknown member {job.member!r}"
    if not job.resources.is_within(member.limits.resources):
        return f"a task needs more than the limits of member {job.member!r}"
    quota = member.teams.get(job.team)
    if quota is None or not job.resources.is_within(quota):
        return f"a task needs more than the quota of team {job.team!r}"
    return None
