"""Development tools: checks, build, demo and documentation tables; not shipped."""
