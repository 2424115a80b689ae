"""Who owns the relay, explored exhaustively: both sides' states, the frames between them, and a death, a silence or an
order to stop at every point, in all orders."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

import pytest

from garnetrelay.handover import protocol as p
from garnetrelay.handover.protocol import Owner, ReceiverState, ReceiverStep, SenderState, SenderStep

STATE = p.State(0, "", [], [], {})
SENT: tuple[tuple[p.Frame, int], ...] = (
    (STATE, 2),
    (p.Clients([p.ClientConnection(b"", True)]), 1),
    (p.Calls([p.CallInFlight("pay", "h", "h", 1, 0, 0, 1, True)]), 1),
    (p.End(), 0),
)
CALL = 2  # the frame that the attempt goes with


@dataclass(frozen=True)
class World:
    """All that there is. ``down`` and ``up`` are frames on their way, to the new process and back; what has been sent to
    a process that is dead is gone with it."""

    old: bool = True  # alive
    new: bool = True
    old_owner: Owner = Owner.OLD
    taken: bool = False
    over: bool = False
    said_hello: bool = False
    given: int = -1  # frames sent; -1: not asked yet
    refused: bool = False
    new_owner: Owner = Owner.OLD
    has_state: bool = False
    serves: bool = False
    folder: bool = False  # the new one starts from the folder
    anew: bool = False  # the old one does
    down: tuple[int, ...] = ()
    up: tuple[str, ...] = ()

    @property
    def old_acts(self) -> bool:
        return self.old and (self.old_owner is Owner.OLD and self.given < 0 or self.anew)

    @property
    def new_acts(self) -> bool:
        return self.new and (self.new_owner is Owner.NEW or self.folder and self.claim_free)

    @property
    def claim_free(self) -> bool:
        """The claim is with nobody: not with the old process, nor on its way, nor with the new one."""
        with_old = self.old and (self.given < 1 or self.anew)
        on_its_way = 0 in self.down and self.new
        with_new = self.new and self.has_state and not self.folder
        return not (with_old or on_its_way or with_new)


def giving(world: World) -> SenderState:
    return SenderState(world.old_owner, world.taken, world.over)


def follow(world: World, step: SenderStep) -> World:
    """What the old process does by what it was told."""
    match step:
        case SenderStep.RESTART:  # it waits for the claim like any start
            return replace(world, anew=True)
        case SenderStep.KILL_NEW_PROCESS:
            return replace(world, new=False, down=(), anew=True)
        case SenderStep.END:
            return replace(world, old=False, up=())
    return world


def moves(
    world: World, giver: Callable[[World], SenderState], taker: Callable[[World], ReceiverState]
) -> Iterator[World]:
    """All that may happen next."""
    old_at_work = world.old and not world.anew
    if world.old:
        yield replace(world, old=False, up=())  # it is killed; what it has sent still arrives
    if world.new:
        yield replace(world, new=False, down=())
    # The old process.
    if old_at_work and "hello" in world.up:
        up = tuple(frame for frame in world.up if frame != "hello")
        for ready in (True, False):
            if giver(world).on_hello([p.VERSION], ready) is SenderStep.TRANSFER:
                side = giver(world)
                side.on_transfer()
                yield replace(world, up=up, given=0, old_owner=side.owner)
            else:
                yield replace(world, up=up, refused=True)
    if old_at_work and 0 <= world.given < len(SENT):
        if world.new:
            yield replace(world, given=world.given + 1, down=(*world.down, world.given))
        else:
            yield follow(world, giver(world).on_lost())
    if old_at_work and world.given == len(SENT):
        if world.up[:1] == ("taken",):
            side = giver(world)
            side.on_taken()
            yield replace(world, up=world.up[1:], taken=side.taken)
        elif world.up[:1] == ("bye",):
            side = giver(world)
            yield follow(replace(world, up=world.up[1:], over=True), side.on_bye())
        elif not world.new:
            yield follow(world, giver(world).on_lost())
        if not world.up:
            yield follow(world, giver(world).on_timeout())
        yield follow(world, giver(world).on_stop())
    # The new process.
    if not world.new or world.folder:
        return
    if not world.said_hello:
        if world.old:
            yield replace(world, said_hello=True, up=(*world.up, "hello"))
        else:
            yield replace(world, folder=True)
    elif world.refused:
        yield replace(world, folder=True)  # and it ends there unless the claim has fallen free
    elif world.down:
        frame, descriptors = SENT[world.down[0]]
        reader = taker(world)
        turn = reader.on_frame(frame, descriptors)
        after = replace(world, down=world.down[1:], new_owner=reader.owner, has_state=reader.has_state)
        yield replace(after, folder=True) if turn is ReceiverStep.START_FROM_FOLDER else after
    elif world.new_owner is Owner.NEW and not world.serves:
        yield replace(world, serves=True, up=(*world.up, "taken") if world.old else ())
    elif world.serves and "bye" not in world.up and not world.over:
        yield replace(world, new=False, up=(*world.up, "bye") if world.old else ())  # told to stop, it says so
    elif not world.old and taker(world).on_lost() is ReceiverStep.START_FROM_FOLDER:
        yield replace(world, folder=True)


def taking(world: World) -> ReceiverState:
    return ReceiverState(world.new_owner, world.has_state)


def wrong(world: World) -> str:
    """What must never be."""
    if world.old_acts and world.new_acts and not world.anew:
        return "both own the store"
    if world.anew and world.new and world.new_owner is Owner.NEW:
        return "the old process starts anew beside one that serves"
    if world.new_owner is Owner.NEW and (world.given < len(SENT) or world.down):
        return "the new process decides before all has come"
    call_with_old = world.old and world.given <= CALL and not world.anew
    call_with_new = world.new and not world.folder and world.given > CALL and CALL not in world.down and world.has_state
    if call_with_old and call_with_new:
        return "both have the attempt"
    return ""


def stuck(world: World) -> str:
    """What must not last: nothing more happens by itself, and somebody lives whom nobody can replace."""
    if world.old_acts or world.new_acts or not (world.old or world.new):
        return ""
    return "nobody owns the relay"


def explore(
    giver: Callable[[World], SenderState] = giving, taker: Callable[[World], ReceiverState] = taking
) -> tuple[int, str]:
    """How many states there are, and what is wrong with the first that is, with the way to it."""
    start = World()
    came: dict[World, World | None] = {start: None}
    queue = [start]
    for world in queue:
        following = [after for after in moves(world, giver, taker) if after != world]
        kills = (replace(world, old=False, up=()), replace(world, new=False, down=()))
        by_itself = [after for after in following if after not in kills]
        fault = wrong(world) or ("" if by_itself else stuck(world))
        if fault:
            way: list[str] = []
            step: World | None = world
            while step is not None:
                way.append(str(step))
                step = came[step]
            return len(came), fault + ": " + " <- ".join(way)
        for after in following:
            if after not in came:
                came[after] = world
                queue.append(after)
    return len(came), ""


def test_one_owner_in_every_state() -> None:
    count, fault = explore()
    assert not fault
    assert count == 111, count  # stated in docs/design/018-upgrade.md


class KeepsGiving(SenderState):
    """Thinks that it still has what it has given."""

    def on_lost(self) -> SenderStep:
        return SenderStep.SERVE


class StartsTooSoon(SenderState):
    """Starts anew although the new process may only be slow."""

    def on_timeout(self) -> SenderStep:
        return SenderStep.RESTART


class TakesEarly(ReceiverState):
    """Owns the relay as soon as the claim is here."""

    def on_frame(self, frame: p.Frame, descriptors: int) -> ReceiverStep:
        turn = super().on_frame(frame, descriptors)
        if self.has_state:
            self.owner = Owner.NEW
        return turn


class HoldsOn(ReceiverState):
    """Waits for more where the old process has died on the way."""

    def on_lost(self) -> ReceiverStep:
        return ReceiverStep.READ


@pytest.mark.parametrize(
    "kind, named",
    [
        (KeepsGiving, "nobody owns"),
        (StartsTooSoon, "starts anew beside"),
        (TakesEarly, "before all has come"),
        (HoldsOn, "nobody owns"),
    ],
)
def test_planted_faults_are_found(kind: type[SenderState] | type[ReceiverState], named: str) -> None:
    def giver(world: World) -> SenderState:
        return kind(world.old_owner, world.taken, world.over) if issubclass(kind, SenderState) else giving(world)

    def taker(world: World) -> ReceiverState:
        return kind(world.new_owner, world.has_state) if issubclass(kind, ReceiverState) else taking(world)

    _, fault = explore(giver, taker)
    assert named in fault, fault
