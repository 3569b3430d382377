"""Performance measurements and the simpler baselines they compare with; not shipped."""
