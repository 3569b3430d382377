"""Command line; each command imports only what it needs."""
