"""What relays know of each other. Imported only where a fleet is switched on (`[fleet]` of RELAY_OPTIONS).

Decisions stand in packages without I/O, clock or randomness of their own (`members/`); `service.py` and `transport.py`
carry them out.
"""
