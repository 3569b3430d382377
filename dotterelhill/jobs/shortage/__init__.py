"""Shortage control: expected ends of jobs, their order in a shortage, and admission by queue."""
