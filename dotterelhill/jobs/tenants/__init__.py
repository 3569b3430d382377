"""Tenants in scheduling: what their runs use, their limits, their shares and their load."""
