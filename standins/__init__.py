"""Fake servers for the adapters, used by tests and the demo; not shipped."""
