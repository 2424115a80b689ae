"""The first moments of a relay's process, and its exit.

Nearly all that a start takes is imports. SIGHUP ends a process that has not said what it does with it, so that is said
ahead of them: nothing but the standard library's smallest modules is imported up here.
"""

from __future__ import annotations

import gc
import os
import signal


def main() -> int:
    """The exit status."""
    early: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, frame: early.append(number))
    signal.pthread_sigmask(
        signal.SIG_UNBLOCK, {signal.SIGHUP}
    )  # whoever began us may hold it back, instead of ignoring it
    gc.disable()  # what modules make stays: to look for what may go takes a tenth of their imports
    from garnetrelay import daemon

    gc.enable()
    return daemon.run(early)


if __name__ == "__main__":
    status = main()
    import logging

    # What this process leaves to close, the kernel closes: its end must not wait for it.
    logging.shutdown()
    os._exit(status)
