"""Full exchanges of what two relays hold: when this relay begins one, with whom, and what is told in it. No I/O.

A relay without members begins one with its seeds in turn until one has answered (join); after that one with any
member in each gap of the settings, one with whoever holds another view (repair), and one once it goes on in a new life.
Hello, Whole, Whole: the first carries digests, the other two the claims that the other side lacks by them.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from garnetrelay.fleet.members import digests
from garnetrelay.fleet.members import frames as fr
from garnetrelay.fleet.members.claims import Claim, SocketAddress, Status
from garnetrelay.fleet.members.effects import Effect, StartExchange
from garnetrelay.fleet.members.local_view import LocalView
from garnetrelay.fleet.members.outgoing import Outgoing
from garnetrelay.fleet.members.settings import Settings

BULK_PERIODS = 2  # more news than so many full frames is more than frames can carry in good time
MAX_JOIN_DOUBLINGS = 6  # the gap between two tries to join doubles up to 2 ** 6 times a fifth of a period


class Exchanges:
    """The full exchanges of one relay. Moments and gaps are in nanoseconds; the next one in turn is due at ``next_at``,
    the next try to join at ``join_at``."""

    def __init__(
        self,
        local_view: LocalView,
        outgoing: Outgoing,
        settings: Settings,
        effects: list[Effect],
        draw: random.Random,
        now: int,
        seeds: Sequence[SocketAddress],
    ) -> None:
        self.next_at = now + settings.exchange_gap(1)
        self.join_at = now
        self._local_view = local_view
        self._outgoing = outgoing
        self._settings = settings
        self._effects = effects
        self._draw = draw
        self._seeds = seeds
        self._join_tries = 0
        self._next_address: SocketAddress | None = None  # who is to be asked in the next turn
        self._repair_at = now

    # ---- when, and with whom

    def postpone_until(self, moment: int) -> None:
        """No exchange in turn before that moment."""
        self.next_at = moment

    def join(self, now: int) -> None:
        """Try the next seed, if it is time; with each round over all of them the gap doubles."""
        if not self._seeds or now < self.join_at:
            return
        address = self._seeds[self._join_tries % len(self._seeds)]
        self._join_tries += 1
        gap = self._settings.probe_interval // 5 << min(MAX_JOIN_DOUBLINGS, self._join_tries // len(self._seeds))
        self.join_at = now + gap // 2 + self._draw.randrange(gap)
        self._effects.append(StartExchange(address))

    def start_due(self, now: int) -> None:
        """Begin the one that is due, if it is time."""
        if now < self.next_at:
            return
        gap = self._settings.exchange_gap(self._local_view.count)
        self.next_at = now + gap // 2 + self._draw.randrange(gap)
        address = self._next_address or self._random_address()
        self._next_address = None
        if address is not None and self._local_view.local.active:
            self._effects.append(StartExchange(address))

    def repair(self, now: int, address: SocketAddress, changed_at: int) -> None:
        """Somebody there holds another view: a full exchange, unless words may still be on their way. ``changed_at``:
        when this relay's view last changed."""
        backoff, transfer_time = self._settings.settle_time(self._local_view.count), self._bulk_transfer_time()
        if transfer_time > BULK_PERIODS * self._settings.probe_interval:
            backoff = transfer_time
            if now - self._repair_at > transfer_time:  # it has just begun, and many see it at the same time
                self._repair_at = now + self._draw.randrange(transfer_time)
        elif now - changed_at < backoff:
            return
        if now < self._repair_at:
            return
        self._repair_at = now + backoff
        self._effects.append(StartExchange(address))

    def after_new_life(self, now: int, told_by: SocketAddress | None) -> None:
        """This relay goes on in a new life: an exchange with who said that the last had ended, or with anybody. At once
        where little has changed; else at a moment of its own, since many will want to at the same time."""
        address = told_by or self._random_address()
        if address is None:
            return
        transfer_time = self._bulk_transfer_time()
        if transfer_time <= BULK_PERIODS * self._settings.probe_interval:
            self._effects.append(StartExchange(address))
            return
        self.next_at = now + self._draw.randrange(transfer_time)
        self._repair_at = now + transfer_time
        self._next_address = address

    def _random_address(self) -> SocketAddress | None:
        members = self._local_view.table.members
        if members:
            return members[self._draw.choice(list(members))].claim.address
        return self._draw.choice(self._seeds) if self._seeds else None

    def _bulk_transfer_time(self) -> int:
        """For how long full exchanges have to pause so that they take no more than frames may: two full ones a period,
        since for each exchange that a relay begins it answers one. The words that are probably news to another are those
        on their way, and those on members that failed. With few changes, or few members, it is less than a period."""
        local_view = self._local_view
        failed = sum(member.claim.status is Status.FAILED for member in local_view.table.gone.values())
        size = (len(local_view.dissemination) + failed) * self._outgoing.sender.size()
        return size * self._settings.probe_interval // self._settings.max_frame_bytes

    # ---- what is told

    def hello(self) -> fr.Hello:
        """Begins an exchange."""
        return fr.Hello(
            sender=self._outgoing.sender,
            sequence=self._outgoing.next_sequence(),
            number=self._draw.getrandbits(62),
            digests=self._digests(digests.buckets_for(self._local_view.count)) if self._settings.digests else b"",
        )

    def answer_hello(self, hello: fr.Hello) -> fr.Whole:
        """What this relay holds and the other does not, with a question of its own."""
        claims, ours = list(self._local_view.table.claims()), self.digests_like(hello.digests)
        if ours:
            claims = digests.in_differing_buckets(claims, ours, hello.digests)
        return self._whole(hello.number, self._draw.getrandbits(62), claims, ours)

    def answer_whole(self, whole: fr.Whole, ours: bytes) -> fr.Whole:
        """What the other still lacks. ``ours``: this relay's digests before it heard what the other holds."""
        lacks = digests.missing(self._local_view.table.claims(), [whole.sender, *whole.claims], ours, whole.digests)
        return self._whole(whole.ask, 0, lacks)

    def digests_like(self, theirs: bytes) -> bytes:
        """In as many buckets as another's; none where it has told none."""
        return self._digests(len(theirs) // digests.DIGEST.size) if theirs else b""

    def _digests(self, buckets: int) -> bytes:
        """Of the words on all, this relay's on itself among them."""
        return digests.digests_of([self._outgoing.sender, *self._local_view.table.claims()], buckets)

    def _whole(self, number: int, ask: int, claims: list[Claim], ours: bytes = b"") -> fr.Whole:
        return fr.Whole(
            sender=self._outgoing.sender,
            sequence=self._outgoing.next_sequence(),
            number=number,
            ask=ask,
            claims=claims[: fr.MAX_CLAIMS],
            summary=self._outgoing.summary(),
            digests=ours,
        )
