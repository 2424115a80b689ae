"""One relay in its fleet: carries out what `members/` decides. Imported only where `[fleet]` is switched on."""

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
    from garnetrelay.fleet.lease_service import Leases

log = logging.getLogger(__name__)

MAX_TASKS = 64
SEQUENCE_GAP = 1 << 20  # numbers that an upgraded process leaves out: its forerunner may have used some more


class HandoverState(msgspec.Struct):
    """What one process of a relay hands to the next: the same member goes on."""

    own: Claim
    sequence: int
    claims: list[Claim]


def _as_configured(own: Claim, place: SocketAddress, config: FleetConfig) -> Claim:
    """A member's claim in the process that goes on as it. What the new options change takes the next incarnation, so that
    it holds everywhere over the claim of before."""
    now = msgspec.structs.replace(
        own, host=place.host, port=place.port, speaks=config.settings.versions, zone=config.zone
    )
    if now == own or own.incarnation >= MAX_INCARNATION:
        return now
    return msgspec.structs.replace(now, incarnation=own.incarnation + 1)


class Fleet:
    """A member."""

    def __init__(
        self, config: FleetConfig, name: str, state: Path, sync: bool, passed: dict[str, Any] | None = None
    ) -> None:
        self.config = config
        self.name = name
        self.file = LifeFile(state, sync)
        self.closed = False
        self.transport = Transport(fr.Codec(config.secrets()), self._on_frame)
        self.members: Membership | None = None
        self.leases: Leases | None = None  # None: not switched on
        self._passed = None if passed is None else msgspec.convert(passed, HandoverState)
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> SocketAddress:
        """Take the address, keep the life number, and begin. OSError where either can't be."""
        found = await self.transport.start(self.config.listen, self._answer)
        place = self.config.advertise or found
        kept = self.file.read()
        seeds = list(self.config.seeds)
        if kept is not None:  # the seeds may all be down: others were there in an earlier life
            seeds += [SocketAddress(*each) for each in kept.places if SocketAddress(*each) not in seeds]
        now = time.monotonic_ns()
        if self._passed is None:
            life = 1 if kept is None else kept.life + 1
            self.file.store(life, seeds)
            own = Claim(
                self.name,
                life,
                secrets.randbits(32),
                life,
                0,
                Status.ALIVE,
                place.host,
                place.port,
                self.config.settings.versions,
                zone=self.config.zone,
            )
            self.members = Membership(own, self.config.settings, random.Random(secrets.randbits(64)), now, seeds)
        else:
            passed = self._passed
            own = _as_configured(passed.own, place, self.config)
            self.members = Membership(
                own, self.config.settings, random.Random(secrets.randbits(64)), now, seeds, passed.sequence + SEQUENCE_GAP
            )
            self._carry_out(self.members.resume_from(now, passed.claims))
        log.info("fleet: %s hears at %s, life %d", self.name, found, own.life)
        self._start_leases()
        self._tick()
        return found

    def _start_leases(self) -> None:
        if self.config.leases is None:
            return
        from garnetrelay.fleet.lease_service import Leases
        from garnetrelay.fleet.leases import codec  # only where they are switched on

        assert self.members is not None
        self.leases = Leases(
            self.config.leases, self.name, self.config.secrets(), self.members, self.transport.send_bytes
        )
        self.transport.protocols[codec.MAGIC] = self.leases.hear
        self.leases.start()

    def leave(self) -> None:
        """Tell the others that this life ends."""
        if self.members is not None and not self.closed:
            if self.leases is not None:
                self.leases.leave()
            self._carry_out(self.members.leave(time.monotonic_ns()))

    def close(self) -> None:
        """Say and hear nothing any more; the address is free at once."""
        if self.leases is not None:
            self.leases.close()
        self.closed = True
        if self._timer is not None:
            self._timer.cancel()
        self.transport.close()
        for task in list(self._tasks):
            task.cancel()

    def passing(self) -> dict[str, Any] | None:
        """This member, for the process that goes on as it; None where it has no part in the fleet now."""
        members = self.members
        if members is None or not members.local.active:
            return None
        found = HandoverState(members.local.claim, members.outgoing.sequence, list(members.table.claims()))
        return msgspec.to_builtins(found)  # type: ignore[no-any-return]

    def read_secrets(self) -> None:
        """SIGHUP: the secrets as their file has them now; one that can't be used changes nothing."""
        try:
            found = self.config.secrets()
            self.transport.codec = fr.Codec(found)
            if self.leases is not None:
                self.leases.read_secrets(found)
        except ValueError as error:
            log.error("fleet: the old secrets stay: %s", error)
        else:
            log.info("fleet: %d secrets read", len(self.transport.codec.good))

    def fleet_view(self) -> FleetView:
        """Who is there, in which zone, and what may be relied on: the read for other parts of the relay."""
        assert self.members is not None
        return self.members.fleet_view()

    # ---- staff

    def listing(self) -> str:
        """This relay and all others, a JSON object a line."""
        assert self.members is not None
        now = time.monotonic_ns()
        return _json_lines((status.state(self.members, now), *status.lines(self.members, now)))

    def explain(self, name: str) -> list[str] | None:
        """Why a member is held for what it is."""
        assert self.members is not None
        return status.explain(self.members, name, time.monotonic_ns())

    def owners(self, destination: int | None) -> str | None:
        """What this relay owns, a JSON object a line, or one destination; None where leases are not switched on."""
        if self.leases is None:
            return None
        from garnetrelay.fleet import clock, lease_status

        if destination is None:
            return _json_lines(lease_status.owners(self.leases, clock.now()))
        return _json_lines([lease_status.destination(self.leases, destination, clock.now())])

    def controllers(self) -> str | None:
        """Each controller as this relay sees it, a JSON object a line; None where leases are not switched on."""
        if self.leases is None:
            return None
        from garnetrelay.fleet import clock, lease_status

        return _json_lines(lease_status.controllers(self.leases, clock.now()))

    def metrics(self) -> str:
        """The fleet's part of the figures, a line each; with that of leases where they are on."""
        assert self.members is not None
        transport = self.transport
        found = status.metrics(
            self.members,
            transport.refused,
            transport.frames_out,
            transport.bytes_in,
            transport.bytes_out,
            time.monotonic_ns(),
        )
        if self.leases is None:
            return found
        from garnetrelay.fleet import clock, lease_status

        return found + lease_status.figures(self.leases, clock.now())

    # ---- what happens

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
                case SendFrame(place, frame, version):
                    self.transport.send(place, frame, version)
                case StartExchange(place):
                    self._spawn(self._exchange(place))
                case StoreLife(life):
                    self._spawn(self._store_life(life))
                case LogLine(text, level):
                    log.log(level, "fleet: %s", text)
        if self.leases is not None:
            self.leases.look()
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
        """On record first, then used."""
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

    async def _exchange(self, place: SocketAddress) -> None:
        """Hello, Whole, Whole: this side begins."""
        assert self.members is not None
        stream: Stream | None = None
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                stream = await self.transport.connect(place)
                if stream is None:
                    return
                began = time.monotonic_ns()
                hello = self.members.hello(began)
                await stream.send(hello, 1)
                whole = await stream.receive()
                if not isinstance(whole, fr.Whole):
                    raise ValueError(f"{type(whole).__name__} in place of all that it holds")
                ours, effects = self.members.receive_whole(time.monotonic_ns(), whole, hello.number, began)
                self._carry_out(effects)
                await stream.send(ours, min(whole.sender.speaks, self.config.settings.versions))
        except (OSError, TimeoutError, EOFError, ValueError) as error:
            log.debug("fleet: no exchange with %s: %s", place, error or type(error).__name__)
        finally:
            if stream is not None:
                stream.close()
                self.transport.release()

    async def _answer(self, stream: Stream) -> None:
        """The other side begins."""
        hello = await stream.receive()
        if not isinstance(hello, fr.Hello) or self.members is None or self.closed:
            raise ValueError("not a hello")
        asked_at = time.monotonic_ns()
        whole = self.members.answer_hello(asked_at, hello)
        await stream.send(whole, min(hello.sender.speaks, self.config.settings.versions))
        theirs = await stream.receive()
        if not isinstance(theirs, fr.Whole) or self.closed:
            raise ValueError("not all that it holds")
        _, effects = self.members.receive_whole(time.monotonic_ns(), theirs, whole.ask, asked_at)
        self._carry_out(effects)


def _json_lines(found: Iterable[msgspec.Struct]) -> str:
    return "".join(f"{msgspec.json.encode(each).decode()}\n" for each in found)
