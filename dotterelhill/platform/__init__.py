"""Adapter to the platform's names, formats and calls; contains no scheduling decisions."""
