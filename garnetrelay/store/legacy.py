"""Reads the journal of versions before segments, a single file of JSON records, to import it once. No I/O."""

from __future__ import annotations

import json
import struct
import zlib

from garnetrelay.store.format import Entry
from garnetrelay.store.index import apply_attempt, apply_outcome

NAME = "journal"
SPARE = "journal.new"  # an incomplete rewrite, left by a kill
HEAD = struct.Struct(">2sII")  # mark, length of the payload, its CRC-32
MARK = b"\xa7R"
MAX_PAYLOAD_BYTES = 1 << 20


def read(data: bytes) -> tuple[dict[str, Entry], int]:
    """The live messages of such a file, and the number of damaged bytes skipped, without a torn tail."""
    entries: dict[str, Entry] = {}
    at = damaged = 0
    while at < len(data):
        payload = _payload_at(data, at)
        if payload is None:
            following = _next_record(data, at + 1)
            if following is None:
                break
            damaged += following - at
            for entry in entries.values():
                entry.uncertain = True
            at = following
            continue
        at += HEAD.size + len(payload)
        try:
            _replay(entries, payload)
        except (ValueError, KeyError, TypeError):
            damaged += len(payload)
            for entry in entries.values():
                entry.uncertain = True
    return entries, damaged


def _replay(entries: dict[str, Entry], payload: bytes) -> None:
    head, _, body = payload.partition(b"\n")
    record = json.loads(head)
    kind = record.pop("t")
    if kind == "taken":
        entry = Entry(body=body, **record)
        entries[entry.ref] = entry
        return
    found = entries.get(record["ref"])
    if found is None:
        return
    match kind:
        case "try":
            apply_attempt(found, record["at"], record["zone"])
        case "outcome":
            apply_outcome(found, record["ran"])
        case "ended" if record["result"] is not None:
            found.ended, found.wait_ms, found.body = record["result"], record["wait"], b""
        case "ended" | "told":
            del entries[found.ref]


def _payload_at(data: bytes, at: int) -> bytes | None:
    if at + HEAD.size > len(data):
        return None
    mark, length, checksum = HEAD.unpack_from(data, at)
    payload = data[at + HEAD.size : at + HEAD.size + length]
    if mark != MARK or length > MAX_PAYLOAD_BYTES or len(payload) < length or zlib.crc32(payload) != checksum:
        return None
    return payload


def _next_record(data: bytes, at: int) -> int | None:
    while (at := data.find(MARK, at)) >= 0:
        if _payload_at(data, at) is not None:
            return at
        at += 1
    return None
