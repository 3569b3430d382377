from __future__ import annotations

import dotterelhill.jobs.tenants.tests.steps.tenant_steps  # noqa: F401
