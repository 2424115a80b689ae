"""Membership, failure detection and leases among relays. Imported only if `[fleet]` of RELAY_OPTIONS enables it.

The decisions are in packages that do no I/O and have no clock or randomness of their own (`members/`); `service.py`
and `transport.py` execute them.
"""
