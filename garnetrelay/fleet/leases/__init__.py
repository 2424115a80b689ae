"""Who may act for a partition, until when, in which epoch: majority leases. Decisions only: no I/O, clock or randomness.

``messages.py`` says what relays and controllers tell each other, ``controller.py`` what a controller grants, and
``holder.py`` what a relay asks for and may rely on. ``docs/design/046-leases.md`` has the protocol, and why at most one
relay owns a partition.
"""
