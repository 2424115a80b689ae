"""A small cluster without I/O: a test decides which messages are delivered, dropped or kept."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from fractions import Fraction

from garnetrelay.fleet.leases.controller import Controller
from garnetrelay.fleet.leases.holder import Holder
from garnetrelay.fleet.leases.messages import (
    Answer,
    ControllerEffect,
    HolderEffect,
    LogLine,
    ReadRecords,
    Record,
    Records,
    RelayMessage,
    SendToController,
    SendToRelay,
    Session,
    WriteRecords,
)
from garnetrelay.fleet.leases.settings import MS, SECOND, Settings

SETTINGS = Settings(controllers=3, partitions=64, rate_error=Fraction(2, 100))
STEP = 50 * MS

Sent = tuple[str, int, RelayMessage | Answer | ReadRecords | Records]  # from whom, to whom


@dataclass
class Cluster:
    """All clocks show ``now``. ``drop`` selects messages that are lost; ``fail_writes``: controllers with full disks."""

    settings: Settings = SETTINGS
    now: int = 0
    drop: Callable[[object, object, object], bool] = lambda sender, receiver, message: False
    controllers: dict[int, Controller] = field(default_factory=dict)
    holders: dict[Session, Holder] = field(default_factory=dict)
    folders: dict[int, dict[int, Record]] = field(default_factory=dict)
    fail_writes: set[int] = field(default_factory=set)
    log: list[str] = field(default_factory=list)
    messages: list[tuple[object, object, object]] = field(default_factory=list)
    boots: int = 0

    def start_all(self) -> Cluster:
        """Starts all controllers with initialized folders and lets their wait pass."""
        for number in range(self.settings.controllers):
            self.folders[number] = {}
            self.start(number)
        self.run(self.settings.lease + SECOND)
        assert all(controller.ready for controller in self.controllers.values())
        return self

    def start(self, number: int, empty: bool = False) -> Controller:
        """Starts a new process of a controller; ``empty``: with an empty folder."""
        if empty:
            self.folders[number] = {}
        self.boots += 1
        controller = Controller(
            number, self.boots << 32, self.settings, self.folders[number].values(), self.now, folder_was_empty=empty
        )
        self.controllers[number] = controller
        return controller

    def relay(self, name: str, assigned: list[int], number: int = 1) -> Holder:
        """Starts a new process of a relay."""
        session = Session(name, number)
        holder = self.holders[session] = Holder(session, self.settings, random.Random(f"{name}/{number}"))
        self.from_holder(session, holder.set_assigned(self.now, assigned))
        return holder

    def run(self, time: int, until: Callable[[], bool] = lambda: False) -> bool:
        """Lets time pass in steps; returns whether ``until`` became true."""
        end = self.now + time
        while self.now < end:
            if until():
                return True
            self.now += STEP
            for number, controller in list(self.controllers.items()):
                if self.now >= controller.next_at:
                    self.from_controller(number, controller.tick(self.now))
            for session, holder in list(self.holders.items()):
                if self.now >= holder.next_at:
                    self.from_holder(session, holder.tick(self.now))
        return until()

    def from_holder(self, session: Session, effects: list[HolderEffect]) -> None:
        """Carries out effects at once."""
        for effect in effects:
            match effect:
                case SendToController(number, message):
                    self.send(session, number, message)
                case LogLine(text, _):
                    self.log.append(text)

    def from_controller(self, number: int, effects: list[ControllerEffect]) -> None:
        """Carries out effects at once."""
        for effect in effects:
            match effect:
                case SendToController(other, message):
                    self.send(number, other, message)
                case SendToRelay(session, answer):
                    self.send(number, session, answer)
                case WriteRecords(ticket, records):
                    controller = self.controllers[number]
                    if number in self.fail_writes:
                        self.from_controller(number, controller.not_written(self.now, ticket, "no space left"))
                    else:
                        self.folders[number].update({record.partition: record for record in records})
                        self.from_controller(number, controller.written(self.now, ticket))
                case LogLine(text, _):
                    self.log.append(text)

    def send(self, sender: object, receiver: object, message: object) -> None:
        """Sends a message; it arrives at once unless it is lost."""
        self.messages.append((sender, receiver, message))
        if not self.drop(sender, receiver, message):
            self.deliver(receiver, message)

    def deliver(self, receiver: object, message: object) -> None:
        """Delivers a message to its receiver, if that runs."""
        if isinstance(receiver, Session):
            holder = self.holders.get(receiver)
            if holder is not None:
                assert isinstance(message, Answer)
                self.from_holder(receiver, holder.receive(self.now, message))
        elif receiver in self.controllers:
            assert isinstance(receiver, int)
            controller = self.controllers[receiver]
            self.from_controller(receiver, controller.receive(self.now, message))  # type: ignore[arg-type]
