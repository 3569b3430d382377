"""Processes between clients, the store and minions."""
