"""Entry point of ``python -m dotterelhill``."""

from __future__ import annotations

from dotterelhill.commands.main import main

if __name__ == "__main__":
    main()
