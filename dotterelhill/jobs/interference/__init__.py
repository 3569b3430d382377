"""Interference between fillers and the serving tasks on the same minion."""
