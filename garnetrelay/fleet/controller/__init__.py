"""The process of a lease controller: its records on disk, sockets and timers. ``fleet/leases/`` takes the decisions."""
