"""Measurements and their simpler baselines; not shipped."""
