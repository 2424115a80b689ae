"""Builds the frames and log lines that one relay's decisions ask for, and numbers its frames. No I/O."""

from __future__ import annotations

import logging
from collections.abc import Sequence

from garnetrelay.fleet.members import frames as fr
from garnetrelay.fleet.members.claims import Claim, SocketAddress
from garnetrelay.fleet.members.effects import Effect, LogLine, SendFrame
from garnetrelay.fleet.members.local_view import LocalView
from garnetrelay.fleet.members.settings import Settings

FIXED_FRAME_BYTES = 96  # upper bound of a frame's size without the sender's claim, the claims and the observations


class Outgoing:
    """Appends datagrams and log lines to the effects. ``sequence`` is the number of the last frame."""

    def __init__(self, local_view: LocalView, settings: Settings, effects: list[Effect], sequence: int) -> None:
        self.sequence = sequence
        self._local_view = local_view
        self._settings = settings
        self._effects = effects

    @property
    def sender(self) -> Claim:
        """The claim that each frame carries: this relay's claim about itself."""
        return self._local_view.local.claim

    def next_sequence(self) -> int:
        """Returns the sequence number of the next frame of this process."""
        self.sequence += 1
        return self.sequence

    def version(self, claim: Claim) -> int:
        """Returns the frame version to use with a member."""
        return min(claim.max_version, self._settings.versions)

    def free_bytes(self) -> int:
        """Returns the bytes of a frame that are free for claims and observations."""
        return self._settings.max_frame_bytes - fr.HEADER_BYTES - FIXED_FRAME_BYTES - self.sender.size()

    def piggyback_claims(self, free_bytes: int, to: str) -> list[Claim]:
        """Returns the claims to piggyback on the next frame to a member, at most ``free_bytes`` in total."""
        limit = self._settings.retransmit_multiplier * self._settings.log_scale(self._local_view.count)
        return self._local_view.dissemination.take(free_bytes, limit, to)

    def summary(self) -> fr.Summary:
        """Returns the summary of this relay's view."""
        return fr.Summary(self._local_view.view, self._local_view.count)

    def send(self, address: SocketAddress, frame: fr.Frame, version: int) -> None:
        """Sends a datagram."""
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
        """Sends a ping. ``number`` is 0 if no answer is expected; ``origin`` is the member on whose behalf it is sent."""
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
        """Writes a log line."""
        self._effects.append(LogLine(text, level))
