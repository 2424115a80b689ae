"""A controller of leases as a process: its records on disk, its sockets and timers. ``fleet/leases/`` decides."""
