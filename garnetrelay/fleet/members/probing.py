"""SWIM's probe of one member at a time: directly, then through other members, then suspicion. No I/O.

`probe_order.py` determines the next target. A timely answer over any path makes the probe succeed; the next probe
starts when the period is over in either case.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from garnetrelay.fleet.members import frames as fr
from garnetrelay.fleet.members.claims import Identity
from garnetrelay.fleet.members.health import LocalHealth
from garnetrelay.fleet.members.local_view import LocalView
from garnetrelay.fleet.members.outgoing import Outgoing
from garnetrelay.fleet.members.pending_requests import PendingRequest, PendingRequests, Purpose
from garnetrelay.fleet.members.probe_order import ProbeOrder
from garnetrelay.fleet.members.settings import MS, Settings
from garnetrelay.fleet.members.table import Member


@dataclass(slots=True)
class Probe:
    """The current probe."""

    name: str
    identity: Identity
    number: int
    started_at: int
    indirect_at: int  # indirect probes are sent if there is no answer by then
    ends_at: int
    indirect_sent: bool = False
    expected_nacks: int = 0
    nacks: int = 0
    succeeded: bool = False  # the target has answered this relay, or another one on its behalf


class Prober:
    """The probes of one relay. ``current`` is the probe under way; without one, the next starts at ``next_probe_at``
    (nanoseconds)."""

    def __init__(
        self,
        local_view: LocalView,
        outgoing: Outgoing,
        probe_order: ProbeOrder,
        requests: PendingRequests,
        health: LocalHealth,
        settings: Settings,
        rng: random.Random,
        now: int,
    ) -> None:
        self.current: Probe | None = None
        self.next_probe_at = now + rng.randrange(settings.probe_interval)
        self._local_view = local_view
        self._outgoing = outgoing
        self._probe_order = probe_order
        self._requests = requests
        self._health = health
        self._settings = settings

    def next_at(self, now: int) -> int:
        """Returns when `advance` or `start_next` is due."""
        probe = self.current
        if probe is None:
            return self.next_probe_at
        return probe.ends_at if probe.succeeded or probe.indirect_sent or probe.indirect_at <= now else probe.indirect_at

    def abandon(self, now: int) -> None:
        """Abandons the current probe because this relay was paused: nothing follows from it, and the next one starts
        at once."""
        if self.current is not None:
            self._probe_order.put_back(self.current.name)
            self.current = None
        self.next_probe_at = now

    def advance(self, now: int) -> bool:
        """Advances the current probe: sends indirect probes, or ends it when its period is over. Returns whether it
        has ended."""
        probe = self.current
        assert probe is not None
        if now < probe.ends_at:
            if not probe.succeeded and not probe.indirect_sent and now >= probe.indirect_at:
                self._probe_indirectly(probe)
            return False
        self.current = None
        self._requests.close(probe.number)
        if not probe.succeeded:
            self._fail(now, probe)
        return True

    def start_next(self, now: int) -> bool:
        """Probes the next member of the round. Returns False if there is none, or this relay is not active."""
        members = self._local_view.table.members
        name = self._probe_order.next_target(members)
        if name is None or not self._local_view.local.active:
            self.next_probe_at = now + self._settings.probe_interval
            return False
        self._start(now, members[name])
        return True

    def answered(self, name: str) -> None:
        """Records that a member answered this relay."""
        if self.current is not None and self.current.name == name:
            self._succeed(self.current)

    def confirm(self, vouch: fr.Vouch) -> Member | None:
        """Records that a member answered another one on this relay's behalf. Returns that member if the current probe
        is of it, in that life."""
        probe = self.current
        if probe is None or probe.number != vouch.number or probe.name != vouch.target:
            return None
        member = self._local_view.table.members.get(vouch.target)
        if member is None or member.claim.identity != (vouch.life, vouch.process):
            return None
        self._succeed(probe)
        return member

    def _succeed(self, probe: Probe) -> None:
        if not probe.succeeded:
            self._health.change(-1)
        probe.succeeded = True

    def _start(self, now: int, member: Member) -> None:
        slow = self._health.slow + 1
        claim = member.claim
        ends_at = now + self._settings.probe_interval * slow
        number = self._requests.add(PendingRequest(Purpose.PROBE, now, ends_at + MS, claim.name, claim.identity))
        if number is None:
            self.next_probe_at = ends_at
            return
        self.current = Probe(claim.name, claim.identity, number, now, now + self._settings.probe_timeout * slow, ends_at)
        # A suspected member is told of the suspicion first (Lifeguard's buddy system).
        claims = [claim] if member.suspicion is not None and self._settings.lifeguard else []
        free_bytes = self._outgoing.free_bytes() - sum(one.size() for one in claims)
        claims += self._outgoing.piggyback_claims(free_bytes, claim.name)
        self._outgoing.ping(
            claim.address, self._outgoing.version(claim), number, claims, summary=self._outgoing.summary()
        )

    def _probe_indirectly(self, probe: Probe) -> None:
        target = self._local_view.table.members.get(probe.name)
        if target is None or target.claim.identity != probe.identity:
            probe.succeeded = True  # it has departed, or continues in another life
            return
        others = [
            name
            for name, member in self._local_view.table.members.items()
            if name != probe.name and member.suspicion is None
        ]
        chosen = self._probe_order.sample(others, self._settings.indirect_probes)
        probe.indirect_sent = True
        probe.expected_nacks = len(chosen)
        for name in chosen:
            member = self._local_view.table.members[name]
            self._outgoing.send(
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

    def _fail(self, now: int, probe: Probe) -> None:
        """Handles a probe that got neither a direct nor an indirect answer."""
        if probe.expected_nacks:
            self._health.change(0 if probe.nacks else 1)
        else:
            self._health.change(1)
        self._local_view.suspect(
            now,
            probe.name,
            probe.identity,
            f"no answer, direct or through {probe.expected_nacks} other members, of which " f"{probe.nacks} answered",
        )
