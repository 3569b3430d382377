"""Capacity and health of minions, which decide whether runs may start there."""
