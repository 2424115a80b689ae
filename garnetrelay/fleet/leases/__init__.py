"""Majority leases on partitions: which relay may act for a partition, until when, and in which epoch.

The modules of this package only take decisions: they do no I/O, read no clock and create no random numbers.
``messages.py`` defines what relays and controllers send each other, ``controller.py`` what a controller grants, and
``holder.py`` what a relay requests and which partitions it may act for. ``docs/design/046-leases.md`` describes the
protocol and shows why at most one relay owns a partition at any time.
"""
