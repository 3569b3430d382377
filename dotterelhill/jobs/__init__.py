"""Model and scheduling decisions of client jobs that run on minions; performs no I/O."""
