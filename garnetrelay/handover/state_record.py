"""The record from which an old process starts again if its successor dies: a file in memory that both processes hold.

The old process writes the state that it hands over, and the new one appends what it learns. The kernel keeps the file as
long as one of them holds its descriptor: it outlives the death of the process that writes it, and the execve with which
the other one starts again. Only frames that are complete count.
"""

from __future__ import annotations

import logging
import os
from collections.abc import MutableMapping

from garnetrelay.handover.learned import merge
from garnetrelay.handover.protocol import HEAD, Frame, Learned, ProtocolError, State, decode, encode, lengths

log = logging.getLogger(__name__)

VARIABLE = "GARNETRELAY_STATE_RECORD"  # names the descriptor to the program that starts again
MAX_LEARNED_BYTES = 4 << 20  # of memory, behind the state; beyond them only changes of the list are appended


class StateRecord:
    """A descriptor of the record. Neither process waits for the other: writing to memory does not block."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self._max_bytes = os.fstat(descriptor).st_size + MAX_LEARNED_BYTES
        self._failed = False

    @classmethod
    def create(cls, state: State) -> StateRecord | None:
        """A record with a state; None if the kernel refuses the memory, and the state is not kept then."""
        try:
            record = cls(os.memfd_create("garnetrelay-state"))
        except OSError as error:
            log.error("upgrade: if it fails, this process starts again without what it knows: %s", error.strerror)
            return None
        record._write(state)
        return record

    def append(self, learned: Learned) -> None:
        """Append what was learned; a failure is logged once."""
        if not self._failed and (learned.endpoints or os.fstat(self.descriptor).st_size < self._max_bytes):
            self._write(learned)

    def _write(self, frame: Frame) -> None:
        data = b"".join(encode(frame))
        try:
            while data:
                data = data[os.write(self.descriptor, data) :]
        except OSError as error:
            self._failed = True
            log.error("upgrade: the state record can't be written: %s", error.strerror)

    def read(self) -> State | None:
        """The state with all that was learned since; None if the record is unusable."""
        state: State | None = None
        learned = []
        data = memoryview(os.pread(self.descriptor, os.fstat(self.descriptor).st_size, 0))
        try:
            while len(data) >= HEAD.size:
                end = HEAD.size + lengths(bytes(data[: HEAD.size]))[0]
                if len(data) < end:
                    break  # the new process died while it wrote this
                frame = decode(bytes(data[HEAD.size : end]))
                if isinstance(frame, State):
                    state = frame
                elif isinstance(frame, Learned):
                    learned.append(frame)
                data = data[end:]
        except ProtocolError as error:
            log.error("upgrade: the state record is unreadable from here on: %s", error)
        return None if state is None else merge(state, learned)

    def leave_to_next_program(self, environment: MutableMapping[str, str]) -> None:
        """Keep the descriptor open across the execve of this process, and name it in the environment."""
        os.set_inheritable(self.descriptor, True)
        environment[VARIABLE] = str(self.descriptor)

    def close(self) -> None:
        """Close this process's descriptor."""
        os.close(self.descriptor)


def inherited_state(environment: MutableMapping[str, str]) -> State | None:
    """The state that this process left to itself before it started again; None if it did not. Removes the variable."""
    descriptor = environment.pop(VARIABLE, "")
    if not descriptor.isascii() or not descriptor.isdigit():
        return None
    try:
        record = StateRecord(int(descriptor))
        try:
            return record.read()
        finally:
            record.close()
    except OSError as error:
        log.error("upgrade: the state record can't be read: %s", error.strerror)
        return None
