"""Entry point of a relay's process, and its exit.

Imports take nearly all of the start time. A SIGHUP ends a process that has not installed a handler for it, so the
handler is installed before them: this module imports only the smallest modules of the standard library at its top.
"""

from __future__ import annotations

import gc
import os
import signal


def main() -> int:
    """Run the relay; returns the exit status."""
    early_sighups: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, frame: early_sighups.append(number))
    # The parent process may have blocked SIGHUP instead of ignoring it.
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    gc.disable()  # what modules create stays alive: collections would take a tenth of the import time
    from garnetrelay import daemon

    gc.enable()
    return daemon.run(early_sighups)


if __name__ == "__main__":
    status = main()
    import logging

    # The kernel closes whatever is still open: the exit need not wait for that.
    logging.shutdown()
    os._exit(status)
