"""Adapter to the prepared platform: its names, formats and calls; nothing here decides."""
