"""A relay as a process: its configuration, its signals and its exit status."""

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
    from garnetrelay.handover.protocol import State
    from garnetrelay.handover.receiver import ReceivedHandover
    from garnetrelay.store.preload import Preloaded

log = logging.getLogger("garnetrelay")

LOOP_TURNS_PER_SIGNAL = 3  # from a signal's arrival until the loop has called its handler


def reconfigure(relay: Relay) -> None:
    """Handle SIGHUP: apply the current configuration; an invalid one changes nothing. Once the relay was handed over, the
    new process is told to do so."""
    successor = relay.successor()
    if successor is not None:
        os.environ.pop("RELAY_DISCOVERY", None)  # if that process dies, this one starts again, by the file
        successor.reload()
        return
    try:
        relay.reconfigure(reload(os.environ))
    except ConfigError as error:
        relay.counts.reloads_failed += 1
        log.error("the old configuration stays: %s", error)
    else:
        os.environ.pop("RELAY_DISCOVERY", None)  # as above: the file's address is newer


async def handle_late_sighups(relay: Relay) -> None:
    """Handle SIGHUP from the end of the loop to the end of the process, which it would end too. One that comes to a
    process that has handed over its relay still belongs to the new process."""
    loop = asyncio.get_running_loop()
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    for _ in range(LOOP_TURNS_PER_SIGNAL):
        await asyncio.sleep(0)
    loop.remove_signal_handler(signal.SIGHUP)
    signal.signal(signal.SIGHUP, lambda number, frame: reconfigure(relay))
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})


def request_handover(config: Config) -> tuple[Config, ReceivedHandover | None, Preloaded | None]:
    """Take over from another process that serves from this folder, if operators may upgrade the relay. Returns the
    configuration with the discovery address to use, the handover, and what was read of the journal before it."""
    if config.operators is None:
        return config, None, None
    from garnetrelay.handover import receiver  # only where operators may upgrade the relay

    preloaded = receiver.preload_journal(config.state)
    handover = receiver.request_handover(config.state)
    if handover is None:
        return config, None, preloaded
    discovery = receiver.discovery_address(handover.state.discovery, config.discovery, reload(os.environ).discovery)
    return dataclasses.replace(config, discovery=discovery), handover, preloaded


def restore_inherited(config: Config) -> tuple[Config, State | None]:
    """What this process knew before it started again because its successor died, with the address of discovery that its
    successor had moved to; None if it has not started again."""
    if config.operators is None:
        return config, None
    from garnetrelay.handover import receiver, state_record  # only where operators may upgrade the relay

    state = state_record.inherited_state(os.environ)
    if state is None:
        return config, None
    discovery = receiver.discovery_address(state.discovery, config.discovery, reload(os.environ).discovery)
    return dataclasses.replace(config, discovery=discovery), state


async def serve(config: Config, early_sighups: list[int]) -> None:
    """Run the relay until a signal ends it. ``early_sighups``: the SIGHUPs received before the loop handles them."""
    config, inherited = restore_inherited(config)
    relay = Relay(*request_handover(config), inherited)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, relay.stop)
    loop.add_signal_handler(signal.SIGHUP, reconfigure, relay)
    try:
        host, port = await relay.start()
        if early_sighups:
            reconfigure(relay)
        log.info("%s serves on %s port %d", config.name, host, port)
        await relay.finished.wait()
    finally:
        relay.close()
        await handle_late_sighups(relay)


def run(early_sighups: list[int]) -> int:
    """Serve until the end; returns the exit status. ``early_sighups`` is appended to until the loop handles SIGHUP."""
    level = os.environ.get("RELAY_LOG_LEVEL", "INFO").upper()
    logging.basicConfig(
        level=level if level in logging.getLevelNamesMapping() else "INFO",
        format="%(asctime)s.%(msecs)03d %(levelname)s %(message)s",
        datefmt="%H:%M:%S",
    )
    try:
        config = load(os.environ)
        # An absurd allocation fails at once, instead of using up the memory of the machine.
        max_address_space = config.memory_bytes + (512 << 20)
        resource.setrlimit(resource.RLIMIT_AS, (max_address_space, resource.getrlimit(resource.RLIMIT_AS)[1]))
        asyncio.run(serve(config, early_sighups))
    except ConfigError as error:
        print(f"garnetrelay: {error}", file=sys.stderr)
        return 2
    except (StoreError, OSError) as error:
        print(f"garnetrelay: cannot start: {error}", file=sys.stderr)
        return 1
    return 0
