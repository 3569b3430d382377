"""Entry point of a scheduler process, ``python -m dotterelhill.platform``.

It starts the same process as ``dotterelhill scheduler`` and loads less: a process that is
restarted serves nothing while it loads, and on a tenth of a processor that takes seconds.
"""

from __future__ import annotations

import gc
import os
import sys

# An allocation of this many containers more than were freed begins a collection.
GC_THRESHOLD = 10_000
# aiohttp reads all certificates of authorities when it is imported. The platform speaks plain HTTP.
_NO_CERTIFICATES = {"SSL_CERT_FILE": os.devnull, "SSL_CERT_DIR": os.devnull}


def main() -> int:
    """Run one scheduler process and return its exit status."""
    # Modules are not garbage: without this, loading them collects several times, and each later
    # full collection visits them.
    gc.disable()
    os.environ.update(_NO_CERTIFICATES)
    from dotterelhill.commands.status import ExitStatus
    from dotterelhill.platform.process import run_scheduler
    from dotterelhill.platform.settings import SettingsError

    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    gc.enable()
    try:
        return run_scheduler("info")
    except SettingsError as error:
        print(f"dotterelhill: {error}", file=sys.stderr)
        return ExitStatus.WRONG_USE


if __name__ == "__main__":
    sys.exit(main())
