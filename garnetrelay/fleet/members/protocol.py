"""One relay's part in the fleet: probes, answers, suspicions, the spreading of words. No I/O, no clock, no randomness of
its own: frames and moments in, effects out; ``draw`` is given.

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

from garnetrelay.fleet.members import digests, worth
from garnetrelay.fleet.members import frames as fr
from garnetrelay.fleet.members.asking import Question, Questions, Why
from garnetrelay.fleet.members.claims import Claim, Place, Status
from garnetrelay.fleet.members.condition import RELIES, Condition, Doubt, Facts
from garnetrelay.fleet.members.effects import Effect, Exchange, KeepLife, Note, Tell
from garnetrelay.fleet.members.holding import Holding
from garnetrelay.fleet.members.own import Answer, Own
from garnetrelay.fleet.members.rounds import Probe, Rounds
from garnetrelay.fleet.members.settings import MS, Settings
from garnetrelay.fleet.members.table import Member, Path, Table
from garnetrelay.fleet.members.view import FleetView

LEAVE_TOLD = 8  # members that hear of a leaving at first hand
FIXED = 96  # bytes of a frame besides its sender's claim, its claims and its words, at most
BULK_PERIODS = 2  # more news than so many full frames is more than frames can carry in good time
JOIN_GAPS = 6  # the gap between two tries to join doubles up to 2 ** 6 times a fifth of a period


@dataclass(slots=True)
class Figures:
    """What has happened, for people."""

    frames: Counter[str] = field(default_factory=Counter)  # taken, by kind
    refused: Counter[str] = field(default_factory=Counter)  # by cause
    slept: int = 0


class Members:
    """The decisions of one relay."""

    def __init__(
        self,
        own: Claim,
        settings: Settings,
        draw: random.Random,
        now: int,
        seeds: Sequence[Place] = (),
        sequence: int = 0,
    ) -> None:
        self.settings = settings
        self._effects: list[Effect] = []
        self._rounds = Rounds(draw)
        self.holding = Holding(own, settings, self._effects, self._rounds.enter)
        self.doubt = Doubt(now)
        self.figures = Figures()
        self.seeds = [seed for seed in seeds if seed != own.place]
        self.joined = not self.seeds  # who knows no other has nobody to hear from
        self.slow = 0  # Lifeguard's local health multiplier, 0 to S
        self.sequence = sequence
        self.view_changed_at = now
        self._draw = draw
        self._questions = Questions(draw)
        self._probe: Probe | None = None
        self._probe_at = now + draw.randrange(settings.probe_every)
        self._knock_at = now + settings.knock_every
        self._knocked = 0
        self._exchange_at = now + settings.exchange_gap(1)
        self._exchange_with: Place | None = None  # who is to be asked first
        self._repair_at = now
        self._join_at = now
        self._join_tries = 0
        self._answered_at: int | None = None
        self._looked_at = 0  # the view's print at the last look
        self._facts = (0, 0, 0)  # suspects' and views' counts of the last full look
        self._retry_life_at: int | None = None
        self.next_at = self._when(now)

    # ---- what others may ask

    @property
    def own(self) -> Own:
        return self.holding.own

    @property
    def table(self) -> Table:
        return self.holding.table

    @property
    def view(self) -> int:
        """32 bits that stand for who is in this relay's view."""
        return self.holding.view

    @property
    def count(self) -> int:
        """Members in the view, this relay among them."""
        return self.holding.count

    @property
    def condition(self) -> Condition:
        return self.doubt.condition

    def view_of_members(self) -> FleetView:
        """The members of this view with their zones, and what may be relied on. It walks over all members: ask when
        ``view`` or ``condition`` has changed, or once a period."""
        zones = {name: member.claim.zone for name, member in self.table.members.items()}
        if self.own.named:
            zones[self.own.claim.name] = self.own.claim.zone
        return FleetView(zones, self.condition, self.view)

    def age(self, name: str, now: int) -> int | None:
        """How old the word of a member is at most (nanoseconds); None where there is none, or it is gone."""
        member = self.table.members.get(name)
        return None if member is None or member.word_at is None else now - member.word_at

    def sharing(self) -> tuple[int, int]:
        """How many others are known to hold this very view, and how many to hold another, by words that are no older than
        the view."""
        return worth.sharing(self.table, self.view, self.view_changed_at)

    # ---- what happens

    def tick(self, now: int) -> list[Effect]:
        """Time has passed. To be called at ``next_at``."""
        self._begin(now)
        self._expire(now)
        self.holding.judge(now, self._answered_at if RELIES[self.condition].speak else None)
        self._go_on_probing(now)
        self._keep_contact(now)
        return self._end(now)

    def receive(self, now: int, frame: fr.AnyFrame, source: Place) -> list[Effect]:
        """A datagram has come; its signature and form were good."""
        self._begin(now)
        self._receive(now, frame, source)
        return self._end(now)

    def hello(self, now: int) -> fr.Hello:
        """Begins a full exchange."""
        return fr.Hello(
            sender=self.own.claim,
            sequence=self._next(),
            number=self._draw.getrandbits(62),
            digests=self._digests(digests.buckets_for(self.count)) if self.settings.digests else b"",
        )

    def answer_hello(self, now: int, hello: fr.Hello) -> fr.Whole:
        """The other side's first frame: what this relay holds and it does not. The hello itself counts for nothing."""
        claims, ours = list(self.table.claims()), self._digests_like(hello.digests)
        if ours:
            claims = digests.unlike(claims, ours, hello.digests)
        return self._whole(hello.number, self._draw.getrandbits(62), claims, ours)

    def hear_whole(self, now: int, whole: fr.Whole, number: int, asked_at: int) -> tuple[fr.Whole, list[Effect]]:
        """What another holds, in answer to ``number`` that was sent at ``asked_at``; in return what it lacks. ValueError
        where it answers something else."""
        if whole.number != number:
            self.figures.refused["unasked"] += 1
            raise ValueError("a full exchange that answers another question")
        self._begin(now)
        ours = self._digests_like(whole.digests)
        sender = whole.sender
        if sender.name == self.own.claim.name:
            self._hear(now, sender)
        else:
            self._hear(now, sender)
            member = self.table.members.get(sender.name)
            if member is not None and member.claim.identity == sender.identity:
                self._answered(now, member, asked_at, -1 if whole.summary is None else whole.summary.view)
                member.window.take(whole.sequence)
            if sender.process != self.own.claim.process:
                self.joined = True
        for claim in whole.claims:
            self._hear(now, claim)
        lacks = digests.missing(self.table.claims(), [sender, *whole.claims], ours, whole.digests)
        answer = self._whole(whole.ask, 0, lacks)
        return answer, self._end(now)

    def presume(self, now: int, claims: Sequence[Claim]) -> list[Effect]:
        """Who the others are is known ahead, and has been heard from none of them: this relay has joined with the first
        answer. For relays without seeds."""
        self._begin(now)
        self.joined = False
        self.holding.take_over(now, claims)
        return self._end(now)

    def go_on_from(self, now: int, claims: Sequence[Claim]) -> list[Effect]:
        """Another process of this relay has handed over: the same member goes on, in the same life."""
        self._begin(now)
        self.joined = True
        self.holding.take_over(now, claims)
        return self._end(now)

    def life_kept(self, now: int, life: int) -> list[Effect]:
        """The folder has the life that was wanted."""
        self._begin(now)
        if self.holding.kept(life):
            self._retry_life_at = None
            self.view_changed_at = now
            place = self.holding.told_by or self._anybody()
            if place is not None:
                self._exchange_in_turn(now, place)
        return self._end(now)

    def life_not_kept(self, now: int, why: str) -> list[Effect]:
        """The folder does not take it: the relay stays out, and tries again."""
        self._begin(now)
        self._note(f"life {self.own.wanted} can't be kept, staying out: {why}", logging.ERROR)
        self._retry_life_at = now + 5 * self.settings.probe_every
        return self._end(now)

    def leave(self, now: int) -> list[Effect]:
        """The last words of this life."""
        self._begin(now)
        if self.own.named:
            claim = self.own.claim
            last = self.own.leave()
            for name in self._rounds.sample(self.table.members, LEAVE_TOLD):
                member = self.table.members[name]
                frame = fr.Ping(sender=claim, sequence=self._next(), number=0, claims=[last])
                self._effects.append(Tell(member.claim.place, frame, self._version(member.claim)))
        self.own.left, self.own.named = True, False
        return self._end(now)

    # ---- a frame

    def _receive(self, now: int, frame: fr.AnyFrame, source: Place) -> None:
        sender, refused = frame.sender, self.figures.refused
        for claim in frame.claims:
            # On this relay itself even a frame that proves nothing is heard: its own life is known best here.
            if claim.name == self.own.claim.name:
                self._hear(now, claim, source)
        if sender.name == self.own.claim.name:
            refused["own name"] += 1
            if sender.process != self.own.claim.process:
                self._hear(now, sender, source)
            return
        if self.own.left:
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
        self.figures.frames[type(frame).__name__] += 1
        self._hear(now, sender)
        self._hear_all(now, frame)
        member = self.table.members.get(sender.name)
        if member is None or not self.own.named and question is None:
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
            case fr.Nack() if question is not None and self._probe is not None:
                self._answered(now, member, question.at, -1)
                self._probe.nacks += 1

    def _hear(self, now: int, claim: Claim, source: Place | None = None) -> None:
        """A word on anybody."""
        if self.holding.hear(now, claim, source) is Answer.REFUTED:
            self._slower(1)

    def _hear_all(self, now: int, frame: fr.AnyFrame) -> None:
        for claim in frame.claims:
            if claim.name != self.own.claim.name:
                self._hear(now, claim)

    def _correct(self, now: int, frame: fr.AnyFrame, source: Place, held: Claim) -> None:
        """Tell a life that has ended, or been followed by another, what is held of it."""
        if not self.own.named:
            return
        sender = frame.sender
        if isinstance(frame, fr.Ping):
            self._tell(
                source,
                fr.Ack(sender=self.own.claim, sequence=self._next(), number=frame.number, claims=[held]),
                self._version(sender),
            )
        elif isinstance(frame, fr.AskFor):
            self._tell(
                source,
                fr.Ping(sender=self.own.claim, sequence=self._next(), number=0, claims=[held]),
                self._version(sender),
            )

    def _challenge(self, now: int, frame: fr.AnyFrame, source: Place) -> None:
        """A life that is not known: answer it, so that it knows us, and ask it."""
        self.figures.refused["unproven"] += 1
        if not self.own.named:
            return
        version = self._version(frame.sender)
        if isinstance(frame, fr.Ping):
            self._tell(
                source,
                fr.Ack(sender=self.own.claim, sequence=self._next(), number=frame.number, summary=self._summary()),
                version,
            )
        number = self._questions.ask_stranger(
            Question(Why.STRANGER, now, now + self.settings.probe_every, frame.sender.name), source
        )
        if number is not None:
            self._tell(source, fr.Ping(sender=self.own.claim, sequence=self._next(), number=number), 1)

    def _ack(self, now: int, ping: fr.Ping, member: Member, source: Place) -> None:
        origin = self.table.members.get(ping.origin)
        heard = -1 if origin is None or origin.heard_at is None else (now - origin.heard_at) // MS
        room = self._room()
        kept = min(room // 3, len(self._rounds) * fr.WORD.size)  # words get through beside many claims
        claims = self.holding.spreading.take(room - kept, self._limit(), ping.sender.name)
        room -= sum(claim.size() for claim in claims)
        words = worth.told(self.table, self._rounds, now, min(room, self.settings.most_words * fr.WORD.size))
        self._tell(
            source,
            fr.Ack(
                sender=self.own.claim,
                sequence=self._next(),
                number=ping.number,
                claims=claims,
                summary=self._summary(),
                words=words,
                heard=min(heard, fr.MOST_AGE),
            ),
            self._version(member.claim),
        )

    def _ask_for(self, now: int, asked: fr.AskFor, member: Member, source: Place) -> None:
        """Ask another for a third."""
        target = self.table.members.get(asked.target)
        number = self._questions.ask(
            Question(
                Why.FOR_OTHER,
                now,
                now + self.settings.probe_every,
                asked.target,
                origin=source,
                origin_number=asked.number,
                origin_version=self._version(member.claim),
                nack_at=now + self.settings.probe_timeout * 4 // 5,
            )
        )
        if number is None:
            return
        place = Place(asked.host, asked.port) if target is None else target.claim.place
        self._tell(
            place,
            fr.Ping(
                sender=self.own.claim,
                sequence=self._next(),
                number=number,
                origin=asked.sender.name,
                claims=[] if target is None or target.suspicion is None else [target.claim],
            ),
            1 if target is None else self._version(target.claim),
        )

    def _acked(self, now: int, ack: fr.Ack, question: Question, member: Member) -> None:
        view = -1 if ack.summary is None else ack.summary.view
        self._answered(now, member, question.at, view)
        if member.path is not Path.WHOLE:
            self._note(f"{member.claim.name} answers this relay again (was: {member.path.value})")
            member.path = Path.WHOLE
        worth.hear(self.table, ack.words, question.at)
        probe = self._probe
        if question.why is Why.PROBE and probe is not None and probe.name == member.claim.name:
            if not probe.done:
                self._slower(-1)
            probe.done = True
        elif question.why is Why.FOR_OTHER and question.origin is not None:
            self._tell(
                question.origin,
                fr.Vouch(
                    sender=self.own.claim,
                    sequence=self._next(),
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
            self._repair(now, member)

    def _vouched(self, now: int, vouch: fr.Vouch, question: Question, by: Member) -> None:
        """Another has had an answer from the member that does not answer this relay."""
        probe = self._probe
        if probe is None or probe.number != vouch.number or probe.name != vouch.target:
            return
        member = self.table.members.get(vouch.target)
        if member is None or member.claim.identity != (vouch.life, vouch.process):
            return
        if not probe.done:
            self._slower(-1)
        probe.done = True
        member.word_at = max(member.word_at or question.at, question.at)
        lately = 4 * self.settings.probe_timeout // MS
        path = Path.DEAF if 0 <= vouch.heard <= lately else Path.UNHEARD if vouch.heard >= 0 else Path.CUT
        if member.path is not path:
            self._note(f"{member.claim.name} does not answer this relay, and answers {by.claim.name}: {path.value}")
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

    # ---- what goes out

    def _tell(self, place: Place, frame: fr.Frame, version: int) -> None:
        self._effects.append(Tell(place, frame, version))

    def _note(self, text: str, level: int = logging.INFO) -> None:
        self._effects.append(Note(text, level))

    def _next(self) -> int:
        self.sequence += 1
        return self.sequence

    def _version(self, claim: Claim) -> int:
        return min(claim.speaks, self.settings.versions)

    def _room(self) -> int:
        return self.settings.most_frame - fr.HEAD - FIXED - self.own.claim.size()

    def _limit(self) -> int:
        return self.settings.repeats * self.settings.scale(self.count)

    def _summary(self) -> fr.Summary:
        return fr.Summary(self.view, self.count)

    def _digests(self, buckets: int) -> bytes:
        """Of the words on all, this relay's on itself among them."""
        return digests.digests_of([self.own.claim, *self.table.claims()], buckets)

    def _digests_like(self, theirs: bytes) -> bytes:
        """In as many buckets as another's; none where it has told none."""
        return self._digests(len(theirs) // digests.DIGEST.size) if theirs else b""

    def _whole(self, number: int, ask: int, claims: list[Claim], ours: bytes = b"") -> fr.Whole:
        return fr.Whole(
            sender=self.own.claim,
            sequence=self._next(),
            number=number,
            ask=ask,
            claims=claims[: fr.MOST_CLAIMS],
            summary=self._summary(),
            digests=ours,
        )

    # ---- time

    def _begin(self, now: int) -> None:
        """Whether this process has slept through its own moments: then it judges nobody by them."""
        late = now - self.next_at
        if late <= self.settings.probe_every // 2 or not self.settings.lifeguard:
            return
        self.figures.slept += 1
        self._slower(1)
        self._note(f"slept for {late / 1e9:.1f} s: no judgement follows from that time", logging.WARNING)
        self.holding.stretch(late)
        if self._probe is not None:
            self._rounds.again(self._probe.name)
            self._probe = None
        self._probe_at = now
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
            named=self.own.named,
            others=len(self.table),
            alone_after=self._patience(),
            answered_ago=None if self._answered_at is None else now - self._answered_at,
            suspects=len(self.holding.suspects),
            failed_lately=failed,
            changed=changed,
            agreeing=same,
            differing=other,
            slow=self.slow,
        )
        before = self.doubt.condition
        if self.doubt.look(now, facts, self.settings.calm_after(self.count)):
            self._note(f"{before.name.lower()} -> {self.doubt.condition.name.lower()}: {self.doubt.why}")

    def _patience(self) -> int:
        return self.settings.alone_after * (self.slow + 1)

    def _count(self, now: int) -> None:
        """Counts over all members: once a period, and when the view changes."""
        since = now - self.settings.lately
        failed = sum(
            member.claim.status is Status.FAILED and member.changed_at >= since for member in self.table.gone.values()
        )
        self._facts = (failed, *self.sharing())

    def _when(self, now: int) -> int:
        moments = [self._knock_at, self._exchange_at]
        probe = self._probe
        if probe is None:
            moments.append(self._probe_at)
        else:
            moments.append(probe.ends_at if probe.done or probe.asked or probe.ask_at <= now else probe.ask_at)
        if not self.joined and self.seeds:
            moments.append(self._join_at)
        if self._retry_life_at is not None:
            moments.append(self._retry_life_at)
        maybe = (
            self.holding.next_judgement(),
            self._questions.next_at(),
            self.doubt.out_at(self.settings.calm_after(self.count)),
        )
        moments += [moment for moment in maybe if moment is not None]
        return max(min(moments), now + MS // 10)

    def _expire(self, now: int) -> None:
        """Questions whose time is over; a Nack to those who wait for one."""
        for question in self._questions.unanswered(now):
            if question.origin is not None:
                self._tell(
                    question.origin,
                    fr.Nack(sender=self.own.claim, sequence=self._next(), number=question.origin_number),
                    question.origin_version,
                )

    def _slower(self, by: int) -> None:
        if self.settings.lifeguard:
            self.slow = min(self.settings.most_slow, max(0, self.slow + by))

    # ---- probes

    def _go_on_probing(self, now: int) -> None:
        probe = self._probe
        if probe is not None:
            if not probe.done and not probe.asked and now >= probe.ask_at and now < probe.ends_at:
                self._ask_others(now, probe)
            if now < probe.ends_at:
                return
            self._probe = None
            self._questions.close(probe.number)
            if not probe.done:
                self._unanswered(now, probe)
            self._count(now)
            self.table.forget(now - self.settings.forget_after)
        if now < self._probe_at and probe is None:
            return
        name = self._rounds.choose(self.table.members)
        if name is None or not self.own.named:
            self._probe_at = now + self.settings.probe_every
            self._count(now)
            return
        self._begin_probe(now, self.table.members[name])

    def _begin_probe(self, now: int, member: Member) -> None:
        slow = self.slow + 1
        claim = member.claim
        ends_at = now + self.settings.probe_every * slow
        number = self._questions.ask(Question(Why.PROBE, now, ends_at + MS, claim.name, claim.identity))
        if number is None:
            self._probe_at = ends_at
            return
        self._probe = Probe(claim.name, claim.identity, number, now, now + self.settings.probe_timeout * slow, ends_at)
        # Who is suspected hears of it first (Lifeguard's buddy system).
        claims = [claim] if member.suspicion is not None and self.settings.lifeguard else []
        room = self._room() - sum(one.size() for one in claims)
        claims += self.holding.spreading.take(room, self._limit(), claim.name)
        self._tell(
            claim.place,
            fr.Ping(sender=self.own.claim, sequence=self._next(), number=number, claims=claims, summary=self._summary()),
            self._version(claim),
        )

    def _ask_others(self, now: int, probe: Probe) -> None:
        target = self.table.members.get(probe.name)
        if target is None or target.claim.identity != probe.identity:
            probe.done = True  # it has gone, or lives on in another life
            return
        others = [name for name, member in self.table.members.items() if name != probe.name and member.suspicion is None]
        chosen = self._rounds.sample(others, self.settings.asked)
        probe.asked = True
        probe.expected_nacks = len(chosen)
        for name in chosen:
            member = self.table.members[name]
            self._tell(
                member.claim.place,
                fr.AskFor(
                    sender=self.own.claim,
                    sequence=self._next(),
                    number=probe.number,
                    target=probe.name,
                    host=target.claim.host,
                    port=target.claim.port,
                ),
                self._version(member.claim),
            )

    def _unanswered(self, now: int, probe: Probe) -> None:
        """Neither it nor anybody for it has answered."""
        if probe.expected_nacks:
            self._slower(0 if probe.nacks else 1)
        else:
            self._slower(1)
        self.holding.suspect(
            now,
            probe.name,
            probe.identity,
            f"no answer, nor to the {probe.expected_nacks} that asked for this relay, of whom " f"{probe.nacks} answered",
        )

    # ---- staying in contact

    def _anybody(self) -> Place | None:
        names = list(self.table.members)
        if names:
            return self.table.members[self._draw.choice(names)].claim.place
        return self._draw.choice(self.seeds) if self.seeds else None

    def _keep_contact(self, now: int) -> None:
        if self.own.left:
            self._knock_at = self._exchange_at = now + self.settings.forget_after
            return
        if not self.joined and self.seeds and now >= self._join_at:
            place = self.seeds[self._join_tries % len(self.seeds)]
            self._join_tries += 1
            gap = self.settings.probe_every // 5 << min(JOIN_GAPS, self._join_tries // len(self.seeds))
            self._join_at = now + gap // 2 + self._draw.randrange(gap)
            self._effects.append(Exchange(place))
        if self._retry_life_at is not None and now >= self._retry_life_at:
            self._retry_life_at = None
            self._effects.append(KeepLife(self.own.wanted))
        if now >= self._exchange_at:
            gap = self.settings.exchange_gap(self.count)
            self._exchange_at = now + gap // 2 + self._draw.randrange(gap)
            place_ = self._exchange_with or self._anybody()
            self._exchange_with = None
            if place_ is not None and self.own.named:
                self._effects.append(Exchange(place_))
        if now >= self._knock_at:
            self._knock_at = now + self.settings.knock_every
            self._knock(now)

    def _knock(self, now: int) -> None:
        """Try one of those that failed, or a seed that is nobody's place: when links are whole again, views meet by it.
        Who is suspected is asked by this relay too, whoever began it: it may be there, in another life. A relay whose
        name is in doubt asks in this way how it stands. A seed that has left is tried too: seeds that come
        back together know each other alone."""
        doors: list[tuple[Place, list[Claim], int]] = []
        if self.seeds:
            known = {
                (member.claim.host, member.claim.port) for member in self.table if member.claim.status is not Status.LEFT
            }
            doors += [(seed, [], 1) for seed in self.seeds if seed not in known]
        doors += [
            (member.claim.place, [member.claim], self._version(member.claim))
            for member in self.table.gone.values()
            if member.claim.status is Status.FAILED
        ]
        doors += [
            (member.claim.place, [member.claim], self._version(member.claim))
            for member in map(self.table.members.__getitem__, self.holding.suspects)
        ]
        if not self.own.named or self._answered_at is None:
            doors += [(member.claim.place, [], self._version(member.claim)) for member in self.table.members.values()]
        if not doors:
            return
        place, claims, version = doors[self._knocked % len(doors)]
        self._knocked += 1
        number = self._questions.ask(Question(Why.KNOCK, now, now + self.settings.probe_every))
        if number is not None:
            self._tell(
                place, fr.Ping(sender=self.own.claim, sequence=self._next(), number=number, claims=claims), version
            )

    def _repair(self, now: int, member: Member) -> None:
        """Somebody holds another view: a full exchange, unless words may still be on their way."""
        pause, bulk = self.settings.calm_after(self.count), self._bulk()
        if bulk > BULK_PERIODS * self.settings.probe_every:
            pause = bulk
            if now - self._repair_at > bulk:  # it has just begun, and many see it at the same time
                self._repair_at = now + self._draw.randrange(bulk)
        elif now - self.view_changed_at < pause:
            return
        if now < self._repair_at:
            return
        self._repair_at = now + pause
        self._effects.append(Exchange(member.claim.place))

    def _bulk(self) -> int:
        """For how long full exchanges have to pause so that they take no more than frames may: two full ones a period,
        since for each exchange that a relay begins it answers one. The words that are probably news to another are those
        on their way, and those on members that failed. With few changes, or few members, it is less than a period."""
        failed = sum(member.claim.status is Status.FAILED for member in self.table.gone.values())
        size = (len(self.holding.spreading) + failed) * self.own.claim.size()
        return size * self.settings.probe_every // self.settings.most_frame

    def _exchange_in_turn(self, now: int, place: Place) -> None:
        """At once where little has changed; else at a moment of its own, since many will want to at the same time."""
        bulk = self._bulk()
        if bulk <= BULK_PERIODS * self.settings.probe_every:
            self._effects.append(Exchange(place))
            return
        self._exchange_at = now + self._draw.randrange(bulk)
        self._repair_at = now + bulk
        self._exchange_with = place
