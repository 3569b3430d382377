"""Choice of the minion and the time at which each waiting task starts."""
