"""A relay that delivers messages to partner systems over real sockets; starlingwick decides."""
