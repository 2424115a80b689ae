"""One relay as a process: what it is told, its signals, its status at the end."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import os
import resource
import signal
import sys
from typing import TYPE_CHECKING

from garnetrelay.config.deployment import Config, ConfigError, load, reload
from garnetrelay.relay import Relay
from garnetrelay.store.store import StoreError

if TYPE_CHECKING:
    from garnetrelay.handover.receiver import ReceivedHandover
    from garnetrelay.store.preload import Preloaded

log = logging.getLogger("garnetrelay")


def reconfigure(relay: Relay) -> None:
    """Take over the configuration as it is now; one that can't be used changes nothing."""
    try:
        relay.reconfigure(reload(os.environ))
    except ConfigError as error:
        relay.counts.reloads_failed += 1
        log.error("the old configuration stays: %s", error)


def inherit(config: Config) -> tuple[Config, ReceivedHandover | None, Preloaded | None]:
    """What another process that serves from this folder hands to this one, where staff may upgrade a relay."""
    if config.operators is None:
        return config, None, None
    from garnetrelay.handover import receiver  # only where it may be

    ahead = receiver.preload_journal(config.state)
    handover = receiver.request_handover(config.state)
    if handover is None:
        return config, None, ahead
    moved = receiver.discovery_address(handover.state.discovery, config.discovery, reload(os.environ).discovery)
    return dataclasses.replace(config, discovery=moved), handover, ahead


async def serve(config: Config, early: list[int]) -> None:
    """Run until a signal has ended the relay. ``early`` holds the SIGHUPs that came before."""
    relay = Relay(*inherit(config))
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, relay.stop)
    loop.add_signal_handler(signal.SIGHUP, reconfigure, relay)
    try:
        host, port = await relay.start()
        if early:
            reconfigure(relay)
        log.info("%s serves on %s port %d", config.name, host, port)
        await relay.finished.wait()
    finally:
        relay.close()


def run(early: list[int]) -> int:
    """Serve until the end; the exit status. ``early``: the SIGHUPs that came before, and those that come until the loop
    minds them."""
    level = os.environ.get("RELAY_LOG_LEVEL", "INFO").upper()
    logging.basicConfig(
        level=level if level in logging.getLevelNamesMapping() else "INFO",
        format="%(asctime)s.%(msecs)03d %(levelname)s %(message)s",
        datefmt="%H:%M:%S",
    )
    try:
        config = load(os.environ)
        # A length in a client's command may ask for any amount of memory: refuse the absurd at once.
        most = config.memory_bytes + (512 << 20)
        resource.setrlimit(resource.RLIMIT_AS, (most, resource.getrlimit(resource.RLIMIT_AS)[1]))
        asyncio.run(serve(config, early))
    except ConfigError as error:
        print(f"garnetrelay: {error}", file=sys.stderr)
        return 2
    except (StoreError, OSError) as error:
        print(f"garnetrelay: cannot start: {error}", file=sys.stderr)
        return 1
    return 0
