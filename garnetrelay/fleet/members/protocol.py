"""The membership protocol of one relay: how it reacts to each frame and to the passing of time. No I/O, no clock, no
randomness of its own: frames and times in, effects out; ``draw`` is passed in. Probes are in `probing.py`, full
exchanges in `exchanges.py`, the claims that the relay holds in `local_view.py`.

What counts as evidence. A frame is signed by the fleet, so a member made its claims at some time; because claims are
ordered (`claims.py`), an old one changes nothing. That a member is up *now* follows only from an answer to one of this
relay's own requests, matched by its number. A member in an unknown life is therefore sent a request first, and each
frame is accepted only once (`Window`).
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
from garnetrelay.fleet.members.local_member import LocalMember, SelfClaimResult
from garnetrelay.fleet.members.local_view import LocalView
from garnetrelay.fleet.members.outgoing import Outgoing
from garnetrelay.fleet.members.pending_requests import PendingRequest, PendingRequests, Purpose
from garnetrelay.fleet.members.probe_order import ProbeOrder
from garnetrelay.fleet.members.probing import Prober
from garnetrelay.fleet.members.settings import MS, Settings
from garnetrelay.fleet.members.table import LinkState, Member, Table
from garnetrelay.fleet.members.view import FleetView
from garnetrelay.fleet.members.view_state import RELIANCE, Condition, ConditionTracker, Facts

MAX_LEAVE_NOTICES = 8  # members that are notified directly when this relay leaves


@dataclass(slots=True)
class Counters:
    """Event counters for operators."""

    frames: Counter[str] = field(default_factory=Counter)  # accepted, by kind
    refused: Counter[str] = field(default_factory=Counter)  # by cause
    pauses: int = 0


class Membership:
    """The membership protocol of one relay."""

    def __init__(
        self,
        own: Claim,
        settings: Settings,
        rng: random.Random,
        now: int,
        seeds: Sequence[SocketAddress] = (),
        sequence: int = 0,
    ) -> None:
        self.settings = settings
        self._effects: list[Effect] = []
        self._probe_order = ProbeOrder(rng)
        self.local_view = LocalView(own, settings, self._effects, self._probe_order.add)
        self.outgoing = Outgoing(self.local_view, settings, self._effects, sequence)
        self.condition_tracker = ConditionTracker(now)
        self.counters = Counters()
        self.seeds = [seed for seed in seeds if seed != own.address]
        self.joined = not self.seeds  # without seeds there is nobody to join
        self.view_changed_at = now
        self._rng = rng
        self._requests = PendingRequests(rng)
        self.health = LocalHealth(settings)
        self._prober = Prober(
            self.local_view, self.outgoing, self._probe_order, self._requests, self.health, settings, rng, now
        )
        self._contact_at = now + settings.contact_interval
        self._contact_count = 0
        self._exchanges = Exchanges(self.local_view, self.outgoing, settings, self._effects, rng, now, self.seeds)
        self._answered_at: int | None = None
        self._last_view = 0  # the view at the last update of the condition
        self._view_counts = (0, 0, 0)  # recent failures, members with this view and with another one, as last counted
        self._retry_life_at: int | None = None
        self.next_at = self._next_deadline(now)

    # ---- queries

    @property
    def local(self) -> LocalMember:
        """This relay's own entry."""
        return self.local_view.local

    @property
    def table(self) -> Table:
        """The other members, current and departed."""
        return self.local_view.table

    @property
    def view(self) -> int:
        """A 32-bit fingerprint of the members of this relay's view."""
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
        return self.condition_tracker.condition

    def fleet_view(self) -> FleetView:
        """Returns the members of this view with their zones, and what the view may be used for. This iterates over all
        members: call it when ``view`` or ``condition`` has changed, or once a period."""
        zones = {name: member.claim.zone for name, member in self.table.members.items()}
        if self.local.active:
            zones[self.local.claim.name] = self.local.claim.zone
        return FleetView(zones, self.condition, self.view)

    def age(self, name: str, now: int) -> int | None:
        """Returns the maximum age of the last observation of a member (nanoseconds); None if there is none, or it has
        departed."""
        member = self.table.members.get(name)
        return None if member is None or member.seen_at is None else now - member.seen_at

    def count_views(self) -> tuple[int, int]:
        """Returns how many others are known to hold the same view and how many another one, by observations made since
        this view last changed."""
        return observations.count_views(self.table, self.view, self.view_changed_at)

    # ---- events

    def tick(self, now: int) -> list[Effect]:
        """Handles the passing of time. To be called at ``next_at``."""
        self._detect_pause(now)
        self._expire_requests(now)
        self.local_view.expire_suspicions(now, self._answered_at if RELIANCE[self.condition].authoritative else None)
        self._run_probes(now)
        self._maintain_contact(now)
        return self._finish(now)

    def receive(self, now: int, frame: fr.AnyFrame, source: SocketAddress) -> list[Effect]:
        """Handles a datagram whose signature and format were valid."""
        self._detect_pause(now)
        self._receive(now, frame, source)
        return self._finish(now)

    def hello(self, now: int) -> fr.Hello:
        """Returns the first frame of a full exchange."""
        return self._exchanges.hello()

    def answer_hello(self, now: int, hello: fr.Hello) -> fr.Whole:
        """Answers the first frame of an exchange with the claims that the other side lacks. The Hello itself is no
        evidence."""
        return self._exchanges.answer_hello(hello)

    def receive_whole(self, now: int, whole: fr.Whole, number: int, asked_at: int) -> tuple[fr.Whole, list[Effect]]:
        """Handles the claims of another member, in answer to request ``number`` that was sent at ``asked_at``, and
        returns the claims that it lacks. Raises ValueError if the frame answers another request."""
        if whole.number != number:
            self.counters.refused["unasked"] += 1
            raise ValueError("the frame answers another request")
        self._detect_pause(now)
        ours = self._exchanges.digests_like(whole.digests)
        sender = whole.sender
        if sender.name == self.local.claim.name:
            self._apply_claim(now, sender)
        else:
            self._apply_claim(now, sender)
            member = self.table.members.get(sender.name)
            if member is not None and member.claim.identity == sender.identity:
                self._record_answer(now, member, asked_at, -1 if whole.summary is None else whole.summary.view)
                member.window.accept(whole.sequence)
            if sender.process != self.local.claim.process:
                self.joined = True
        for claim in whole.claims:
            self._apply_claim(now, claim)
        answer = self._exchanges.answer_whole(whole, ours)
        return answer, self._finish(now)

    def start_with(self, now: int, claims: Sequence[Claim]) -> list[Effect]:
        """Starts with members that are known in advance and of which none has been heard from: this relay has joined
        with the first answer. For relays without seeds."""
        self._detect_pause(now)
        self.joined = False
        self.local_view.load(now, claims)
        return self._finish(now)

    def resume_from(self, now: int, claims: Sequence[Claim]) -> list[Effect]:
        """Continues as the same member, in the same life, after a handover from another process of this relay."""
        self._detect_pause(now)
        self.joined = True
        self.local_view.load(now, claims)
        return self._finish(now)

    def life_stored(self, now: int, life: int) -> list[Effect]:
        """Handles the confirmation that a life is stored."""
        self._detect_pause(now)
        if self.local_view.life_stored(life):
            self._retry_life_at = None
            self.view_changed_at = now
            self._exchanges.after_new_life(now, self.local_view.life_end_reported_by)
        return self._finish(now)

    def life_not_stored(self, now: int, why: str) -> list[Effect]:
        """Handles a failure to store a life: the relay stays out and tries again."""
        self._detect_pause(now)
        self.outgoing.log(f"life {self.local.wanted_life} can't be kept, staying out: {why}", logging.ERROR)
        self._retry_life_at = now + 5 * self.settings.probe_interval
        return self._finish(now)

    def leave(self, now: int) -> list[Effect]:
        """Announces the end of this life."""
        self._detect_pause(now)
        if self.local.active:
            last = self.local.leave()
            for name in self._probe_order.sample(self.table.members, MAX_LEAVE_NOTICES):
                member = self.table.members[name]
                self.outgoing.ping(member.claim.address, self.outgoing.version(member.claim), 0, [last])
        self.local.left, self.local.active = True, False
        return self._finish(now)

    # ---- received frames

    def _receive(self, now: int, frame: fr.AnyFrame, source: SocketAddress) -> None:
        sender, refused = frame.sender, self.counters.refused
        for claim in frame.claims:
            # Claims about this relay itself are applied even from a frame that proves nothing: this relay knows its own
            # life best.
            if claim.name == self.local.claim.name:
                self._apply_claim(now, claim, source)
        if sender.name == self.local.claim.name:
            refused["own name"] += 1
            if sender.process != self.local.claim.process:
                self._apply_claim(now, sender, source)
            return
        if self.local.left:
            return
        request = self._requests.match_answer(frame, source)
        member = self.table.get(sender.name)
        if member is not None and sender.identity < member.claim.identity:
            refused["old life"] += 1
            self._correct(now, frame, source, member.claim)
            return
        if member is None or sender.identity > member.claim.identity:
            if request is None:
                self._challenge(now, frame, source)
                return
            self._apply_claim(now, sender)
            member = self.table.members.get(sender.name)
            if member is None:
                refused["no room"] += 1
                return
        if member.claim.final:
            refused["gone"] += 1
            if request is not None:
                self._apply_claims(now, frame)
            self._correct(now, frame, source, member.claim)
            return
        if not member.window.accept(frame.sequence):
            refused["replayed"] += 1
            return
        member.frame_received_at = now
        self.counters.frames[type(frame).__name__] += 1
        self._apply_claim(now, sender)
        self._apply_claims(now, frame)
        member = self.table.members.get(sender.name)
        if member is None or not self.local.active and request is None:
            return  # it has announced that it left; or this relay is not active and cannot answer
        match frame:
            case fr.Ping():
                self._send_ack(now, frame, member, source)
            case fr.AskFor():
                self._probe_for_other(now, frame, member, source)
            case fr.Ack() if request is not None:
                self._handle_ack(now, frame, request, member)
            case fr.Vouch() if request is not None:
                self._record_answer(now, member, request.sent_at, -1)
                self._handle_vouch(now, frame, request, member)
            case fr.Nack() if request is not None and self._prober.current is not None:
                self._record_answer(now, member, request.sent_at, -1)
                self._prober.current.nacks += 1

    def _apply_claim(self, now: int, claim: Claim, source: SocketAddress | None = None) -> None:
        """Applies a claim about any member."""
        if self.local_view.apply_claim(now, claim, source) is SelfClaimResult.REFUTED:
            self.health.change(1)

    def _apply_claims(self, now: int, frame: fr.AnyFrame) -> None:
        for claim in frame.claims:
            if claim.name != self.local.claim.name:
                self._apply_claim(now, claim)

    def _correct(self, now: int, frame: fr.AnyFrame, source: SocketAddress, current: Claim) -> None:
        """Tells a member whose life has ended, or was followed by another, the current claim about it."""
        if not self.local.active:
            return
        sender = frame.sender
        if isinstance(frame, fr.Ping):
            self.outgoing.send(
                source,
                fr.Ack(
                    sender=self.local.claim, sequence=self.outgoing.next_sequence(), number=frame.number, claims=[current]
                ),
                self.outgoing.version(sender),
            )
        elif isinstance(frame, fr.AskFor):
            self.outgoing.ping(source, self.outgoing.version(sender), 0, [current])

    def _challenge(self, now: int, frame: fr.AnyFrame, source: SocketAddress) -> None:
        """Handles a frame from an unknown life: answers it, so that the sender knows this relay, and sends it a
        request."""
        self.counters.refused["unproven"] += 1
        if not self.local.active:
            return
        version = self.outgoing.version(frame.sender)
        if isinstance(frame, fr.Ping):
            self.outgoing.send(
                source,
                fr.Ack(
                    sender=self.local.claim,
                    sequence=self.outgoing.next_sequence(),
                    number=frame.number,
                    summary=self.outgoing.summary(),
                ),
                version,
            )
        number = self._requests.add_for_unknown(
            PendingRequest(Purpose.UNKNOWN_MEMBER, now, now + self.settings.probe_interval, frame.sender.name), source
        )
        if number is not None:
            self.outgoing.ping(source, 1, number)

    def _send_ack(self, now: int, ping: fr.Ping, member: Member, source: SocketAddress) -> None:
        origin = self.table.members.get(ping.origin)
        heard = -1 if origin is None or origin.frame_received_at is None else (now - origin.frame_received_at) // MS
        free_bytes = self.outgoing.free_bytes()
        # Reserved for observations, so that they are sent even if there are many claims.
        reserved = min(free_bytes // 3, len(self._probe_order) * fr.OBSERVATION.size)
        claims = self.outgoing.piggyback_claims(free_bytes - reserved, ping.sender.name)
        free_bytes -= sum(claim.size() for claim in claims)
        selected = observations.select(
            self.table, self._probe_order, now, min(free_bytes, self.settings.max_observations * fr.OBSERVATION.size)
        )
        self.outgoing.send(
            source,
            fr.Ack(
                sender=self.local.claim,
                sequence=self.outgoing.next_sequence(),
                number=ping.number,
                claims=claims,
                summary=self.outgoing.summary(),
                observations=selected,
                heard=min(heard, fr.MAX_AGE_MS),
            ),
            self.outgoing.version(member.claim),
        )

    def _probe_for_other(self, now: int, ask_for: fr.AskFor, member: Member, source: SocketAddress) -> None:
        """Probes a member on behalf of another."""
        target = self.table.members.get(ask_for.target)
        number = self._requests.add(
            PendingRequest(
                Purpose.INDIRECT_PROBE,
                now,
                now + self.settings.probe_interval,
                ask_for.target,
                requester=source,
                requester_number=ask_for.number,
                requester_version=self.outgoing.version(member.claim),
                nack_at=now + self.settings.probe_timeout * 4 // 5,
            )
        )
        if number is None:
            return
        address = SocketAddress(ask_for.host, ask_for.port) if target is None else target.claim.address
        self.outgoing.send(
            address,
            fr.Ping(
                sender=self.local.claim,
                sequence=self.outgoing.next_sequence(),
                number=number,
                origin=ask_for.sender.name,
                claims=[] if target is None or target.suspicion is None else [target.claim],
            ),
            1 if target is None else self.outgoing.version(target.claim),
        )

    def _handle_ack(self, now: int, ack: fr.Ack, request: PendingRequest, member: Member) -> None:
        view = -1 if ack.summary is None else ack.summary.view
        self._record_answer(now, member, request.sent_at, view)
        if member.link_state is not LinkState.WHOLE:
            self.outgoing.log(f"{member.claim.name} answers this relay again (was: {member.link_state.value})")
            member.link_state = LinkState.WHOLE
        observations.apply(self.table, ack.observations, request.sent_at)
        if request.purpose is Purpose.PROBE:
            self._prober.answered(member.claim.name)
        elif request.purpose is Purpose.INDIRECT_PROBE and request.requester is not None:
            self.outgoing.send(
                request.requester,
                fr.Vouch(
                    sender=self.local.claim,
                    sequence=self.outgoing.next_sequence(),
                    number=request.requester_number,
                    target=member.claim.name,
                    life=ack.sender.life,
                    process=ack.sender.process,
                    incarnation=ack.sender.incarnation,
                    heard=ack.heard,
                ),
                request.requester_version,
            )
        if view >= 0 and view != self.view:
            self._exchanges.repair(now, member.claim.address, self.view_changed_at)

    def _handle_vouch(self, now: int, vouch: fr.Vouch, request: PendingRequest, by: Member) -> None:
        """Handles the confirmation that a member that does not answer this relay has answered another one."""
        member = self._prober.confirm(vouch)
        if member is None:
            return
        member.seen_at = max(member.seen_at or request.sent_at, request.sent_at)
        recent_ms = 4 * self.settings.probe_timeout // MS
        link_state = (
            LinkState.INBOUND_CUT
            if 0 <= vouch.heard <= recent_ms
            else LinkState.OUTBOUND_CUT
            if vouch.heard >= 0
            else LinkState.INDIRECT_ONLY
        )
        if member.link_state is not link_state:
            self.outgoing.log(
                f"{member.claim.name} does not answer this relay, and answers {by.claim.name}: {link_state.value}"
            )
            member.link_state_since = now
        member.link_state, member.reached_through = link_state, by.claim.name

    def _record_answer(self, now: int, member: Member, asked_at: int, view: int) -> None:
        """Records that a member was up when this relay's request arrived, or later."""
        self._answered_at = now
        member.answered_directly = True
        self.joined = self.joined or not self.seeds
        if member.seen_at is None or asked_at > member.seen_at:
            member.seen_at = asked_at
            if view >= 0:
                member.seen_view = view

    # ---- timing

    def _detect_pause(self, now: int) -> None:
        """Detects that this process was paused past its own deadlines; it then declares nobody failed because of them."""
        late = now - self.next_at
        if late <= self.settings.probe_interval // 2 or not self.settings.lifeguard:
            return
        self.counters.pauses += 1
        self.health.change(1)
        self.outgoing.log(f"slept for {late / 1e9:.1f} s: no judgement follows from that time", logging.WARNING)
        self.local_view.extend_suspicions(late)
        self._prober.abandon(now)
        self.next_at = now

    def _finish(self, now: int) -> list[Effect]:
        if self.view != self._last_view:
            self.view_changed_at = now
        self._update_condition(now)
        self.next_at = self._next_deadline(now)
        effects = list(self._effects)
        self._effects.clear()
        return effects

    def _update_condition(self, now: int) -> None:
        """Updates the condition."""
        changed = self.view != self._last_view
        self._last_view = self.view
        if changed:
            self._count_views(now)
        failed, same, other = self._view_counts
        facts = Facts(
            joined=self.joined,
            active=self.local.active,
            others=len(self.table),
            alone_timeout=self._alone_timeout(),
            answered_ago=None if self._answered_at is None else now - self._answered_at,
            suspects=len(self.local_view.suspects),
            recently_failed=failed,
            changed=changed,
            agreeing=same,
            differing=other,
            slow=self.health.slow,
        )
        before = self.condition_tracker.condition
        if self.condition_tracker.update(now, facts, self.settings.settle_time(self.count)):
            self.outgoing.log(
                f"{before.name.lower()} -> {self.condition_tracker.condition.name.lower()}: {self.condition_tracker.why}"
            )

    def _alone_timeout(self) -> int:
        return self.settings.alone_timeout * (self.health.slow + 1)

    def _count_views(self, now: int) -> None:
        """Counts over all members: once per period, and when the view changes."""
        since = now - self.settings.recent_failure_window
        failed = sum(
            member.claim.status is Status.FAILED and member.changed_at >= since for member in self.table.gone.values()
        )
        self._view_counts = (failed, *self.count_views())

    def _next_deadline(self, now: int) -> int:
        deadlines = [self._contact_at, self._exchanges.next_at, self._prober.next_at(now)]
        if not self.joined and self.seeds:
            deadlines.append(self._exchanges.join_at)
        if self._retry_life_at is not None:
            deadlines.append(self._retry_life_at)
        optional = (
            self.local_view.next_suspicion_deadline(),
            self._requests.next_nack_at(),
            self.condition_tracker.improves_at(self.settings.settle_time(self.count)),
        )
        deadlines += [deadline for deadline in optional if deadline is not None]
        return max(min(deadlines), now + MS // 10)

    def _expire_requests(self, now: int) -> None:
        """Drops expired requests and sends a Nack for indirect probes that are due one."""
        for request in self._requests.expire(now):
            if request.requester is not None:
                self.outgoing.send(
                    request.requester,
                    fr.Nack(
                        sender=self.local.claim, sequence=self.outgoing.next_sequence(), number=request.requester_number
                    ),
                    request.requester_version,
                )

    # ---- probing

    def _run_probes(self, now: int) -> None:
        if self._prober.current is not None:
            if not self._prober.advance(now):
                return
            self._count_views(now)
            self.table.forget(now - self.settings.forget_after)
        elif now < self._prober.next_probe_at:
            return
        if not self._prober.start_next(now):
            self._count_views(now)

    # ---- contact with members outside the view

    def _maintain_contact(self, now: int) -> None:
        if self.local.left:
            self._contact_at = now + self.settings.forget_after
            self._exchanges.postpone_until(self._contact_at)
            return
        if not self.joined:
            self._exchanges.join(now)
        if self._retry_life_at is not None and now >= self._retry_life_at:
            self._retry_life_at = None
            self._effects.append(StoreLife(self.local.wanted_life))
        self._exchanges.start_due(now)
        if now >= self._contact_at:
            self._contact_at = now + self.settings.contact_interval
            self._send_contact_request(now)

    def _send_contact_request(self, now: int) -> None:
        """Sends a contact request to one member that was declared failed, or to a seed that is no member's address:
        through it, views merge when links work again. Suspected members are contacted too, whichever relay suspects
        them: they may be up in another life. A relay that is not active under its name learns its status this way. A
        seed that has left is contacted too, because seeds that come back together know only each other."""
        candidates: list[tuple[SocketAddress, list[Claim], int]] = []
        if self.seeds:
            known = {
                (member.claim.host, member.claim.port) for member in self.table if member.claim.status is not Status.LEFT
            }
            candidates += [(seed, [], 1) for seed in self.seeds if seed not in known]
        candidates += [
            (member.claim.address, [member.claim], self.outgoing.version(member.claim))
            for member in self.table.gone.values()
            if member.claim.status is Status.FAILED
        ]
        candidates += [
            (member.claim.address, [member.claim], self.outgoing.version(member.claim))
            for member in map(self.table.members.__getitem__, self.local_view.suspects)
        ]
        if not self.local.active or self._answered_at is None:
            candidates += [
                (member.claim.address, [], self.outgoing.version(member.claim)) for member in self.table.members.values()
            ]
        if not candidates:
            return
        address, claims, version = candidates[self._contact_count % len(candidates)]
        self._contact_count += 1
        number = self._requests.add(PendingRequest(Purpose.CONTACT, now, now + self.settings.probe_interval))
        if number is not None:
            self.outgoing.ping(address, version, number, claims)
