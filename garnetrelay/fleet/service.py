"""Runs one relay's fleet membership: executes the effects that `members/` decides on. Imported only if `[fleet]` is
enabled."""

from __future__ import annotations

import asyncio
import functools
import logging
import random
import secrets
import time
from collections.abc import Coroutine, Iterable
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from garnetrelay.config.fleet import Fleet as FleetConfig
from garnetrelay.fleet import status
from garnetrelay.fleet.life_file import MAX_ADDRESSES, LifeFile
from garnetrelay.fleet.members import frames as fr
from garnetrelay.fleet.members.claims import MAX_INCARNATION, Claim, SocketAddress, Status
from garnetrelay.fleet.members.effects import Effect, LogLine, SendFrame, StartExchange, StoreLife
from garnetrelay.fleet.members.protocol import Membership
from garnetrelay.fleet.members.view import FleetView
from garnetrelay.fleet.transport import EXCHANGE_TIMEOUT_S, Stream, Transport

if TYPE_CHECKING:
    from garnetrelay.fleet.lease_service import LeaseService

log = logging.getLogger(__name__)

MAX_TASKS = 64
# Sequence numbers skipped after an upgrade: the previous process may have used some after it passed its state on.
SEQUENCE_GAP = 1 << 20


class HandoverState(msgspec.Struct):
    """What a process passes to its successor during an upgrade, so that the same member continues. The field names are
    part of the handover."""

    own: Claim
    sequence: int
    claims: list[Claim]


def _as_configured(own: Claim, address: SocketAddress, config: FleetConfig) -> Claim:
    """Returns the member's claim in the process that takes over. If the new options change the claim, it takes the
    next incarnation, so that it supersedes the previous claim on all members."""
    now = msgspec.structs.replace(
        own, host=address.host, port=address.port, max_version=config.settings.versions, zone=config.zone
    )
    if now == own or own.incarnation >= MAX_INCARNATION:
        return now
    return msgspec.structs.replace(now, incarnation=own.incarnation + 1)


class Fleet:
    """This relay as a member of the fleet."""

    def __init__(
        self, config: FleetConfig, name: str, state: Path, sync: bool, passed: dict[str, Any] | None = None
    ) -> None:
        self.config = config
        self.name = name
        self.file = LifeFile(state, sync)
        self.closed = False
        self.transport = Transport(fr.Codec(config.secrets()), self._on_frame)
        self.members: Membership | None = None
        self.leases: LeaseService | None = None  # None: leases are not enabled
        self._passed = None if passed is None else msgspec.convert(passed, HandoverState)
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> SocketAddress:
        """Binds the address, stores the life number and starts the protocol. Raises OSError if binding or storing
        fails."""
        bound = await self.transport.start(self.config.listen, self._answer)
        address = self.config.advertise or bound
        stored = self.file.read()
        seeds = list(self.config.seeds)
        if stored is not None:  # the seeds may all be down: these addresses were other members' in an earlier life
            seeds += [SocketAddress(*each) for each in stored.places if SocketAddress(*each) not in seeds]
        now = time.monotonic_ns()
        if self._passed is None:
            life = 1 if stored is None else stored.life + 1
            self.file.store(life, seeds)
            own = Claim(
                self.name,
                life,
                secrets.randbits(32),
                life,
                0,
                Status.ALIVE,
                address.host,
                address.port,
                self.config.settings.versions,
                zone=self.config.zone,
            )
            self.members = Membership(own, self.config.settings, random.Random(secrets.randbits(64)), now, seeds)
        else:
            passed = self._passed
            own = _as_configured(passed.own, address, self.config)
            self.members = Membership(
                own, self.config.settings, random.Random(secrets.randbits(64)), now, seeds, passed.sequence + SEQUENCE_GAP
            )
            self._carry_out(self.members.resume_from(now, passed.claims))
        log.info("fleet: %s hears at %s, life %d", self.name, bound, own.life)
        self._start_leases()
        self._tick()
        return bound

    def _start_leases(self) -> None:
        if self.config.leases is None:
            return
        from garnetrelay.fleet.lease_service import LeaseService
        from garnetrelay.fleet.leases import codec  # imported only if leases are enabled

        assert self.members is not None
        self.leases = LeaseService(
            self.config.leases, self.name, self.config.secrets(), self.members, self.transport.send_bytes
        )
        self.transport.protocols[codec.MAGIC] = self.leases.receive
        self.leases.start()

    def leave(self) -> None:
        """Announces to the other members that this relay leaves."""
        if self.members is not None and not self.closed:
            if self.leases is not None:
                self.leases.release_all()
            self._carry_out(self.members.leave(time.monotonic_ns()))

    def close(self) -> None:
        """Stops sending and receiving; the address is free immediately."""
        if self.leases is not None:
            self.leases.close()
        self.closed = True
        if self._timer is not None:
            self._timer.cancel()
        self.transport.close()
        for task in list(self._tasks):
            task.cancel()

    def handover_state(self) -> dict[str, Any] | None:
        """Returns this member's state for the process that takes over; None if the relay is not an active member now."""
        members = self.members
        if members is None or not members.local.active:
            return None
        handed_over = HandoverState(members.local.claim, members.outgoing.sequence, list(members.table.claims()))
        return msgspec.to_builtins(handed_over)  # type: ignore[no-any-return]

    def read_secrets(self) -> None:
        """Reloads the secrets from their file (SIGHUP); a file that cannot be used changes nothing."""
        try:
            secrets_now = self.config.secrets()
            self.transport.codec = fr.Codec(secrets_now)
            if self.leases is not None:
                self.leases.set_secrets(secrets_now)
        except ValueError as error:
            log.error("fleet: the old secrets stay: %s", error)
        else:
            log.info("fleet: %d secrets read", len(self.transport.codec.good))

    def fleet_view(self) -> FleetView:
        """Returns the members of the view, their zones and what the view may be used for. Other parts of the relay
        read this."""
        assert self.members is not None
        return self.members.fleet_view()

    # ---- operator commands

    def listing(self) -> str:
        """Returns the status of this relay and of all other members, one JSON object per line."""
        assert self.members is not None
        now = time.monotonic_ns()
        return _json_lines((status.state(self.members, now), *status.lines(self.members, now)))

    def explain(self, name: str) -> list[str] | None:
        """Explains the status of a member in sentences; None if the name is not known."""
        assert self.members is not None
        return status.explain(self.members, name, time.monotonic_ns())

    def owners(self, destination: int | None) -> str | None:
        """Returns what this relay owns, or one destination, one JSON object per line; None if leases are not enabled."""
        if self.leases is None:
            return None
        from garnetrelay.fleet import clock, lease_status

        if destination is None:
            return _json_lines(lease_status.owners(self.leases, clock.now()))
        return _json_lines([lease_status.destination(self.leases, destination, clock.now())])

    def controllers(self) -> str | None:
        """Returns each controller as this relay sees it, one JSON object per line; None if leases are not enabled."""
        if self.leases is None:
            return None
        from garnetrelay.fleet import clock, lease_status

        return _json_lines(lease_status.controllers(self.leases, clock.now()))

    def metrics(self) -> str:
        """Returns the fleet's part of the metrics, one per line, with those of leases if they are enabled."""
        assert self.members is not None
        transport = self.transport
        text = status.metrics(
            self.members,
            transport.refused,
            transport.frames_out,
            transport.bytes_in,
            transport.bytes_out,
            time.monotonic_ns(),
        )
        if self.leases is None:
            return text
        from garnetrelay.fleet import clock, lease_status

        return text + lease_status.metrics_text(self.leases, clock.now())

    # ---- events and effects

    def _on_frame(self, frame: fr.AnyFrame, source: SocketAddress) -> None:
        if self.members is not None and not self.closed:
            self._carry_out(self.members.receive(time.monotonic_ns(), frame, source))

    def _tick(self) -> None:
        if self.members is not None and not self.closed:
            self._carry_out(self.members.tick(time.monotonic_ns()))

    def _carry_out(self, effects: list[Effect]) -> None:
        assert self.members is not None
        for effect in effects:
            match effect:
                case SendFrame(address, frame, version):
                    self.transport.send(address, frame, version)
                case StartExchange(address):
                    self._spawn(self._exchange(address))
                case StoreLife(life):
                    self._spawn(self._store_life(life))
                case LogLine(text, level):
                    log.log(level, "fleet: %s", text)
        if self.leases is not None:
            self.leases.on_view_change()
        if self._timer is not None:
            self._timer.cancel()
        if not self.closed:
            self._timer = self._loop.call_at(self.members.next_at / 1e9, self._tick)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        if len(self._tasks) >= MAX_TASKS or self.closed:
            work.close()
            return
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _store_life(self, life: int) -> None:
        """Stores a life before it is used."""
        assert self.members is not None
        places = [member.claim.address for member in self.members.table.members.values()][:MAX_ADDRESSES]
        try:
            await self._loop.run_in_executor(None, functools.partial(self.file.store, life, places))
        except OSError as error:
            if not self.closed:
                self._carry_out(self.members.life_not_stored(time.monotonic_ns(), error.strerror or str(error)))
            return
        if not self.closed:
            self._carry_out(self.members.life_stored(time.monotonic_ns(), life))

    async def _exchange(self, address: SocketAddress) -> None:
        """Runs a full exchange that this relay starts: Hello, Whole, Whole."""
        assert self.members is not None
        stream: Stream | None = None
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                stream = await self.transport.connect(address)
                if stream is None:
                    return
                started_at = time.monotonic_ns()
                hello = self.members.hello(started_at)
                await stream.send(hello, 1)
                whole = await stream.receive()
                if not isinstance(whole, fr.Whole):
                    raise ValueError(f"{type(whole).__name__} frame instead of Whole")
                ours, effects = self.members.receive_whole(time.monotonic_ns(), whole, hello.number, started_at)
                self._carry_out(effects)
                await stream.send(ours, min(whole.sender.max_version, self.config.settings.versions))
        except (OSError, TimeoutError, EOFError, ValueError) as error:
            log.debug("fleet: no exchange with %s: %s", address, error or type(error).__name__)
        finally:
            if stream is not None:
                stream.close()
                self.transport.release()

    async def _answer(self, stream: Stream) -> None:
        """Answers a full exchange that another member starts."""
        hello = await stream.receive()
        if not isinstance(hello, fr.Hello) or self.members is None or self.closed:
            raise ValueError("the first frame of an exchange is not Hello")
        asked_at = time.monotonic_ns()
        whole = self.members.answer_hello(asked_at, hello)
        await stream.send(whole, min(hello.sender.max_version, self.config.settings.versions))
        theirs = await stream.receive()
        if not isinstance(theirs, fr.Whole) or self.closed:
            raise ValueError("the last frame of an exchange is not Whole")
        _, effects = self.members.receive_whole(time.monotonic_ns(), theirs, whole.ask, asked_at)
        self._carry_out(effects)


def _json_lines(structs: Iterable[msgspec.Struct]) -> str:
    return "".join(f"{msgspec.json.encode(each).decode()}\n" for each in structs)
