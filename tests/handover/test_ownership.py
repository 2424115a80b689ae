"""Exhaustive exploration of the handover's ownership: the states of both processes, the frames between them, and a
crash, a time-out or an order to stop at every point, in all orders."""

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
CALL = 2  # number of the frame that carries the attempt


@dataclass(frozen=True)
class World:
    """The whole state. ``down`` and ``up`` are frames in transit, to the new process and to the old one; frames sent to a
    dead process are lost."""

    old: bool = True  # alive
    new: bool = True
    old_owner: Owner = Owner.OLD
    taken: bool = False
    bye_received: bool = False
    said_hello: bool = False
    sent: int = -1  # number of frames sent; -1: no request yet
    refused: bool = False
    new_owner: Owner = Owner.OLD
    has_state: bool = False
    serves: bool = False
    folder: bool = False  # the new process starts from the folder
    restarted: bool = False  # the old process starts from the folder
    down: tuple[int, ...] = ()
    up: tuple[str, ...] = ()

    @property
    def old_acts(self) -> bool:
        return self.old and (self.old_owner is Owner.OLD and self.sent < 0 or self.restarted)

    @property
    def new_acts(self) -> bool:
        return self.new and (self.new_owner is Owner.NEW or self.folder and self.claim_free)

    @property
    def claim_free(self) -> bool:
        """Whether the claim is held neither by a process nor by a frame in transit."""
        with_old = self.old and (self.sent < 1 or self.restarted)
        on_its_way = 0 in self.down and self.new
        with_new = self.new and self.has_state and not self.folder
        return not (with_old or on_its_way or with_new)


def sender_state(world: World) -> SenderState:
    return SenderState(world.old_owner, world.taken, world.bye_received)


def execute(world: World, step: SenderStep) -> World:
    """The state after the old process has executed a step."""
    match step:
        case SenderStep.RESTART:  # it waits for the claim, as every start does
            return replace(world, restarted=True)
        case SenderStep.KILL_NEW_PROCESS:
            return replace(world, new=False, down=(), restarted=True)
        case SenderStep.END:
            return replace(world, old=False, up=())
    return world


def moves(
    world: World, sender: Callable[[World], SenderState], receiver: Callable[[World], ReceiverState]
) -> Iterator[World]:
    """All states that may follow."""
    old_at_work = world.old and not world.restarted
    if world.old:
        yield replace(world, old=False, up=())  # it is killed; the frames that it has sent still arrive
    if world.new:
        yield replace(world, new=False, down=())
    # The old process.
    if old_at_work and "hello" in world.up:
        up = tuple(frame for frame in world.up if frame != "hello")
        for ready in (True, False):
            if sender(world).on_hello([p.VERSION], ready) is SenderStep.TRANSFER:
                side = sender(world)
                side.on_transfer()
                yield replace(world, up=up, sent=0, old_owner=side.owner)
            else:
                yield replace(world, up=up, refused=True)
    if old_at_work and 0 <= world.sent < len(SENT):
        if world.new:
            yield replace(world, sent=world.sent + 1, down=(*world.down, world.sent))
        else:
            yield execute(world, sender(world).on_lost())
    if old_at_work and world.sent == len(SENT):
        if world.up[:1] == ("taken",):
            side = sender(world)
            side.on_taken()
            yield replace(world, up=world.up[1:], taken=side.taken)
        elif world.up[:1] == ("bye",):
            side = sender(world)
            yield execute(replace(world, up=world.up[1:], bye_received=True), side.on_bye())
        elif not world.new:
            yield execute(world, sender(world).on_lost())
        if not world.up:
            yield execute(world, sender(world).on_timeout())
        yield execute(world, sender(world).on_stop())
    # The new process.
    if not world.new or world.folder:
        return
    if not world.said_hello:
        if world.old:
            yield replace(world, said_hello=True, up=(*world.up, "hello"))
        else:
            yield replace(world, folder=True)
    elif world.refused:
        yield replace(world, folder=True)  # and it ends there unless the claim is free by then
    elif world.down:
        frame, descriptors = SENT[world.down[0]]
        reader = receiver(world)
        step = reader.on_frame(frame, descriptors)
        after = replace(world, down=world.down[1:], new_owner=reader.owner, has_state=reader.has_state)
        yield replace(after, folder=True) if step is ReceiverStep.START_FROM_FOLDER else after
    elif world.new_owner is Owner.NEW and not world.serves:
        yield replace(world, serves=True, up=(*world.up, "taken") if world.old else ())
    elif world.serves and "bye" not in world.up and not world.bye_received:
        yield replace(world, new=False, up=(*world.up, "bye") if world.old else ())  # told to stop, it sends BYE
    elif not world.old and receiver(world).on_lost() is ReceiverStep.START_FROM_FOLDER:
        yield replace(world, folder=True)


def receiver_state(world: World) -> ReceiverState:
    return ReceiverState(world.new_owner, world.has_state)


def violation(world: World) -> str:
    """The invariant that a state violates, or ''."""
    if world.old_acts and world.new_acts and not world.restarted:
        return "both own the store"
    if world.restarted and world.new and world.new_owner is Owner.NEW:
        return "the old process restarts beside one that serves"
    if world.new_owner is Owner.NEW and (world.sent < len(SENT) or world.down):
        return "the new process decides before everything has arrived"
    call_with_old = world.old and world.sent <= CALL and not world.restarted
    call_with_new = world.new and not world.folder and world.sent > CALL and CALL not in world.down and world.has_state
    if call_with_old and call_with_new:
        return "both have the attempt"
    return ""


def dead_end(world: World) -> str:
    """A dead end: a process is alive, nothing more happens by itself, and no process owns the relay."""
    if world.old_acts or world.new_acts or not (world.old or world.new):
        return ""
    return "no process owns the relay"


def explore(
    sender: Callable[[World], SenderState] = sender_state, receiver: Callable[[World], ReceiverState] = receiver_state
) -> tuple[int, str]:
    """The number of states, and the first violation found with the path to it, or ''."""
    start = World()
    reached_from: dict[World, World | None] = {start: None}
    queue = [start]
    for world in queue:
        following = [after for after in moves(world, sender, receiver) if after != world]
        kills = (replace(world, old=False, up=()), replace(world, new=False, down=()))
        by_itself = [after for after in following if after not in kills]
        fault = violation(world) or ("" if by_itself else dead_end(world))
        if fault:
            path: list[str] = []
            step: World | None = world
            while step is not None:
                path.append(str(step))
                step = reached_from[step]
            return len(reached_from), fault + ": " + " <- ".join(path)
        for after in following:
            if after not in reached_from:
                reached_from[after] = world
                queue.append(after)
    return len(reached_from), ""


def test_one_owner_in_every_state() -> None:
    count, fault = explore()
    assert not fault
    assert count == 111, count  # stated in docs/design/018-upgrade.md


class KeepsOwnership(SenderState):
    """Assumes that it still owns the relay after the transfer has begun."""

    def on_lost(self) -> SenderStep:
        return SenderStep.SERVE


class RestartsTooSoon(SenderState):
    """Restarts after a time-out, although the new process may only be slow."""

    def on_timeout(self) -> SenderStep:
        return SenderStep.RESTART


class OwnsTooSoon(ReceiverState):
    """Takes ownership as soon as the claim has arrived."""

    def on_frame(self, frame: p.Frame, descriptors: int) -> ReceiverStep:
        step = super().on_frame(frame, descriptors)
        if self.has_state:
            self.owner = Owner.NEW
        return step


class WaitsForever(ReceiverState):
    """Keeps waiting for frames after the old process has died."""

    def on_lost(self) -> ReceiverStep:
        return ReceiverStep.READ


@pytest.mark.parametrize(
    "faulty, violated",
    [
        (KeepsOwnership, "no process owns"),
        (RestartsTooSoon, "restarts beside"),
        (OwnsTooSoon, "before everything has arrived"),
        (WaitsForever, "no process owns"),
    ],
)
def test_injected_faults_are_found(faulty: type[SenderState] | type[ReceiverState], violated: str) -> None:
    def sender(world: World) -> SenderState:
        return (
            faulty(world.old_owner, world.taken, world.bye_received)
            if issubclass(faulty, SenderState)
            else sender_state(world)
        )

    def receiver(world: World) -> ReceiverState:
        return faulty(world.new_owner, world.has_state) if issubclass(faulty, ReceiverState) else receiver_state(world)

    _, fault = explore(sender, receiver)
    assert violated in fault, fault
