"""Placement and execution of batch tasks."""
