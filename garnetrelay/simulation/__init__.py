"""A whole fleet in one driven clock: the decisions of `fleet/` for up to 1,000 members, seeded links and faults."""
