"""The configuration of relays and controllers, typed and checked before anything starts."""
