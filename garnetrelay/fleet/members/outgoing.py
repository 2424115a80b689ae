"""The frames and log lines that one relay's decisions ask for, with the sequence numbers of its frames. No I/O."""

from __future__ import annotations

import logging
from collections.abc import Sequence

from garnetrelay.fleet.members import frames as fr
from garnetrelay.fleet.members.claims import Claim, SocketAddress
from garnetrelay.fleet.members.effects import Effect, LogLine, SendFrame
from garnetrelay.fleet.members.local_view import LocalView
from garnetrelay.fleet.members.settings import Settings

FIXED_FRAME_BYTES = 96  # bytes of a frame besides its sender's claim, its claims and its words, at most


class Outgoing:
    """Puts datagrams and log lines behind the other effects. ``sequence`` is the number of the last frame."""

    def __init__(self, local_view: LocalView, settings: Settings, effects: list[Effect], sequence: int) -> None:
        self.sequence = sequence
        self._local_view = local_view
        self._settings = settings
        self._effects = effects

    @property
    def sender(self) -> Claim:
        """The claim that stands on each frame: this relay's on itself."""
        return self._local_view.local.claim

    def next_sequence(self) -> int:
        """The number of the next frame of this process."""
        self.sequence += 1
        return self.sequence

    def version(self, claim: Claim) -> int:
        """The version of frames that is spoken with a member."""
        return min(claim.speaks, self._settings.versions)

    def free_bytes(self) -> int:
        """Bytes in a frame for claims and words."""
        return self._settings.max_frame_bytes - fr.HEADER_BYTES - FIXED_FRAME_BYTES - self.sender.size()

    def piggyback_claims(self, free_bytes: int, to: str) -> list[Claim]:
        """The claims that are spread with the next frame to a member, in so much room (bytes)."""
        limit = self._settings.retransmit_multiplier * self._settings.log_scale(self._local_view.count)
        return self._local_view.dissemination.take(free_bytes, limit, to)

    def summary(self) -> fr.Summary:
        """This relay's view, in short."""
        return fr.Summary(self._local_view.view, self._local_view.count)

    def send(self, address: SocketAddress, frame: fr.Frame, version: int) -> None:
        """A datagram."""
        self._effects.append(SendFrame(address, frame, version))

    def ping(
        self,
        address: SocketAddress,
        version: int,
        number: int,
        claims: Sequence[Claim] = (),
        origin: str = "",
        summary: fr.Summary | None = None,
    ) -> None:
        """A question by its number; 0 where no answer is looked for. ``origin``: the member it is asked for."""
        ping = fr.Ping(
            sender=self.sender,
            sequence=self.next_sequence(),
            number=number,
            claims=list(claims),
            origin=origin,
            summary=summary,
        )
        self.send(address, ping, version)

    def log(self, text: str, level: int = logging.INFO) -> None:
        """A line for the log."""
        self._effects.append(LogLine(text, level))
