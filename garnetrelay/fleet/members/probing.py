"""SWIM's probe of one member at a time: asked by this relay, then through others, then suspected. No I/O.

Whose turn it is says `probe_order.py`. An answer in time, by whichever way, ends the probe well; the next one begins when
its period is over all the same.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from garnetrelay.fleet.members import frames as fr
from garnetrelay.fleet.members.claims import Identity
from garnetrelay.fleet.members.health import LocalHealth
from garnetrelay.fleet.members.local_view import LocalView
from garnetrelay.fleet.members.outgoing import Outgoing
from garnetrelay.fleet.members.pending_requests import Question, Questions, Why
from garnetrelay.fleet.members.probe_order import Rounds
from garnetrelay.fleet.members.settings import MS, Settings
from garnetrelay.fleet.members.table import Member


@dataclass(slots=True)
class Probe:
    """The present one."""

    name: str
    identity: Identity
    number: int
    began: int
    ask_at: int  # without an answer by then, others are asked
    ends_at: int
    asked: bool = False
    expected_nacks: int = 0
    nacks: int = 0
    done: bool = False  # it has answered this relay, or one that asked for it


class Probing:
    """The probes of one relay. ``present`` is the probe that is under way; without one, the next begins at ``begin_at``
    (nanoseconds)."""

    def __init__(
        self,
        local_view: LocalView,
        outgoing: Outgoing,
        rounds: Rounds,
        questions: Questions,
        health: LocalHealth,
        settings: Settings,
        draw: random.Random,
        now: int,
    ) -> None:
        self.present: Probe | None = None
        self.begin_at = now + draw.randrange(settings.probe_interval)
        self._local_view = local_view
        self._outgoing = outgoing
        self._rounds = rounds
        self._questions = questions
        self._health = health
        self._settings = settings

    def next_at(self, now: int) -> int:
        """When it has to go on."""
        probe = self.present
        if probe is None:
            return self.begin_at
        return probe.ends_at if probe.done or probe.asked or probe.ask_at <= now else probe.ask_at

    def give_up(self, now: int) -> None:
        """This relay has not run for a while: nothing follows from the present probe, and the next begins at once."""
        if self.present is not None:
            self._rounds.again(self.present.name)
            self.present = None
        self.begin_at = now

    def go_on(self, now: int) -> bool:
        """The present probe: ask others, or end it where its period is over. Whether it has ended."""
        probe = self.present
        assert probe is not None
        if now < probe.ends_at:
            if not probe.done and not probe.asked and now >= probe.ask_at:
                self._ask_others(probe)
            return False
        self.present = None
        self._questions.close(probe.number)
        if not probe.done:
            self._unanswered(now, probe)
        return True

    def begin(self, now: int) -> bool:
        """Probe the next member of the round; whether there is one, and this relay has a name to ask by."""
        members = self._local_view.table.members
        name = self._rounds.choose(members)
        if name is None or not self._local_view.local.active:
            self.begin_at = now + self._settings.probe_interval
            return False
        self._begin(now, members[name])
        return True

    def answered(self, name: str) -> None:
        """A member has answered a probe of this relay."""
        if self.present is not None and self.present.name == name:
            self._done(self.present)

    def vouched(self, vouch: fr.Vouch) -> Member | None:
        """Another has had an answer from a member: that member, where the present probe is of it, in that life."""
        probe = self.present
        if probe is None or probe.number != vouch.number or probe.name != vouch.target:
            return None
        member = self._local_view.table.members.get(vouch.target)
        if member is None or member.claim.identity != (vouch.life, vouch.process):
            return None
        self._done(probe)
        return member

    def _done(self, probe: Probe) -> None:
        if not probe.done:
            self._health.change(-1)
        probe.done = True

    def _begin(self, now: int, member: Member) -> None:
        slow = self._health.slow + 1
        claim = member.claim
        ends_at = now + self._settings.probe_interval * slow
        number = self._questions.ask(Question(Why.PROBE, now, ends_at + MS, claim.name, claim.identity))
        if number is None:
            self.begin_at = ends_at
            return
        self.present = Probe(claim.name, claim.identity, number, now, now + self._settings.probe_timeout * slow, ends_at)
        # Who is suspected hears of it first (Lifeguard's buddy system).
        claims = [claim] if member.suspicion is not None and self._settings.lifeguard else []
        room = self._outgoing.room() - sum(one.size() for one in claims)
        claims += self._outgoing.news(room, claim.name)
        self._outgoing.ping(
            claim.address, self._outgoing.version(claim), number, claims, summary=self._outgoing.summary()
        )

    def _ask_others(self, probe: Probe) -> None:
        target = self._local_view.table.members.get(probe.name)
        if target is None or target.claim.identity != probe.identity:
            probe.done = True  # it has gone, or lives on in another life
            return
        others = [
            name
            for name, member in self._local_view.table.members.items()
            if name != probe.name and member.suspicion is None
        ]
        chosen = self._rounds.sample(others, self._settings.asked)
        probe.asked = True
        probe.expected_nacks = len(chosen)
        for name in chosen:
            member = self._local_view.table.members[name]
            self._outgoing.tell(
                member.claim.address,
                fr.AskFor(
                    sender=self._outgoing.sender,
                    sequence=self._outgoing.next_sequence(),
                    number=probe.number,
                    target=probe.name,
                    host=target.claim.host,
                    port=target.claim.port,
                ),
                self._outgoing.version(member.claim),
            )

    def _unanswered(self, now: int, probe: Probe) -> None:
        """Neither it nor anybody for it has answered."""
        if probe.expected_nacks:
            self._health.change(0 if probe.nacks else 1)
        else:
            self._health.change(1)
        self._local_view.suspect(
            now,
            probe.name,
            probe.identity,
            f"no answer, nor to the {probe.expected_nacks} that asked for this relay, of whom " f"{probe.nacks} answered",
        )
