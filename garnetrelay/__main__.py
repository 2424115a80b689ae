"""Start, signals and exit of one relay."""

from __future__ import annotations

import asyncio
import logging
import os
import resource
import signal
import sys

from garnetrelay.config import Config, ConfigError, load
from garnetrelay.relay import Relay

log = logging.getLogger("garnetrelay")


async def serve(config: Config) -> None:
    """Run until a signal has ended the relay."""
    relay = Relay(config)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, relay.stop)
    try:
        host, port = await relay.start()
        log.info("%s serves on %s port %d", config.name, host, port)
        await relay.finished.wait()
    finally:
        relay.close()


def main() -> int:
    """The exit status."""
    level = os.environ.get("RELAY_LOG_LEVEL", "INFO").upper()
    logging.basicConfig(
        level=level if level in logging.getLevelNamesMapping() else "INFO",
        format="%(asctime)s.%(msecs)03d %(levelname)s %(message)s", datefmt="%H:%M:%S")
    try:
        config = load(os.environ)
        # A length in a client's command may ask for any amount of memory: refuse the absurd at once.
        most = config.memory_bytes + (512 << 20)
        resource.setrlimit(resource.RLIMIT_AS, (most, resource.getrlimit(resource.RLIMIT_AS)[1]))
        asyncio.run(serve(config))
    except ConfigError as error:
        print(f"garnetrelay: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"garnetrelay: cannot start: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    # What this process leaves to close, the kernel closes: its end must not wait for it.
    status = main()
    logging.shutdown()
    os._exit(status)
