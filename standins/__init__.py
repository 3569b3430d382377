"""Fake servers for each adapter, for tests and the demo; not shipped."""
