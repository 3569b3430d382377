"""Jobs that clients submit and the decisions that run them on minions; no I/O."""
