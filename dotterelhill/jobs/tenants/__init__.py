"""Tenants: limits, shares and admission of the jobs that they own."""
