"""Commands for contributors; not shipped."""
