"""Addresses in options files."""

from __future__ import annotations

import ipaddress

from garnetrelay.fleet.members.claims import SocketAddress


def parse_ip_port(text: str, option: str, listens: bool = False) -> SocketAddress:
    """Parses IP:port; host names are not resolved. ``listens``: the unspecified address and port 0 are valid too.

    The message of a ValueError is one line that begins with the option's name.
    """
    host, _, port = text.rpartition(":")
    try:
        address = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        raise ValueError(f"{option}: '{text}' is not IP:port") from None
    if not (port.isascii() and port.isdigit() and (0 if listens else 1) <= int(port) <= 65535):
        raise ValueError(f"{option}: '{text}' is not IP:port")
    if address.is_unspecified and not listens:
        raise ValueError(f"{option}: nobody can be reached at '{text}'")
    return SocketAddress(str(address), int(port))
