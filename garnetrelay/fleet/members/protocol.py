"""One relay's part in the fleet: what it makes of each frame and each moment, and what it answers. No I/O, no clock, no
randomness of its own: frames and moments in, effects out; ``draw`` is given. Its probes are in `probing.py`, its full
exchanges in `exchanges.py`, the words that it holds in `local_view.py`.

What counts as heard. A frame is signed by the fleet, so its claims were said by a member at some time; as claims are
ordered (`claims.py`), an old one changes nothing. That somebody is there *now* follows only from an answer to a
question that this relay has asked, by the number in it. A life that is not known yet is therefore asked first, and a
frame comes to count once (`Window`).
"""

from __future__ import annotations

import logging
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from garnetrelay.fleet.members import frames as fr
from garnetrelay.fleet.members import observations
from garnetrelay.fleet.members.claims import Claim, SocketAddress, Status
from garnetrelay.fleet.members.effects import Effect, StoreLife
from garnetrelay.fleet.members.exchanges import Exchanges
from garnetrelay.fleet.members.health import LocalHealth
from garnetrelay.fleet.members.local_member import Answer, LocalMember
from garnetrelay.fleet.members.local_view import LocalView
from garnetrelay.fleet.members.outgoing import Outgoing
from garnetrelay.fleet.members.pending_requests import Question, Questions, Why
from garnetrelay.fleet.members.probe_order import Rounds
from garnetrelay.fleet.members.probing import Probing
from garnetrelay.fleet.members.settings import MS, Settings
from garnetrelay.fleet.members.table import Member, Path, Table
from garnetrelay.fleet.members.view import FleetView
from garnetrelay.fleet.members.view_state import RELIES, Condition, Doubt, Facts

LEAVE_TOLD = 8  # members that hear of a leaving at first hand


@dataclass(slots=True)
class Counters:
    """What has happened, for people."""

    frames: Counter[str] = field(default_factory=Counter)  # taken, by kind
    refused: Counter[str] = field(default_factory=Counter)  # by cause
    slept: int = 0


class Membership:
    """The decisions of one relay."""

    def __init__(
        self,
        own: Claim,
        settings: Settings,
        draw: random.Random,
        now: int,
        seeds: Sequence[SocketAddress] = (),
        sequence: int = 0,
    ) -> None:
        self.settings = settings
        self._effects: list[Effect] = []
        self._rounds = Rounds(draw)
        self.local_view = LocalView(own, settings, self._effects, self._rounds.enter)
        self.outgoing = Outgoing(self.local_view, settings, self._effects, sequence)
        self.doubt = Doubt(now)
        self.counters = Counters()
        self.seeds = [seed for seed in seeds if seed != own.address]
        self.joined = not self.seeds  # who knows no other has nobody to hear from
        self.view_changed_at = now
        self._draw = draw
        self._questions = Questions(draw)
        self.health = LocalHealth(settings)
        self._probing = Probing(
            self.local_view, self.outgoing, self._rounds, self._questions, self.health, settings, draw, now
        )
        self._knock_at = now + settings.contact_interval
        self._knocked = 0
        self._exchanges = Exchanges(self.local_view, self.outgoing, settings, self._effects, draw, now, self.seeds)
        self._answered_at: int | None = None
        self._looked_at = 0  # the view's print at the last look
        self._facts = (0, 0, 0)  # suspects' and views' counts of the last full look
        self._retry_life_at: int | None = None
        self.next_at = self._when(now)

    # ---- what others may ask

    @property
    def local(self) -> LocalMember:
        """This relay's word on itself."""
        return self.local_view.local

    @property
    def table(self) -> Table:
        """The other members, and those that have gone."""
        return self.local_view.table

    @property
    def view(self) -> int:
        """32 bits that stand for who is in this relay's view."""
        return self.local_view.view

    @property
    def count(self) -> int:
        """Members in the view, this relay among them."""
        return self.local_view.count

    @property
    def slow(self) -> int:
        """Lifeguard's local health multiplier, 0 to S."""
        return self.health.slow

    @property
    def condition(self) -> Condition:
        """How far this relay may rely on its view, as of its last event."""
        return self.doubt.condition

    def fleet_view(self) -> FleetView:
        """The members of this view with their zones, and what may be relied on. It walks over all members: ask when
        ``view`` or ``condition`` has changed, or once a period."""
        zones = {name: member.claim.zone for name, member in self.table.members.items()}
        if self.local.active:
            zones[self.local.claim.name] = self.local.claim.zone
        return FleetView(zones, self.condition, self.view)

    def age(self, name: str, now: int) -> int | None:
        """How old the word of a member is at most (nanoseconds); None where there is none, or it is gone."""
        member = self.table.members.get(name)
        return None if member is None or member.word_at is None else now - member.word_at

    def sharing(self) -> tuple[int, int]:
        """How many others are known to hold this very view, and how many to hold another, by words that are no older than
        the view."""
        return observations.sharing(self.table, self.view, self.view_changed_at)

    # ---- what happens

    def tick(self, now: int) -> list[Effect]:
        """Time has passed. To be called at ``next_at``."""
        self._begin(now)
        self._expire(now)
        self.local_view.judge(now, self._answered_at if RELIES[self.condition].speak else None)
        self._go_on_probing(now)
        self._keep_contact(now)
        return self._end(now)

    def receive(self, now: int, frame: fr.AnyFrame, source: SocketAddress) -> list[Effect]:
        """A datagram has come; its signature and form were good."""
        self._begin(now)
        self._receive(now, frame, source)
        return self._end(now)

    def hello(self, now: int) -> fr.Hello:
        """Begins a full exchange."""
        return self._exchanges.hello()

    def answer_hello(self, now: int, hello: fr.Hello) -> fr.Whole:
        """The other side's first frame: what this relay holds and it does not. The hello itself counts for nothing."""
        return self._exchanges.answer_hello(hello)

    def receive_whole(self, now: int, whole: fr.Whole, number: int, asked_at: int) -> tuple[fr.Whole, list[Effect]]:
        """What another holds, in answer to ``number`` that was sent at ``asked_at``; in return what it lacks. ValueError
        where it answers something else."""
        if whole.number != number:
            self.counters.refused["unasked"] += 1
            raise ValueError("a full exchange that answers another question")
        self._begin(now)
        ours = self._exchanges.digests_like(whole.digests)
        sender = whole.sender
        if sender.name == self.local.claim.name:
            self._hear(now, sender)
        else:
            self._hear(now, sender)
            member = self.table.members.get(sender.name)
            if member is not None and member.claim.identity == sender.identity:
                self._answered(now, member, asked_at, -1 if whole.summary is None else whole.summary.view)
                member.window.take(whole.sequence)
            if sender.process != self.local.claim.process:
                self.joined = True
        for claim in whole.claims:
            self._hear(now, claim)
        answer = self._exchanges.answer_whole(whole, ours)
        return answer, self._end(now)

    def start_with(self, now: int, claims: Sequence[Claim]) -> list[Effect]:
        """Who the others are is known ahead, and has been heard from none of them: this relay has joined with the first
        answer. For relays without seeds."""
        self._begin(now)
        self.joined = False
        self.local_view.take_over(now, claims)
        return self._end(now)

    def resume_from(self, now: int, claims: Sequence[Claim]) -> list[Effect]:
        """Another process of this relay has handed over: the same member goes on, in the same life."""
        self._begin(now)
        self.joined = True
        self.local_view.take_over(now, claims)
        return self._end(now)

    def life_stored(self, now: int, life: int) -> list[Effect]:
        """The folder has the life that was wanted."""
        self._begin(now)
        if self.local_view.kept(life):
            self._retry_life_at = None
            self.view_changed_at = now
            self._exchanges.after_new_life(now, self.local_view.told_by)
        return self._end(now)

    def life_not_stored(self, now: int, why: str) -> list[Effect]:
        """The folder does not take it: the relay stays out, and tries again."""
        self._begin(now)
        self.outgoing.note(f"life {self.local.wanted} can't be kept, staying out: {why}", logging.ERROR)
        self._retry_life_at = now + 5 * self.settings.probe_interval
        return self._end(now)

    def leave(self, now: int) -> list[Effect]:
        """The last words of this life."""
        self._begin(now)
        if self.local.active:
            last = self.local.leave()
            for name in self._rounds.sample(self.table.members, LEAVE_TOLD):
                member = self.table.members[name]
                self.outgoing.ping(member.claim.address, self.outgoing.version(member.claim), 0, [last])
        self.local.left, self.local.active = True, False
        return self._end(now)

    # ---- a frame

    def _receive(self, now: int, frame: fr.AnyFrame, source: SocketAddress) -> None:
        sender, refused = frame.sender, self.counters.refused
        for claim in frame.claims:
            # On this relay itself even a frame that proves nothing is heard: its own life is known best here.
            if claim.name == self.local.claim.name:
                self._hear(now, claim, source)
        if sender.name == self.local.claim.name:
            refused["own name"] += 1
            if sender.process != self.local.claim.process:
                self._hear(now, sender, source)
            return
        if self.local.left:
            return
        question = self._questions.answered(frame, source)
        member = self.table.get(sender.name)
        if member is not None and sender.identity < member.claim.identity:
            refused["old life"] += 1
            self._correct(now, frame, source, member.claim)
            return
        if member is None or sender.identity > member.claim.identity:
            if question is None:
                self._challenge(now, frame, source)
                return
            self._hear(now, sender)
            member = self.table.members.get(sender.name)
            if member is None:
                refused["no room"] += 1
                return
        if member.claim.final:
            refused["gone"] += 1
            if question is not None:
                self._hear_all(now, frame)
            self._correct(now, frame, source, member.claim)
            return
        if not member.window.take(frame.sequence):
            refused["replayed"] += 1
            return
        member.heard_at = now
        self.counters.frames[type(frame).__name__] += 1
        self._hear(now, sender)
        self._hear_all(now, frame)
        member = self.table.members.get(sender.name)
        if member is None or not self.local.active and question is None:
            return  # it has said of itself that it left; or this relay has no name to answer by
        match frame:
            case fr.Ping():
                self._ack(now, frame, member, source)
            case fr.AskFor():
                self._ask_for(now, frame, member, source)
            case fr.Ack() if question is not None:
                self._acked(now, frame, question, member)
            case fr.Vouch() if question is not None:
                self._answered(now, member, question.at, -1)
                self._vouched(now, frame, question, member)
            case fr.Nack() if question is not None and self._probing.present is not None:
                self._answered(now, member, question.at, -1)
                self._probing.present.nacks += 1

    def _hear(self, now: int, claim: Claim, source: SocketAddress | None = None) -> None:
        """A word on anybody."""
        if self.local_view.hear(now, claim, source) is Answer.REFUTED:
            self.health.change(1)

    def _hear_all(self, now: int, frame: fr.AnyFrame) -> None:
        for claim in frame.claims:
            if claim.name != self.local.claim.name:
                self._hear(now, claim)

    def _correct(self, now: int, frame: fr.AnyFrame, source: SocketAddress, held: Claim) -> None:
        """Tell a life that has ended, or been followed by another, what is held of it."""
        if not self.local.active:
            return
        sender = frame.sender
        if isinstance(frame, fr.Ping):
            self.outgoing.tell(
                source,
                fr.Ack(
                    sender=self.local.claim, sequence=self.outgoing.next_sequence(), number=frame.number, claims=[held]
                ),
                self.outgoing.version(sender),
            )
        elif isinstance(frame, fr.AskFor):
            self.outgoing.ping(source, self.outgoing.version(sender), 0, [held])

    def _challenge(self, now: int, frame: fr.AnyFrame, source: SocketAddress) -> None:
        """A life that is not known: answer it, so that it knows us, and ask it."""
        self.counters.refused["unproven"] += 1
        if not self.local.active:
            return
        version = self.outgoing.version(frame.sender)
        if isinstance(frame, fr.Ping):
            self.outgoing.tell(
                source,
                fr.Ack(
                    sender=self.local.claim,
                    sequence=self.outgoing.next_sequence(),
                    number=frame.number,
                    summary=self.outgoing.summary(),
                ),
                version,
            )
        number = self._questions.ask_stranger(
            Question(Why.STRANGER, now, now + self.settings.probe_interval, frame.sender.name), source
        )
        if number is not None:
            self.outgoing.ping(source, 1, number)

    def _ack(self, now: int, ping: fr.Ping, member: Member, source: SocketAddress) -> None:
        origin = self.table.members.get(ping.origin)
        heard = -1 if origin is None or origin.heard_at is None else (now - origin.heard_at) // MS
        room = self.outgoing.room()
        kept = min(room // 3, len(self._rounds) * fr.OBSERVATION.size)  # words get through beside many claims
        claims = self.outgoing.news(room - kept, ping.sender.name)
        room -= sum(claim.size() for claim in claims)
        words = observations.told(
            self.table, self._rounds, now, min(room, self.settings.max_observations * fr.OBSERVATION.size)
        )
        self.outgoing.tell(
            source,
            fr.Ack(
                sender=self.local.claim,
                sequence=self.outgoing.next_sequence(),
                number=ping.number,
                claims=claims,
                summary=self.outgoing.summary(),
                observations=words,
                heard=min(heard, fr.MAX_AGE_MS),
            ),
            self.outgoing.version(member.claim),
        )

    def _ask_for(self, now: int, asked: fr.AskFor, member: Member, source: SocketAddress) -> None:
        """Ask another for a third."""
        target = self.table.members.get(asked.target)
        number = self._questions.ask(
            Question(
                Why.FOR_OTHER,
                now,
                now + self.settings.probe_interval,
                asked.target,
                origin=source,
                origin_number=asked.number,
                origin_version=self.outgoing.version(member.claim),
                nack_at=now + self.settings.probe_timeout * 4 // 5,
            )
        )
        if number is None:
            return
        place = SocketAddress(asked.host, asked.port) if target is None else target.claim.address
        self.outgoing.tell(
            place,
            fr.Ping(
                sender=self.local.claim,
                sequence=self.outgoing.next_sequence(),
                number=number,
                origin=asked.sender.name,
                claims=[] if target is None or target.suspicion is None else [target.claim],
            ),
            1 if target is None else self.outgoing.version(target.claim),
        )

    def _acked(self, now: int, ack: fr.Ack, question: Question, member: Member) -> None:
        view = -1 if ack.summary is None else ack.summary.view
        self._answered(now, member, question.at, view)
        if member.path is not Path.WHOLE:
            self.outgoing.note(f"{member.claim.name} answers this relay again (was: {member.path.value})")
            member.path = Path.WHOLE
        observations.hear(self.table, ack.observations, question.at)
        if question.why is Why.PROBE:
            self._probing.answered(member.claim.name)
        elif question.why is Why.FOR_OTHER and question.origin is not None:
            self.outgoing.tell(
                question.origin,
                fr.Vouch(
                    sender=self.local.claim,
                    sequence=self.outgoing.next_sequence(),
                    number=question.origin_number,
                    target=member.claim.name,
                    life=ack.sender.life,
                    process=ack.sender.process,
                    incarnation=ack.sender.incarnation,
                    heard=ack.heard,
                ),
                question.origin_version,
            )
        if view >= 0 and view != self.view:
            self._exchanges.repair(now, member.claim.address, self.view_changed_at)

    def _vouched(self, now: int, vouch: fr.Vouch, question: Question, by: Member) -> None:
        """Another has had an answer from the member that does not answer this relay."""
        member = self._probing.vouched(vouch)
        if member is None:
            return
        member.word_at = max(member.word_at or question.at, question.at)
        lately = 4 * self.settings.probe_timeout // MS
        path = Path.DEAF if 0 <= vouch.heard <= lately else Path.UNHEARD if vouch.heard >= 0 else Path.CUT
        if member.path is not path:
            self.outgoing.note(
                f"{member.claim.name} does not answer this relay, and answers {by.claim.name}: {path.value}"
            )
            member.path_since = now
        member.path, member.path_by = path, by.claim.name

    def _answered(self, now: int, member: Member, asked_at: int, view: int) -> None:
        """A member was there when this relay's question came, or later."""
        self._answered_at = now
        member.first_hand = True
        self.joined = self.joined or not self.seeds
        if member.word_at is None or asked_at > member.word_at:
            member.word_at = asked_at
            if view >= 0:
                member.word_view = view

    # ---- time

    def _begin(self, now: int) -> None:
        """Whether this process has slept through its own moments: then it judges nobody by them."""
        late = now - self.next_at
        if late <= self.settings.probe_interval // 2 or not self.settings.lifeguard:
            return
        self.counters.slept += 1
        self.health.change(1)
        self.outgoing.note(f"slept for {late / 1e9:.1f} s: no judgement follows from that time", logging.WARNING)
        self.local_view.stretch(late)
        self._probing.give_up(now)
        self.next_at = now

    def _end(self, now: int) -> list[Effect]:
        if self.view != self._looked_at:
            self.view_changed_at = now
        self._look(now)
        self.next_at = self._when(now)
        effects = list(self._effects)
        self._effects.clear()
        return effects

    def _look(self, now: int) -> None:
        """The condition as it is now."""
        changed = self.view != self._looked_at
        self._looked_at = self.view
        if changed:
            self._count(now)
        failed, same, other = self._facts
        facts = Facts(
            joined=self.joined,
            active=self.local.active,
            others=len(self.table),
            alone_after=self._patience(),
            answered_ago=None if self._answered_at is None else now - self._answered_at,
            suspects=len(self.local_view.suspects),
            failed_lately=failed,
            changed=changed,
            agreeing=same,
            differing=other,
            slow=self.health.slow,
        )
        before = self.doubt.condition
        if self.doubt.look(now, facts, self.settings.calm_after(self.count)):
            self.outgoing.note(f"{before.name.lower()} -> {self.doubt.condition.name.lower()}: {self.doubt.why}")

    def _patience(self) -> int:
        return self.settings.alone_after * (self.health.slow + 1)

    def _count(self, now: int) -> None:
        """Counts over all members: once a period, and when the view changes."""
        since = now - self.settings.lately
        failed = sum(
            member.claim.status is Status.FAILED and member.changed_at >= since for member in self.table.gone.values()
        )
        self._facts = (failed, *self.sharing())

    def _when(self, now: int) -> int:
        moments = [self._knock_at, self._exchanges.next_at, self._probing.next_at(now)]
        if not self.joined and self.seeds:
            moments.append(self._exchanges.join_at)
        if self._retry_life_at is not None:
            moments.append(self._retry_life_at)
        maybe = (
            self.local_view.next_judgement(),
            self._questions.next_at(),
            self.doubt.out_at(self.settings.calm_after(self.count)),
        )
        moments += [moment for moment in maybe if moment is not None]
        return max(min(moments), now + MS // 10)

    def _expire(self, now: int) -> None:
        """Questions whose time is over; a Nack to those who wait for one."""
        for question in self._questions.unanswered(now):
            if question.origin is not None:
                self.outgoing.tell(
                    question.origin,
                    fr.Nack(
                        sender=self.local.claim, sequence=self.outgoing.next_sequence(), number=question.origin_number
                    ),
                    question.origin_version,
                )

    # ---- probes

    def _go_on_probing(self, now: int) -> None:
        if self._probing.present is not None:
            if not self._probing.go_on(now):
                return
            self._count(now)
            self.table.forget(now - self.settings.forget_after)
        elif now < self._probing.begin_at:
            return
        if not self._probing.begin(now):
            self._count(now)

    # ---- staying in contact

    def _keep_contact(self, now: int) -> None:
        if self.local.left:
            self._knock_at = now + self.settings.forget_after
            self._exchanges.stop_until(self._knock_at)
            return
        if not self.joined:
            self._exchanges.join(now)
        if self._retry_life_at is not None and now >= self._retry_life_at:
            self._retry_life_at = None
            self._effects.append(StoreLife(self.local.wanted))
        self._exchanges.take_turn(now)
        if now >= self._knock_at:
            self._knock_at = now + self.settings.contact_interval
            self._knock(now)

    def _knock(self, now: int) -> None:
        """Try one of those that failed, or a seed that is nobody's place: when links are whole again, views meet by it.
        Who is suspected is asked by this relay too, whoever began it: it may be there, in another life. A relay whose
        name is in doubt asks in this way how it stands. A seed that has left is tried too: seeds that come
        back together know each other alone."""
        doors: list[tuple[SocketAddress, list[Claim], int]] = []
        if self.seeds:
            known = {
                (member.claim.host, member.claim.port) for member in self.table if member.claim.status is not Status.LEFT
            }
            doors += [(seed, [], 1) for seed in self.seeds if seed not in known]
        doors += [
            (member.claim.address, [member.claim], self.outgoing.version(member.claim))
            for member in self.table.gone.values()
            if member.claim.status is Status.FAILED
        ]
        doors += [
            (member.claim.address, [member.claim], self.outgoing.version(member.claim))
            for member in map(self.table.members.__getitem__, self.local_view.suspects)
        ]
        if not self.local.active or self._answered_at is None:
            doors += [
                (member.claim.address, [], self.outgoing.version(member.claim)) for member in self.table.members.values()
            ]
        if not doors:
            return
        place, claims, version = doors[self._knocked % len(doors)]
        self._knocked += 1
        number = self._questions.ask(Question(Why.KNOCK, now, now + self.settings.probe_interval))
        if number is not None:
            self.outgoing.ping(place, version, number, claims)
