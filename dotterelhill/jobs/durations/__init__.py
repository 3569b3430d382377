"""Durations of runs: what was learned from runs that ended, and which runs take too long."""
