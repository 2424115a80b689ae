"""Planted faults: relays that are wrong in one place each, started as ``python -m tests.rehearsal.faults NAME``.

Each patches one thing of the shipped code in a process of its own; nothing of this is part of the program.
"""

from __future__ import annotations

import dataclasses
import logging
import os
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from garnetrelay import __main__ as program
from garnetrelay import daemon
from garnetrelay import relay as core
from garnetrelay.delivery.http import answers, connection, hosts
from garnetrelay.discovery import client, host_list
from garnetrelay.fronts.resp import connection as resp_connection
from garnetrelay.operators import exclusions
from garnetrelay.platform import notices
from garnetrelay.store import store
from starlingwick import control, snapshot
from starlingwick import interface as io

SECOND = 1_000_000_000


@dataclass(frozen=True)
class Fault:
    """A planted fault: the rule that it breaks, how the checker may call it, and the scenario that brings it out."""

    rule: int
    named: tuple[str, ...]
    scenario: str
    plant: Callable[[], None]


def replaced(owner: Any, name: str, make: Callable[[Any], Any]) -> None:
    """Put something else in an attribute's place, made from what was there."""
    setattr(owner, name, make(getattr(owner, name)))


def with_settings(change: Callable[[io.Settings], io.Settings]) -> Callable[[], None]:
    """A relay that reads a setting wrongly."""

    def plant() -> None:
        def make(load: Any) -> Any:
            def wrong(environment: Any) -> Any:
                config = load(environment)
                return dataclasses.replace(config, settings=change(config.settings))

            return wrong

        replaced(daemon, "load", make)

    return plant


def with_rules(**changes: Any) -> Callable[[], None]:
    return with_settings(lambda s: dataclasses.replace(s, rules=dataclasses.replace(s.rules, **changes)))


def with_classes(**changes: Any) -> Callable[[], None]:
    return with_settings(
        lambda s: dataclasses.replace(s, classes=tuple(dataclasses.replace(klass, **changes) for klass in s.classes))
    )


# ---- rule 1


def notice_forgotten() -> None:
    """A message that ended as failed is told to nobody."""

    def make(tell: Any) -> Any:
        def wrong(self: Any, ref: str, result: str, wait_ms: int) -> None:
            if result != "dead":
                tell(self, ref, result, wait_ms)

        return wrong

    replaced(notices.Notices, "add", make)


def nothing_recovered() -> None:
    """A relay that starts again does not look into its journal."""
    core.Relay._recover = lambda self: None  # type: ignore[method-assign]


def deadline_misread() -> None:
    """It takes a message's time to be two seconds longer than it is."""

    def make(parse: Any) -> Any:
        def wrong(words: Any) -> Any:
            request = parse(words)
            request.patience_ms += 2000
            return request

        return wrong

    replaced(resp_connection, "parse_enqueue", make)


def told_as_dead_too() -> None:
    """A message that was delivered ends as failed besides, once in a while."""

    def make(finish: Any) -> Any:
        def wrong(self: Any, message: Any, result: Any, wait_ms: int, tell: Any = None) -> None:
            finish(self, message, result, wait_ms, tell)
            if result is None and int(message.ref, 16) % 20 == 0:
                import asyncio

                asyncio.get_running_loop().call_later(
                    1.5, lambda: (self.notices.add(message.ref, "dead", 0), self.notices.send())
                )

        return wrong

    replaced(core.Relay, "finish", make)


# ---- rule 2


def error_taken_for_refusal() -> None:
    """An answer of 500 is read as a refusal: as if it had never run."""

    def make(read: Any) -> Any:
        return lambda status, *more: read(503 if status == 500 else status, *more)

    replaced(answers, "read_outcome", make)


def reset_taken_for_unsent() -> None:
    """A connection that breaks behind a whole call counts as one that never came about."""

    def make(unread: Any) -> Any:
        def wrong(self: Any) -> Any:
            outcome = unread(self)
            if outcome.status is io.Status.RESET:
                outcome.status = io.Status.CONNECT_FAILED
            return outcome

        return wrong

    replaced(connection.Connection, "_partial_outcome", make)


def second_copies_not_awaited() -> None:
    """A request is written right behind an answer: a second copy of that is taken for the answer to the request."""
    hosts.SETTLE_S = hosts.MAX_SETTLE_S = 0.0


def attempts_not_recorded() -> None:
    """The journal is not told of an attempt before it goes out."""
    store.Store.record_attempt = lambda self, ref, zone, now_ms, epoch=None: ref in self.entries  # type: ignore[method-assign]


def failure_told_as_refusal() -> None:
    """What may have run ends as refused: the client is told that coming again is harmless."""

    def make(end: Any) -> Any:
        return lambda self, ref, result, wait_ms: end(self, ref, "bounced", wait_ms)

    replaced(core.Relay, "_end", make)


# ---- rule 3


def drain_not_understood() -> None:
    """An endpoint that drains is taken for one that serves."""
    host_list.AVAILABILITY_BY_STATUS["Terminating"] = io.Availability.RUNNING


def news_taken_up_late() -> None:
    """News of the register lies about for four seconds."""

    def make(on_list_update: Any) -> Any:
        def wrong(self: Any, news: Any) -> None:
            import asyncio

            asyncio.get_running_loop().call_later(4.0, on_list_update, self, news)

        return wrong

    replaced(core.Relay, "on_list_update", make)


def watch_not_renewed() -> None:
    """A watch that ended is never opened again."""

    def make(subscribe: Any) -> Any:
        def wrong(self: Any) -> None:
            if not hasattr(self, "opened_once"):
                self.opened_once = True
                subscribe(self)

        return wrong

    replaced(client.Discovery, "subscribe", make)


# ---- rule 4


def outage_not_seen() -> None:
    """However many calls fail, it is no outage."""
    control.OUTAGE_FAILURE_SHARE = 2.0


def return_taken_for_warm() -> None:
    """A destination that answers again is as it was before."""
    control.Pacer.is_cold = lambda self, dest: False  # type: ignore[method-assign]


# ---- rule 6


def waits_not_read() -> None:
    """The header that tells a wait is passed over."""

    def make(read: Any) -> Any:
        return lambda status, told, *more: read(status, "", *more)

    replaced(answers, "read_outcome", make)


def waits_halved() -> None:
    """Half of a told wait seems enough."""

    def make(read: Any) -> Any:
        return lambda status, told, *more: read(status, str(int(told) // 2) if told else "", *more)

    replaced(answers, "read_outcome", make)


def waits_by_endpoint() -> None:
    """A wait that a partner told binds only the endpoint that told it."""
    with_settings(
        lambda s: dataclasses.replace(s, kinds=tuple(dataclasses.replace(kind, apart=True) for kind in s.kinds))
    )()


# ---- upgrades


def knowledge_left_behind() -> None:
    """What the old process knew of hosts, waits above all, does not pass."""
    snapshot.restore_snapshot = lambda pacer, snapshot: None


def calls_left_behind() -> None:
    """A call that passed is taken for one that never was."""

    def make(recovered: Any) -> Any:
        def wrong(self: Any, entry: Any, now: int) -> Any:
            if self.handover is not None and self.handover.calls.pop(entry.ref, None) is not None:
                entry.trying_at = None
            return recovered(self, entry, now)

        return wrong

    replaced(core.Relay, "_recovered_event", make)


def hands_left_behind() -> None:
    """Which hosts staff took out is not read at a start."""
    exclusions.Exclusions.read = lambda self: None  # type: ignore[method-assign]


FAULTS: dict[str, Fault] = {
    "knowledge-left-behind": Fault(6, ("sent-in-wait",), "upgraded", knowledge_left_behind),
    "calls-left-behind": Fault(2, ("sent-again", "effect-twice", "together"), "upgraded", calls_left_behind),
    "hands-left-behind": Fault(3, ("sent-to-draining",), "upgraded", hands_left_behind),
    "notice-forgotten": Fault(1, ("lost",), "failing", notice_forgotten),
    "nothing-recovered": Fault(1, ("lost",), "killed", nothing_recovered),
    "deadline-misread": Fault(1, ("late", "lost"), "shut-long", deadline_misread),
    "told-as-dead-too": Fault(1, ("two-answers",), "failing", told_as_dead_too),
    "error-taken-for-refusal": Fault(
        2, ("sent-again", "after-window", "other-building", "effect-twice"), "failing", error_taken_for_refusal
    ),
    "reset-taken-for-unsent": Fault(2, ("sent-again", "effect-twice"), "resets", reset_taken_for_unsent),
    "second-copies-not-awaited": Fault(1, ("lost",), "copies", second_copies_not_awaited),
    "attempts-not-recorded": Fault(2, ("sent-again", "effect-twice"), "killed", attempts_not_recorded),
    "failure-told-as-refusal": Fault(2, ("refused-may-have-run",), "failing", failure_told_as_refusal),
    "window-misread": Fault(2, ("after-window", "effect-twice"), "failing", with_classes(repeat_window=60 * SECOND)),
    "building-passed-over": Fault(2, ("other-building", "effect-twice"), "failing", with_classes(key_scope=io.Scope.ALL)),
    "drain-not-understood": Fault(3, ("sent-to-draining",), "drains", drain_not_understood),
    "news-taken-up-late": Fault(3, ("sent-to-draining",), "drains", news_taken_up_late),
    "watch-not-renewed": Fault(3, ("sent-to-draining",), "drains", watch_not_renewed),
    "outage-not-seen": Fault(4, ("pushed-over",), "returns", outage_not_seen),
    "ramp-taken-for-short": Fault(4, ("pushed-over",), "returns", with_rules(ramp_time=SECOND // 2, start_capacity=1.0)),
    "return-taken-for-warm": Fault(4, ("pushed-over",), "returns", return_taken_for_warm),
    "order-passed-over": Fault(5, ("together", "overtaken"), "turns", with_classes(in_turn=False)),
    "key-not-rested": Fault(5, ("no-rest",), "turns", with_rules(turn_gap=0)),
    "waits-not-read": Fault(6, ("sent-in-wait",), "shut-long", waits_not_read),
    "waits-halved": Fault(6, ("sent-in-wait",), "shut-long", waits_halved),
    "waits-by-endpoint": Fault(6, ("sent-in-wait",), "shut-long", waits_by_endpoint),
}


def main() -> None:
    FAULTS[sys.argv[1]].plant()
    status = program.main()
    logging.shutdown()
    os._exit(status)


if __name__ == "__main__":
    main()
