"""Reservations of future capacity for large tasks, and backfilling of smaller ones before them."""
