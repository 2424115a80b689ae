"""Full exchanges of the claims of two relays: when this relay starts one, with whom, and what it sends. No I/O.

A relay without members starts exchanges with its seeds in rotation until one answers (join). After that it starts one
with a random member per interval of the settings, one with a member that holds another view (repair), and one after
continuing in a new life. The frames are Hello, Whole, Whole: the first carries digests, the other two the claims that
the other side lacks according to them.
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

BULK_PERIODS = 2  # if changes fill more full frames than this, piggybacking cannot spread them in reasonable time
MAX_JOIN_DOUBLINGS = 6  # join attempts start a fifth of a period apart; the interval grows to 2 ** 6 times that


class Exchanges:
    """The full exchanges of one relay. Times are in nanoseconds; the next periodic exchange is due at ``next_at``, the
    next attempt to join at ``join_at``."""

    def __init__(
        self,
        local_view: LocalView,
        outgoing: Outgoing,
        settings: Settings,
        effects: list[Effect],
        rng: random.Random,
        now: int,
        seeds: Sequence[SocketAddress],
    ) -> None:
        self.next_at = now + settings.exchange_gap(1)
        self.join_at = now
        self._local_view = local_view
        self._outgoing = outgoing
        self._settings = settings
        self._effects = effects
        self._rng = rng
        self._seeds = seeds
        self._join_tries = 0
        self._next_address: SocketAddress | None = None  # the other side of the next periodic exchange, if already chosen
        self._repair_at = now

    # ---- scheduling

    def postpone_until(self, earliest: int) -> None:
        """Starts no periodic exchange before that time."""
        self.next_at = earliest

    def join(self, now: int) -> None:
        """Tries the next seed if it is due; after each round over all seeds the interval doubles."""
        if not self._seeds or now < self.join_at:
            return
        address = self._seeds[self._join_tries % len(self._seeds)]
        self._join_tries += 1
        gap = self._settings.probe_interval // 5 << min(MAX_JOIN_DOUBLINGS, self._join_tries // len(self._seeds))
        self.join_at = now + gap // 2 + self._rng.randrange(gap)
        self._effects.append(StartExchange(address))

    def start_due(self, now: int) -> None:
        """Starts the periodic exchange if it is due."""
        if now < self.next_at:
            return
        gap = self._settings.exchange_gap(self._local_view.count)
        self.next_at = now + gap // 2 + self._rng.randrange(gap)
        address = self._next_address or self._random_address()
        self._next_address = None
        if address is not None and self._local_view.local.active:
            self._effects.append(StartExchange(address))

    def repair(self, now: int, address: SocketAddress, changed_at: int) -> None:
        """Starts a full exchange with a member that holds another view, unless claims may still be on their way.
        ``changed_at`` is when this relay's view last changed."""
        backoff, transfer_time = self._settings.settle_time(self._local_view.count), self._bulk_transfer_time()
        if transfer_time > BULK_PERIODS * self._settings.probe_interval:
            backoff = transfer_time
            # The difference is recent, and many relays notice it at the same time.
            if now - self._repair_at > transfer_time:
                self._repair_at = now + self._rng.randrange(transfer_time)
        elif now - changed_at < backoff:
            return
        if now < self._repair_at:
            return
        self._repair_at = now + backoff
        self._effects.append(StartExchange(address))

    def after_new_life(self, now: int, reported_by: SocketAddress | None) -> None:
        """Starts an exchange after this relay has continued in a new life, with the member that reported the end of
        the previous one, or a random one. Immediately if little has changed, otherwise after a random delay, because
        many relays will start one at the same time."""
        address = reported_by or self._random_address()
        if address is None:
            return
        transfer_time = self._bulk_transfer_time()
        if transfer_time <= BULK_PERIODS * self._settings.probe_interval:
            self._effects.append(StartExchange(address))
            return
        self.next_at = now + self._rng.randrange(transfer_time)
        self._repair_at = now + transfer_time
        self._next_address = address

    def _random_address(self) -> SocketAddress | None:
        members = self._local_view.table.members
        if members:
            return members[self._rng.choice(list(members))].claim.address
        return self._rng.choice(self._seeds) if self._seeds else None

    def _bulk_transfer_time(self) -> int:
        """Returns how long full exchanges have to pause so that they use no more bandwidth than frames may: two full
        frames a period, since a relay answers one exchange for each one that it starts. The claims that are probably
        new to another member are those being disseminated and those about failed members. With few changes or few
        members, the result is less than a period."""
        local_view = self._local_view
        failed = sum(member.claim.status is Status.FAILED for member in local_view.table.gone.values())
        size = (len(local_view.dissemination) + failed) * self._outgoing.sender.size()
        return size * self._settings.probe_interval // self._settings.max_frame_bytes

    # ---- frames

    def hello(self) -> fr.Hello:
        """Returns the first frame of an exchange."""
        return fr.Hello(
            sender=self._outgoing.sender,
            sequence=self._outgoing.next_sequence(),
            number=self._rng.getrandbits(62),
            digests=self._digests(digests.buckets_for(self._local_view.count)) if self._settings.digests else b"",
        )

    def answer_hello(self, hello: fr.Hello) -> fr.Whole:
        """Returns the claims that the other relay lacks, with a request number of this relay."""
        claims, ours = list(self._local_view.table.claims()), self.digests_like(hello.digests)
        if ours:
            claims = digests.in_differing_buckets(claims, ours, hello.digests)
        return self._whole(hello.number, self._rng.getrandbits(62), claims, ours)

    def answer_whole(self, whole: fr.Whole, ours: bytes) -> fr.Whole:
        """Returns the claims that the other relay still lacks. ``ours`` are this relay's digests from before it
        applied the other's claims."""
        lacks = digests.missing(self._local_view.table.claims(), [whole.sender, *whole.claims], ours, whole.digests)
        return self._whole(whole.ask, 0, lacks)

    def digests_like(self, theirs: bytes) -> bytes:
        """Returns digests with the same number of buckets as the other relay's; none if it has sent none."""
        return self._digests(len(theirs) // digests.DIGEST.size) if theirs else b""

    def _digests(self, buckets: int) -> bytes:
        """Returns digests of all claims, including this relay's about itself."""
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
